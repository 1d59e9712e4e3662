package dispatcher

import (
	"bytes"
	"net/http"
	"strconv"

	"lentilwood.example/lentilwood/internal/messenger"
	"lentilwood.example/lentilwood/internal/tracker"
)

// What follows serves dialects whose upstreams say that they did not run a
// request, and whose streams go on at another upstream after their last event.

// newTracker returns the tracker of a request.
func newTracker(req *Request) *tracker.Tracker {
	if req.Resumable {
		return tracker.NewResumable()
	}
	return tracker.New(req.Arrive.Idempotent)
}

// noteSent notes that bytes of the request may have reached an upstream.
func (f *inflightRequest) recordSend(at *attempt) {
	at.sent = true
	f.sends++
	f.track(tracker.FirstByte)
}

// requestHeader returns the header of an attempt.
func (f *inflightRequest) requestHeader(at *attempt) http.Header {
	out := AttemptInfo{Upstream: at.upstream, Resumed: f.hasLastEvent, LastEvent: f.lastEvent}
	if at.fetchFrom != "" {
		if source, ok := f.d.cfg.Upstreams.Upstream(at.fetchFrom); ok {
			out.FetchFrom = source.Address
		}
	}
	if !f.deadline.IsZero() {
		out.TimeLeft = f.deadline.Sub(f.now())
	}
	return f.d.dialect.RequestHeader(f.req, out)
}

// answersTo returns what tells the request's answers from others, or nil if
// the dialect has no use for it. One without an id is another's too if others may be due
// on its connection.
func (f *inflightRequest) responseFilter(upstream messenger.UpstreamID, address string) func(int, http.Header, bool) bool {
	if !f.d.traits.ReusesConnections {
		return nil
	}
	return func(status int, h http.Header, kept bool) bool {
		id := f.d.dialect.AnsweredRequestID(h)
		if id == f.req.WireID || id == "" && !kept {
			return true
		}
		f.handleStrayResponse(upstream, address, status, h)
		return false
	}
}

// strayed notes an answer to another request. That its upstream leaves holds all the
// same; what else it says may be long past.
func (f *inflightRequest) handleStrayResponse(upstream messenger.UpstreamID, address string, status int, h http.Header) {
	f.d.counters.WrongAnswers.Add(1)
	f.d.notify(upstream, address, Notice{Leaving: f.d.dialect.Notice(status, h).Leaving})
}

// mine reports whether the head of an answer belongs to the request: by its id, or, for a
// refusal without one, as the first answer on a connection on which nothing else was due.
func (f *inflightRequest) isOwnHead(p exchangeUpdate) bool {
	id := f.d.dialect.AnsweredRequestID(p.header)
	return id == f.req.WireID || id == "" && !p.reused && f.d.dialect.Declined(p.status, p.header)
}

// notify passes on what an answer says of its upstream's wishes, if it says anything.
func (d *Dispatcher) notify(upstream messenger.UpstreamID, address string, n Notice) {
	if d.cfg.OnNotice != nil && n != (Notice{}) {
		d.cfg.OnNotice(upstream, address, n)
	}
}

// learnLoad passes on what an answer says of its upstream's load.
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

// declined goes on after an upstream said that it did not run the request: at
// another upstream, or with a refusal that says so.
func (f *inflightRequest) handleDeclined(at *attempt) {
	at.declined = true
	f.log("declined").WithField("upstream", at.upstream).Info("upstream did not run the request")
	f.closeAttempt(at, false)
	if len(f.attempts) > 0 {
		f.reportFinish(at.upstream, 0, true, false)
		return
	}
	if f.mayRetry() && f.takeRetry() {
		f.scheduleRetry(at)
		return
	}
	f.reportFinish(at.upstream, 0, true, false)
	f.refuse(string(messenger.RefuseNoUpstream), 0)
}

// goesOn reports whether an answer can be the rest of a stream of which the
// caller has the beginning.
func (f *inflightRequest) canContinueStream(p exchangeUpdate) bool {
	encoded := p.header.Get("Content-Encoding") != ""
	return p.status == http.StatusOK && isEventStream(p.header) && !encoded && f.d.dialect.Signed(p.header)
}

// mayFailOver reports whether another upstream may be given the request while
// one that has it is silent.
func (f *inflightRequest) mayFailOver() bool {
	return (f.req.Arrive.Idempotent || f.req.Resumable) && len(f.attempts) == 1 &&
		(f.req.Resumable || !f.outcome.Delivered()) && !f.callerGone && !f.deadlinePassed() && f.retries+1 < f.d.cfg.MaxAttempts &&
		(f.req.MaxSends == 0 || f.sends < f.req.MaxSends)
}

// askElsewhere asks for another upstream than one that is silent. What runs goes on until
// there is one: silence alone ends no answer.
func (f *inflightRequest) requestFailover(at *attempt) {
	if !f.mayFailOver() {
		return
	}
	f.failoverRequested = f.failoverRequested || f.d.spendRetry(f.req.Arrive.Pool)
	f.queue.Notify(messenger.Silent{Request: f.req.ID, Upstream: at.upstream, Elsewhere: f.failoverRequested})
}

// takeRetry takes one retry from the budget, unless one was taken for a silent upstream.
func (f *inflightRequest) takeRetry() bool {
	if f.failoverRequested {
		f.failoverRequested = false
		return true
	}
	return f.d.spendRetry(f.req.Arrive.Pool)
}

// makeWay ends the attempt in whose place a is to begin, and reports whether a may begin. What
// has come in by now counts: a stream that can't go on elsewhere may be under way again.
func (f *inflightRequest) replaceAttempt(a messenger.Dispatch) bool {
	defer func() { f.failoverRequested = false }()
	for _, at := range f.attempts {
		if at.upstream != a.Instead {
			continue
		}
		f.processAttempt(at)
		if !f.isOpen(at) {
			return true
		}
		if !f.mayFailOver() {
			return false
		}
		f.logResend(at)
		f.retries++
		if at.selected && f.outcome.State() == tracker.Answered {
			f.track(tracker.Break)
		}
		f.closeAttempt(at, true)
		return true
	}
	return true
}

// framedEvents relays the whole events of a stream that ends with its message. Bytes
// that complete no new event are no sign of life: an upstream that stalled may still
// send some now and then, or without end.
func (f *inflightRequest) handleFramedEvents(at *attempt, p []byte) bool {
	s := at.stream
	out, count, ok := s.takeFramedEvents(p)
	s.bytesSinceEvent += len(p)
	if count > 0 {
		s.bytesSinceEvent = 0
	}
	ok = ok && s.bytesSinceEvent <= maxEventBytes
	first := len(out) > 0 && f.result.FirstOutputAt.IsZero()
	f.deliver(at, out)
	f.lastEvent, f.hasLastEvent = s.lastEventID, s.hasLastEventID
	at.countedTokens += float64(count)
	if first {
		f.result.FirstOutputAt = f.now()
	}
	if count > 0 {
		at.recordProgress(f.now(), f.progressTimeout())
	}
	if first || !s.firstReported && len(out) > 0 {
		s.firstReported = true
		f.queue.Notify(messenger.Progress{Request: f.req.ID, Tokens: float64(count), First: true})
	}
	if !ok {
		f.attemptFailed(at, ProblemStreamBroken, true)
		return f.isOpen(at)
	}
	return true
}

// takeFramed returns the bytes of the whole events that p completes, without
// those that the caller has, and the number of those that bring something new. It
// returns false if an event is missing before one of them, or if what follows numbered
// events has no number: text of another kind is no part of the stream.
func (s *streamState) takeFramedEvents(p []byte) (out []byte, count int, ok bool) {
	s.splitter.rest = append(s.splitter.rest, p...)
	rest := s.splitter.rest
	for {
		n := eventEnd(rest)
		if n == 0 {
			break
		}
		id, has := eventID(rest[:n])
		if !has && s.hasLastEventID && !isCommentOrRetry(rest[:n]) {
			return out, count, false
		}
		keep := !has || !s.hasLastEventID || id > s.lastEventID
		if has && s.hasLastEventID && id > s.lastEventID+1 {
			return out, count, false
		}
		if keep {
			out = append(out, rest[:n]...)
		}
		if keep && has {
			s.lastEventID, s.hasLastEventID = id, true
		}
		if keep && (has || bytes.Contains(rest[:n], dataField)) {
			count++
		}
		rest = rest[n:]
	}
	s.splitter.rest = append(s.splitter.rest[:0], rest...)
	return out, count, len(rest) <= maxEventBytes
}

// aside reports whether an event says nothing of the stream: it is made up of comments
// and of the time after which to come back.
func isCommentOrRetry(event []byte) bool {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		line = bytes.TrimSuffix(line, []byte("\r"))
		if len(line) > 0 && line[0] != ':' && !bytes.HasPrefix(line, retryField) {
			return false
		}
	}
	return true
}

// retryField begins a line with the time after which a caller is to come back.
var retryField = []byte("retry:")

// dataField begins a line with the content of an event.
var dataField = []byte("data:")

// eventID returns the number of an event.
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
