package router

import (
	"testing"
	"time"

	"lentilwood.example/lentilwood/internal/dispatcher"
)

// TestStandstillIsKnownBeforeTheNextTick guards against judging by the clock alone right after
// the VM stood still, before the control goroutine has run again.
func TestStandstillIsKnownBeforeTheNextTick(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	var s standstills
	if got := s.last(start); got != (dispatcher.Standstill{}) {
		t.Errorf("before the first tick: %v, want none", got)
	}
	s.recordTick(start)
	s.recordTick(start.Add(minStandstill / 2)) // late, but the VM ran
	if got := s.last(start.Add(minStandstill / 2)); got != (dispatcher.Standstill{}) {
		t.Errorf("after a late tick: %v, want none", got)
	}
	from, to := start.Add(minStandstill/2), start.Add(4*time.Second)
	want := dispatcher.Standstill{From: from, To: to}
	if got := s.last(to); got != want {
		t.Errorf("before the next tick: %v, want %v", got, want)
	}
	s.recordTick(to)
	if got := s.last(to.Add(minStandstill / 2)); got != want {
		t.Errorf("after the next tick: %v, want %v", got, want)
	}
}
