package dispatcher

import (
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"lentilwood.example/lentilwood/internal/messenger"
	"lentilwood.example/lentilwood/internal/tracker"
)

const (
	// exchangeBytes is how much of an answer a transport reads ahead.
	readAheadBytes = 32 << 10
	// maxSilentPeriods is how many progress timeouts in a row an upstream that
	// answers its probes may take before the head of its answer.
	maxSilentPeriods = 3
	// suspectShare is the part of the progress timeout after which a silent
	// connection is given up once another to the same upstream was found dead.
	suspectTimeoutDivisor = 4
)

// attempt is one upstream that was given the request.
type attempt struct {
	upstream messenger.UpstreamID
	policy   messenger.UpstreamPolicy
	hedge    bool
	// fetchFrom is the upstream that may keep parts of the prompt.
	fetchFrom messenger.UpstreamID

	exchange *exchange
	// chosen is when the upstream was looked up for the exchange.
	chosenAt time.Time
	// sent is true once the outcome knows that bytes may have left.
	sent bool
	// won is true for the attempt whose answer is relayed.
	selected bool
	// resuming is true while the rest of the stream is asked for.
	resuming bool
	resumes  int
	// declined is true if the upstream says that it did not run the request.
	declined bool
	// mute is true while the last exchange ended by silence.
	timedOut bool
	// probe asks over another connection whether the upstream lives.
	probe         *exchange
	silentPeriods int

	status   int
	header   http.Header
	stream   *streamState
	buffered []byte
	// counted are the tokens seen in the stream, reported what the engine says
	// that it produced.
	countedTokens, reportedTokens float64

	// move carries the stream to another engine; moved is true once it came
	// from there, moveAfter when the next try may begin.
	move       *move
	moved      bool
	nextMoveAt time.Time

	lastProgressAt, deadline time.Time
}

// tokens returns what the upstream produced, as far as it is known.
func (at *attempt) tokens() float64 { return max(at.countedTokens, at.reportedTokens) }

// withheld reports whether the attempt ended because its upstream was not to be used: that is
// no failure of the upstream.
func (at *attempt) upstreamWithdrawn() bool { return errors.Is(at.exchange.failure(), errNoUpstream) }

// progressed notes a sign of life.
func (at *attempt) recordProgress(now time.Time, timeout time.Duration) {
	at.lastProgressAt, at.deadline = now, now.Add(timeout)
}

// pump looks at what every exchange brought.
func (f *inflightRequest) processAttempts() {
	for _, at := range append([]*attempt(nil), f.attempts...) {
		if f.concluded {
			break
		}
		f.processProbe(at)
		if f.isOpen(at) {
			f.processAttempt(at)
		}
	}
	f.drainCaller()
}

// holds reports whether the attempt is still open.
func (f *inflightRequest) isOpen(at *attempt) bool {
	for _, open := range f.attempts {
		if open == at {
			return true
		}
	}
	return false
}

func (f *inflightRequest) processAttempt(at *attempt) {
	p := at.exchange.poll(f.mayReadMore(at))
	if p.sent && !at.sent {
		f.recordSend(at)
	}
	if p.sent {
		f.result.MaxWriteDelay = max(f.result.MaxWriteDelay, p.writtenAt.Sub(at.chosenAt))
	}
	if p.suspect {
		at.deadline = earlier(at.deadline, at.lastProgressAt.Add(f.progressTimeout()/suspectTimeoutDivisor))
	}
	if p.status != 0 && at.header == nil {
		if !f.handleHead(at, p) {
			return
		}
	}
	if len(p.body) > 0 && !f.handleBody(at, p.body) {
		return
	}
	f.updateMove(at)
	if f.isOpen(at) && (p.done || at.stream.isComplete()) {
		f.handleExchangeEnd(at, p)
	}
}

// room reports whether more of the answer may be read. While it may not, the
// upstream waits and is not held to be silent.
func (f *inflightRequest) mayReadMore(at *attempt) bool {
	if at.stream == nil || f.relay.HasRoom() {
		return true
	}
	at.recordProgress(f.now(), f.progressTimeout())
	return false
}

// head checks the head of an answer. It returns false if the attempt ended.
func (f *inflightRequest) handleHead(at *attempt, p exchangeUpdate) bool {
	if !f.isOwnHead(p) {
		f.handleStrayResponse(at.upstream, at.policy.Address, p.status, p.header)
		f.log("wrongAnswer").WithFields(logrus.Fields{
			"upstream": at.upstream, "status": p.status, "answersTo": f.d.dialect.AnsweredRequestID(p.header),
		}).Warn("answer to another request")
		f.attemptFailed(at, ProblemWrongAnswer, false)
		return false
	}
	f.reportLoad(at, p.header)
	f.d.notify(at.upstream, at.policy.Address, f.d.dialect.Notice(p.status, p.header))
	if f.d.dialect.Declined(p.status, p.header) {
		f.handleDeclined(at)
		return false
	}
	at.status, at.header = p.status, p.header
	at.recordProgress(f.now(), f.progressTimeout())
	f.cancelProbe(at)
	if at.resuming {
		return f.handleResumeHead(at)
	}
	if f.responseStarted && !f.canContinueStream(p) {
		f.attemptFailed(at, ProblemStreamBroken, false)
		return false
	}
	if (retryableStatus(p.status) || f.d.traits.ResendsStreams && p.status >= http.StatusInternalServerError) && f.mayRetry() {
		f.attemptFailed(at, ProblemUpstreamFailed, false)
		return false
	}
	if f.outcome.State() != tracker.Answered {
		f.selectAttempt(at)
	}
	if p.status == http.StatusOK && isEventStream(p.header) {
		at.stream = f.newStream(at)
	}
	return f.isOpen(at)
}

// win makes at the attempt that answers and drops the others.
func (f *inflightRequest) selectAttempt(at *attempt) {
	at.selected = true
	f.track(responseEvent(at.status))
	f.cancelOtherAttempts(at)
}

// dropOthers ends every attempt but the one that answers. A copy may have begun
// while the answer was asked for again.
func (f *inflightRequest) cancelOtherAttempts(at *attempt) {
	for _, other := range append([]*attempt(nil), f.attempts...) {
		if other != at {
			f.cancelAttempt(other)
		}
	}
}

// answerEvent tells an answer that proves that the request ran from one that
// does not.
func responseEvent(status int) tracker.Event {
	if status == http.StatusTooManyRequests || status >= http.StatusInternalServerError {
		return tracker.Decline
	}
	return tracker.Answer
}

// busy reports whether an upstream that answers with status may be asked
// again elsewhere.
func retryableStatus(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusBadGateway,
		http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	}
	return false
}

func isEventStream(h http.Header) bool {
	return strings.HasPrefix(strings.ToLower(h.Get("Content-Type")), "text/event-stream")
}

// exchangeDone notes the end of an exchange.
func (f *inflightRequest) handleExchangeEnd(at *attempt, p exchangeUpdate) {
	if errors.Is(p.err, errCallerGone) {
		f.endUnwrittenAttempt(at)
		return
	}
	endedCleanly := p.err == nil && p.done && at.header != nil && (!p.closeDelimited || f.acceptsCloseDelimited(at))
	if at.stream.isComplete() || endedCleanly && (at.stream == nil || at.stream.endsCleanly()) {
		f.completeAttempt(at)
		return
	}
	name := ProblemUpstreamFailed
	if at.stream != nil {
		name = ProblemStreamBroken
	}
	f.attemptFailed(at, name, true)
}

// endsByClosing reports whether the end of its connection ends an answer without a length.
// It proves nothing of a stream that brought no event.
func (f *inflightRequest) acceptsCloseDelimited(at *attempt) bool {
	return f.d.traits.AllowsCloseDelimited && (at.stream == nil || at.countedTokens > 0)
}

// unwanted ends an attempt whose request was not written since its caller had left.
func (f *inflightRequest) endUnwrittenAttempt(at *attempt) {
	f.closeAttempt(at, false)
	f.reportFinish(at.upstream, 0, false, false)
	if !f.callerGone {
		f.handleCallerGone()
	}
}

// attemptFailed decides what follows an attempt that brought no whole answer:
// a resume, another attempt, or the end of the request. With resumable false
// the stream is not worth asking for.
func (f *inflightRequest) attemptFailed(at *attempt, problem string, resumable bool) {
	entry := f.log("attemptFailed").WithFields(logrus.Fields{
		"upstream": at.upstream, "problem": problem, "status": at.status, "sent": at.sent,
		"silentMs": f.now().Sub(at.lastProgressAt).Milliseconds(), "events": at.countedTokens,
	})
	// A whole answer that is a failure is its own cause: its status says it.
	if cause := at.exchange.failure(); cause != nil {
		entry = entry.WithField("cause", cause)
	}
	entry.Info("attempt failed")
	if at.selected && f.outcome.State() == tracker.Answered {
		f.track(tracker.Break)
	}
	if resumable && f.resume(at) {
		return
	}
	f.closeAttempt(at, true)
	if len(f.attempts) == 0 && f.mayRetry() && (!at.sent && f.d.traits.ResendsStreams || f.takeRetry()) {
		f.scheduleRetry(at)
		return
	}
	f.reportFinish(at.upstream, at.tokens(), !at.upstreamWithdrawn(), false)
	if len(f.attempts) == 0 {
		f.fail(problem)
	}
}

// mayRetry reports whether the request may be placed again.
func (f *inflightRequest) mayRetry() bool {
	if f.callerGone || f.deadlinePassed() || len(f.attempts) > 1 || f.retries+1 >= f.d.cfg.MaxAttempts {
		return false
	}
	if f.req.MaxSends > 0 && f.sends >= f.req.MaxSends {
		return false
	}
	return f.outcome.MaySend()
}

// scheduleRetry asks for another upstream than at after a short wait.
func (f *inflightRequest) scheduleRetry(at *attempt) {
	f.retries++
	f.logResend(at)
	f.failedAttempt = at
	f.retryAt = f.now()
	if f.retries > 1 {
		f.retryAt = f.retryAt.Add(f.d.jitter(retryDelay(f.retries)))
	}
	f.requestRetry()
}

// logResend logs that another upstream than that of an attempt is to be given the request.
func (f *inflightRequest) logResend(at *attempt) {
	f.log("resend").WithFields(logrus.Fields{
		"avoid": at.upstream, "sends": f.sends, "lastEvent": f.lastEvent, "run": f.outcome.RunState(),
		"silentMs": f.now().Sub(at.lastProgressAt).Milliseconds(),
	}).Info("asking for another upstream")
}

// giveBack asks the scheduler for another upstream once the wait is over.
func (f *inflightRequest) requestRetry() {
	if f.failedAttempt == nil || f.now().Before(f.retryAt) {
		return
	}
	at := f.failedAttempt
	f.failedAttempt = nil
	f.reportFinish(at.upstream, at.tokens(), !at.upstreamWithdrawn(), true)
}

// drop ends an attempt whose answer is not wanted and frees its slot.
func (f *inflightRequest) cancelAttempt(at *attempt) {
	if at.selected && f.outcome.State() == tracker.Answered {
		f.track(tracker.Break)
	}
	f.closeAttempt(at, true)
	f.reportFinish(at.upstream, at.tokens(), false, false)
}

// close ends the exchanges of an attempt. With cancel, an engine is told to
// stop the stream.
func (f *inflightRequest) closeAttempt(at *attempt, cancel bool) {
	f.cancelProbe(at)
	f.cancelExchange(at)
	f.relay.Reserve(-len(at.buffered))
	for i, open := range f.attempts {
		if open == at {
			f.attempts = append(f.attempts[:i], f.attempts[i+1:]...)
			break
		}
	}
	if !at.sent {
		f.track(tracker.Unsent)
		return
	}
	if at.declined {
		f.track(tracker.Reject)
	} else {
		f.track(tracker.Fail)
	}
	if cancel && at.policy.Engine && !f.d.traits.CloseCancels {
		f.d.cancelStream(at.policy.Address, f.req.WireID)
	}
}

// endExchange cancels the exchange of an attempt; its connection is not used
// again unless the answer was whole.
func (f *inflightRequest) cancelExchange(at *attempt) {
	sent := at.exchange.cancel()
	f.d.live.remove(at.policy.Address, at.exchange)
	if sent && !at.sent {
		f.recordSend(at)
	}
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
