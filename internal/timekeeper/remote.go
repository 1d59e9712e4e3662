package timekeeper

import "time"

// RemoteClock bounds the time of another machine's steady clock by one answer that told it. The answer says that
// time at some moment between the call and its arrival, so it is known to within the time that the call took. The
// zero value knows nothing.
type RemoteClock struct {
	readMs               int64
	calledAt, answeredAt time.Duration
	isKnown              bool
}

// NewRemoteClock returns the RemoteClock of an answer with the time readMs, in milliseconds, to a call made at the
// uptime calledAt and answered at answeredAt.
func NewRemoteClock(readMs int64, calledAt, answeredAt time.Duration) RemoteClock {
	return RemoteClock{readMs: readMs, calledAt: calledAt, answeredAt: answeredAt, isKnown: true}
}

// Known reports whether there was an answer.
func (c RemoteClock) Known() bool { return c.isKnown }

// CalledMs returns the latest time that is certain not to be after the call.
func (c RemoteClock) CalledMs() int64 { return c.EarliestMs(c.calledAt) }

// EarliestMs and LatestMs return the earliest and the latest time that the other clock can show at an uptime of
// this VM.
func (c RemoteClock) EarliestMs(uptime time.Duration) int64 {
	return c.readMs + (uptime - c.answeredAt).Milliseconds()
}

// LatestMs is described with EarliestMs.
func (c RemoteClock) LatestMs(uptime time.Duration) int64 {
	return c.readMs + (uptime - c.calledAt).Milliseconds() + 1 // rounded up
}
