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

// TestRunQueueMeasuresSinceTheLastCall reads the runtime's actual histogram.
func TestRunQueueMeasuresSinceTheLastCall(t *testing.T) {
	var q runQueue
	if got := q.recentWait(); got < 0 || got > time.Minute {
		t.Errorf("got an implausible wait of %v", got)
	}
	if len(q.counts) == 0 {
		t.Error("the runtime's histogram was not read")
	}
}

// fixedWait is a run queue with a fixed waiting time.
type fixedWait struct{ d time.Duration }

func (w *fixedWait) recentWait() time.Duration { return w.d }

// TestFloodedRouterRejectsConnections replays a small VM that gets fifty times the load that
// it can serve. Its ticks stay on time for a while because they are scheduled ahead of other
// work, but requests wait for the CPU at each step.
func TestFloodedRouterRejectsConnections(t *testing.T) {
	w := &fixedWait{}
	o := overload{runQueue: w}
	now := time.Unix(1_700_000_000, 0)
	playTicks(&o, &now, time.Second, 0, true)
	if o.rejectShare != 0 {
		t.Errorf("got a share of %v rejected before the flood, want none", o.rejectShare)
	}
	const capacity = 0.02
	for range 30 {
		excess := max(0, (1-o.rejectShare)/capacity-1)
		w.d = time.Duration(excess * float64(10*time.Millisecond))
		playTicks(&o, &now, admissionInterval, 0, true)
	}
	if o.rejectShare < 0.95 {
		t.Errorf("got a share of %v rejected after 3 s of the flood, want all but what the VM can serve", o.rejectShare)
	}
	w.d = 0
	playTicks(&o, &now, 6*time.Second, 0, true)
	if o.rejectShare != 0 {
		t.Errorf("got a share of %v rejected after the flood, want none", o.rejectShare)
	}
}
