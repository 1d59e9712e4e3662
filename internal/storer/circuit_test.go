package storer

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestCallsInFlightDoNotLengthenTheBreak has twenty calls under way when the
// store falls silent for a moment; all fail, one after the other.
func TestCallsInFlightDoNotLengthenTheBreak(t *testing.T) {
	var c circuit
	rng := rand.New(rand.NewPCG(1, 1))
	now := time.Unix(1_700_000_000, 0)
	var calls []bool
	for range 20 {
		probe, ok := c.admit(now)
		if !ok {
			t.Fatal("got a call held back from a store that works")
		}
		calls = append(calls, probe)
	}
	for _, probe := range calls {
		c.record(now, true, probe, rng)
	}
	if _, ok := c.admit(now); ok {
		t.Error("got a call let through right after the failures, want none")
	}
	now = now.Add(firstOpen)
	probe, ok := c.admit(now)
	if !ok || !probe {
		t.Fatalf("got probe %v, admitted %v after %v, want a probe", probe, ok, firstOpen)
	}
	c.record(now, true, false, rng) // a call that was sent before the break
	if _, ok := c.admit(now); ok {
		t.Error("got a second call let through beside the probe")
	}
	c.record(now, false, true, rng)
	if _, ok := c.admit(now); !ok {
		t.Error("got a call held back after the probe succeeded")
	}
}

// TestFailedProbesLengthenTheBreak has a store stay away.
func TestFailedProbesLengthenTheBreak(t *testing.T) {
	var c circuit
	rng := rand.New(rand.NewPCG(1, 1))
	now := time.Unix(1_700_000_000, 0)
	for range openAfter {
		_, _ = c.admit(now)
		c.record(now, true, false, rng)
	}
	probes := 0
	for end := now.Add(time.Minute); now.Before(end); now = now.Add(50 * time.Millisecond) {
		if probe, ok := c.admit(now); ok {
			probes++
			c.record(now, true, probe, rng)
		}
	}
	if probes < 4 || probes > 10 {
		t.Errorf("got %d probes in a minute, want 4 to 10: breaks of 1 s to 20 s", probes)
	}
}
