package dispatcher

import (
	"sync"
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
)

// streamTimes collects the times between the events of streams by upstream. Streams add to it
// from their own goroutines, so that no event passes through the control goroutine for each
// piece of a stream. The zero value is empty and ready to use.
type streamTimes struct {
	mu         sync.Mutex
	byUpstream map[messenger.UpstreamID]messenger.StreamTimes
}

// record adds the time between two events of a stream with a pause limit.
func (s *streamTimes) record(upstream messenger.UpstreamID, gap, limit time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byUpstream == nil {
		s.byUpstream = make(map[messenger.UpstreamID]messenger.StreamTimes)
	}
	t, known := s.byUpstream[upstream]
	if !known || gap < t.Shortest {
		t.Shortest = gap
	}
	t.Upstream = upstream
	t.Events++
	if gap > limit {
		t.LateEvents++
	}
	s.byUpstream[upstream] = t
}

// take returns the times recorded since the last call.
func (s *streamTimes) take() []messenger.StreamTimes {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.byUpstream) == 0 {
		return nil
	}
	out := make([]messenger.StreamTimes, 0, len(s.byUpstream))
	for _, t := range s.byUpstream {
		out = append(out, t)
	}
	clear(s.byUpstream)
	return out
}

// TakeStreamTimes returns the times between the events of streams since the last call, one
// entry for each upstream.
func (d *Dispatcher) TakeStreamTimes() []messenger.StreamTimes { return d.streamTimes.take() }

// recordStreamTime records the arrival of events of a stream that has a pause limit.
func (f *inflightRequest) recordStreamTime(at *attempt) {
	if f.req.Arrive.PauseLimit <= 0 {
		return
	}
	now := f.now()
	previous, limit := at.stream.lastEventAt, f.req.Arrive.PauseLimit
	at.stream.lastEventAt = now
	if gap := now.Sub(previous); !previous.IsZero() && (gap <= limit || !f.stoodStillSince(previous)) {
		f.d.streamTimes.record(at.upstream, gap, limit)
	}
}

// stoodStillSince reports whether the router's VM stood still at some time since t. What it then
// reads late says nothing about an upstream.
func (f *inflightRequest) stoodStillSince(t time.Time) bool {
	return f.d.cfg.LastStandstill != nil && f.d.cfg.LastStandstill().To.After(t)
}
