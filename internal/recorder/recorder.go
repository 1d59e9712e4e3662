// Package recorder keeps the outcome of requests that carry an idempotency
// key, so that a repeat through any router is answered and not run again.
package recorder

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
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
	// Settled means that the outcome is known.
	Settled
	// Lost means that a request with the key may have run and that its outcome
	// will not become known.
	Lost
	// Mismatch means that the key was used with another request.
	Mismatch
)

// Claim is the answer to a claim.
type Claim struct {
	Status Status
	// Outcome is the recorded outcome if Status is Settled.
	Outcome Outcome
	// RetryAfter is when an InProgress request is worth asking for again.
	RetryAfter time.Duration
}

// Outcome is what an upstream answered.
type Outcome struct {
	Status      int    `json:"status"`
	ContentType string `json:"contentType,omitempty"`
	Body        []byte `json:"body,omitempty"`
	// Truncated is true if the body was too large to keep.
	Truncated bool `json:"truncated,omitempty"`
	// Unknown is true if the request may have run and no answer came.
	Unknown bool `json:"unknown,omitempty"`
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
