package router

import (
	"time"

	"lentilwood.example/lentilwood/internal/storer"
)

// purposeIdempotency is what the records of idempotency keys count as.
const purposeIdempotency storer.Purpose = "idempotency"

// Times and bounds of the removal of expired records.
const (
	sweepInterval = time.Minute
	sweepBatch    = 2000
)

// sweepRecords removes expired records of idempotency keys until the router
// stops. Removals are conditional, so routers don't disturb one another.
func (r *Router) sweepRecords() {
	for {
		select {
		case <-r.background.Done():
			return
		case <-r.clock.After(sweepInterval):
		}
		ctx, cancel := r.storeContext()
		removed, err := r.recorder.Sweep(ctx, sweepBatch)
		cancel()
		if err != nil {
			r.log.WithField("event", "sweep").WithError(err).Warn("expired records not removed")
			continue
		}
		r.meter.Counter("lentilwood_idempotency_records_removed_total").Add(removed)
	}
}
