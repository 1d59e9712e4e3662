package dispatcher

import (
	"context"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"lentilwood.example/lentilwood/internal/messenger"
	"lentilwood.example/lentilwood/internal/recorder"
	"lentilwood.example/lentilwood/internal/relayer"
	"lentilwood.example/lentilwood/internal/tracker"
)

// drainPollInterval is how often the buffer of a slow caller is checked.
const drainPollInterval = 10 * time.Millisecond

// inflightRequest is the state of one request in Serve. Only the goroutine that called
// Serve accesses it.
type inflightRequest struct {
	d      *Dispatcher
	req    *Request
	queue  Queue
	caller Caller

	outcome *tracker.Tracker
	relay   *relayer.Stream
	// exchangeUpdated is signaled when the state of an exchange has changed.
	exchangeUpdated chan struct{}
	attempts        []*attempt
	// pendingDispatch is the Dispatch that waits for the idempotency key to be claimed.
	pendingDispatch *messenger.Dispatch
	claim           recorder.Claim
	claimResults    chan claimResult
	// claiming is true while the result of a claim is outstanding.
	claiming bool
	// outcomeToRecord is the response as it will be recorded under the idempotency key.
	outcomeToRecord recorder.Outcome
	// failedAttempt is an attempt that failed and will be retried. At retryAt the scheduler
	// is asked for an upstream to replace it.
	retryAt       time.Time
	failedAttempt *attempt
	retries       int
	// retryPermit is when a retry was taken from the budget that no attempt has used yet; zero if
	// there is none. It is set while the scheduler is asked for another upstream.
	retryPermit time.Time
	// takeoverCheckAt is when to check next how long a replaced attempt and the one that is to
	// take over have both been open.
	takeoverCheckAt time.Time
	// sends counts the upstreams that may have received the request. One that may have received it
	// twice, over two connections, counts once.
	sends int
	// parts are the shared parts of the prompt, trial those of them that are quarantined and
	// tried by this request. recheck is signaled when a quarantine has begun.
	parts, trial []messenger.ContentID
	recheck      chan struct{}
	// lastEvent is the id of the last event that the caller received; valid if
	// hasLastEvent is set.
	lastEvent    uint64
	hasLastEvent bool
	// unnumbered is true if the caller received events of which none had an id. No other upstream
	// can continue after them.
	unnumbered bool

	// deadline is when the caller stops waiting. Zero means that there is no deadline, or
	// that it has passed and handleDeadline has handled it.
	deadline time.Time
	timer    <-chan time.Time
	timerDue time.Time
	// timerExpectedAt is when the timer should fire: timerDue, or when it was set if that had
	// passed. standstill is the last known standstill of the router's VM.
	timerExpectedAt time.Time
	standstill      Standstill
	// callerProgressAt is when the caller last read some of the bytes waiting for it.
	// callerSentBytes is the number of bytes sent at the last check.
	callerProgressAt time.Time
	callerSentBytes  int

	// callerGone is set once nothing more is written to the caller, responseStarted once
	// a response head was written, and concluded once only buffered bytes remain to be
	// sent.
	callerGone, responseStarted, concluded bool
	result                                 Result
}

func newInflightRequest(d *Dispatcher, req *Request, q Queue, c Caller) *inflightRequest {
	return &inflightRequest{
		d: d, req: req, queue: q, caller: c, deadline: req.Arrive.Deadline,
		outcome: newTracker(req), lastEvent: req.LastEvent, hasLastEvent: req.HasLastEvent,
		relay:           relayer.NewStream(c, d.cfg.BufferBudget, d.cfg.RelayLimits),
		exchangeUpdated: make(chan struct{}, 1),
		claimResults:    make(chan claimResult, 1),
		parts:           req.Arrive.SharedParts(), recheck: make(chan struct{}, 1),
	}
}

// run is the request's event loop. It returns once the request has ended and its response
// has been sent.
func (f *inflightRequest) run(ctx context.Context) {
	defer f.relay.Close()
	defer f.endTrial()
	f.enqueue()
	actions, done, stop := f.queue.Actions(), f.caller.Done(), ctx.Done()
	for !f.finished() {
		f.setTimer()
		select {
		case a, ok := <-actions:
			if !ok {
				actions = nil
				continue
			}
			f.handleAction(ctx, a)
		case <-f.exchangeUpdated:
			f.processAttempts()
		case r := <-f.claimResults:
			f.handleClaim(r)
		case <-f.recheck:
			f.recheckQuarantine()
		case <-f.timer:
			f.timer = nil
			f.handleTimer()
		case <-done:
			done = nil
			f.handleCallerGone()
		case <-stop:
			stop = nil
			f.shutDown()
		}
	}
	f.finalize(actions)
}

// finished reports whether the request has ended and no bytes wait for the caller.
func (f *inflightRequest) finished() bool {
	return f.concluded && (f.callerGone || !f.relay.HasQueued())
}

// finalize fills in the result. It also reports a Finish for every Dispatch that was still
// queued when the request ended.
func (f *inflightRequest) finalize(actions <-chan messenger.Action) {
	f.result.Run = f.outcome.RunState()
	f.result.Sends = f.sends
	f.result.FinishedAt = f.now()
	if f.result.Run == messenger.StateUnknown {
		f.d.counters.UnknownOutcomes.Add(1)
	}
	for actions != nil {
		select {
		case a, ok := <-actions:
			if d, isDispatch := a.(messenger.Dispatch); isDispatch {
				f.reportFinish(d.Upstream, 0, false, false)
			}
			if !ok {
				return
			}
		default:
			return
		}
	}
}

func (f *inflightRequest) now() time.Time { return f.d.cfg.Clock.Now() }

// track passes an event to the outcome tracker. An event that the tracker rejects is a
// bug.
func (f *inflightRequest) track(e tracker.Event) {
	if err := f.outcome.Handle(e); err != nil {
		f.log("outcomeOrder").WithError(err).Error("outcome tracker rejected the event")
	}
}

// log returns a log entry for an event of this request.
func (f *inflightRequest) log(event string) *logrus.Entry {
	return f.d.cfg.Log.WithFields(logrus.Fields{"event": event, "request": f.req.WireID, "account": f.req.Arrive.Account})
}

// reportFinish notifies the scheduler that an attempt has ended, which frees its slot.
func (f *inflightRequest) reportFinish(upstream messenger.UpstreamID, tokens float64, failed, retry bool) {
	f.queue.Notify(messenger.Finish{Request: f.req.ID, Upstream: upstream, Tokens: tokens, Failed: failed, Retry: retry})
}

// handleAction executes a decision of the scheduler.
func (f *inflightRequest) handleAction(ctx context.Context, a messenger.Action) {
	switch a := a.(type) {
	case messenger.Refuse:
		if f.concluded || len(f.attempts) > 0 || f.pendingDispatch != nil {
			return
		}
		f.result.Grounds = a.Grounds
		f.refuse(string(a.Reason), a.RetryAfter)
	case messenger.Dispatch:
		f.handleDispatch(ctx, a)
	}
}

// handleDispatch starts an attempt, after claiming the idempotency key if there is one.
func (f *inflightRequest) handleDispatch(ctx context.Context, a messenger.Dispatch) {
	if !f.callerGone && f.caller.Disconnected() {
		f.reportFinish(a.Upstream, 0, false, false)
		f.handleCallerGone()
		return
	}
	if a.Replaces != "" && !f.beginTakeover(a) {
		f.reportUnused(a)
		return
	}
	expired := f.deadlinePassed()
	if f.concluded || f.callerGone || expired || f.pendingDispatch != nil || !f.outcome.MaySend() {
		f.reportUnused(a)
		f.endAfterUnusedDispatch(expired)
		return
	}
	if !f.mayDispatch(a) {
		return
	}
	if f.needsClaim() && f.claim.Status != recorder.Claimed {
		f.pendingDispatch = &a
		f.startClaim(ctx)
		return
	}
	policy, known := f.d.cfg.Upstreams.Upstream(a.Upstream)
	f.startAttempt(a, policy, known && f.mayServe(policy))
}

// endAfterUnusedDispatch ends a request whose Dispatch was not used, unless an attempt, a
// claim or a retry is still in progress.
func (f *inflightRequest) endAfterUnusedDispatch(expired bool) {
	if f.concluded || len(f.attempts) > 0 || f.pendingDispatch != nil || f.failedAttempt != nil {
		return
	}
	if expired {
		f.refuse(string(messenger.RefuseDeadline), 0)
		return
	}
	f.fail(ProblemOutcomeUnknown)
}

// startAttempt starts an attempt at an upstream. It fails at once if the upstream is
// unknown.
func (f *inflightRequest) startAttempt(a messenger.Dispatch, policy messenger.UpstreamPolicy, known bool) {
	at := &attempt{upstream: a.Upstream, policy: policy, hedge: a.Hedge, fetchFrom: a.FetchFrom, writeBy: a.WriteBy}
	if !f.takeRetryPermit(at) {
		if a.Replaces != "" {
			f.cancelRetry() // the scheduler has given up that upstream and would not answer
		}
		f.reportUnused(a)
		f.endAfterUnusedDispatch(false)
		return
	}
	f.cancelRetry()
	if a.Hedge {
		f.d.counters.Hedges.Add(1)
	} else {
		f.result.Attempts++
	}
	if f.result.DispatchedAt.IsZero() {
		f.result.DispatchedAt = f.now()
		f.d.budget.Earn(f.req.Arrive.Pool)
	}
	f.logColdSend(a, policy)
	f.openAttempt(at, known)
}

// preWriteCheck returns a function that returns why the request must no longer be
// written, or nil. The upstream may be withdrawn while a connection to it is being opened,
// or while the connection that the request was written to is closing.
func (f *inflightRequest) preWriteCheck(at *attempt) func() error {
	permit := coldPermit{writeBy: at.writeBy}
	return func() error {
		if f.caller.Disconnected() {
			return errCallerGone
		}
		current, known := f.d.cfg.Upstreams.Upstream(at.upstream)
		if !known || current.Address != at.policy.Address || current.Pool != at.policy.Pool || current.SoftwareVersion != at.policy.SoftwareVersion {
			return errNoUpstream
		}
		return permit.use(f.now(), current)
	}
}

// startExchange starts an exchange for an attempt.
func (f *inflightRequest) startExchange(at *attempt, out *upstreamRequest) {
	at.exchange = &exchange{updated: f.exchangeUpdated, maxBuffered: readAheadBytes, memory: f.d.cfg.Memory}
	at.chosenAt = f.now()
	at.recordProgress(at.chosenAt, f.progressTimeout())
	f.d.live.add(out.address, at.exchange)
	f.d.transport.Start(at.exchange, out)
}

// progressTimeout returns how long an upstream may currently stay silent.
func (f *inflightRequest) progressTimeout() time.Duration {
	if f.result.FirstOutputAt.IsZero() && f.req.FirstOutputTimeout > 0 {
		return f.req.FirstOutputTimeout
	}
	if f.req.Class.ProgressTimeout > 0 {
		return f.req.Class.ProgressTimeout
	}
	return DefaultProgressTimeout
}

// deadlinePassed reports whether the caller's deadline has passed.
func (f *inflightRequest) deadlinePassed() bool {
	return !f.deadline.IsZero() && !f.now().Before(f.deadline)
}

// cancelAllAttempts cancels every open attempt and frees its slot.
func (f *inflightRequest) cancelAllAttempts() {
	f.cancelRetry()
	for len(f.attempts) > 0 {
		f.cancelAttempt(f.attempts[0])
	}
}

// cancelRetry finishes a failed attempt that was waiting to be retried, because another
// attempt has started or none is wanted.
func (f *inflightRequest) cancelRetry() {
	if f.failedAttempt != nil {
		f.reportFinish(f.failedAttempt.upstream, f.failedAttempt.tokens(), !f.failedAttempt.upstreamWithdrawn(), false)
		f.failedAttempt = nil
	}
}

// refuse responds to a request that the scheduler did not dispatch.
func (f *inflightRequest) refuse(reason string, retryAfter time.Duration) {
	p := newProblem(reason, f.outcome.RunState())
	p.RetryAfter = retryAfter
	gone := reason == string(messenger.RefuseVersionGone) // for good, if no time is given
	if p.Run == messenger.StateNotRun && p.Status != http.StatusNotFound && retryAfter <= 0 && !gone {
		p.RetryAfter = time.Second
	}
	f.endWithProblem(reason, p)
}

// fail ends the request with a problem document instead of an upstream's response.
func (f *inflightRequest) fail(name string) {
	run := f.outcome.RunState()
	p := newProblem(name, run)
	if run == messenger.StateNotRun || f.req.Arrive.Idempotent || f.needsClaim() {
		p.RetryAfter = time.Second
	}
	f.endWithProblem(name, p)
}

// conclude ends the request. Bytes already buffered for the caller are still sent.
func (f *inflightRequest) conclude(e tracker.Event) {
	if f.concluded {
		return
	}
	if !f.outcome.Ended() {
		f.track(e)
	}
	f.concluded = true
	f.callerProgressAt = f.now()
	f.cancelRetry()
	f.finishClaim()
}
