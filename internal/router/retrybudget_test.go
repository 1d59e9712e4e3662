package router

import (
	"testing"
	"time"

	"lentilwood.example/lentilwood/internal/loader"
	"lentilwood.example/lentilwood/internal/timekeeper"
)

// TestStartingFleetStaysWithinRetryBudget guards against routers that take the fixed part of the
// fleet's retry budget for themselves alone until they know the others: after a restart of all of
// them, each one could spend the whole of it.
func TestStartingFleetStaysWithinRetryBudget(t *testing.T) {
	const extra = 56
	spent := 0
	clock := timekeeper.NewManual(time.Unix(1_800_000_000, 0))
	spend := func(h *Hosted) {
		for h.budget.Spend("p") {
			spent++
		}
	}
	for range 8 {
		settings := loader.Router{Name: "r", FailureDomain: "a", Retries: loader.Retries{Extra: extra, Window: 10 * time.Second}}
		spend(NewHosted(HostedConfig{Settings: settings, Decoder: emptyDecoder{}, Clock: clock}))
	}
	if spent > extra {
		t.Errorf("%d retries of routers that don't know each other, want at most %d", spent, extra)
	}
	single := NewHosted(HostedConfig{Settings: loader.Router{Retries: loader.Retries{Extra: extra, Window: 10 * time.Second}}, Clock: clock})
	single.joined = true
	single.setFleetSize(1)
	spent = 0
	spend(single)
	if spent == 0 {
		t.Error("a router that knows to be alone may not retry")
	}
}
