package router

import (
	"fmt"
	"net/http"
	"time"

	"lentilwood.example/lentilwood/internal/explainer"
	"lentilwood.example/lentilwood/internal/identifier"
	"lentilwood.example/lentilwood/internal/messenger"
)

// notReadyRetryAfter is when a caller may come back that met a router which is
// not ready.
const notReadyRetryAfter = time.Second

// refusal is an answer to a request that was not even queued. It is written as
// a problem document of RFC 9457.
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
	refuseBody     = &refusal{http.StatusBadRequest, "body", "The body could not be read"}
)

// write answers a caller.
func (p *refusal) write(w http.ResponseWriter, wireID, callerID string) {
	d := explainer.New(p.name, p.title, p.status, messenger.NotRun)
	if p.status == http.StatusServiceUnavailable {
		d.RetryAfter = notReadyRetryAfter
	}
	if p.status == http.StatusUnauthorized {
		w.Header().Set(identifier.ChallengeHeader, identifier.Challenge)
	}
	setRequestIDs(w.Header(), wireID, callerID)
	_ = d.Write(w) // the listener notes callers that are gone
}

// metric returns the name of the counter of such refusals.
func (p *refusal) metric() string {
	return fmt.Sprintf("lentilwood_refused_at_entry_total{reason=%q}", p.name)
}

// listenerRefusals returns the name of the counter of what a listener refused
// before any handler saw it.
func listenerRefusals(listener, problem string) string {
	return fmt.Sprintf("lentilwood_refused_at_entry_total{listener=%q,reason=%q}", listener, problem)
}
