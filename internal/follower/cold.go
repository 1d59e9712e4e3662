package follower

import (
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
)

const (
	// oldRowTime is how long after an upstream's own word, or the end of its process, a row of
	// it may still arrive that was written before. Rows usually take 0.1 to 0.3 s.
	oldRowTime = 1500 * time.Millisecond
	// maxReturnTime bounds the time for which an upstream whose process has ended counts as
	// cold without an answer from it.
	maxReturnTime = 10 * time.Minute
	// returnNewsTime is how long other routers are told that a process answers again: a few
	// rounds of messages, of which some may be lost.
	returnNewsTime = 10 * time.Second
	// coldTolerance is the change of the end of the cold time, and more, that counts as news.
	coldTolerance = 200 * time.Millisecond
)

// coldState is what is known about the time in which an upstream is cold.
type coldState struct {
	until time.Time
	// saidAt is when the upstream itself last said in an answer until when it is cold.
	saidAt time.Time
	// endedAt is when the upstream's process was last known to have ended; zero if a row or an
	// answer has said since whether the next process is cold. started is the start time of the
	// process that ended, returnedAt is when a process answered again; zero if none has.
	endedAt, started, returnedAt time.Time
	// clearedAt is when a row or an answer last said how long the upstream is cold.
	clearedAt time.Time
}

// EndedProcess is a process of an upstream that is known to have ended, for other routers.
type EndedProcess struct {
	_        struct{} `codec:",toarray"`
	Upstream messenger.UpstreamID
	// StartedUnixMs is the start time of the process, in Unix milliseconds; zero if its row has
	// none.
	StartedUnixMs int64
	// AgeMs is how long ago the process was known to have ended.
	AgeMs int64
	// HasReturned is true if a process of the upstream has answered since, ReturnAgeMs ago.
	HasReturned bool
	ReturnAgeMs int64
}

// applyRow applies a row received at now. Its time counts from its receipt, so that the end is
// never too early. A row that may have been written before what is known otherwise does not
// shorten the time.
func (c *coldState) applyRow(now time.Time, u messenger.UpstreamPolicy) {
	if !c.endedAt.IsZero() && u.ColdLeft <= 0 && u.Started.Equal(c.started) && now.Sub(c.endedAt) < oldRowTime {
		return
	}
	until := time.Time{}
	if u.ColdLeft > 0 {
		until = now.Add(u.ColdLeft)
	}
	if until.Before(c.until) && !c.saidAt.IsZero() && now.Sub(c.saidAt) < oldRowTime {
		return
	}
	c.until, c.endedAt, c.returnedAt, c.clearedAt = until, time.Time{}, time.Time{}, now
}

// isEnded reports whether the process has ended and none has answered since.
func (c *coldState) isEnded() bool { return !c.endedAt.IsZero() && c.returnedAt.IsZero() }

// setPolicy sets until when an upstream is cold in its published policy.
func (c *coldState) setPolicy(u *messenger.UpstreamPolicy, pool messenger.ColdPolicy) {
	u.ColdLeft = 0
	if pool.PerSecond <= 0 {
		return
	}
	u.ColdUntil, u.ColdLimited = c.until, true
	if c.isEnded() {
		u.ColdUntil, u.ColdAssumed = c.endedAt.Add(maxReturnTime), true
	}
}

// RecordCold records that an upstream, reached at address, said in an answer how much longer it
// is cold. It reports whether this is news.
func (f *Follower) RecordCold(now time.Time, id messenger.UpstreamID, address string, left time.Duration) bool {
	e := f.coldEntry(id, address)
	if e == nil {
		return false
	}
	before := e.cold
	e.cold = coldState{saidAt: now, clearedAt: now}
	if left > 0 {
		e.cold.until = now.Add(left)
	}
	if !before.endedAt.IsZero() || before.until.After(now) != e.cold.until.After(now) {
		return true
	}
	return e.cold.until.After(now) && e.cold.until.Sub(before.until).Abs() > coldTolerance
}

// RecordEnd records that the process of an upstream, reached at address, has ended. The upstream
// counts as cold until a row or an answer says otherwise, at most for the time after its return
// for which upstreams of the pool are cold. It reports whether this is news.
func (f *Follower) RecordEnd(now time.Time, id messenger.UpstreamID, address string) bool {
	e := f.coldEntry(id, address)
	if e == nil {
		return false
	}
	known := e.cold.isEnded()
	e.cold.endedAt, e.cold.started, e.cold.returnedAt = now, e.lastPolicy.Started, time.Time{}
	return !known
}

// RecordPeerEnd is RecordEnd, and RecordReturn, for what another router knows. A process other than
// that in the row is ignored, an end from before the last row or answer about the process, and a
// return from before the end that is known here.
func (f *Follower) RecordPeerEnd(now time.Time, p EndedProcess) bool {
	e, ok := f.rows[RegistrationTable][string(p.Upstream)]
	if !ok || startedUnixMs(e.lastPolicy.Started) != p.StartedUnixMs {
		return false
	}
	changed := false
	if !e.cold.isEnded() {
		endedAt := now.Add(-time.Duration(p.AgeMs) * time.Millisecond)
		if endedAt.Before(e.cold.clearedAt) || !e.cold.returnedAt.IsZero() && endedAt.Before(e.cold.endedAt.Add(oldRowTime)) {
			return false
		}
		changed = f.RecordEnd(endedAt, p.Upstream, e.lastPolicy.Address)
	}
	returnedAt := now.Add(-time.Duration(p.ReturnAgeMs) * time.Millisecond)
	if p.HasReturned && !returnedAt.Before(e.cold.endedAt) {
		changed = f.RecordReturn(returnedAt, p.Upstream, e.lastPolicy.Address) || changed
	}
	return changed
}

// EndedProcesses returns the processes that are known to have ended while their upstreams have
// not returned, or not long ago. There are none without a limit for cold upstreams.
func (f *Follower) EndedProcesses(now time.Time) []EndedProcess {
	var out []EndedProcess
	for key, e := range f.rows[RegistrationTable] {
		if e.cold.endedAt.IsZero() || !e.readable || !e.cold.isEnded() && now.Sub(e.cold.returnedAt) > returnNewsTime {
			continue
		}
		p := EndedProcess{
			Upstream: messenger.UpstreamID(key), StartedUnixMs: startedUnixMs(e.cold.started), AgeMs: now.Sub(e.cold.endedAt).Milliseconds(),
		}
		if !e.cold.isEnded() {
			p.HasReturned, p.ReturnAgeMs = true, now.Sub(e.cold.returnedAt).Milliseconds()
		}
		out = append(out, p)
	}
	return out
}

// RecordReturn records that an upstream, reached at address, answers again after its process
// had ended. It reports whether this is news.
func (f *Follower) RecordReturn(now time.Time, id messenger.UpstreamID, address string) bool {
	e := f.coldEntry(id, address)
	if e == nil || !e.cold.isEnded() {
		return false
	}
	e.cold.returnedAt = now
	if until := now.Add(f.configuration.Pools[e.lastPolicy.Pool].Cold.Duration); until.After(e.cold.until) {
		e.cold.until = until
	}
	return true
}

// coldEntry returns the entry of an upstream that is registered at address, or nil if its pool
// has no limit for cold upstreams.
func (f *Follower) coldEntry(id messenger.UpstreamID, address string) *entry {
	e, ok := f.rows[RegistrationTable][string(id)]
	if !ok || e.lastPolicy.Address != address || f.configuration == nil {
		return nil
	}
	if f.configuration.Pools[e.lastPolicy.Pool].Cold.PerSecond <= 0 {
		return nil
	}
	return e
}
