package router

import (
	"testing"
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
)

// play lets ticks come with a delay for a time and reports the last verdict.
func play(s *strain, now *time.Time, d, late time.Duration, allowed bool) bool {
	on := s.on
	for end := now.Add(d); now.Before(end); {
		*now = now.Add(messenger.TickInterval + late)
		on = s.note(*now, allowed)
	}
	return on
}

func TestOverloadedRouterLeavesAndComesBack(t *testing.T) {
	var s strain
	now := time.Unix(1_700_000_000, 0)
	if play(&s, &now, 5*time.Second, 2*time.Millisecond, true) {
		t.Error("slightly late ticks count as overload")
	}
	if play(&s, &now, 3*time.Second, 100*time.Millisecond, false) {
		t.Error("the router leaves though too many others have")
	}
	if !play(&s, &now, 3*time.Second, 100*time.Millisecond, true) {
		t.Error("ticks that are 100 ms late for 3 s do not count as overload")
	}
	if play(&s, &now, 3*time.Second, 2*time.Millisecond, true) {
		t.Error("the router does not come back")
	}
	if play(&s, &now, time.Second, 100*time.Millisecond, true) {
		t.Error("the router leaves again at once")
	}
}

func TestFreezeIsNoOverload(t *testing.T) {
	var s strain
	now := time.Unix(1_700_000_000, 0)
	play(&s, &now, time.Second, 0, true)
	now = now.Add(4 * time.Second)
	if s.note(now, true) {
		t.Error("one long pause counts as overload")
	}
}
