package scheduler

import (
	"testing"
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
)

// TestIdleTimeRefusesNobody has an account send little for a while and then a
// burst that its pool finishes well within the queue timeout.
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
		t.Errorf("%d of 20 requests refused, want none: they need half a second in all", got)
	}
}

// TestOnePauseRefusesNobody has a pool that turns twenty requests a second stand
// still for a moment, as a router sees it that got no processor.
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
		t.Errorf("%d of 50 requests refused, want none: the last waits for under 3 s of 5 s", got)
	}
}

func TestSlowFirstIntervalIsOutweighed(t *testing.T) {
	var c intervalAverage
	now := epoch
	c.startWaiting(now)
	now = now.Add(time.Second)
	c.recordEvent(now)
	for range 9 {
		now = now.Add(50 * time.Millisecond)
		c.recordEvent(now)
	}
	// The mean of one second and nine times 50 ms is 145 ms.
	if got, limit := c.expectedInterval(now), 150*time.Millisecond; got > limit {
		t.Errorf("expected %v between turns, want at most %v", got, limit)
	}
}
