package router

import (
	"testing"
	"time"

	"lentilwood.example/lentilwood/internal/matcher"
)

// TestFirstOutputTimeoutExceedsObjective guards against giving up on an upstream as silent
// while it is within the objective of the route or only a little beyond it.
func TestFirstOutputTimeoutExceedsObjective(t *testing.T) {
	for _, objective := range []time.Duration{0, 250 * time.Millisecond, 500 * time.Millisecond, 800 * time.Millisecond, 1200 * time.Millisecond} {
		got := firstOutputTimeout(&matcher.Route{Streaming: true, Objective: objective})
		if got < streamSilenceTimeout || got < objective+objective/4 {
			t.Errorf("objective %v: the first output times out after %v", objective, got)
		}
	}
	call := &matcher.Route{Objective: 150 * time.Millisecond}
	if got, want := firstOutputTimeout(call), silenceTimeout(call); got != want {
		t.Errorf("got a timeout of %v for a call, want %v", got, want)
	}
}
