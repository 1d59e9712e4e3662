package admitter

import (
	"testing"
	"time"
)

// forecastsPerRequest simulates an overload at one router and returns the number of
// forecasts per request. The engines have 320 slots in total.
func forecastsPerRequest(t *testing.T, engines int, rate float64) float64 {
	t.Helper()
	s := newSim(t, 1, engines, 320/engines, 0)
	s.run(2*time.Second, func() {
		s.poisson(rate, func() { s.offer("a", simObjective, s.sessionPrompt(s.rng.IntN(400), 3000, 800), 200) })
	})
	return float64(s.routers[0].ForecastCount()) / float64(len(s.all))
}

// TestDecisionCostDoesNotGrowWithFleet offers the same overload to a few engines and to
// hundreds: with the same request rate, a router must not spend more on each request.
func TestDecisionCostDoesNotGrowWithFleet(t *testing.T) {
	// The slots serve about 290 requests per second.
	few, many := forecastsPerRequest(t, 20, 450), forecastsPerRequest(t, 320, 450)
	t.Logf("forecasts per request: %.0f with 20 engines, %.0f with 320", few, many)
	if many > 2*few {
		t.Errorf("got %.0f forecasts per request with 320 engines, %.0f with 20: want at most twice as many", many, few)
	}
}

// TestDecisionCostDoesNotGrowWithFlood offers two and eight times the capacity of the
// engines: queued requests must not be evaluated again for each request that ends or
// arrives.
func TestDecisionCostDoesNotGrowWithFlood(t *testing.T) {
	overload, flood := forecastsPerRequest(t, 20, 600), forecastsPerRequest(t, 20, 2400)
	t.Logf("forecasts per request: %.0f under overload, %.0f in a flood", overload, flood)
	if flood > 2*overload {
		t.Errorf("got %.0f forecasts per request in a flood, %.0f under overload: want at most twice as many", flood, overload)
	}
}
