package dispatcher

import (
	"net/http"

	"lentilwood.example/lentilwood/internal/explainer"
	"lentilwood.example/lentilwood/internal/messenger"
)

// Names of problems that have no messenger.RefuseReason. With explainer.Prefix they form
// stable type URIs.
const (
	ProblemUpstreamFailed   = "upstream-failed"
	ProblemUpstreamSilent   = "upstream-silent"
	ProblemWrongAnswer      = "wrong-answer"
	ProblemStreamBroken     = "stream-broken"
	ProblemOutcomeUnknown   = "outcome-unknown"
	ProblemInProgress       = "in-progress"
	ProblemKeyReused        = "key-reused"
	ProblemStoreUnavailable = "store-unavailable"
	ProblemShuttingDown     = "shutting-down"
	ProblemAnswerTooLarge   = "answer-too-large"
	ProblemAnswerNotKept    = "answer-not-kept"
	ProblemMemoryExhausted  = "memory-exhausted"
	ProblemQuarantined      = "quarantined"
)

// problem is the response to a request that gets no upstream's response.
type problem = explainer.Document

// titles holds the title and status of each problem.
var titles = map[string]struct {
	status int
	title  string
}{
	string(messenger.RefuseQueueFull):   {http.StatusTooManyRequests, "The queue of this client account is full"},
	string(messenger.RefuseRate):        {http.StatusTooManyRequests, "The request rate of this client account is used up"},
	string(messenger.RefuseConcurrency): {http.StatusTooManyRequests, "Too many requests of this client account are in progress"},
	string(messenger.RefuseTokens):      {http.StatusTooManyRequests, "The token budget of this client account is used up"},
	string(messenger.RefuseDeadline):    {http.StatusServiceUnavailable, "The request could not start before its deadline"},
	string(messenger.RefuseNoUpstream):  {http.StatusServiceUnavailable, "No upstream can take the request"},
	string(messenger.RefuseCold):        {http.StatusServiceUnavailable, "Only upstreams that have just started were left, and they take no more yet"},
	string(messenger.RefuseEvacuated):   {http.StatusServiceUnavailable, "All upstreams of the pool are in emptied failure domains"},
	string(messenger.RefuseVersionGone): {http.StatusServiceUnavailable, "No upstream with the software version of the stream takes requests"},
	string(messenger.RefuseUnknownPool): {http.StatusNotFound, "No pool serves the request"},
	ProblemUpstreamFailed:               {http.StatusBadGateway, "The upstream failed"},
	ProblemUpstreamSilent:               {http.StatusGatewayTimeout, "The upstream went silent"},
	ProblemWrongAnswer:                  {http.StatusBadGateway, "The upstream gave the answer to another request"},
	ProblemStreamBroken:                 {http.StatusBadGateway, "The stream broke off and could not be resumed"},
	ProblemOutcomeUnknown:               {http.StatusBadGateway, "It is not known whether the request ran"},
	ProblemInProgress:                   {http.StatusConflict, "A request with this idempotency key is in progress"},
	ProblemKeyReused:                    {http.StatusUnprocessableEntity, "The idempotency key was used with another request"},
	ProblemStoreUnavailable:             {http.StatusServiceUnavailable, "The idempotency key could not be claimed"},
	ProblemShuttingDown:                 {http.StatusServiceUnavailable, "The router is shutting down"},
	ProblemAnswerTooLarge:               {http.StatusBadGateway, "The answer of the upstream is too large"},
	ProblemAnswerNotKept:                {http.StatusConflict, "The request ran; its answer was too large to keep"},
	ProblemMemoryExhausted:              {http.StatusServiceUnavailable, "The router has no memory left for answers"},
	ProblemQuarantined:                  {http.StatusServiceUnavailable, "A part of the prompt ends the upstreams that answer on it"},
}

// newProblem returns the problem document with the given name.
func newProblem(name string, run messenger.RunState) problem {
	t, ok := titles[name]
	if !ok {
		t.status, t.title = http.StatusServiceUnavailable, name
	}
	return explainer.New(name, t.title, t.status, run)
}

// writeProblem responds to a caller with a problem document.
func writeProblem(c http.ResponseWriter, p problem, wireID string) error {
	c.Header().Set(messenger.RequestIDHeader, wireID)
	return p.Write(c)
}
