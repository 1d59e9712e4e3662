package router

import "time"

// How the scheduler learns what its messages really cost.
const (
	// scaleInterval is the time between two corrections.
	scaleInterval = 5 * time.Second
	// minScale and maxScale bound the correction.
	minScale, maxScale = 1.0, 4.0
	// scaleShare is the part of the budget that the scheduler must have used
	// for its share of the traffic to say anything.
	scaleShare = 0.25
)

// scaleSample is what had been sent at the last correction.
type scaleSample struct {
	at        time.Time
	wire      uint64
	scheduler uint64
}

// correctBudget compares the bytes that were sent to other routers, heartbeats
// and framing included, with those that the scheduler counted, so that all of
// it together stays within the budget. It runs on the control goroutine.
func (r *Router) correctBudget() {
	now := r.clock.Now()
	elapsed := now.Sub(r.scaled.at)
	if elapsed < scaleInterval {
		return
	}
	next := scaleSample{at: now, scheduler: r.scheduler.Snapshot().ControlBytes}
	for _, traffic := range r.exchanger.Stats().Traffic {
		next.wire += traffic.Sent
	}
	wire, counted := float64(next.wire-r.scaled.wire), float64(next.scheduler-r.scaled.scheduler)
	first := r.scaled.at.IsZero()
	r.scaled = next
	budget := float64(r.settings.Control.BytesPerSecond) * elapsed.Seconds()
	if first || counted < scaleShare*budget {
		return
	}
	r.scale = scaleOf(wire, counted, r.scale)
	r.scheduler.SetControlSizeRatio(r.scale)
}

// scaleOf returns the next correction: counted already includes the last one.
func scaleOf(wire, counted, last float64) float64 {
	return min(max(max(last, minScale)*wire/counted, minScale), maxScale)
}
