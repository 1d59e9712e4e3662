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
	if got := q.wait(); got < 0 || got > time.Minute {
		t.Errorf("got a wait of %v, want one that may have been", got)
	}
	if len(q.counts) == 0 {
		t.Error("the runtime's histogram was not read")
	}
}

// fixedWait is a run queue whose waits are known.
type fixedWait struct{ d time.Duration }

func (w *fixedWait) wait() time.Duration { return w.d }

// shortConns are connections that last from one look at them to the next, of which so many
// come in between.
type shortConns struct {
	s             *strain
	came          int
	open          int
	opened, taken uint64
}

// Conns is the first question of each look: those of the last one have ended.
func (c *shortConns) Conns() int {
	c.open = int(math.Round(float64(c.came) * (1 - c.s.intake.turnedAway)))
	c.opened += uint64(c.came)
	c.taken += uint64(c.open)
	return c.open
}

func (c *shortConns) Opened() uint64 { return c.opened }
func (c *shortConns) Taken() uint64  { return c.taken }

// TestFloodedRouterTurnsAwayAtOnce replays a small VM that is asked for fifty times
// what it can do. Its ticks, which go before other work, come in time for a while,
// but requests wait for the processor at each step.
func TestFloodedRouterTurnsAwayAtOnce(t *testing.T) {
	w := &fixedWait{}
	conns := &shortConns{came: 10}
	s := strain{queue: w, conns: conns}
	conns.s = &s
	now := time.Unix(1_700_000_000, 0)
	play(&s, &now, time.Second, 0, true)
	if s.intake.turnedAway != 0 {
		t.Errorf("got a share of %v turned away before the flood, want none", s.intake.turnedAway)
	}
	const capacity = 0.02
	conns.came = 1000
	for range 30 {
		over := max(0, float64(conns.open)/float64(conns.came)/capacity-1)
		w.d = time.Duration(over * float64(10*time.Millisecond))
		play(&s, &now, intakeEvery, 0, true)
	}
	if s.intake.turnedAway < 0.95 {
		t.Errorf("got a share of %v turned away after 3 s of the flood, want all but what the VM can do", s.intake.turnedAway)
	}
	w.d, conns.came = 0, 10
	play(&s, &now, 6*time.Second, 0, true)
	if s.intake.turnedAway != 0 {
		t.Errorf("got a share of %v turned away after the flood, want none", s.intake.turnedAway)
	}
}
