package dispatcher

import (
	"net/http"
	"time"

	"lentilwood.example/lentilwood/internal/explainer"
	"lentilwood.example/lentilwood/internal/messenger"
)

// AttemptInfo says for which attempt of a request a header is written.
type AttemptInfo struct {
	// Upstream is where the attempt goes.
	Upstream messenger.UpstreamID
	// TimeLeft is how much longer the caller waits; zero means without an end.
	TimeLeft time.Duration
	// Resumed is true if the stream goes on after the event LastEvent.
	Resumed   bool
	LastEvent uint64
	// FetchFrom is the address of an engine that is expected to keep parts of
	// the prompt; "" means none.
	FetchFrom string
}

// Dialect is how a platform's upstreams and callers word what HTTP leaves
// open: the headers of requests and answers, and the statuses of refusals.
type Dialect interface {
	// RequestHeader returns the header of an attempt as the upstream is to
	// see it.
	RequestHeader(req *Request, out AttemptInfo) http.Header
	// AnsweredRequestID returns the id of the request that an answer belongs to.
	AnsweredRequestID(answer http.Header) string
	// Declined reports whether an upstream says that it did not run the request.
	Declined(status int, answer http.Header) bool
	// Signed reports whether an answer bears what its upstream signs its successes with;
	// always, if upstreams sign nothing.
	Signed(answer http.Header) bool
	// Load returns what an answer says of the upstream's load.
	Load(answer http.Header) (messenger.LoadReport, bool)
	// Notice returns what the head of an answer says of its upstream's wishes.
	Notice(status int, answer http.Header) Notice
	// AddResponseHeaders adds to an answer what the caller is told about it.
	AddResponseHeaders(h http.Header, req *Request, run messenger.RunState)
	// WriteProblem answers a caller that gets no upstream's answer.
	WriteProblem(w http.ResponseWriter, req *Request, p explainer.Document) error
	// Traits returns what else differs between dialects.
	Traits() Traits
}

// Notice is what an upstream says of itself with an answer, whatever request the answer
// belongs to. The zero value says nothing.
type Notice struct {
	// Leaving is true if the upstream is about to stop.
	Leaving bool
	// Pause is how long it wants to be sent nothing; zero means that it does not say.
	Pause time.Duration
}

// Traits are the differences between dialects that are no matter of wording.
type Traits struct {
	// ResendsStreams is true if a broken stream goes on by sending the request
	// to an upstream again with its last event; otherwise the engine that runs
	// it is asked for the rest.
	ResendsStreams bool
	// FramedStreams is true if a stream is whole when its message is; otherwise
	// an engine's last event says so.
	FramedStreams bool
	// CloseCancels is true if upstreams stop a request when its connection
	// closes; otherwise an engine is told to stop a stream.
	CloseCancels bool
	// AbortsBrokenResponses is true if a broken answer ends by cutting the caller's
	// connection; otherwise by an event that says so.
	AbortsBrokenResponses bool
	// AllowsCloseDelimited is true if an answer without a length is whole when its
	// connection ends in order.
	AllowsCloseDelimited bool
	// ReusesConnections is true if requests that must not be repeated may use
	// a kept connection.
	ReusesConnections bool
	// KeepsSilentAttempts is true if an upstream's silence ends no attempt before another
	// upstream goes on with the request.
	KeepsSilentAttempts bool
}

// ownDialect is lentilwood's own interface towards callers and upstreams.
type ownDialect struct{}

// RequestHeader passes the caller's headers on, without those for lentilwood.
func (ownDialect) RequestHeader(req *Request, _ AttemptInfo) http.Header { return upstreamHeader(req) }

// AnsweredRequestID returns the fleet's request id, which upstreams repeat.
func (ownDialect) AnsweredRequestID(answer http.Header) string {
	return answer.Get(messenger.RequestIDHeader)
}

// Declined is always false: no answer of an upstream proves that it did not run.
func (ownDialect) Declined(int, http.Header) bool { return false }

// Signed is always true: upstreams sign nothing.
func (ownDialect) Signed(http.Header) bool { return true }

// Load finds nothing: upstreams tell their load when they are polled.
func (ownDialect) Load(http.Header) (messenger.LoadReport, bool) {
	return messenger.LoadReport{}, false
}

// Notice finds nothing: upstreams tell their wishes when they are polled.
func (ownDialect) Notice(int, http.Header) Notice { return Notice{} }

// AddResponseHeaders states whether the request ran, and its id.
func (ownDialect) AddResponseHeaders(h http.Header, req *Request, run messenger.RunState) {
	h.Set(messenger.RunHeader, string(run))
	h.Set(messenger.RequestIDHeader, req.WireID)
}

// WriteProblem answers with a problem document.
func (ownDialect) WriteProblem(w http.ResponseWriter, req *Request, p explainer.Document) error {
	return writeProblem(w, p, req.WireID)
}

// Traits returns the zero Traits.
func (ownDialect) Traits() Traits { return Traits{} }

// RetryBudget bounds the requests that are sent more than once.
type RetryBudget interface {
	// Earn notes the first attempt of a request for a pool.
	Earn(messenger.PoolID)
	// Spend takes one further attempt from what the pool may have, and reports
	// whether there was one.
	Spend(messenger.PoolID) bool
}
