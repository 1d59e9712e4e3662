// Package recorder stores the outcomes of requests that carry an idempotency
// key, so that any router can respond to a duplicate without running it again.
//
// A key belongs to a client account. The router claims it in the platform's
// table before it sends the first byte of the request to an upstream. The claim
// carries a random token: if the store's response is lost, the router reads the
// row and compares tokens to learn whether the claim was written. The claim also
// names the router and its incarnation and has a lease. If the lease expires
// without an outcome, or the router is known to have stopped, a duplicate gets
// the status OutcomeUnknown. The request is never sent a second time.
//
// A claim and its outcome cost two commits and one read. A record is stored for
// Config.Lifetime and holds a response body of at most Config.MaxBodyBytes.
//
// # Usage
//
//	rec := recorder.New(recorder.Config{Store: store, Router: "r1", Incarnation: "b7"})
//	c, err := rec.Claim(ctx, recorder.Request{Account: "riga-1", Key: key, Fingerprint: fp})
//	if err != nil { /* nothing was sent: respond with not-run */ }
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

// Errors that callers can check for with errors.Is.
var (
	// ErrBusy means that this router has reached Config.ClaimsPerSecond.
	ErrBusy = merry.Sentinel("too many idempotency keys are being claimed")
	// ErrNotHeld means that the caller does not hold the claim, or no longer holds it.
	ErrNotHeld = merry.Sentinel("idempotency key not held")
	// ErrUndecided means that reading the store did not show whether the claim was written.
	ErrUndecided = merry.Sentinel("unknown whether the idempotency key was claimed")
)

// Request identifies a request by its client account and idempotency key.
type Request struct {
	Account messenger.AccountID
	Key     string
	// Fingerprint is a hash of the request's content. A duplicate must have the same one.
	Fingerprint string
}

// Status is the result of a claim.
type Status uint8

// Results of a claim.
const (
	// Claimed means that the caller holds the key and may send the request.
	Claimed Status = iota + 1
	// InProgress means that a request with the key is running or queued.
	InProgress
	// Completed means that the outcome of the request is recorded.
	Completed
	// OutcomeUnknown means that a request with the key may have run and that its outcome
	// may never be known.
	OutcomeUnknown
	// Mismatch means that the key was used with a request of another fingerprint.
	Mismatch
)

// Claim is the result of Recorder.Claim. It identifies the claim in later calls.
type Claim struct {
	Status Status
	// Outcome is the recorded outcome if Status is Completed.
	Outcome Outcome
	// RetryAfter is the delay after which to retry if Status is InProgress.
	RetryAfter time.Duration

	key   string
	token string
}

// Outcome is the recorded response of an upstream.
type Outcome struct {
	Status      int    `json:"status"`
	ContentType string `json:"contentType,omitempty"`
	Body        []byte `json:"body,omitempty"`
	// Truncated is true if the body exceeded Config.MaxBodyBytes and was not stored.
	Truncated bool `json:"truncated,omitempty"`
	// Unknown is true if the response does not prove that the request ran. If Status
	// is 0, there was no response.
	Unknown bool `json:"unknown,omitempty"`
}

// Store is the part of the platform's table service that a Recorder uses.
type Store interface {
	Read(ctx context.Context, table, key string) (storer.Row, error)
	Scan(ctx context.Context, table string, since uint64, limit int) ([]storer.Row, error)
	Commit(ctx context.Context, ops []storer.Op) error
}

// Config holds the settings of a Recorder. Store is required; every other field
// has a usable zero value.
type Config struct {
	Store Store
	Clock timekeeper.Clock
	Table string
	// Router and Incarnation identify the router that claims keys.
	Router      messenger.RouterID
	Incarnation string
	// Alive reports whether an incarnation of a router is still running. If nil, only
	// the lease decides whether a claim is in progress.
	Alive func(router messenger.RouterID, incarnation string) bool
	// Lifetime is how long a record is stored after its last write.
	Lifetime time.Duration
	// Lease is how long a claim without an outcome counts as in progress.
	Lease time.Duration
	// MaxClockSkew is the largest difference between the clocks of two routers.
	MaxClockSkew time.Duration
	// MaxBodyBytes limits the size of a recorded response body; larger ones are dropped.
	MaxBodyBytes int
	// ClaimsPerSecond limits the rate of claims by this router. It is also the burst size.
	ClaimsPerSecond float64
	// NewToken returns a random token. If nil, tokens have at least 128 random bits.
	NewToken func() string
}

// Recorder claims keys and records outcomes. It is safe for concurrent use.
type Recorder struct {
	cfg Config

	mu sync.Mutex
	// claimBudget is the number of claims that were allowed at lastRefill.
	claimBudget float64
	lastRefill  time.Time
	// sweptVersion is the table version up to which Sweep has processed changes.
	sweptVersion uint64
}

// New returns a Recorder, with defaults for settings that are not set.
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

// Fingerprint returns a hash of a request's method, URI and body, in hexadecimal.
func Fingerprint(method, uri string, body []byte) string {
	h := sha256.New()
	for _, part := range []string{method, uri} {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	h.Write(body)
	return hex.EncodeToString(h.Sum(nil))
}

// rowKey returns the key of a request's row. It is a hash of account and key, so that
// its length is bounded and no client account can access the keys of another.
func rowKey(req Request) string {
	h := sha256.New()
	h.Write([]byte(req.Account))
	h.Write([]byte{0})
	h.Write([]byte(req.Key))
	return hex.EncodeToString(h.Sum(nil))
}

// allow takes one claim from claimBudget and reports whether one was available.
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
