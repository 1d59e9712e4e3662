package router

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	"lentilwood.example/lentilwood/internal/identifier"
	"lentilwood.example/lentilwood/internal/listener"
	"lentilwood.example/lentilwood/internal/messenger"
)

// notReadySeconds is when a caller may come back that met a router which is
// not ready.
const notReadySeconds = 1

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

// problemDocument is the body of a refusal.
type problemDocument struct {
	Type   string             `json:"type"`
	Title  string             `json:"title"`
	Status int                `json:"status"`
	Run    messenger.RunState `json:"run"`
}

// write answers a caller.
func (p *refusal) write(w http.ResponseWriter, wireID, callerID string) {
	body, err := json.Marshal(problemDocument{
		Type: listener.ProblemPrefix + p.name, Title: p.title, Status: p.status, Run: messenger.NotRun,
	})
	if err != nil {
		panic(err) // strings and numbers can always be written
	}
	h := w.Header()
	h.Set("Content-Type", "application/problem+json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set(messenger.RunHeader, string(messenger.NotRun))
	setRequestIDs(h, wireID, callerID)
	if p.status == http.StatusUnauthorized {
		h.Set(identifier.ChallengeHeader, identifier.Challenge)
	}
	if p.status == http.StatusServiceUnavailable {
		h.Set("Retry-After", strconv.Itoa(notReadySeconds))
	}
	w.WriteHeader(p.status)
	_, _ = w.Write(body) // the listener notes callers that are gone
}

// metric returns the name of the counter of such refusals.
func (p *refusal) metric() string {
	return fmt.Sprintf("lentilwood_refused_at_entry_total{reason=%q}", p.name)
}
