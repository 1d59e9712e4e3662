package router

import (
	"testing"
	"time"

	"lentilwood.example/lentilwood/internal/dispatcher"
	"lentilwood.example/lentilwood/internal/timekeeper"
)

// TestStandstillIsKnownBeforeTheNextTick guards against judging by the clock alone right after
// the VM stood still, before the control goroutine has run again.
func TestStandstillIsKnownBeforeTheNextTick(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	clock := timekeeper.NewManual(start)
	var s standstills
	if got := s.last(clock); got != (dispatcher.Standstill{}) {
		t.Errorf("before the first tick: %v, want none", got)
	}
	s.recordTick(clock)
	clock.Advance(minStandstill / 2)
	s.recordTick(clock) // late, but the VM ran
	if got := s.last(clock); got != (dispatcher.Standstill{}) {
		t.Errorf("after a late tick: %v, want none", got)
	}
	clock.Advance(4*time.Second - minStandstill/2)
	from, to := start.Add(minStandstill/2), start.Add(4*time.Second)
	want := dispatcher.Standstill{From: from, To: to}
	if got := s.last(clock); got != want {
		t.Errorf("before the next tick: %v, want %v", got, want)
	}
	s.recordTick(clock)
	clock.Advance(minStandstill / 2)
	if got := s.last(clock); got != want {
		t.Errorf("after the next tick: %v, want %v", got, want)
	}
}

// TestShorterStandstillKeepsLongerOne guards against taking a truncated response for a complete
// one: after a standstill of 3.5 s, the end of a connection may arrive as late as 3.5 s after it,
// also if a short standstill follows.
func TestShorterStandstillKeepsLongerOne(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	clock := timekeeper.NewManual(start)
	var s standstills
	s.recordTick(clock)
	for _, ms := range []int{3500, 10, 390, 10} { // the last standstill is from 3510 to 3900
		clock.Advance(time.Duration(ms) * time.Millisecond)
		s.recordTick(clock)
	}
	clock.Advance(10 * time.Millisecond)
	got := s.last(clock)
	if want := start.Add(7 * time.Second); !got.HidesUntil().Equal(want) {
		t.Errorf("ends may be hidden until %v after the start, want %v", got.HidesUntil().Sub(start), want.Sub(start))
	}
}

// TestSuspensionIsAStandstill guards against a VM that is suspended, which its monotonic clock doesn't show: what was
// sent before arrives as late as after any other standstill.
func TestSuspensionIsAStandstill(t *testing.T) {
	clock := timekeeper.NewManual(time.Unix(1_800_000_000, 0))
	var s standstills
	s.recordTick(clock)
	clock.Suspend(4 * time.Second)
	s.recordTick(clock)
	if got, want := s.delay(clock), 4*time.Second; got != want {
		t.Errorf("got requests late by %v, want %v", got, want)
	}
	clock.Advance(5 * time.Second)
	s.recordTick(clock)
	clock.Advance(6 * time.Second)
	s.recordTick(clock)
	clock.Advance(time.Millisecond)
	if got, want := s.delay(clock), 6*time.Second; got != want {
		t.Errorf("after standing still: got %v, want %v", got, want)
	}
}
