package dispatcher

import (
	"bytes"
	"net/http"
	"strconv"

	"lentilwood.example/lentilwood/internal/messenger"
	"lentilwood.example/lentilwood/internal/tracker"
)

// The functions in this file serve dialects whose upstreams can decline a request, and
// whose streams can continue at another upstream after their last event.

// newTracker returns the outcome tracker of a request.
func newTracker(req *Request) *tracker.Tracker {
	if req.Resumable {
		return tracker.NewResumable()
	}
	return tracker.New(req.Arrive.Idempotent)
}

// recordSend records that bytes of the request may have reached an upstream.
func (f *inflightRequest) recordSend(at *attempt) {
	at.sent = true
	if !at.sameUpstream {
		f.sends++
	}
	f.track(tracker.FirstByte)
}

// requestHeader returns the request header for an attempt.
func (f *inflightRequest) requestHeader(at *attempt) http.Header {
	info := AttemptInfo{Upstream: at.upstream, Resumed: f.hasLastEvent, LastEvent: f.lastEvent}
	if at.fetchFrom != "" {
		if source, ok := f.d.cfg.Upstreams.Upstream(at.fetchFrom); ok && source.SoftwareVersion == at.policy.SoftwareVersion {
			info.FetchFrom = source.Address
		}
	}
	if !f.deadline.IsZero() {
		info.TimeLeft = f.deadline.Sub(f.now())
	}
	return f.d.dialect.RequestHeader(f.req, info)
}

// responseFilter returns a function that reports whether a response belongs to the
// request, or nil if the dialect does not reuse connections. On a reused connection, a
// response without an id does not count as the request's, since responses to earlier
// requests may still be outstanding there.
func (f *inflightRequest) responseFilter(upstream messenger.UpstreamID, address string) func(int, http.Header, bool) bool {
	if !f.d.traits.ReusesConnections {
		return nil
	}
	return func(status int, h http.Header, reused bool) bool {
		id := f.d.dialect.AnsweredRequestID(h)
		if id == f.req.WireID || id == "" && !reused {
			return true
		}
		f.handleStrayResponse(upstream, address, status, h)
		return false
	}
}

// handleStrayResponse records a response to another request. If it announces that the
// upstream is leaving, the notice is passed on; its other notices may be out of date.
func (f *inflightRequest) handleStrayResponse(upstream messenger.UpstreamID, address string, status int, h http.Header) {
	f.d.counters.WrongAnswers.Add(1)
	f.d.notify(upstream, address, Notice{Leaving: f.d.dialect.Notice(status, h).Leaving})
}

// isOwnHead reports whether a response head belongs to the request. It does if it has the
// id of the request, or if it has no id but declines the request on a new connection, where
// no response to another request can be outstanding.
func (f *inflightRequest) isOwnHead(u exchangeUpdate) bool {
	id := f.d.dialect.AnsweredRequestID(u.header)
	return id == f.req.WireID || id == "" && !u.reused && f.d.dialect.Declined(u.status, u.header)
}

// notify passes a non-empty notice to OnNotice.
func (d *Dispatcher) notify(upstream messenger.UpstreamID, address string, n Notice) {
	if d.cfg.OnNotice != nil && n != (Notice{}) {
		d.cfg.OnNotice(upstream, address, n)
	}
}

// reportLoad passes the load report of a response to OnLoad.
func (f *inflightRequest) reportLoad(at *attempt, h http.Header) {
	if f.d.cfg.OnLoad == nil {
		return
	}
	if report, ok := f.d.dialect.Load(h); ok {
		report.Upstream = at.upstream
		report.Measured = f.now()
		f.d.cfg.OnLoad(report)
	}
}

// handleDeclined handles an upstream's statement that it did not run the request: the
// request is sent to another upstream or refused as not run.
func (f *inflightRequest) handleDeclined(at *attempt) {
	at.declined = true
	f.log("declined").WithField("upstream", at.upstream).Info("upstream declined the request")
	f.closeAttempt(at, false)
	if len(f.attempts) > 0 {
		f.reportEnd(at, true)
		return
	}
	if f.mayRetry() && f.admitArrival(arrivalDeclined, at) {
		f.scheduleRetry(at)
		return
	}
	f.reportFinish(at.upstream, 0, true, false)
	f.refuse(string(messenger.RefuseNoUpstream), 0)
}

// canContinueStream reports whether a response can be the rest of a stream that the
// caller has partly received.
func (f *inflightRequest) canContinueStream(u exchangeUpdate) bool {
	encoded := u.header.Get("Content-Encoding") != ""
	return u.status == http.StatusOK && isEventStream(u.header) && !encoded && f.d.dialect.Signed(u.header)
}

// mayFailOver reports whether the request may be sent to another upstream while the
// current one is silent.
func (f *inflightRequest) mayFailOver() bool {
	return (f.req.Arrive.Idempotent || f.req.Resumable) && len(f.attempts) == 1 &&
		(f.req.Resumable || !f.outcome.Delivered()) && !f.unnumbered && !f.callerGone && !f.deadlinePassed() && f.retries+1 < f.d.cfg.MaxAttempts &&
		(f.req.MaxSends == 0 || f.sends < f.req.MaxSends)
}

// requestFailover asks the scheduler for an upstream to replace a silent one. The current
// attempt continues until the replacement has taken over, because a silent upstream may still
// complete its response.
func (f *inflightRequest) requestFailover(at *attempt) {
	if !f.mayFailOver() {
		return
	}
	f.queue.Notify(messenger.UpstreamSilent{Request: f.req.ID, Upstream: at.upstream, CanMove: f.admitArrival(arrivalFailover, at)})
}

// handleFramedEvents relays complete events of a stream that ends with its HTTP message.
// Bytes that complete no new event do not count as progress, because a stalled upstream
// may still send such bytes, intermittently or continuously.
func (f *inflightRequest) handleFramedEvents(at *attempt, p []byte) bool {
	s := at.stream
	out, count, ok := s.takeFramedEvents(p)
	s.bytesSinceEvent += len(p)
	if count > 0 {
		s.bytesSinceEvent = 0
	}
	ok = ok && s.bytesSinceEvent <= maxEventBytes && f.chargeEvents()
	if at.beingReplaced && count > 0 {
		f.keepReplaced(at)
	} else if at.beingReplaced {
		out = nil // nothing but events shows that the upstream goes on
	}
	first := len(out) > 0 && f.result.FirstOutputAt.IsZero()
	f.deliver(at, out)
	if f.concluded { // the caller has disconnected
		return false
	}
	f.lastEvent, f.hasLastEvent = s.lastEventID, s.hasLastEventID
	f.unnumbered = !s.hasLastEventID && (f.unnumbered || count > 0)
	at.countedTokens += float64(count)
	if count > 0 {
		f.reportOutput(at)
		f.recordStreamTime(at)
	}
	if first {
		f.result.FirstOutputAt = f.now()
	}
	if count > 0 {
		at.recordProgress(f.now(), f.progressTimeout())
	}
	if first || !s.firstEventReported && len(out) > 0 {
		s.firstEventReported = true
		f.queue.Notify(messenger.Progress{Request: f.req.ID, Tokens: float64(count), First: true})
	}
	if !ok {
		f.attemptFailed(at, ProblemStreamBroken, true)
		return f.isOpen(at)
	}
	return true
}

// takeFramedEvents returns the bytes of the events that p completes, without those that
// the caller already has, and the number of new events. It returns false if the event ids
// have a gap, or if an event without an id follows numbered events: such text is not part
// of the stream, unless it consists of comments and retry fields.
func (s *streamState) takeFramedEvents(p []byte) (out []byte, count int, ok bool) {
	s.splitter.rest = append(s.splitter.rest, p...)
	rest := s.splitter.rest
	for {
		n := eventEnd(rest)
		if n == 0 {
			break
		}
		id, hasID := eventID(rest[:n])
		if !hasID && s.hasLastEventID && !isCommentOrRetry(rest[:n]) {
			return out, count, false
		}
		isNew := !hasID || !s.hasLastEventID || id > s.lastEventID
		if hasID && s.hasLastEventID && id > s.lastEventID+1 {
			return out, count, false
		}
		if isNew {
			out = append(out, rest[:n]...)
		}
		if isNew && hasID {
			s.lastEventID, s.hasLastEventID = id, true
		}
		if isNew && (hasID || bytes.Contains(rest[:n], dataField)) {
			count++
		}
		rest = rest[n:]
	}
	s.splitter.keep(rest)
	return out, count, len(rest) <= maxEventBytes
}

// isCommentOrRetry reports whether an event carries no content: it consists only of
// comments and retry fields.
func isCommentOrRetry(event []byte) bool {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		line = bytes.TrimSuffix(line, []byte("\r"))
		if len(line) > 0 && line[0] != ':' && !bytes.HasPrefix(line, retryField) {
			return false
		}
	}
	return true
}

// retryField begins a line with the reconnection delay.
var retryField = []byte("retry:")

// dataField begins a line with the content of an event.
var dataField = []byte("data:")

// eventID returns the numeric id of an event.
func eventID(event []byte) (uint64, bool) {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		value, ok := bytes.CutPrefix(line, []byte("id:"))
		if !ok {
			continue
		}
		id, err := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 64)
		return id, err == nil
	}
	return 0, false
}
