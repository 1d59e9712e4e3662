package router

import (
	"math"
	"testing"
	"time"
)

func TestQuantileOfWaits(t *testing.T) {
	bounds := []float64{0, 0.001, 0.002, 0.004, math.Inf(1)}
	for _, c := range []struct {
		counts []uint64
		want   time.Duration
	}{
		{[]uint64{0, 0, 0, 0}, 0},
		{[]uint64{95, 0, 5, 0}, time.Millisecond},
		{[]uint64{50, 30, 20, 0}, 4 * time.Millisecond},
		{[]uint64{1, 0, 0, 9}, 4 * time.Millisecond},
	} {
		if got := quantile(bounds, c.counts, waitQuantile); got != c.want {
			t.Errorf("%v: got %v, want %v", c.counts, got, c.want)
		}
	}
}

// TestRunQueueMeasuresSinceTheLastCall reads the runtime's own figures twice.
func TestRunQueueMeasuresSinceTheLastCall(t *testing.T) {
	var q runQueue
	if got := q.recentWait(); got < 0 || got > time.Minute {
		t.Errorf("got a wait of %v, want one that may have been", got)
	}
	if len(q.counts) == 0 {
		t.Error("the runtime's histogram was not read")
	}
}

// fixedWait is a run queue whose waits are known.
type fixedWait struct{ d time.Duration }

func (w *fixedWait) recentWait() time.Duration { return w.d }

// TestFloodedRouterTurnsAwayAtOnce replays a small VM that is asked for fifty times
// what it can do. Its ticks, which go before other work, come in time for a while,
// but requests wait for the processor at each step.
func TestFloodedRouterTurnsAwayAtOnce(t *testing.T) {
	w := &fixedWait{}
	s := overload{runQueue: w}
	now := time.Unix(1_700_000_000, 0)
	play(&s, &now, time.Second, 0, true)
	if s.rejectShare != 0 {
		t.Errorf("got a share of %v turned away before the flood, want none", s.rejectShare)
	}
	const capacity = 0.02
	for range 30 {
		over := max(0, (1-s.rejectShare)/capacity-1)
		w.d = time.Duration(over * float64(10*time.Millisecond))
		play(&s, &now, admissionInterval, 0, true)
	}
	if s.rejectShare < 0.95 {
		t.Errorf("got a share of %v turned away after 3 s of the flood, want all but what the VM can do", s.rejectShare)
	}
	w.d = 0
	play(&s, &now, 6*time.Second, 0, true)
	if s.rejectShare != 0 {
		t.Errorf("got a share of %v turned away after the flood, want none", s.rejectShare)
	}
}
