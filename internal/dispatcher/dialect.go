package dispatcher

import (
	"net/http"
	"time"

	"lentilwood.example/lentilwood/internal/explainer"
	"lentilwood.example/lentilwood/internal/messenger"
)

// AttemptInfo describes the attempt for which a request header is written.
type AttemptInfo struct {
	// Upstream is the target of the attempt.
	Upstream messenger.UpstreamID
	// TimeLeft is the time until the caller's deadline; zero means no deadline.
	TimeLeft time.Duration
	// Resumed is true if the stream is to continue after the event LastEvent.
	Resumed   bool
	LastEvent uint64
	// FetchFrom is the address of an engine that probably has parts of the prompt cached;
	// "" means none.
	FetchFrom string
}

// Dialect defines the parts of the protocol that HTTP does not specify and platforms choose
// themselves: the headers of requests and responses, and the statuses of refusals.
type Dialect interface {
	// RequestHeader returns the header to send to the upstream for an attempt.
	RequestHeader(req *Request, info AttemptInfo) http.Header
	// AnsweredRequestID returns the id of the request that a response belongs to.
	AnsweredRequestID(response http.Header) string
	// Declined reports whether the upstream states that it did not run the request.
	Declined(status int, response http.Header) bool
	// Signed reports whether a response carries the signature that upstreams put on
	// successful responses. It is always true if upstreams sign nothing.
	Signed(response http.Header) bool
	// Load returns the load report that a response carries.
	Load(response http.Header) (messenger.LoadReport, bool)
	// AnsweringUpstream returns the id of the upstream that answered a health probe, or "" if
	// the answer does not tell.
	AnsweringUpstream(response http.Header) messenger.UpstreamID
	// Notice returns the upstream's announcement in the head of a response.
	Notice(status int, response http.Header) Notice
	// AddResponseHeaders adds the headers that the caller gets with a response.
	AddResponseHeaders(h http.Header, req *Request, run messenger.RunState)
	// WriteProblem responds to a caller that gets no upstream's response.
	WriteProblem(w http.ResponseWriter, req *Request, p explainer.Document) error
	// Traits returns the other differences between dialects.
	Traits() Traits
}

// Notice is an upstream's announcement about itself in a response, whichever request the
// response belongs to, or an observation about it. The zero value says nothing.
type Notice struct {
	// Leaving is true if the upstream is about to stop.
	Leaving bool
	// Pause is how long the upstream asks to be sent no requests; zero if it announced none.
	Pause time.Duration
	// HasCold is true if the upstream announced how much longer it is cold, Cold that time.
	HasCold bool
	Cold    time.Duration
	// Ended is true if nothing listens at the upstream's address: its process has ended.
	Ended bool
	// Answered is true if an upstream answers whose process had ended.
	Answered bool
}

// Traits are the differences in behavior between dialects.
type Traits struct {
	// ResendsStreams is true if a broken stream continues by sending the request to an
	// upstream again with the id of its last event. Otherwise the rest is requested from
	// the engine that runs it.
	ResendsStreams bool
	// FramedStreams is true if the end of the HTTP message marks the end of a stream.
	// Otherwise an engine's final event does.
	FramedStreams bool
	// CloseCancels is true if upstreams stop a request when its connection closes.
	// Otherwise the dispatcher sends the engine a request to stop the stream.
	CloseCancels bool
	// AbortsBrokenResponses is true if a broken response ends by aborting the caller's
	// connection. Otherwise it ends with an error event.
	AbortsBrokenResponses bool
	// AllowsCloseDelimited is true if a response without a length is complete when its
	// connection closes normally and the process that sent it is known to be alive.
	AllowsCloseDelimited bool
	// ReusesConnections is true if requests that must not be repeated may be sent on a
	// connection that carried other requests before.
	ReusesConnections bool
	// KeepsSilentAttempts is true if a silent upstream's attempt ends only once the request
	// is dispatched to another upstream.
	KeepsSilentAttempts bool
}

// ownDialect is Lentilwood's own protocol for callers and upstreams.
type ownDialect struct{}

// RequestHeader forwards the caller's headers, except those that only the router uses.
func (ownDialect) RequestHeader(req *Request, _ AttemptInfo) http.Header { return upstreamHeader(req) }

// AnsweredRequestID returns the fleet's request id, which upstreams echo.
func (ownDialect) AnsweredRequestID(response http.Header) string {
	return response.Get(messenger.RequestIDHeader)
}

// Declined is always false: no response of an upstream proves that the request did not
// run.
func (ownDialect) Declined(int, http.Header) bool { return false }

// Signed is always true: upstreams sign nothing.
func (ownDialect) Signed(http.Header) bool { return true }

// Load returns nothing: upstreams report their load when polled.
func (ownDialect) Load(http.Header) (messenger.LoadReport, bool) {
	return messenger.LoadReport{}, false
}

// AnsweringUpstream returns nothing: upstreams do not name themselves.
func (ownDialect) AnsweringUpstream(http.Header) messenger.UpstreamID { return "" }

// Notice returns nothing: upstreams announce stops and pauses when polled.
func (ownDialect) Notice(int, http.Header) Notice { return Notice{} }

// AddResponseHeaders adds the request's id and whether it ran.
func (ownDialect) AddResponseHeaders(h http.Header, req *Request, run messenger.RunState) {
	h.Set(messenger.RunHeader, string(run))
	h.Set(messenger.RequestIDHeader, req.WireID)
}

// WriteProblem responds with a problem document.
func (ownDialect) WriteProblem(w http.ResponseWriter, req *Request, p explainer.Document) error {
	return writeProblem(w, p, req.WireID)
}

// Traits returns the zero Traits.
func (ownDialect) Traits() Traits { return Traits{} }

// RetryBudget limits how many requests are sent more than once.
type RetryBudget interface {
	// Earn records the first attempt of a request for a pool.
	Earn(messenger.PoolID)
	// Spend takes one retry from the pool's budget and reports whether one was left.
	Spend(messenger.PoolID) bool
	// Postpone counts a retry that was taken at a given time as taken now.
	Postpone(pool messenger.PoolID, taken time.Time)
}
