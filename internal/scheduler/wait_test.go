package scheduler

import (
	"testing"
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
)

// TestIdleTimeRefusesNobody has an account send little for a while and then a
// burst that its pool finishes well within the queue timeout.
func TestIdleTimeRefusesNobody(t *testing.T) {
	policy := testPolicy(1, 2)
	policy.Classes["order"] = messenger.ClassPolicy{ExpectedTokens: 1, QueueTimeout: 5 * time.Second}
	l := newLone(t, policy)
	for range 6 {
		l.arrive(1, "a", "order")
		l.pass(50 * time.Millisecond)
		l.finish(1)
		l.pass(3 * time.Second)
	}
	l.arrive(20, "a", "order")
	for range 20 {
		l.pass(50 * time.Millisecond)
		l.finish(1)
	}
	if got := len(l.refused); got != 0 {
		t.Errorf("%d of 20 requests refused, want none: they need half a second in all", got)
	}
}

// TestOnePauseRefusesNobody has a pool that turns twenty requests a second stand
// still for a moment, as a router sees it that got no processor.
func TestOnePauseRefusesNobody(t *testing.T) {
	policy := testPolicy(1, 2)
	policy.Classes["order"] = messenger.ClassPolicy{ExpectedTokens: 1, QueueTimeout: 5 * time.Second}
	l := newLone(t, policy)
	l.arrive(40, "a", "order")
	for range 20 {
		l.pass(50 * time.Millisecond)
		l.finish(1)
	}
	l.pass(1200 * time.Millisecond)
	l.arrive(10, "a", "order")
	for range 30 {
		l.pass(50 * time.Millisecond)
		l.finish(1)
	}
	if got := len(l.refused); got != 0 {
		t.Errorf("%d of 50 requests refused, want none: the last waits for under 3 s of 5 s", got)
	}
}

func TestSlowStartIsSoonOutweighed(t *testing.T) {
	var c cadence
	now := epoch
	c.begin(now)
	now = now.Add(time.Second)
	c.note(now)
	for range 9 {
		now = now.Add(50 * time.Millisecond)
		c.note(now)
	}
	// The mean of one second and nine times 50 ms is 145 ms.
	if got, limit := c.expected(now), 150*time.Millisecond; got > limit {
		t.Errorf("expected %v between turns, want at most %v", got, limit)
	}
}
