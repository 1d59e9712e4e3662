package budgeter

import (
	"testing"
	"time"

	"lentilwood.example/lentilwood/internal/timekeeper"
)

// TestFleetStaysWithinBounds has all routers of a fleet send as many retries as they may, and
// checks the sum in each sliding window.
func TestFleetStaysWithinBounds(t *testing.T) {
	bounds := Bounds{Ratio: 0.2, Extra: 56, Window: 10 * time.Second}
	clock := timekeeper.NewManual(time.Unix(1000, 0))
	const routers, step, steps = 8, 100 * time.Millisecond, 400
	fleet := make([]*Budgeter, routers)
	for i := range fleet {
		fleet[i] = New(clock, bounds)
		fleet[i].SetRouters(routers)
	}
	var requests, retries [steps]int
	for i := range steps {
		for n, b := range fleet {
			if n < 3 { // uneven traffic
				b.Earn("p")
				requests[i]++
			}
			for b.Spend("p") {
				retries[i]++
			}
		}
		clock.Advance(step)
	}
	window := int(bounds.Window / step)
	total := 0
	for end := window; end < steps; end++ {
		var sent, retried int
		for i := end - window; i < end; i++ {
			sent += requests[i]
			retried += retries[i]
		}
		total += retried
		if limit := bounds.Ratio*float64(sent) + bounds.Extra; float64(retried) > limit {
			t.Fatalf("window that ends at step %d: %d retries, want at most %.0f", end, retried, limit)
		}
	}
	if total == 0 {
		t.Error("got no retries, want some: the budget must not be zero")
	}
}

// TestTwoBurstsStayWithinBounds guards against a window that ends early: a burst of retries at the end
// of one of its slices was forgotten up to half a second before the window was over, and the next
// burst had the whole budget again.
func TestTwoBurstsStayWithinBounds(t *testing.T) {
	bounds := Bounds{Ratio: 0.2, Extra: 56, Window: 10 * time.Second}
	const step = 50 * time.Millisecond
	for gap := 9 * time.Second; gap < bounds.Window; gap += step {
		clock := timekeeper.NewManual(time.Unix(1000, 0))
		b := New(clock, bounds)
		advance := func(d time.Duration) {
			for range d / step {
				b.Earn("p")
				clock.Advance(step)
			}
		}
		advance(2*bounds.Window - step)
		retries := spendAll(b)
		advance(gap)
		retries += spendAll(b)
		if limit := bounds.Ratio*float64(bounds.Window/step) + bounds.Extra; float64(retries) > limit {
			t.Errorf("bursts %v apart: got %d retries, want at most %.0f", gap, retries, limit)
		}
	}
}

// TestRestartedFleetStaysWithinBounds guards against routers that have the whole budget again after a
// restart, although the processes before them have spent it in the same window.
func TestRestartedFleetStaysWithinBounds(t *testing.T) {
	bounds := Bounds{Ratio: 0.2, Extra: 56, Window: 10 * time.Second}
	const routers, perSecond = 8, 160
	clock := timekeeper.NewManual(time.Unix(1000, 0))
	start := func() []*Budgeter {
		fleet := make([]*Budgeter, routers)
		for i := range fleet {
			fleet[i] = New(clock, bounds)
			fleet[i].SetRouters(routers)
		}
		return fleet
	}
	second := func(fleet []*Budgeter) {
		for i := range perSecond {
			fleet[i%routers].Earn("p")
		}
		clock.Advance(time.Second)
	}
	burst := func(fleet []*Budgeter) (retries int) {
		for _, b := range fleet {
			retries += spendAll(b)
		}
		return retries
	}
	fleet := start()
	for range 2 * bounds.Window / time.Second {
		second(fleet)
	}
	retries := burst(fleet)
	fleet = start()
	for range bounds.Window/time.Second - 1 {
		second(fleet)
		retries += burst(fleet)
	}
	if limit := int(bounds.Ratio*perSecond*bounds.Window.Seconds() + bounds.Extra); retries > limit {
		t.Errorf("got %d retries in a window with a restart, want at most %d", retries, limit)
	}
}

// spendAll spends what is left of the budget and returns how much that was.
func spendAll(b *Budgeter) int {
	n := 0
	for b.Spend("p") {
		n++
	}
	return n
}

func TestPoolsHaveSeparateBudgets(t *testing.T) {
	b := New(timekeeper.NewManual(time.Unix(1000, 0)), Bounds{Extra: 4, Window: time.Second})
	for b.Spend("a") {
		continue
	}
	if !b.Spend("b") {
		t.Error("pool b may not retry after pool a used up its budget")
	}
}
