package scheduler

import (
	"testing"
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
)

// TestIdleTimeCausesNoRefusals guards against idle time in the average interval between
// dispatches: an account sends one request every 3 s and then a burst, which its pool finishes
// well within the queue timeout.
func TestIdleTimeCausesNoRefusals(t *testing.T) {
	policy := testPolicy(1, 2)
	policy.Classes["order"] = messenger.ClassPolicy{ExpectedTokens: 1, QueueTimeout: 5 * time.Second}
	l := newLoneRouter(t, policy)
	for range 6 {
		l.arrive(1, "a", "order")
		l.advance(50 * time.Millisecond)
		l.finish(1)
		l.advance(3 * time.Second)
	}
	l.arrive(20, "a", "order")
	for range 20 {
		l.advance(50 * time.Millisecond)
		l.finish(1)
	}
	if got := len(l.refusals); got != 0 {
		t.Errorf("got %d of 20 requests refused, want none: all take one second in total", got)
	}
}

// TestShortPauseCausesNoRefusals guards against refusals after a single pause: a pool that
// finishes twenty requests a second appears to stop for 1.2 s, as it does to a CPU-starved
// router.
func TestShortPauseCausesNoRefusals(t *testing.T) {
	policy := testPolicy(1, 2)
	policy.Classes["order"] = messenger.ClassPolicy{ExpectedTokens: 1, QueueTimeout: 5 * time.Second}
	l := newLoneRouter(t, policy)
	l.arrive(40, "a", "order")
	for range 20 {
		l.advance(50 * time.Millisecond)
		l.finish(1)
	}
	l.advance(1200 * time.Millisecond)
	l.arrive(10, "a", "order")
	for range 30 {
		l.advance(50 * time.Millisecond)
		l.finish(1)
	}
	if got := len(l.refusals); got != 0 {
		t.Errorf("got %d of 50 requests refused, want none: the last one waits under 3 s of the 5 s allowed", got)
	}
}

func TestSlowFirstIntervalIsOutweighed(t *testing.T) {
	var c intervalAverage
	now := epoch
	c.startInterval(now)
	now = now.Add(time.Second)
	c.recordEvent(now)
	for range 9 {
		now = now.Add(50 * time.Millisecond)
		c.recordEvent(now)
	}
	// The mean of one second and nine times 50 ms is 145 ms.
	if got, limit := c.expectedInterval(now), 150*time.Millisecond; got > limit {
		t.Errorf("got an expected interval of %v, want at most %v", got, limit)
	}
}
