package router

import (
	"fmt"
	"net/http"
	"time"

	"lentilwood.example/lentilwood/internal/explainer"
	"lentilwood.example/lentilwood/internal/identifier"
	"lentilwood.example/lentilwood/internal/messenger"
)

// notReadyRetryAfter is the Retry-After sent to callers while the router is not ready.
const notReadyRetryAfter = time.Second

// refusal is an answer to a request that was refused before it was queued. It is written as a
// problem document according to RFC 9457.
type refusal struct {
	status int
	name   string
	title  string
}

var (
	refuseNotReady = &refusal{http.StatusServiceUnavailable, "not-ready", "The router has no configuration yet"}
	refuseToken    = &refusal{http.StatusUnauthorized, "token", "The bearer token is missing or not known"}
	refuseRoute    = &refusal{http.StatusNotFound, "route", "No route serves this method and path"}
	refuseClass    = &refusal{http.StatusForbidden, "class", "The route does not allow this class"}
	refuseHint     = &refusal{http.StatusBadRequest, "cost-hint", "The cost hint is not a number of tokens"}
	refuseDeadline = &refusal{http.StatusBadRequest, "deadline-header", "The deadline is not a number of milliseconds"}
	refuseKey      = &refusal{http.StatusBadRequest, "idempotency-key", "The idempotency key is longer than 255 bytes"}
)

// write writes the refusal to a caller.
func (p *refusal) write(w http.ResponseWriter, wireID, callerID string) {
	d := explainer.New(p.name, p.title, p.status, messenger.StateNotRun)
	if p.status == http.StatusServiceUnavailable {
		d.RetryAfter = notReadyRetryAfter
	}
	if p.status == http.StatusUnauthorized {
		w.Header().Set(identifier.ChallengeHeader, identifier.Challenge)
	}
	setRequestIDs(w.Header(), wireID, callerID)
	_ = d.Write(w) // the listener logs callers that disconnected
}

// metric returns the name of the counter for this refusal.
func (p *refusal) metric() string {
	return fmt.Sprintf("lentilwood_refused_at_entry_total{reason=%q}", p.name)
}

// listenerRefusals returns the name of the counter for requests refused by a listener before
// they reached a handler.
func listenerRefusals(listener, problem string) string {
	return fmt.Sprintf("lentilwood_refused_at_entry_total{listener=%q,reason=%q}", listener, problem)
}
