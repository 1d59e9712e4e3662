package recorder

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/ansel1/merry/v2"

	"lentilwood.example/lentilwood/internal/messenger"
	"lentilwood.example/lentilwood/internal/storer"
)

const (
	// maxRetryAfter is the longest wait that a repeat of running work is given.
	maxRetryAfter = 5 * time.Second
	// storeRetryInterval is the wait before the store is asked again.
	storeRetryInterval = 50 * time.Millisecond
	// maxClaimAttempts bounds the commits of one claim.
	maxClaimAttempts = 4
)

// record is the value of a row.
type record struct {
	Token       string              `json:"token"`
	Fingerprint string              `json:"fingerprint"`
	Router      messenger.RouterID  `json:"router"`
	Incarnation string              `json:"incarnation"`
	Account     messenger.AccountID `json:"account"`
	// LeaseUntil and ExpiresAt are in milliseconds since 1970.
	LeaseUntil int64 `json:"leaseUntil"`
	ExpiresAt  int64 `json:"expiresAt"`
	// Outcome is nil until the request has ended.
	Outcome *Outcome `json:"outcome,omitempty"`
}

// Claim takes the key of a request, or says what became of the request that
// has it. An error means that nothing may be sent; the Claim returned with it
// is to be released, since a write whose answer was lost may yet take effect.
func (r *Recorder) Claim(ctx context.Context, req Request) (Claim, error) {
	if !r.allow() {
		return Claim{}, ErrBusy
	}
	c := Claim{key: rowKey(req), token: r.cfg.NewToken()}
	var version uint64
	err := ErrUndecided
	for attempt := range maxClaimAttempts {
		if attempt > 0 && !r.waitForRetry(ctx) {
			break
		}
		err = r.writeClaim(ctx, c, req, version)
		if err == nil {
			c.Status = Claimed
			return c, nil
		}
		found, decided, readErr := r.readClaim(ctx, c, req, &version)
		if decided {
			return found, nil
		}
		if readErr != nil {
			err = readErr
		}
	}
	return c, merry.Prepend(err, "claim idempotency key")
}

// writeClaim tries to write the claim over the row of the given version.
func (r *Recorder) writeClaim(ctx context.Context, c Claim, req Request, version uint64) error {
	now := r.cfg.Clock.Now()
	value, err := json.Marshal(record{
		Token: c.token, Fingerprint: req.Fingerprint, Account: req.Account,
		Router: r.cfg.Router, Incarnation: r.cfg.Incarnation,
		LeaseUntil: now.Add(r.cfg.Lease).UnixMilli(),
		ExpiresAt:  now.Add(r.cfg.Lifetime).UnixMilli(),
	})
	if err != nil {
		return err
	}
	return r.cfg.Store.Commit(ctx, []storer.Op{{Table: r.cfg.Table, Key: c.key, Value: value, IfVersion: version}})
}

// readClaim settles a claim by reading back. It is not decided while the row
// may be written: then version is the one to write over.
func (r *Recorder) readClaim(ctx context.Context, c Claim, req Request, version *uint64) (found Claim, decided bool, err error) {
	row, rec, err := r.read(ctx, c.key)
	if errors.Is(err, storer.ErrNotFound) {
		*version = 0
		return Claim{}, false, nil
	}
	if err != nil {
		return Claim{}, false, err
	}
	if rec.Token == c.token {
		c.Status = Claimed
		return c, true, nil
	}
	if r.expired(rec) {
		*version = row.Version
		return Claim{}, false, nil
	}
	return r.resultForDuplicate(rec, req), true, nil
}

// resultForDuplicate says what became of the request that holds a record.
func (r *Recorder) resultForDuplicate(rec record, req Request) Claim {
	now := r.cfg.Clock.Now()
	leaseRemaining := time.UnixMilli(rec.LeaseUntil).Add(r.cfg.MaxClockSkew).Sub(now)
	switch {
	case rec.Fingerprint != req.Fingerprint:
		return Claim{Status: Mismatch}
	case rec.Outcome != nil && rec.Outcome.Status == 0:
		return Claim{Status: OutcomeUnknown}
	case rec.Outcome != nil:
		return Claim{Status: Completed, Outcome: *rec.Outcome}
	case leaseRemaining <= 0 || !r.claimantAlive(rec):
		return Claim{Status: OutcomeUnknown}
	}
	return Claim{Status: InProgress, RetryAfter: min(leaseRemaining, maxRetryAfter)}
}

func (r *Recorder) claimantAlive(rec record) bool {
	return r.cfg.Alive == nil || r.cfg.Alive(rec.Router, rec.Incarnation)
}

// expired reports whether a record may be forgotten. Clocks differ, so it is
// kept a little longer than it says.
func (r *Recorder) expired(rec record) bool {
	return r.cfg.Clock.Now().After(time.UnixMilli(rec.ExpiresAt).Add(r.cfg.MaxClockSkew))
}

// read returns a row and the record in it.
func (r *Recorder) read(ctx context.Context, key string) (storer.Row, record, error) {
	row, err := r.cfg.Store.Read(ctx, r.cfg.Table, key)
	if err != nil {
		return row, record{}, err
	}
	if row.Deleted {
		return row, record{}, storer.ErrNotFound
	}
	var rec record
	if err := json.Unmarshal(row.Value, &rec); err != nil {
		return row, record{}, merry.Prepend(err, "idempotency record")
	}
	return row, rec, nil
}

// waitForRetry waits before the store is asked again and reports whether ctx still
// allows it.
func (r *Recorder) waitForRetry(ctx context.Context) bool {
	select {
	case <-r.cfg.Clock.After(storeRetryInterval):
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}
