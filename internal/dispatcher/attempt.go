package dispatcher

import (
	"errors"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"lentilwood.example/lentilwood/internal/messenger"
	"lentilwood.example/lentilwood/internal/tracker"
)

const (
	// readAheadBytes is how many bytes of a response a transport reads ahead.
	readAheadBytes = 32 << 10
	// maxSilentPeriods is how many consecutive progress timeouts an upstream that answers
	// health probes may stay silent before it sends the head of its response.
	maxSilentPeriods = 3
	// suspectTimeoutDivisor divides the progress timeout of a connection after another
	// connection to the same upstream was found dead.
	suspectTimeoutDivisor = 4
)

// attempt is the sending of the request to one upstream.
type attempt struct {
	upstream messenger.UpstreamID
	policy   messenger.UpstreamPolicy
	hedge    bool
	// fetchFrom is the upstream that may hold cached parts of the prompt.
	fetchFrom messenger.UpstreamID
	// writeBy is until when the request may be written if the upstream is cold; zero means not at
	// all.
	writeBy time.Time

	exchange *exchange
	// chosenAt is when the upstream was looked up for the exchange.
	chosenAt time.Time
	// writtenAt is when writing the request last began, valid if sent is set.
	writtenAt time.Time
	// sent is true once the outcome tracker knows that bytes may have been sent.
	sent bool
	// selected is true for the attempt whose response is relayed.
	selected bool
	// resuming is true while the rest of the stream is being requested.
	resuming bool
	resumes  int
	// retryPermit is when the retry that the attempt uses was last counted; zero if it uses none. It
	// is given back if nothing is sent.
	retryPermit time.Time
	// retryDenied is true if the budget had no room for an arrival after the attempt.
	retryDenied bool
	// sameUpstream is true if the request is sent to the upstream of the attempt before.
	sameUpstream bool
	// declined is true if the upstream stated that it did not run the request.
	declined bool
	// timedOut is true if the last exchange ended because the upstream was silent.
	timedOut bool
	// probe checks over another connection whether the upstream is alive.
	probe         *exchange
	silentPeriods int
	// unreadExcused is true once the attempt's deadline was extended, since its last progress,
	// because bytes had arrived that were not read yet.
	unreadExcused bool

	status   int
	header   http.Header
	stream   *streamState
	buffered []byte
	// countedTokens is the number of tokens seen in the stream, reportedTokens the number
	// that the engine reports.
	countedTokens, reportedTokens float64

	// beingReplaced is true while another attempt is to take over. Its slot is then already freed.
	beingReplaced bool

	// move is the transfer of the stream to another engine in progress. moved is true
	// once the stream comes from that engine. nextMoveAt is when the next transfer may
	// start.
	move       *move
	moved      bool
	nextMoveAt time.Time

	// headAt is when the head of the response was handled.
	headAt, lastProgressAt, deadline time.Time
	// outputReported is true once the first output was reported as evidence that the parts of
	// the prompt are sound.
	outputReported bool
	// brokeOffBegun is true once a connection of the attempt broke off after the head of a
	// response and before any output.
	brokeOffBegun bool
	// endCheck is set once a response without a length has ended with its connection.
	endCheck *endCheck
	// openUntil is when the connection of a response without a length was last known to be open.
	// witnessed is true once another connection to its upstream was asked for.
	openUntil time.Time
	witnessed bool
}

// tokens returns the number of tokens that the upstream produced, as far as known.
func (at *attempt) tokens() float64 { return max(at.countedTokens, at.reportedTokens) }

// upstreamWithdrawn reports whether the attempt ended because its upstream was no longer
// to be used, or not for this request. That does not count as a failure of the upstream.
func (at *attempt) upstreamWithdrawn() bool {
	cause := at.exchange.failure()
	return errors.Is(cause, errNoUpstream) || errors.Is(cause, errNoPermit)
}

// recordProgress records activity of the upstream and extends the attempt's deadline.
func (at *attempt) recordProgress(now time.Time, timeout time.Duration) {
	at.lastProgressAt, at.deadline, at.unreadExcused = now, now.Add(timeout), false
}

// processAttempts handles the updates of every exchange.
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

// isOpen reports whether the attempt is still open.
func (f *inflightRequest) isOpen(at *attempt) bool {
	for _, open := range f.attempts {
		if open == at {
			return true
		}
	}
	return false
}

// processAttempt handles the bytes and the state changes of an attempt's exchange.
func (f *inflightRequest) processAttempt(at *attempt) {
	u := at.exchange.poll(f.mayReadMore(at))
	if u.sent && !at.sent {
		f.recordSend(at)
	}
	if u.sent {
		at.writtenAt = u.writeStartedAt
		f.result.MaxWriteDelay = max(f.result.MaxWriteDelay, u.writeStartedAt.Sub(at.chosenAt))
	}
	if u.suspect {
		at.deadline = earlier(at.deadline, at.lastProgressAt.Add(f.progressTimeout()/suspectTimeoutDivisor))
	}
	if u.status != 0 && at.header == nil {
		if !f.handleHead(at, u) {
			return
		}
	}
	f.watchUnframed(at, u)
	if len(u.body) > 0 && !f.handleBody(at, u.body) {
		return
	}
	f.updateMove(at)
	if f.isOpen(at) && (u.done || at.stream.isComplete()) {
		f.handleExchangeEnd(at, u)
	}
}

// mayReadMore reports whether the caller's buffer has room for more of the response. While
// the buffer is full, the response is not read, so the upstream must not count as silent.
func (f *inflightRequest) mayReadMore(at *attempt) bool {
	if at.stream == nil || f.relay.HasRoom() {
		return true
	}
	at.stream.lastEventAt = time.Time{}
	at.recordProgress(f.now(), f.progressTimeout())
	return false
}

// handleHead checks the head of a response. It returns false if the attempt ended.
func (f *inflightRequest) handleHead(at *attempt, u exchangeUpdate) bool {
	if !f.isOwnHead(u) {
		f.handleStrayResponse(at.upstream, at.policy.Address, u.status, u.header)
		f.log("wrongAnswer").WithFields(logrus.Fields{
			"upstream": at.upstream, "status": u.status, "answersTo": f.d.dialect.AnsweredRequestID(u.header),
		}).Warn("response belongs to another request")
		f.attemptFailed(at, ProblemWrongAnswer, false)
		return false
	}
	f.reportLoad(at, u.header)
	f.d.notify(at.upstream, at.policy.Address, f.noticeOf(at, u))
	if f.d.dialect.Declined(u.status, u.header) {
		f.handleDeclined(at)
		return false
	}
	at.status, at.header, at.headAt = u.status, u.header, f.now()
	at.recordProgress(f.now(), f.progressTimeout())
	f.cancelProbe(at)
	if at.resuming {
		return f.handleResumeHead(at)
	}
	if f.responseStarted && !f.canContinueStream(u) {
		f.attemptFailed(at, ProblemStreamBroken, false)
		return false
	}
	retryable := retryableStatus(u.status) || f.d.traits.ResendsStreams && u.status >= http.StatusInternalServerError
	if retryable && (f.mayRetry() || f.replacedAttempt() != nil) {
		f.attemptFailed(at, ProblemUpstreamFailed, false)
		return false
	}
	if u.status == http.StatusOK && isEventStream(u.header) {
		at.stream = f.newStream(at)
	}
	switch {
	case at.beingReplaced && at.stream != nil: // only an event shows that the upstream goes on
	case at.beingReplaced:
		f.keepReplaced(at)
	case f.outcome.State() != tracker.Answered:
		f.selectAttempt(at)
	}
	return f.isOpen(at)
}

// selectAttempt selects the attempt whose response is relayed and cancels the others.
func (f *inflightRequest) selectAttempt(at *attempt) {
	at.selected = true
	f.track(responseEvent(at.status))
	if old := f.replacedAttempt(); old != nil {
		f.endReplaced(old)
	}
	f.cancelOtherAttempts(at)
}

// cancelOtherAttempts cancels every attempt but the selected one. A hedge may have
// started while the selected stream was being resumed.
func (f *inflightRequest) cancelOtherAttempts(at *attempt) {
	for _, other := range append([]*attempt(nil), f.attempts...) {
		if other != at {
			f.cancelAttempt(other)
		}
	}
}

// handleExchangeEnd handles the end of an exchange.
func (f *inflightRequest) handleExchangeEnd(at *attempt, u exchangeUpdate) {
	if errors.Is(u.err, errCallerGone) {
		f.endUnwrittenAttempt(at)
		return
	}
	endedCleanly := u.err == nil && u.done && at.header != nil && (!u.closeDelimited || f.acceptsCloseDelimited(at))
	if endedCleanly && u.closeDelimited {
		if !f.isEndKnown(at, u) {
			return
		}
		endedCleanly = f.sentByLivingProcess(at, u)
	}
	if at.stream.isComplete() || endedCleanly && (at.stream == nil || at.stream.endsCleanly()) {
		f.completeAttempt(at)
		return
	}
	if f.resendOnNewConnection(at, u) {
		return
	}
	name := ProblemUpstreamFailed
	if at.stream != nil {
		name = ProblemStreamBroken
	}
	f.attemptFailed(at, name, true)
}

// acceptsCloseDelimited reports whether a response without a length may be complete once its
// connection closes. For a stream without any event, the close proves nothing.
func (f *inflightRequest) acceptsCloseDelimited(at *attempt) bool {
	return f.d.traits.AllowsCloseDelimited && (at.stream == nil || at.countedTokens > 0)
}

// attemptFailed handles an attempt that did not yield a complete response: it resumes the
// stream, retries, or ends the request. If resumable is false, it does not try to resume.
func (f *inflightRequest) attemptFailed(at *attempt, problem string, resumable bool) {
	entry := f.log("attemptFailed").WithFields(logrus.Fields{
		"upstream": at.upstream, "problem": problem, "status": at.status, "sent": at.sent,
		"silentMs": f.now().Sub(at.lastProgressAt).Milliseconds(), "events": at.countedTokens,
		"parts": f.parts,
	})
	// A complete response with an error status has no further cause: the status is already
	// logged.
	if cause := at.exchange.failure(); cause != nil {
		entry = entry.WithField("cause", cause)
	}
	entry.Info("attempt failed")
	f.reportEndedProcess(at)
	f.reportBreak(at, problem == ProblemUpstreamSilent)
	if at.selected && f.outcome.State() == tracker.Answered {
		f.track(tracker.Break)
	}
	if resumable && f.resume(at, arrivalResume) {
		return
	}
	f.closeAttempt(at, true)
	if len(f.attempts) == 0 && f.mayRetry() && f.mayRepeat(at) && (!at.sent && f.d.traits.ResendsStreams || !at.retryDenied && f.admitArrival(arrivalRetry, at)) {
		f.scheduleRetry(at)
		return
	}
	f.reportEnd(at, !at.upstreamWithdrawn())
	if len(f.attempts) == 0 {
		f.fail(problem)
	}
}

// mayRetry reports whether the request may be sent to another upstream.
func (f *inflightRequest) mayRetry() bool {
	if f.callerGone || f.unnumbered || f.deadlinePassed() || len(f.attempts) > 1 || f.retries+1 >= f.d.cfg.MaxAttempts {
		return false
	}
	if f.req.MaxSends > 0 && f.sends >= f.req.MaxSends {
		return false
	}
	return f.outcome.MaySend()
}

// scheduleRetry requests another upstream after a short delay.
func (f *inflightRequest) scheduleRetry(at *attempt) {
	f.retries++
	f.failedAttempt = at
	f.retryAt = f.now()
	if f.retries > 1 {
		f.retryAt = f.retryAt.Add(f.d.jitter(retryDelay(f.retries)))
	}
	f.requestRetry()
}

// requestRetry asks the scheduler for another upstream once the retry delay is over.
func (f *inflightRequest) requestRetry() {
	if f.failedAttempt == nil || f.now().Before(f.retryAt) {
		return
	}
	at := f.failedAttempt
	f.failedAttempt = nil
	f.reportFinish(at.upstream, at.tokens(), !at.upstreamWithdrawn(), true)
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
