package router

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"lentilwood.example/lentilwood/internal/assigner"
	"lentilwood.example/lentilwood/internal/messenger"
)

// The functions in this file make plans for streams and write them to the store.

// sourceSelf names this router as the origin of a plan.
const sourceSelf = "self"

// nextPlan returns the history of a pool with the plan that its upstreams call for, and whether they do.
func (k *streamKeeper) nextPlan(pool messenger.PoolID) (assigner.History, bool) {
	k.mu.Lock()
	_, nowMs := k.storeTime(k.clock.Uptime())
	demand := assigner.Demand{
		Capacity: k.capacities[pool], Patience: k.patience[pool],
		MinInterval: planInterval + planIntervalPerRouter*time.Duration(len(k.fleet.names)),
	}
	k.mu.Unlock()
	return k.History(pool).Next(nowMs, demand)
}

// misfits returns the pools whose plans don't fit their upstreams, and notes since when.
func (k *streamKeeper) misfits() []messenger.PoolID {
	k.mu.Lock()
	var pools []messenger.PoolID
	for pool := range k.capacities {
		pools = append(pools, pool)
	}
	k.mu.Unlock()
	pools = slices.DeleteFunc(pools, func(pool messenger.PoolID) bool {
		_, needed := k.nextPlan(pool)
		return !needed
	})
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.clock.Now()
	for pool := range k.misfitSince {
		if !slices.Contains(pools, pool) {
			delete(k.misfitSince, pool)
		}
	}
	for _, pool := range pools {
		if k.misfitSince[pool].IsZero() {
			k.misfitSince[pool] = now
		}
	}
	return pools
}

// isTurn reports whether it is this router's turn to make a plan for a pool.
func (k *streamKeeper) isTurn(pool messenger.PoolID) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.firstStart && !k.fleet.joined {
		return false
	}
	return k.clock.Now().Sub(k.misfitSince[pool]) >= planTurn*time.Duration(k.fleet.turn)
}

// makePlan makes a new plan for a pool. If another router has changed the plans meanwhile, they are read.
func (k *streamKeeper) makePlan(ctx context.Context, pool messenger.PoolID) error {
	next, needed := k.nextPlan(pool)
	if !needed {
		return nil
	}
	err := k.replacePlans(ctx, pool, next)
	if errors.Is(err, ErrRowChanged) {
		return k.read(ctx, planKeyPrefix)
	}
	if err != nil {
		k.mu.Lock()
		k.reload = true // the plan may have been written
		k.mu.Unlock()
		return err
	}
	k.mergeAll(map[messenger.PoolID]assigner.History{pool: next}, sourceSelf)
	return nil
}

// replacePlans writes the plans of a pool if the store has those that were read last.
func (k *streamKeeper) replacePlans(ctx context.Context, pool messenger.PoolID, history assigner.History) error {
	if k.store == nil {
		return nil
	}
	value, err := json.Marshal(history)
	if err != nil {
		return err
	}
	k.mu.Lock()
	version, known := k.stored.planVersions[pool], k.stored.histories[pool].Epoch()
	k.mu.Unlock()
	if known >= history.Epoch() {
		return ErrRowChanged
	}
	k.meter.Counter("lentilwood_stream_plans_written_total").Inc()
	if err := k.store.ReplaceRow(ctx, planKey(pool), version, value); err != nil {
		return err
	}
	return k.read(ctx, planKeyPrefix) // the row has a new version
}

// restorePlans writes the plans that the store had before it came back from an older copy.
func (k *streamKeeper) restorePlans(ctx context.Context) error {
	k.mu.Lock()
	restoring := k.restoring
	k.mu.Unlock()
	if !restoring {
		return nil
	}
	for pool, history := range k.Histories() {
		if err := k.replacePlans(ctx, pool, history); err != nil && !errors.Is(err, ErrRowChanged) {
			return err
		}
	}
	k.mu.Lock()
	k.restoring = false
	k.mu.Unlock()
	return nil
}
