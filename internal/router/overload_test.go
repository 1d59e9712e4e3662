package router

import (
	"testing"
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
)

// play lets ticks come with a delay for a time and reports the last verdict.
func play(s *overload, now *time.Time, d, late time.Duration, allowed bool) bool {
	on := s.overloaded
	for end := now.Add(d); now.Before(end); {
		*now = now.Add(messenger.TickInterval + late)
		on = s.observeTick(*now, tickTiming{interval: messenger.TickInterval, lag: late}, allowed)
	}
	return on
}

func TestOverloadedRouterLeavesAndComesBack(t *testing.T) {
	var s overload
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
	var s overload
	now := time.Unix(1_700_000_000, 0)
	play(&s, &now, time.Second, 0, true)
	now = now.Add(4 * time.Second)
	if s.observeTick(now, tickTiming{interval: messenger.TickInterval, lag: 4 * time.Second}, true) {
		t.Error("one long pause counts as overload")
	}
}

// TestSaturatedRouterTurnsAwayNewConnections replays a small VM without a moment
// to spare: its ticks come somewhat late, and less so the fewer callers it takes.
func TestSaturatedRouterTurnsAwayNewConnections(t *testing.T) {
	var s overload
	now := time.Unix(1_700_000_000, 0)
	play(&s, &now, 2*time.Second, time.Millisecond, true)
	if s.rejectShare != 0 {
		t.Errorf("got a share of %v turned away by a router with time to spare, want none", s.rejectShare)
	}
	for range 100 {
		late := time.Duration(float64(10*time.Millisecond) * (1 - s.rejectShare))
		play(&s, &now, 100*time.Millisecond, late, true)
	}
	if s.rejectShare < 0.5 || s.rejectShare > 0.8 {
		t.Errorf("got a share of %v turned away, want the part that brings ticks within %v", s.rejectShare, highLag)
	}
	if s.overloaded {
		t.Error("the router leaves the rotation though it keeps up with what it takes")
	}
	play(&s, &now, 4*time.Second, time.Millisecond, true)
	if s.rejectShare != 0 {
		t.Errorf("got a share of %v turned away after the load, want none", s.rejectShare)
	}
}

// TestFreezeTurnsNobodyAway has a VM stand still for seconds and go on without any load.
func TestFreezeTurnsNobodyAway(t *testing.T) {
	var s overload
	now := time.Unix(1_700_000_000, 0)
	play(&s, &now, time.Second, 0, true)
	now = now.Add(4 * time.Second)
	s.observeTick(now, tickTiming{interval: idleTickInterval, lag: 4 * time.Second}, true)
	for range 50 {
		now = now.Add(messenger.TickInterval)
		s.observeTick(now, tickTiming{interval: messenger.TickInterval}, true)
		if s.rejectShare > 0 {
			t.Fatalf("got a share of %v turned away after a pause of 4 s, want none", s.rejectShare)
		}
	}
}

// TestStandingStillTimeAndAgainIsOverload has each tick of a VM come very late.
func TestStandingStillTimeAndAgainIsOverload(t *testing.T) {
	var s overload
	now := time.Unix(1_700_000_000, 0)
	if !play(&s, &now, 6*time.Second, 2*maxLag, true) || s.rejectShare == 0 {
		t.Errorf("got overload %v and a share of %v turned away, want both of a VM whose ticks are all late", s.overloaded, s.rejectShare)
	}
}
