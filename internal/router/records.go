package router

import (
	"strconv"
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
	"lentilwood.example/lentilwood/internal/storer"
)

// purposeIdempotency is what the records of idempotency keys count as.
const purposeIdempotency storer.Purpose = "idempotency"

// Times and bounds of the removal of expired records.
const (
	sweepInterval = time.Minute
	sweepBatch    = 2000
)

// incarnationBase is the base in which incarnations are written.
const incarnationBase = 36

// mayRun reports whether a router's incarnation may still work on a request
// whose key it has claimed. It is false once the router is known to have
// started again.
func (r *Router) mayStillRun(router messenger.RouterID, incarnation string) bool {
	n, err := strconv.ParseUint(incarnation, incarnationBase, 64)
	if err != nil {
		return true
	}
	if router == r.self {
		return n == r.incarnation
	}
	replaced := false
	r.control.call(func() { replaced = r.coordinator.Replaced(router, n) })
	return !replaced
}

// sweepRecords removes expired records of idempotency keys until the router
// stops. Removals are conditional, so routers don't disturb one another.
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
			r.log.WithField(eventField, "sweep").WithError(err).Warn("expired records not removed")
			continue
		}
		r.meter.Counter("lentilwood_idempotency_records_removed_total").Add(removed)
	}
}
