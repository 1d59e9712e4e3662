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
	minScaleUsage = 0.25
)

// scaleSample is what had been sent at the last correction.
type scaleSample struct {
	takenAt        time.Time
	wireBytes      uint64
	schedulerBytes uint64
}

// correctBudget compares the bytes that were sent to other routers, heartbeats
// and framing included, with those that the scheduler counted, so that all of
// it together stays within the budget. It runs on the control goroutine.
func (r *Router) updateControlScale() {
	now := r.clock.Now()
	elapsed := now.Sub(r.lastScaleSample.takenAt)
	if elapsed < scaleInterval {
		return
	}
	next := scaleSample{takenAt: now, schedulerBytes: r.scheduler.Snapshot().ControlBytes}
	for _, traffic := range r.exchanger.Stats().Traffic {
		next.wireBytes += traffic.Sent
	}
	wire, counted := float64(next.wireBytes-r.lastScaleSample.wireBytes), float64(next.schedulerBytes-r.lastScaleSample.schedulerBytes)
	first := r.lastScaleSample.takenAt.IsZero()
	r.lastScaleSample = next
	budget := float64(r.settings.Control.BytesPerSecond) * elapsed.Seconds()
	if first || counted < minScaleUsage*budget {
		return
	}
	r.controlScale = nextScale(wire, counted, r.controlScale)
	r.scheduler.SetControlSizeRatio(r.controlScale)
}

// scaleOf returns the next correction: counted already includes the last one.
func nextScale(wire, counted, last float64) float64 {
	return min(max(max(last, minScale)*wire/counted, minScale), maxScale)
}
