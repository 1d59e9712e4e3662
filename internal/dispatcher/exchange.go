package dispatcher

import (
	"net/http"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
)

// Errors of an exchange.
var (
	errCanceled       = merry.Sentinel("exchange canceled")
	errNoUpstream     = merry.Sentinel("upstream not known, or not to be used any more")
	errStrayResponse  = merry.Sentinel("upstream answered another request and closed")
	errUnexpectedData = merry.Sentinel("upstream closed or answered before it was asked")
	errProtocolSwitch = merry.Sentinel("upstream switched protocols")
	errNoRecorder     = merry.Sentinel("no store for idempotency keys")
	errCallerGone     = merry.Sentinel("caller left before the request was written")
)

// upstreamRequest is a request as it is written to an upstream.
type upstreamRequest struct {
	address     string
	method, uri string
	header      http.Header
	body        []byte
	// newConn asks for a new connection instead of an idle one.
	newConn bool
	// noResend is true if the request must not be sent a second time, even if the
	// connection turns out to be dead.
	noResend bool
	// ownsResponse, if set, reports by status and header whether an answer belongs to the
	// request; others that come before it are skipped. Kept is true if the connection
	// carried other requests before.
	ownsResponse func(status int, h http.Header, kept bool) bool
	// checkBeforeWrite, if set, returns why the request is not to be written any more, or nil. It
	// is asked right before each time that it is written, on another goroutine than that
	// of the request.
	checkBeforeWrite func() error
}

// checkWritable returns why a request is not to be written any more, or nil.
func (o *upstreamRequest) checkWritable() error {
	if o.checkBeforeWrite == nil {
		return nil
	}
	return o.checkBeforeWrite()
}

// transport carries exchanges to upstreams. Start does not block; what comes
// of it is found in the exchange.
type transport interface {
	Start(x *exchange, out *upstreamRequest)
	// Retire closes the idle connections to an address.
	Retire(address string)
	Close()
}

// exchange is one HTTP exchange with an upstream. A transport fills it, the
// goroutine of the request drains it.
type exchange struct {
	// updated gets a token whenever there is something new.
	updated chan<- struct{}
	// maxBuffered is the most body bytes to hold before the transport pauses.
	maxBuffered int

	mu   sync.Mutex
	sent bool
	// writtenAt is when the request was last begun to be written.
	writtenAt time.Time
	canceled  bool
	done      bool
	err       error
	status    int
	header    http.Header
	body      []byte
	paused    bool
	// suspect is true if another connection to the same upstream was found
	// dead.
	suspect bool
	// closeDelimited is true if only the end of the connection ends the body.
	closeDelimited bool
	// reused is true if the connection carried other requests before.
	reused  bool
	control control
}

// control is how an exchange steers the transport's work; each may be nil.
type control struct {
	// stop ends the work, resume lets it read on after a pause.
	stop, resume func()
	// linger bounds the wait for the end of a body whose content is whole.
	linger func()
}

// exchangeUpdate is what an exchange brought since the last look.
type exchangeUpdate struct {
	sent, done, suspect, closeDelimited, reused bool
	writtenAt                                   time.Time
	err                                         error
	status                                      int
	header                                      http.Header
	body                                        []byte
}

// poll returns the state of the exchange and the body bytes that came since
// the last call. With room false the body stays where it is.
func (x *exchange) poll(readBody bool) exchangeUpdate {
	x.mu.Lock()
	p := exchangeUpdate{
		sent: x.sent, writtenAt: x.writtenAt, status: x.status, header: x.header, err: x.err,
		suspect: x.suspect, closeDelimited: x.closeDelimited, reused: x.reused,
	}
	x.suspect = false
	var resume func()
	if readBody {
		p.body, x.body = x.body, nil
		if x.paused && !x.done {
			x.paused = false
			resume = x.control.resume
		}
	}
	p.done = x.done && len(x.body) == 0
	x.mu.Unlock()
	if resume != nil {
		resume()
	}
	return p
}

// markSent notes that bytes of the request may leave from now on. It returns
// false if the exchange was canceled, and then none may.
func (x *exchange) markSent(now time.Time) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.canceled {
		return false
	}
	x.sent, x.writtenAt = true, now
	return true
}

// setControl gives the exchange the means to steer the transport's work. It
// returns false if the exchange was canceled.
func (x *exchange) setControl(c control) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.control = c
	return !x.canceled
}

// detach gives up the means to steer the transport's work, once its
// connection is no longer the exchange's. It returns false if the exchange was
// canceled.
func (x *exchange) detach() bool { return x.setControl(control{}) }

// linger lets the transport finish a body whose content is whole already, for
// a short time, so that its connection can be used again.
func (x *exchange) linger() {
	x.mu.Lock()
	linger := x.control.linger
	x.mu.Unlock()
	if linger != nil {
		linger()
	}
}

// setReused notes whether the connection carried other requests before.
func (x *exchange) setReused(reused bool) {
	x.mu.Lock()
	x.reused = reused
	x.mu.Unlock()
}

// setHead notes the status line and header of the answer, and whether only the
// end of the connection will end its body.
func (x *exchange) setHead(status int, header http.Header, closeDelimited bool) {
	x.mu.Lock()
	x.status, x.header, x.closeDelimited = status, header, closeDelimited
	x.mu.Unlock()
	x.signal()
}

// addBody notes body bytes, which are copied. It returns false if the
// transport is to pause until its resume function is called.
func (x *exchange) addBody(p []byte) bool {
	x.mu.Lock()
	x.body = append(x.body, p...)
	x.paused = len(x.body) >= x.maxBuffered
	more := !x.paused
	x.mu.Unlock()
	x.signal()
	return more
}

// finish ends the exchange; only the first call counts.
func (x *exchange) finish(err error) {
	x.mu.Lock()
	if !x.done {
		x.done, x.err = true, err
	}
	x.mu.Unlock()
	x.signal()
}

// failure returns why the exchange ended, or nil if it did not or ended well.
func (x *exchange) failure() error {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.err
}

// cancel ends the exchange from the side of the request. It returns whether a
// byte of the request may have left; none does after it.
func (x *exchange) cancel() bool {
	x.mu.Lock()
	x.canceled = true
	if !x.done {
		x.done, x.err = true, errCanceled
	}
	stop, sent := x.control.stop, x.sent
	x.control = control{}
	x.mu.Unlock()
	if stop != nil {
		stop()
	}
	return sent
}

// markSuspect asks the request to check that the connection still works.
func (x *exchange) markSuspect() {
	x.mu.Lock()
	x.suspect = true
	x.mu.Unlock()
	x.signal()
}

func (x *exchange) signal() {
	select {
	case x.updated <- struct{}{}:
	default:
	}
}
