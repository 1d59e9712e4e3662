package emulator

import (
	"encoding/json"
	"net/http"
	"time"

	"lentilwood.example/lentilwood/internal/listener"
)

// Faults are the switches of a stand-in; its zero value is none.
type Faults struct {
	// SlowFactor stretches the time that work takes; zero means 1.
	SlowFactor float64 `json:"slowFactor,omitempty"`
	// Silent stops all work and all answers; connections stay open.
	Silent bool `json:"silent,omitempty"`
	// SilentAfterEvents lets a stream's connection go silent after that many
	// events, for good. The work goes on.
	SilentAfterEvents int `json:"silentAfterEvents,omitempty"`
	// Refuse answers 503 without running the request.
	Refuse bool `json:"refuse,omitempty"`
	// Garbage answers with a body that is not what was asked for.
	Garbage bool `json:"garbage,omitempty"`
	// DropAfterEvents cuts a stream's connection after that many events.
	DropAfterEvents int `json:"dropAfterEvents,omitempty"`
	// DropBeforeRun cuts the connection before the request runs.
	DropBeforeRun bool `json:"dropBeforeRun,omitempty"`
	// DropBeforeAnswer runs the request and cuts the connection.
	DropBeforeAnswer bool `json:"dropBeforeAnswer,omitempty"`
	// WrongID answers with the request id of another request.
	WrongID bool `json:"wrongId,omitempty"`
	// Leaving makes load reports say that this upstream will leave.
	Leaving bool `json:"leaving,omitempty"`
	// Limit is how many requests the faults of single requests hit before
	// they end; zero means no end.
	Limit int `json:"limit,omitempty"`
	// Freeze makes each connection that is open now silent for good; new ones
	// work. It is done once, when the faults are set. A request that comes in
	// on a frozen connection does not run.
	Freeze bool `json:"freeze,omitempty"`
	// CrashPrompt ends a worker's process when it begins to answer a request whose prompt
	// contains this text: CrashDelayMs after the head of the answer all connections break
	// off, and new ones are refused for DowntimeMs. Both are in milliseconds, with zero
	// for a default.
	CrashPrompt  string `json:"crashPrompt,omitempty"`
	CrashDelayMs int    `json:"crashDelayMs,omitempty"`
	DowntimeMs   int    `json:"downtimeMs,omitempty"`
}

// single says whether a fault that hits single requests is on.
func (f Faults) single() bool {
	return f.Refuse || f.Garbage || f.WrongID || f.DropBeforeRun || f.DropBeforeAnswer ||
		f.DropAfterEvents > 0 || f.SilentAfterEvents > 0
}

// SetFaults replaces the faults.
func (s *standin) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.Freeze {
		s.frozen = s.clock.Now()
		f.Freeze = false
	}
	s.faults = f
	s.affected = 0
	close(s.changed)
	s.changed = make(chan struct{})
}

// current returns the faults that hold for the whole stand-in.
func (s *standin) current() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// take returns the faults for one request and counts it against the limit.
func (s *standin) take() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.faults
	if f.single() && f.Limit > 0 {
		if s.affected >= f.Limit {
			f = Faults{SlowFactor: f.SlowFactor, Silent: f.Silent, Leaving: f.Leaving}
		}
		s.affected++
	}
	return f
}

// watch returns a channel that is closed at the next change of the faults.
func (s *standin) watch() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// isFrozen says whether the caller's connection was open at the last freeze.
func (s *standin) isFrozen(w http.ResponseWriter) bool {
	c, ok := w.(*listener.Caller)
	s.mu.Lock()
	defer s.mu.Unlock()
	return ok && !s.frozen.IsZero() && !c.ConnOpenedAt().After(s.frozen)
}

// waitWhileSilent blocks while the stand-in is silent. It returns false if the
// caller left.
func (s *standin) waitWhileSilent(done <-chan struct{}) bool {
	for {
		changed := s.watch()
		if !s.current().Silent {
			return true
		}
		select {
		case <-changed:
		case <-done:
			return false
		}
	}
}

func (s *standin) serveFaults(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		var f Faults
		dec := json.NewDecoder(r.Body)
		dec.DisallowUnknownFields()
		if err := dec.Decode(&f); err != nil {
			replyError(w, http.StatusBadRequest, err.Error())
			return
		}
		s.SetFaults(f)
	}
	reply(w, http.StatusOK, s.current())
}

// refuseOrDrop carries out the faults that come before a request runs. It
// returns false if the request must not run.
func refuseOrDrop(w http.ResponseWriter, f Faults) bool {
	switch {
	case f.DropBeforeRun:
		panic(http.ErrAbortHandler)
	case f.Refuse:
		w.Header().Set("Retry-After", "1")
		replyError(w, http.StatusServiceUnavailable, "refused by a fault")
		return false
	}
	return true
}

// holdSilent keeps the connection open and silent until the caller leaves.
func holdSilent(w http.ResponseWriter) {
	<-done(w)
	panic(http.ErrAbortHandler)
}

// done returns the channel that is closed when the caller has left; it is nil
// for a ResponseWriter that can't tell.
func done(w http.ResponseWriter) <-chan struct{} {
	if c, ok := w.(*listener.Caller); ok {
		return c.Done()
	}
	return nil
}

func stretch(d time.Duration, f Faults) time.Duration {
	if f.SlowFactor <= 0 {
		return d
	}
	return time.Duration(float64(d) * f.SlowFactor)
}
