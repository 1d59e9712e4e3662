package budgeter

import (
	"testing"
	"time"

	"lentilwood.example/lentilwood/internal/timekeeper"
)

// TestFleetStaysInsideItsBounds lets all routers of a fleet repeat whatever
// they may, and counts each window.
func TestFleetStaysInsideItsBounds(t *testing.T) {
	bounds := Bounds{Ratio: 0.2, Extra: 56, Window: 10 * time.Second}
	clock := timekeeper.NewManual(time.Unix(1000, 0))
	const routers, step, steps = 8, 100 * time.Millisecond, 400
	fleet := make([]*Budgeter, routers)
	for i := range fleet {
		fleet[i] = New(clock, bounds)
		fleet[i].SetRouters(routers)
	}
	var requests, repeats [steps]int
	for i := range steps {
		for n, b := range fleet {
			if n < 3 { // the traffic is uneven
				b.Earn("p")
				requests[i]++
			}
			for b.Spend("p") {
				repeats[i]++
			}
		}
		clock.Advance(step)
	}
	window := int(bounds.Window / step)
	total := 0
	for end := window; end < steps; end++ {
		var asked, again int
		for i := end - window; i < end; i++ {
			asked += requests[i]
			again += repeats[i]
		}
		total += again
		if limit := bounds.Ratio*float64(asked) + bounds.Extra; float64(again) > limit {
			t.Fatalf("window that ends at step %d: %d repeats, want at most %.0f", end, again, limit)
		}
	}
	if total == 0 {
		t.Error("got no repeats, want some: the budget may not be zero")
	}
}

func TestPoolsHaveBudgetsOfTheirOwn(t *testing.T) {
	b := New(timekeeper.NewManual(time.Unix(1000, 0)), Bounds{Extra: 4, Window: time.Second})
	for b.Spend("a") {
		continue
	}
	if !b.Spend("b") {
		t.Error("pool b may send nothing again after pool a used up its budget")
	}
}
