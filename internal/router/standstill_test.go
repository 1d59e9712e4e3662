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

// TestShorterStandstillKeepsLongerOne guards against taking a truncated response for a complete
// one: after a standstill of 3.5 s, the end of a connection may arrive as late as 3.5 s after it,
// also if a short standstill follows.
func TestShorterStandstillKeepsLongerOne(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	var s standstills
	s.recordTick(start)
	for _, ms := range []int{3500, 3510, 3900, 3910} { // the last standstill is from 3510 to 3900
		s.recordTick(start.Add(time.Duration(ms) * time.Millisecond))
	}
	got := s.last(start.Add(3920 * time.Millisecond))
	if want := start.Add(7 * time.Second); !got.HidesUntil().Equal(want) {
		t.Errorf("ends may be hidden until %v after the start, want %v", got.HidesUntil().Sub(start), want.Sub(start))
	}
}
