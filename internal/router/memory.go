package router

import (
	"context"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"lentilwood.example/lentilwood/internal/governor"
	"lentilwood.example/lentilwood/internal/loader"
	"lentilwood.example/lentilwood/internal/meter"
	"lentilwood.example/lentilwood/internal/relayer"
	"lentilwood.example/lentilwood/internal/timekeeper"
)

const (
	// answersDivisor is the divisor of the account's total that gives the bytes of answers that
	// are buffered for callers: an eighth of the memory.
	answersDivisor = 3
	// memoryLimitPercent is the percentage of the VM's memory set as the soft memory limit of
	// the Go runtime.
	memoryLimitPercent = 70
	// The account counts as wrong, and new large bodies are refused, while the process has more
	// than squeezePercent of its memory resident, until it has less than easePercent.
	squeezePercent, easePercent = 88, 80
	// residentInterval is the time between two looks at the resident memory.
	residentInterval = 250 * time.Millisecond
)

// newGovernor returns the memory account of a router.
func newGovernor(s loader.Router) *governor.Governor {
	total := int64(s.Limits.MaxHeldBytes)
	if total == 0 {
		total = governor.TotalOf(s.Memory)
	}
	return governor.New(governor.Config{
		TotalBytes: total, ConnBytes: int64(s.Limits.MaxHeldConnBytes), ClientBytes: int64(s.Limits.MaxHeldClientBytes),
	})
}

// answersBudget returns the budget for answers on their way to callers, a part of the account.
func answersBudget(g *governor.Governor) *relayer.Budget {
	return relayer.NewBudget(g.Config().TotalBytes / answersDivisor).ChargeTo(answersAccount{g})
}

// answersAccount is a memory account as the relayer sees it.
type answersAccount struct{ g *governor.Governor }

// Charge implements relayer.Account.
func (a answersAccount) Charge(n int64) { a.g.Charge(governor.KindAnswers, n) }

// registerMemoryGauges registers the metrics of the memory account.
func registerMemoryGauges(m *meter.Meter, g *governor.Governor) {
	for _, kind := range governor.Kinds() {
		m.Gauge(fmt.Sprintf("lentilwood_held_bytes{kind=%q}", kind), func() float64 { return float64(g.KindBytes(kind)) })
	}
	m.Gauge("lentilwood_held_bytes_used", func() float64 { return float64(g.UsedBytes()) })
	m.Gauge("lentilwood_held_bytes_peak", func() float64 { return float64(g.PeakBytes()) })
	m.Gauge("lentilwood_held_bytes_limit", func() float64 { return float64(g.Config().TotalBytes) })
	m.Gauge("lentilwood_held_client_addresses", func() float64 { return float64(g.Clients()) })
	m.Gauge("lentilwood_memory_squeezed", func() float64 { return toFloat(g.Squeezed()) })
	m.Gauge("lentilwood_resident_bytes", func() float64 { return float64(governor.ResidentBytes()) })
}

// copyMemoryCounters copies the counters of the memory account to a meter.
func copyMemoryCounters(m *meter.Meter, g *governor.Governor) {
	m.Counter("lentilwood_held_refused_total").Set(g.Refused())
	m.Counter("lentilwood_held_shed_total").Set(g.Shed())
}

// watchMemory compares the resident memory of the process with its bound until ctx ends, and
// refuses new large bodies while it is too high although the account is within its bounds.
func watchMemory(ctx context.Context, clock timekeeper.Clock, log *logrus.Logger, g *governor.Governor, memoryMB int) {
	if memoryMB <= 0 {
		return
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-clock.After(residentInterval):
		}
		resident := governor.ResidentBytes()
		if on := isSqueezed(g.Squeezed(), resident, int64(memoryMB)<<20); g.Squeeze(on) {
			log.WithFields(logrus.Fields{
				eventField: "memorySqueeze", "on": on, "resident": resident, "memoryMB": memoryMB,
				"held": g.UsedBytes(), "total": g.Config().TotalBytes,
			}).Warn("memory use changed; while it is high, new large bodies are refused")
		}
	}
}

// isSqueezed decides whether the resident memory is too high, with hysteresis.
func isSqueezed(before bool, resident, memory int64) bool {
	threshold := memory * squeezePercent / 100
	if before {
		threshold = memory * easePercent / 100
	}
	return resident > threshold
}
