package router

import (
	"testing"
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
)

// playTicks simulates ticks with the given lag for a time and returns the last result.
func playTicks(o *overload, now *time.Time, d, lag time.Duration, mayLeave bool) bool {
	overloaded := o.overloaded
	for end := now.Add(d); now.Before(end); {
		*now = now.Add(messenger.TickInterval + lag)
		overloaded = o.observeTick(*now, tickTiming{interval: messenger.TickInterval, lag: lag}, mayLeave)
	}
	return overloaded
}

func TestOverloadedRouterLeavesAndComesBack(t *testing.T) {
	var o overload
	now := time.Unix(1_700_000_000, 0)
	if playTicks(&o, &now, 5*time.Second, 2*time.Millisecond, true) {
		t.Error("slightly late ticks count as overload")
	}
	if playTicks(&o, &now, 3*time.Second, 100*time.Millisecond, false) {
		t.Error("the router leaves the rotation though too many others have")
	}
	if !playTicks(&o, &now, 3*time.Second, 100*time.Millisecond, true) {
		t.Error("ticks that are 100 ms late for 3 s do not count as overload")
	}
	if playTicks(&o, &now, 3*time.Second, 2*time.Millisecond, true) {
		t.Error("the router does not return to the rotation")
	}
	if playTicks(&o, &now, time.Second, 100*time.Millisecond, true) {
		t.Error("the router leaves the rotation again at once")
	}
}

func TestFreezeIsNoOverload(t *testing.T) {
	var o overload
	now := time.Unix(1_700_000_000, 0)
	playTicks(&o, &now, time.Second, 0, true)
	now = now.Add(4 * time.Second)
	if o.observeTick(now, tickTiming{interval: messenger.TickInterval, lag: 4 * time.Second}, true) {
		t.Error("a single freeze counts as overload")
	}
}

// TestSaturatedRouterRejectsNewConnections replays a small VM without spare CPU time: its
// ticks come somewhat late, and less so the fewer connections it admits.
func TestSaturatedRouterRejectsNewConnections(t *testing.T) {
	var o overload
	now := time.Unix(1_700_000_000, 0)
	playTicks(&o, &now, 2*time.Second, time.Millisecond, true)
	if o.rejectShare != 0 {
		t.Errorf("got a share of %v rejected by a router with spare CPU time, want none", o.rejectShare)
	}
	for range 100 {
		lag := time.Duration(float64(10*time.Millisecond) * (1 - o.rejectShare))
		playTicks(&o, &now, 100*time.Millisecond, lag, true)
	}
	if o.rejectShare < 0.5 || o.rejectShare > 0.8 {
		t.Errorf("got a share of %v rejected, want the one that keeps the lag within %v", o.rejectShare, highLag)
	}
	if o.overloaded {
		t.Error("the router leaves the rotation though it keeps up with the admitted load")
	}
	playTicks(&o, &now, 4*time.Second, time.Millisecond, true)
	if o.rejectShare != 0 {
		t.Errorf("got a share of %v rejected after the load, want none", o.rejectShare)
	}
}

// TestFreezeRejectsNoConnections has a VM freeze for seconds and then continue without load.
func TestFreezeRejectsNoConnections(t *testing.T) {
	var o overload
	now := time.Unix(1_700_000_000, 0)
	playTicks(&o, &now, time.Second, 0, true)
	now = now.Add(4 * time.Second)
	o.observeTick(now, tickTiming{interval: idleTickInterval, lag: 4 * time.Second}, true)
	for range 50 {
		now = now.Add(messenger.TickInterval)
		o.observeTick(now, tickTiming{interval: messenger.TickInterval}, true)
		if o.rejectShare > 0 {
			t.Fatalf("got a share of %v rejected after a freeze of 4 s, want none", o.rejectShare)
		}
	}
}

// TestRepeatedFreezesAreOverload has every tick of a VM come very late.
func TestRepeatedFreezesAreOverload(t *testing.T) {
	var o overload
	now := time.Unix(1_700_000_000, 0)
	if !playTicks(&o, &now, 6*time.Second, 2*maxLag, true) || o.rejectShare == 0 {
		t.Errorf("got overloaded %v and a share of %v rejected, want both for a VM whose ticks are all late", o.overloaded, o.rejectShare)
	}
}
