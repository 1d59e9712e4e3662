package router

import (
	"strconv"
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
	"lentilwood.example/lentilwood/internal/storer"
)

// purposeIdempotency labels the store calls for idempotency records.
const purposeIdempotency storer.Purpose = "idempotency"

// Interval and batch size of the removal of expired records.
const (
	sweepInterval = time.Minute
	sweepBatch    = 2000
)

// incarnationBase is the number base in which incarnations are written.
const incarnationBase = 36

// mayStillRun reports whether an incarnation of a router may still be running a request whose
// key it claimed. It is false once the router is known to have restarted.
func (r *Router) mayStillRun(router messenger.RouterID, incarnation string) bool {
	n, err := strconv.ParseUint(incarnation, incarnationBase, 64)
	if err != nil {
		return true
	}
	if router == r.self {
		return n == r.incarnation
	}
	replaced := false
	r.control.call(func() { replaced = r.coordinator.HasRestarted(router, n) })
	return !replaced
}

// sweepRecords removes expired idempotency records until the router stops. Removals are
// conditional, so the routers don't interfere with each other.
func (r *Router) sweepRecords() {
	for {
		select {
		case <-r.backgroundCtx.Done():
			return
		case <-r.clock.After(sweepInterval):
		}
		ctx, cancel := r.storeContext()
		removed, err := r.recorder.Sweep(ctx, sweepBatch)
		cancel()
		if err != nil {
			r.log.WithField(eventField, "sweep").WithError(err).Warn("expired idempotency records not removed")
			continue
		}
		r.meter.Counter("lentilwood_idempotency_records_removed_total").Add(removed)
	}
}
