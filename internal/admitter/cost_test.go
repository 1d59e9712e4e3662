package admitter

import (
	"testing"
	"time"
)

// crestCost plays a crest of half again what engines can do, at one router, and returns
// how many of them were weighed for each request. The engines have 320 slots together.
func overloadCost(t *testing.T, engines int, rate float64) float64 {
	t.Helper()
	s := newSim(t, 1, engines, 320/engines, 0)
	s.run(2*time.Second, func() {
		s.poisson(rate, func() { s.offer("a", simObjective, s.sessionPrompt(s.rng.IntN(400), 3000, 800), 200) })
	})
	return float64(s.routers[0].ForecastCount()) / float64(len(s.all))
}

// TestCostOfADecisionStaysAsTheFleetGrows has the same crest before a few engines and
// before hundreds: a router with as many requests a second spends no more on each.
func TestDecisionCostDoesNotGrowWithFleet(t *testing.T) {
	// The slots do about 290 of these a second.
	few, many := overloadCost(t, 20, 450), overloadCost(t, 320, 450)
	t.Logf("weighed for a request: %.0f of 20 engines, %.0f of 320", few, many)
	if many > 2*few {
		t.Errorf("%.0f engines weighed for a request before 320 engines, %.0f before 20: want at most twice as many", many, few)
	}
}

// TestCostOfADecisionStaysAsAFloodGrows has callers ask for two and for eight times what
// engines can do: what waits is not to be weighed again for each request that ends or comes.
func TestDecisionCostDoesNotGrowWithFlood(t *testing.T) {
	overload, flood := overloadCost(t, 20, 600), overloadCost(t, 20, 2400)
	t.Logf("weighed for a request: %.0f in a crest, %.0f in a flood", overload, flood)
	if flood > 2*overload {
		t.Errorf("%.0f engines weighed for a request in a flood, %.0f in a crest: want at most twice as many", flood, overload)
	}
}
