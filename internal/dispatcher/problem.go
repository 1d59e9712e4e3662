package dispatcher

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
)

// problemPrefix starts the type URI of every problem document.
const problemPrefix = "urn:lentilwood:problem:"

// Names of the problems that are not a messenger.RefuseReason. With the prefix
// they make stable type URIs.
const (
	ProblemUpstreamFailed  = "upstream-failed"
	ProblemUpstreamSilent  = "upstream-silent"
	ProblemWrongAnswer     = "wrong-answer"
	ProblemStreamBroken    = "stream-broken"
	ProblemOutcomeUnknown  = "outcome-unknown"
	ProblemInProgress      = "in-progress"
	ProblemKeyReused       = "key-reused"
	ProblemStoreDown       = "store-unavailable"
	ProblemShuttingDown    = "shutting-down"
	ProblemAnswerTooLarge  = "answer-too-large"
	ProblemAnswerNotKept   = "answer-not-kept"
	ProblemMemoryExhausted = "memory-exhausted"
)

// problem is a problem document of RFC 9457 with the member "run".
type problem struct {
	Type   string             `json:"type"`
	Title  string             `json:"title"`
	Status int                `json:"status"`
	Detail string             `json:"detail,omitempty"`
	Run    messenger.RunState `json:"run"`

	retryAfter time.Duration
}

// titles holds the title and the status of each problem.
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
	string(messenger.RefuseUnknownPool): {http.StatusNotFound, "No pool serves the request"},
	ProblemUpstreamFailed:               {http.StatusBadGateway, "The upstream failed"},
	ProblemUpstreamSilent:               {http.StatusGatewayTimeout, "The upstream went silent"},
	ProblemWrongAnswer:                  {http.StatusBadGateway, "The upstream gave the answer to another request"},
	ProblemStreamBroken:                 {http.StatusBadGateway, "The stream broke off and could not be resumed"},
	ProblemOutcomeUnknown:               {http.StatusBadGateway, "It is not known whether the request ran"},
	ProblemInProgress:                   {http.StatusConflict, "A request with this idempotency key is in progress"},
	ProblemKeyReused:                    {http.StatusUnprocessableEntity, "The idempotency key was used with another request"},
	ProblemStoreDown:                    {http.StatusServiceUnavailable, "The idempotency key could not be claimed"},
	ProblemShuttingDown:                 {http.StatusServiceUnavailable, "The router is shutting down"},
	ProblemAnswerTooLarge:               {http.StatusBadGateway, "The answer of the upstream is too large"},
	ProblemAnswerNotKept:                {http.StatusConflict, "The request ran; its answer was too large to keep"},
	ProblemMemoryExhausted:              {http.StatusServiceUnavailable, "The router has no memory left for answers"},
}

// newProblem returns the problem document called name.
func newProblem(name string, run messenger.RunState) problem {
	t, ok := titles[name]
	if !ok {
		t.status, t.title = http.StatusServiceUnavailable, name
	}
	return problem{Type: problemPrefix + name, Title: t.title, Status: t.status, Run: run}
}

// seconds returns d in whole seconds, rounded up, at least 1.
func seconds(d time.Duration) int {
	n := int((d + time.Second - 1) / time.Second)
	return max(n, 1)
}

// write answers c with the document.
func (p problem) write(c http.ResponseWriter, wireID string) error {
	body, err := json.Marshal(p)
	if err != nil {
		return err
	}
	h := c.Header()
	h.Set("Content-Type", "application/problem+json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set(messenger.RunHeader, string(p.Run))
	h.Set(messenger.RequestIDHeader, wireID)
	if p.retryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(seconds(p.retryAfter)))
	}
	c.WriteHeader(p.Status)
	_, err = c.Write(body)
	return err
}
