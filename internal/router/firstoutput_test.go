package router

import (
	"testing"
	"time"

	"lentilwood.example/lentilwood/internal/matcher"
)

// TestNoStreamIsSilentBeforeItIsLate has routes of several objectives: an upstream that
// is within the objective, or little beyond it, must not be given up for silence.
func TestNoStreamIsSilentBeforeItIsLate(t *testing.T) {
	for _, objective := range []time.Duration{0, 250 * time.Millisecond, 500 * time.Millisecond, 800 * time.Millisecond, 1200 * time.Millisecond} {
		got := firstOutputTimeout(&matcher.Route{Streaming: true, Objective: objective})
		if got < streamSilenceTimeout || got < objective+objective/4 {
			t.Errorf("objective %v: an upstream counts as silent after %v without output", objective, got)
		}
	}
	call := &matcher.Route{Objective: 150 * time.Millisecond}
	if got, want := firstOutputTimeout(call), silenceTimeout(call); got != want {
		t.Errorf("got %v for a call, want %v", got, want)
	}
}
