package router

import (
	"context"
	"time"

	"lentilwood.example/lentilwood/internal/assigner"
	"lentilwood.example/lentilwood/internal/messenger"
)

// The functions in this file make sure that streams begin by plans that are in use. A router may use its plans for
// assigner.Lease after the moment at which they were the newest, which a read of the store or another router's message
// tells by the store's clock. A router that stood still or was cut off so finds its lease expired, whatever arrives first.

const (
	// renewalAge is the age of the plans at which the first router reads them again, before any lease expires.
	// The next ones wait renewalTurn longer each, up to maxRenewalWait: meanwhile its messages reach them.
	renewalAge     = 450 * time.Millisecond
	renewalTurn    = 250 * time.Millisecond
	maxRenewalWait = 400 * time.Millisecond
	// failureTTL is for how long after a failed read callers don't wait for another one: meanwhile the store is
	// asked again without them.
	failureTTL = maxStreamRetryDelay + streamCallTimeout
)

// begin assigns a new stream to a version. It returns false if there is no plan yet.
func (k *streamKeeper) begin(ctx context.Context, pool messenger.PoolID, id assigner.StreamID) (version string, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	k.renewLease(ctx)
	for {
		k.mu.Lock()
		changed := k.changed
		k.mu.Unlock()
		if version, ok = k.Begin(pool, id); ok || !k.hasUpstreams(pool) {
			return version, ok
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return "", false
		}
	}
}

// hasUpstreams reports whether a pool has upstreams, so that a plan will be made.
func (k *streamKeeper) hasUpstreams(pool messenger.PoolID) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.capacities[pool]) > 0
}

// renewLease reads the plans if the lease has expired. Without the store, streams begin by the known plans all the
// same: callers are served while it is away.
func (k *streamKeeper) renewLease(ctx context.Context) {
	now := k.clock.Uptime()
	leased, failing := k.leaseState(now)
	if !leased && !failing {
		if err := k.readSince(ctx, planKeyPrefix, now); err != nil {
			k.recordFailure()
			k.entry("failed").WithError(err).Info("plans not read for a caller who begins a stream")
		}
		leased, _ = k.leaseState(k.clock.Uptime())
	}
	k.recordLease(leased)
}

// leaseState reports whether the lease is valid at an uptime, and whether the store failed just before.
func (k *streamKeeper) leaseState(now time.Duration) (leased, failing bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	_, latestMs := k.storeTime(now)
	return k.store == nil || k.fresh.IsLeased(latestMs), k.failing && now-k.failedAt < failureTTL
}

// recordLease logs when streams begin to begin without a lease, and with one again.
func (k *streamKeeper) recordLease(leased bool) {
	if !leased {
		k.meter.Counter("lentilwood_streams_begun_unleased_total").Inc()
	}
	k.mu.Lock()
	changed := k.unleased == leased
	k.unleased = !leased
	k.mu.Unlock()
	if changed {
		k.entry("lease").WithField("leased", leased).WithField("plansAgeMs", k.plansAge().Milliseconds()).
			Info("lease on the plans of streams changed; streams begin by the known plans")
	}
}

func (k *streamKeeper) recordFailure() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.failing, k.failedAt = true, k.clock.Uptime()
}

// plansAge returns how long ago all plans were known.
func (k *streamKeeper) plansAge() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	_, latestMs := k.storeTime(k.clock.Uptime())
	return time.Duration(latestMs-k.fresh.AsOfMs()) * time.Millisecond
}

// untilRenewal returns how long it is until this router has to read the plans again.
func (k *streamKeeper) untilRenewal() time.Duration {
	age := k.plansAge()
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.store == nil || len(k.capacities) == 0 {
		return idleStreamStep
	}
	return renewalAge + min(renewalTurn*time.Duration(k.fleet.turn), maxRenewalWait) - age
}

// confirm records that all plans written before a time of the store's clock are known.
func (k *streamKeeper) confirm(asOfMs int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.storeClock.Known() {
		return
	}
	_, latestMs := k.storeTime(k.clock.Uptime())
	k.fresh.Confirm(asOfMs, latestMs)
}

// asOf returns the time of the store's clock as of which all plans are known, or zero.
func (k *streamKeeper) asOf() int64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.fresh.AsOfMs()
}
