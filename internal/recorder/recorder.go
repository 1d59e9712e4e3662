// Package recorder keeps the outcome of requests that carry an idempotency
// key, so that a repeat through any router is answered and not run again.
//
// A key belongs to a client account. It is claimed in the platform's table
// before the first byte of its request leaves, with a random token, so that a
// claim whose answer is lost is settled by reading back. The claim names the
// router and its incarnation and has a lease: once it has lapsed without an
// outcome, or the router is known to be gone, a repeat is told that the
// outcome is unknown. It is never sent again.
//
// A claim and its outcome cost two commits and one read. Records live for
// Config.Lifetime and hold no more than Config.MaxBodyBytes of an answer.
//
// # Usage
//
//	rec := recorder.New(recorder.Config{Store: store, Router: "r1", Incarnation: "b7"})
//	c, err := rec.Claim(ctx, recorder.Request{Account: "riga-1", Key: key, Fingerprint: fp})
//	if err != nil { /* nothing was sent: answer not-run */ }
//	if c.Status == recorder.Claimed {
//		// send the request, then:
//		err = rec.RecordOutcome(ctx, c, recorder.Outcome{Status: 201, Body: body})
//	}
package recorder

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"sync"
	"time"

	"context"

	"github.com/ansel1/merry/v2"

	"lentilwood.example/lentilwood/internal/messenger"
	"lentilwood.example/lentilwood/internal/storer"
	"lentilwood.example/lentilwood/internal/timekeeper"
)

// Defaults of Config.
const (
	DefaultTable           = "idempotency"
	DefaultLifetime        = 24 * time.Hour
	DefaultLease           = 2 * time.Minute
	DefaultMaxClockSkew    = 5 * time.Second
	DefaultMaxBodyBytes    = 16 << 10
	DefaultClaimsPerSecond = 20
)

// Errors that callers tell apart with errors.Is.
var (
	// ErrBusy means that this router claims keys as fast as it may.
	ErrBusy = merry.Sentinel("too many idempotency keys are being claimed")
	// ErrNotHeld means that the claim is no longer the caller's.
	ErrNotHeld = merry.Sentinel("idempotency key not held")
	// ErrUndecided means that the store did not say whether the claim holds.
	ErrUndecided = merry.Sentinel("claim of the idempotency key undecided")
)

// Request names a request by its client account and key.
type Request struct {
	Account messenger.AccountID
	Key     string
	// Fingerprint is a hash of what is asked; a repeat must have the same.
	Fingerprint string
}

// Status says what a claim found.
type Status uint8

// What a claim may find.
const (
	// Claimed means that the key is the caller's: the request may be sent.
	Claimed Status = iota + 1
	// InProgress means that a request with the key runs or waits.
	InProgress
	// Completed means that the outcome is known.
	Completed
	// OutcomeUnknown means that a request with the key may have run and that its outcome
	// may never become known.
	OutcomeUnknown
	// Mismatch means that the key was used with another request.
	Mismatch
)

// Claim is the answer to a claim.
type Claim struct {
	Status Status
	// Outcome is the recorded outcome if Status is Completed.
	Outcome Outcome
	// RetryAfter is when an InProgress request is worth asking for again.
	RetryAfter time.Duration

	key   string
	token string
}

// Outcome is what an upstream answered.
type Outcome struct {
	Status      int    `json:"status"`
	ContentType string `json:"contentType,omitempty"`
	Body        []byte `json:"body,omitempty"`
	// Truncated is true if the body was too large to keep.
	Truncated bool `json:"truncated,omitempty"`
	// Unknown is true if the answer does not prove that the request ran. With
	// Status 0 no answer came at all.
	Unknown bool `json:"unknown,omitempty"`
}

// Store is the part of the platform's table service that records need.
type Store interface {
	Read(ctx context.Context, table, key string) (storer.Row, error)
	Scan(ctx context.Context, table string, since uint64, limit int) ([]storer.Row, error)
	Commit(ctx context.Context, ops []storer.Op) error
}

// Config is the settings of a Recorder. Store is required; every other field
// has a usable zero value.
type Config struct {
	Store Store
	Clock timekeeper.Clock
	Table string
	// Router and Incarnation say who claims.
	Router      messenger.RouterID
	Incarnation string
	// Alive reports whether a router's incarnation still runs; nil leaves it to
	// the lease.
	Alive func(router messenger.RouterID, incarnation string) bool
	// Lifetime is how long a record is kept after its last write.
	Lifetime time.Duration
	// Lease is how long a claim without an outcome counts as in progress.
	Lease time.Duration
	// MaxClockSkew is the largest difference between the clocks of two routers.
	MaxClockSkew time.Duration
	// MaxBodyBytes bounds the answer that is kept.
	MaxBodyBytes int
	// ClaimsPerSecond bounds the claims of this router, and a burst of them.
	ClaimsPerSecond float64
	// NewToken returns a random token; nil takes one of 128 random bits.
	NewToken func() string
}

// Recorder claims keys and records outcomes. It is safe for concurrent use.
type Recorder struct {
	cfg Config

	mu sync.Mutex
	// claimBudget is how many claims may be made now, as of refilled.
	claimBudget float64
	lastRefill  time.Time
	// sweptVersion is the version of the table up to which Sweep has looked.
	sweptVersion uint64
}

// New returns a Recorder.
func New(cfg Config) *Recorder {
	if cfg.Clock == nil {
		cfg.Clock = timekeeper.System{}
	}
	if cfg.Table == "" {
		cfg.Table = DefaultTable
	}
	if cfg.Lifetime <= 0 {
		cfg.Lifetime = DefaultLifetime
	}
	if cfg.Lease <= 0 {
		cfg.Lease = DefaultLease
	}
	if cfg.MaxClockSkew <= 0 {
		cfg.MaxClockSkew = DefaultMaxClockSkew
	}
	if cfg.MaxBodyBytes <= 0 {
		cfg.MaxBodyBytes = DefaultMaxBodyBytes
	}
	if cfg.ClaimsPerSecond <= 0 {
		cfg.ClaimsPerSecond = DefaultClaimsPerSecond
	}
	if cfg.NewToken == nil {
		cfg.NewToken = rand.Text
	}
	return &Recorder{cfg: cfg, claimBudget: cfg.ClaimsPerSecond, lastRefill: cfg.Clock.Now()}
}

// Fingerprint returns a hash of what a request asks for.
func Fingerprint(method, uri string, body []byte) string {
	h := sha256.New()
	for _, part := range []string{method, uri} {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	h.Write(body)
	return hex.EncodeToString(h.Sum(nil))
}

// rowKey returns the key of a request's row. It is a hash, so that it has a
// bounded length and no account can reach another's keys.
func rowKey(req Request) string {
	h := sha256.New()
	h.Write([]byte(req.Account))
	h.Write([]byte{0})
	h.Write([]byte(req.Key))
	return hex.EncodeToString(h.Sum(nil))
}

// allow takes one claim from the allowance and reports whether there was one.
func (r *Recorder) allow() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Clock.Now()
	r.claimBudget += now.Sub(r.lastRefill).Seconds() * r.cfg.ClaimsPerSecond
	r.claimBudget = min(r.claimBudget, r.cfg.ClaimsPerSecond)
	r.lastRefill = now
	if r.claimBudget < 1 {
		return false
	}
	r.claimBudget--
	return true
}
