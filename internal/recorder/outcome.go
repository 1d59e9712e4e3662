package recorder

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/ansel1/merry/v2"

	"lentilwood.example/lentilwood/internal/storer"
)

// sweepBatchSize is the number of records that Sweep deletes in one commit.
const sweepBatchSize = 50

// RecordOutcome records the outcome of a claimed request. It retries until ctx ends if the
// store is unavailable. If the outcome is not recorded by then, duplicates get the status
// OutcomeUnknown once the lease expires.
func (r *Recorder) RecordOutcome(ctx context.Context, c Claim, o Outcome) error {
	if len(o.Body) > r.cfg.MaxBodyBytes {
		o.Body, o.Truncated = nil, true
	}
	return r.update(ctx, c, func(row storer.Row, rec record) (storer.Op, error) {
		rec.Outcome = &o
		rec.ExpiresAt = r.cfg.Clock.Now().Add(r.cfg.Lifetime).UnixMilli()
		value, err := json.Marshal(rec)
		return storer.Op{Table: r.cfg.Table, Key: c.key, Value: value, IfVersion: row.Version}, err
	})
}

// Release deletes the claim of a request that was certainly not run, so that a duplicate
// may run. It does nothing if the caller does not hold the key.
func (r *Recorder) Release(ctx context.Context, c Claim) error {
	err := r.update(ctx, c, func(row storer.Row, _ record) (storer.Op, error) {
		return storer.Op{Table: r.cfg.Table, Key: c.key, Delete: true, IfVersion: row.Version}, nil
	})
	if errors.Is(err, ErrNotHeld) {
		return nil
	}
	return err
}

// update applies change to the row of a held claim. It retries until ctx ends and reads
// the row before each attempt, since a write whose response was lost may have succeeded.
func (r *Recorder) update(ctx context.Context, c Claim, change func(storer.Row, record) (storer.Op, error)) error {
	if c.key == "" {
		return ErrNotHeld
	}
	for {
		err := r.updateOnce(ctx, c, change)
		if err == nil || errors.Is(err, ErrNotHeld) {
			return err
		}
		if !r.waitForRetry(ctx) {
			return merry.Prepend(err, "update idempotency record")
		}
	}
}

func (r *Recorder) updateOnce(ctx context.Context, c Claim, change func(storer.Row, record) (storer.Op, error)) error {
	row, rec, err := r.read(ctx, c.key)
	if errors.Is(err, storer.ErrNotFound) {
		return ErrNotHeld
	}
	if err != nil {
		return err
	}
	if rec.Token != c.token {
		return ErrNotHeld
	}
	if rec.Outcome != nil {
		return nil
	}
	op, err := change(row, rec)
	if err != nil {
		return err
	}
	return r.cfg.Store.Commit(ctx, []storer.Op{op})
}

// Sweep deletes expired records and returns how many it deleted. It reads at most limit
// changes of the table per call. One router of the fleet should call it periodically.
func (r *Recorder) Sweep(ctx context.Context, limit int) (int, error) {
	r.mu.Lock()
	since := r.sweptVersion
	r.mu.Unlock()
	rows, err := r.cfg.Store.Scan(ctx, r.cfg.Table, since, limit)
	if err != nil {
		return 0, merry.Prepend(err, "sweep idempotency records")
	}
	deleted := 0
	var ops []storer.Op
	for _, row := range rows {
		var rec record
		if !row.Deleted && json.Unmarshal(row.Value, &rec) == nil {
			if !r.expired(rec) {
				break
			}
			ops = append(ops, storer.Op{Table: r.cfg.Table, Key: row.Key, Delete: true, IfVersion: row.Version})
		}
		since = row.Version
		if len(ops) < sweepBatchSize {
			continue
		}
		if err := r.cfg.Store.Commit(ctx, ops); err != nil {
			return deleted, merry.Prepend(err, "sweep idempotency records")
		}
		deleted += len(ops)
		ops = ops[:0]
		r.advanceSweptVersion(since)
	}
	if len(ops) > 0 {
		if err := r.cfg.Store.Commit(ctx, ops); err != nil {
			return deleted, merry.Prepend(err, "sweep idempotency records")
		}
		deleted += len(ops)
	}
	r.advanceSweptVersion(since)
	return deleted, nil
}

func (r *Recorder) advanceSweptVersion(version uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sweptVersion = max(r.sweptVersion, version)
}
