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
	// maxRetryAfter limits Claim.RetryAfter for a duplicate of a request in progress.
	maxRetryAfter = 5 * time.Second
	// storeRetryInterval is the delay before a failed store operation is retried.
	storeRetryInterval = 50 * time.Millisecond
	// maxClaimAttempts limits the commits of one claim.
	maxClaimAttempts = 4
)

// record is the value of a row in the idempotency table.
type record struct {
	Token       string              `json:"token"`
	Fingerprint string              `json:"fingerprint"`
	Router      messenger.RouterID  `json:"router"`
	Incarnation string              `json:"incarnation"`
	Account     messenger.AccountID `json:"account"`
	// LeaseUntil and ExpiresAt are Unix times in milliseconds.
	LeaseUntil int64 `json:"leaseUntil"`
	ExpiresAt  int64 `json:"expiresAt"`
	// Outcome is nil until the request has finished.
	Outcome *Outcome `json:"outcome,omitempty"`
}

// Claim claims the key of a request, or returns the status of the request that holds it.
// If it returns an error, the caller must not send the request and must release the
// returned Claim: a write whose response was lost may still take effect.
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

// writeClaim writes the claim if the row still has the given version; 0 means no row.
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

// readClaim reads the row after a failed write to find out who holds the key. If the row is
// missing or expired, decided is false and version is set for the next call of writeClaim.
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

// resultForDuplicate returns the result of a claim whose key is held by the record rec.
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

// expired reports whether a record may be deleted. MaxClockSkew is added to its expiry
// time because the clocks of routers differ.
func (r *Recorder) expired(rec record) bool {
	return r.cfg.Clock.Now().After(time.UnixMilli(rec.ExpiresAt).Add(r.cfg.MaxClockSkew))
}

// read returns a row and the record in it, or storer.ErrNotFound if the row is deleted.
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
		return row, record{}, merry.Prepend(err, "decode idempotency record")
	}
	return row, rec, nil
}

// waitForRetry waits for storeRetryInterval and reports whether ctx is still active.
func (r *Recorder) waitForRetry(ctx context.Context) bool {
	select {
	case <-r.cfg.Clock.After(storeRetryInterval):
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}
