package router

import "time"

// Parameters of the correction that relates the bytes counted by the scheduler to the bytes
// sent.
const (
	// scaleInterval is the time between two corrections.
	scaleInterval = 5 * time.Second
	// minScale and maxScale bound the correction factor.
	minScale, maxScale = 1.0, 4.0
	// minScaleUsage is the share of the byte budget that the scheduler must have used in the
	// interval; with less scheduler traffic the ratio is not meaningful.
	minScaleUsage = 0.25
)

// scaleSample holds the byte counts at the last correction.
type scaleSample struct {
	takenAt        time.Time
	wireBytes      uint64
	schedulerBytes uint64
}

// updateControlScale compares the bytes sent to other routers, heartbeats and framing
// included, with those counted by the scheduler, and scales the scheduler's count so that the
// total traffic stays within the budget. It runs on the control goroutine.
func (r *Router) updateControlScale() {
	now := r.clock.Now()
	elapsed := now.Sub(r.lastScaleSample.takenAt)
	if elapsed < scaleInterval {
		return
	}
	next := scaleSample{takenAt: now, schedulerBytes: r.scheduler.Snapshot().ControlBytes}
	for _, traffic := range r.exchanger.Stats().Traffic {
		next.wireBytes += traffic.SentBytes
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

// nextScale returns the next correction factor. The last factor is already part of counted.
func nextScale(wire, counted, last float64) float64 {
	return min(max(max(last, minScale)*wire/counted, minScale), maxScale)
}
