package dispatcher

import (
	"net/http"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"lentilwood.example/lentilwood/internal/governor"
)

// Errors of an exchange. Their texts are values of the log field "cause".
var (
	errCanceled       = merry.Sentinel("exchange canceled")
	errNoUpstream     = merry.Sentinel("upstream not known, or not to be used any more")
	errNoPermit       = merry.Sentinel("upstream is cold, and the request has no permit for it or a late one")
	errStrayResponse  = merry.Sentinel("upstream answered another request and closed")
	errUnexpectedData = merry.Sentinel("upstream closed or answered before it was asked")
	errNothingWritten = merry.Sentinel("connection accepted no byte of the request")
	errResetAfterEnd  = merry.Sentinel("upstream reset the connection after the end of its response")
	errProtocolSwitch = merry.Sentinel("upstream switched protocols")
	errNoRecorder     = merry.Sentinel("no store for idempotency keys")
	errNoOlderConn    = merry.Sentinel("no idle connection opened early enough")
	errNoSocket       = merry.Sentinel("connection is no socket")
	errNoMemory       = merry.Sentinel("no memory for the head of the response")
	errCallerGone     = merry.Sentinel("caller left before the request was written")
)

// upstreamRequest is a request as written to an upstream.
type upstreamRequest struct {
	address     string
	method, uri string
	header      http.Header
	body        []byte
	// newConn requests a new connection instead of an idle one.
	newConn bool
	// openedBefore, if not zero, requests an idle connection opened before that time. The
	// exchange fails if there is none.
	openedBefore time.Time
	// ownsResponse, if set, reports from status and header whether a response belongs to
	// the request. Responses before it that do not are skipped. reused is true if the
	// connection carried other requests before.
	ownsResponse func(status int, h http.Header, reused bool) bool
	// checkBeforeWrite, if set, returns why the request must no longer be written, or
	// nil. It is called right before each write, from another goroutine than that of the
	// request.
	checkBeforeWrite func() error
}

// checkWritable returns why the request must no longer be written, or nil.
func (o *upstreamRequest) checkWritable() error {
	if o.checkBeforeWrite == nil {
		return nil
	}
	return o.checkBeforeWrite()
}

// transport performs exchanges with upstreams. Start does not block; its results are
// delivered to the exchange.
type transport interface {
	Start(x *exchange, out *upstreamRequest)
	// Retire closes the idle connections to an address.
	Retire(address string)
	Close()
}

// exchange is one HTTP exchange with an upstream. The transport fills it and the
// goroutine of the request reads it.
type exchange struct {
	// updated is signaled when the state of the exchange has changed.
	updated chan<- struct{}
	// maxBuffered is the number of body bytes at which the transport pauses reading.
	maxBuffered int
	// memory, if set, is charged for the body bytes that were not polled yet.
	memory *governor.Governor

	mu sync.Mutex
	// sent is true if bytes of the request may have been sent.
	sent bool
	// writeStartedAt is when writing the request last began.
	writeStartedAt time.Time
	canceled       bool
	// lingering is true once the request has its response. Later bytes are discarded.
	lingering bool
	done      bool
	err       error
	status    int
	header    http.Header
	body      []byte
	paused    bool
	// suspect is true if another connection to the same upstream was found dead.
	suspect bool
	// closeDelimited is true if only the end of the connection ends the body.
	closeDelimited bool
	// endedAt is when the end of the connection was received, for a body that only it ends;
	// zero if unknown.
	endedAt time.Time
	// reused is true if the connection carried other requests before. unanswered is true if such
	// a connection broke off before any part of a response, although the request, or a part of
	// it, may have arrived.
	reused, unanswered bool
	control            control
}

// control holds the functions through which an exchange controls the transport; each may
// be nil.
type control struct {
	// stop ends the exchange's I/O; resume continues reading after a pause.
	stop, resume func()
	// linger limits the wait for the end of the HTTP body after the last event of a stream.
	linger func()
	// open reports whether the connection is known to be open: its end has not arrived.
	open func() bool
	// unread reports whether bytes have arrived that were not read yet.
	unread func() bool
}

// exchangeUpdate is the state of an exchange, with the body bytes since the last poll.
type exchangeUpdate struct {
	sent, done, suspect, closeDelimited bool
	reused, unanswered                  bool
	writeStartedAt, endedAt             time.Time
	err                                 error
	status                              int
	header                              http.Header
	body                                []byte
}

// poll returns the state of the exchange and the body bytes received since the last call.
// If readBody is false, the body stays in the exchange.
func (x *exchange) poll(readBody bool) exchangeUpdate {
	x.mu.Lock()
	u := exchangeUpdate{
		sent: x.sent, writeStartedAt: x.writeStartedAt, status: x.status, header: x.header, err: x.err,
		suspect: x.suspect, closeDelimited: x.closeDelimited, reused: x.reused, unanswered: x.unanswered,
		endedAt: x.endedAt,
	}
	x.suspect = false
	var resume func()
	if readBody {
		u.body = x.takeBody()
		if x.paused && !x.done {
			x.paused = false
			resume = x.control.resume
		}
	}
	u.done = x.done && len(x.body) == 0
	x.mu.Unlock()
	if resume != nil {
		resume()
	}
	return u
}

// markSent records that bytes of the request may be written from now on. It returns false
// if the exchange was canceled; no bytes may be written then.
func (x *exchange) markSent(now time.Time) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.canceled {
		return false
	}
	x.sent, x.writeStartedAt = true, now
	return true
}

// setControl sets the functions that control the transport. It returns false if the
// exchange was canceled.
func (x *exchange) setControl(c control) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.control = c
	return !x.canceled
}

// detach removes the control functions when the connection no longer belongs to the
// exchange. It returns false if the exchange was canceled.
func (x *exchange) detach() bool { return x.setControl(control{}) }

// linger gives the transport a short time to read the end of the HTTP body after the
// response is complete for the caller, so that the connection can be reused.
func (x *exchange) linger() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.lingering = true
	x.takeBody()
	if x.control.linger != nil {
		x.control.linger() // under the lock, so that the connection still belongs to the exchange
	}
	if x.paused && x.control.resume != nil {
		x.paused = false
		x.control.resume()
	}
}

// isLingering reports whether the response is complete for the caller.
func (x *exchange) isLingering() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.lingering
}

// setReused records whether the connection carried other requests before.
func (x *exchange) setReused(reused bool) {
	x.mu.Lock()
	x.reused = reused
	x.mu.Unlock()
}

// setUnanswered records that a connection that carried other requests before broke off before any
// part of a response.
func (x *exchange) setUnanswered() {
	x.mu.Lock()
	x.unanswered = true
	x.mu.Unlock()
}

// setHead stores the status and header of the response, and whether only the end of the
// connection ends its body.
func (x *exchange) setHead(status int, header http.Header, closeDelimited bool) {
	x.mu.Lock()
	x.status, x.header, x.closeDelimited = status, header, closeDelimited
	x.mu.Unlock()
	x.signal()
}

// addBody appends a copy of p to the body. It returns false if the transport must pause
// until its resume function is called.
func (x *exchange) addBody(p []byte) bool {
	x.mu.Lock()
	if x.canceled || x.lingering {
		x.mu.Unlock()
		return x.lingering
	}
	before := cap(x.body)
	x.body = append(x.body, p...)
	x.charge(cap(x.body) - before)
	x.paused = len(x.body) >= x.maxBuffered
	more := !x.paused
	x.mu.Unlock()
	x.signal()
	return more
}

// setEndedAt records when the end of the connection was received. Only the first call counts.
func (x *exchange) setEndedAt(t time.Time) {
	x.mu.Lock()
	if x.endedAt.IsZero() {
		x.endedAt = t
	}
	x.mu.Unlock()
}

// takeBody removes and returns the body bytes. The caller holds x.mu.
func (x *exchange) takeBody() []byte {
	p := x.body
	x.body = nil
	x.charge(-cap(p))
	return p
}

// charge charges n bytes to the memory account.
func (x *exchange) charge(n int) {
	if x.memory != nil && n != 0 {
		x.memory.Charge(governor.KindReadAhead, int64(n))
	}
}

// finish ends the exchange. Only the first call sets the error.
func (x *exchange) finish(err error) {
	x.mu.Lock()
	if !x.done {
		x.done, x.err = true, err
	}
	x.mu.Unlock()
	x.signal()
}

// failure returns the error that ended the exchange. It is nil if the exchange succeeded
// or has not ended.
func (x *exchange) failure() error {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.err
}

// cancel cancels the exchange on behalf of the request. It reports whether bytes of the
// request may have been sent; none are sent afterwards.
func (x *exchange) cancel() bool {
	x.mu.Lock()
	x.canceled = true
	if !x.done {
		x.done, x.err = true, errCanceled
	}
	x.takeBody()
	stop, sent := x.control.stop, x.sent
	x.control = control{}
	x.mu.Unlock()
	if stop != nil {
		stop()
	}
	return sent
}

// markSuspect makes the request verify that its connection still works.
func (x *exchange) markSuspect() {
	x.mu.Lock()
	x.suspect = true
	x.mu.Unlock()
	x.signal()
}

// signal notifies the request of an update without blocking.
func (x *exchange) signal() {
	select {
	case x.updated <- struct{}{}:
	default:
	}
}
