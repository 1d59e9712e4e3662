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

// drainPoll is how often a caller that reads slowly is looked at.
const drainPollInterval = 10 * time.Millisecond

// flight is one request in the hands of Serve. All of it belongs to the
// goroutine that called Serve.
type inflightRequest struct {
	d      *Dispatcher
	req    *Request
	queue  Queue
	caller Caller

	outcome         *tracker.Tracker
	relay           *relayer.Stream
	exchangeUpdated chan struct{}
	attempts        []*attempt
	// pending is a Dispatch that waits for the claim of the key.
	pendingDispatch *messenger.Dispatch
	claim           recorder.Claim
	claimResults    chan claimResult
	// claiming is true while the answer to a claim is awaited.
	claiming bool
	// kept is the answer as it goes into the record of the key.
	outcomeToRecord recorder.Outcome
	// retryAt is when the failed attempt in retry is given back for another.
	retryAt       time.Time
	failedAttempt *attempt
	retries       int
	// asked is true while another upstream than a silent one is asked for, with a retry
	// taken from the budget.
	failoverRequested bool
	// sends counts the upstreams that may have been given the request.
	sends int
	// lastEvent is the last event of the stream that the caller has.
	lastEvent    uint64
	hasLastEvent bool

	// deadline is when the caller stops waiting; zero means never, or that it
	// was told so.
	deadline time.Time
	timer    <-chan time.Time
	timerDue time.Time
	// slowSince is when the caller last took something of what waits for it.
	callerProgressAt time.Time
	callerSentBytes  int

	// gone is true once the caller has left, answered once the answer has
	// begun, over once nothing is left to do but to drain.
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
	}
}

// run is the life of a request.
func (f *inflightRequest) run(ctx context.Context) {
	defer f.relay.Close()
	f.queue.Notify(f.req.Arrive)
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

// finished reports whether nothing is left to do, drained callers included.
func (f *inflightRequest) finished() bool {
	return f.concluded && (f.callerGone || !f.relay.HasQueued())
}

// end fills in the result and answers what crossed the end of the request.
func (f *inflightRequest) finalize(actions <-chan messenger.Action) {
	f.result.Run = f.outcome.RunState()
	f.result.Sends = f.sends
	f.result.FinishedAt = f.now()
	if f.result.Run == messenger.Unknown {
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

// note tells the outcome of an event that the flight knows to be possible.
func (f *inflightRequest) track(e tracker.Event) {
	if err := f.outcome.Handle(e); err != nil {
		f.log("outcomeOrder").WithError(err).Error("outcome event refused")
	}
}

// log returns the log entry of an event of this request.
func (f *inflightRequest) log(event string) *logrus.Entry {
	return f.d.cfg.Log.WithFields(logrus.Fields{"event": event, "request": f.req.WireID, "account": f.req.Arrive.Account})
}

func (f *inflightRequest) reportFinish(upstream messenger.UpstreamID, tokens float64, failed, retry bool) {
	f.queue.Notify(messenger.Finish{Request: f.req.ID, Upstream: upstream, Tokens: tokens, Failed: failed, Retry: retry})
}

// act carries out what the scheduler decided.
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

// dispatch opens an attempt, after the key was claimed if there is one.
func (f *inflightRequest) handleDispatch(ctx context.Context, a messenger.Dispatch) {
	if !f.callerGone && f.caller.Disconnected() {
		f.reportFinish(a.Upstream, 0, false, false)
		f.handleCallerGone()
		return
	}
	if a.Instead != "" && !f.replaceAttempt(a) {
		f.reportFinish(a.Upstream, 0, false, false)
		return
	}
	late := f.deadlinePassed()
	if f.concluded || f.callerGone || late || f.pendingDispatch != nil || !f.outcome.MaySend() {
		f.reportFinish(a.Upstream, 0, false, false)
		f.endAfterUnusedDispatch(late)
		return
	}
	if f.needsClaim() && f.claim.Status != recorder.Claimed {
		f.pendingDispatch = &a
		f.startClaim(ctx)
		return
	}
	policy, known := f.d.cfg.Upstreams.Upstream(a.Upstream)
	f.startAttempt(a, policy, known)
}

// denied ends a request whose Dispatch was not used, if nothing else goes on.
func (f *inflightRequest) endAfterUnusedDispatch(late bool) {
	if f.concluded || len(f.attempts) > 0 || f.pendingDispatch != nil || f.failedAttempt != nil {
		return
	}
	if late {
		f.refuse(string(messenger.RefuseDeadline), 0)
		return
	}
	f.fail(ProblemOutcomeUnknown)
}

// open starts an attempt at an upstream. One that is not known fails at once.
func (f *inflightRequest) startAttempt(a messenger.Dispatch, policy messenger.UpstreamPolicy, known bool) {
	f.cancelRetry()
	f.track(tracker.Open)
	if a.Hedge {
		f.d.counters.Hedges.Add(1)
	} else {
		f.result.Attempts++
	}
	if f.result.DispatchedAt.IsZero() {
		f.result.DispatchedAt = f.now()
		f.d.budget.Earn(f.req.Arrive.Pool)
	}
	at := &attempt{upstream: a.Upstream, policy: policy, hedge: a.Hedge, fetchFrom: a.FetchFrom}
	f.attempts = append(f.attempts, at)
	if !known {
		at.recordProgress(f.now(), f.progressTimeout())
		at.exchange = &exchange{updated: f.exchangeUpdated}
		at.exchange.finish(errNoUpstream)
		return
	}
	f.startExchange(at, &upstreamRequest{
		address: policy.Address, method: f.req.Method, uri: f.req.URI,
		header: f.requestHeader(at), body: f.req.Body,
		newConn:  f.needsNewConnection(),
		noResend: !f.req.Arrive.Idempotent, ownsResponse: f.responseFilter(a.Upstream, policy.Address), checkBeforeWrite: f.preWriteCheck(a.Upstream, policy),
	})
}

// needsNewConnection reports whether the request may not go over a kept connection. If
// it has no id, only its connection tells its answer from others.
func (f *inflightRequest) needsNewConnection() bool {
	return f.retries > 0 || f.req.WireID == "" || !f.req.Arrive.Idempotent && !f.d.traits.ReusesConnections
}

// withheld returns what tells whether a request is still to be written: news of its upstream
// may come while a connection is opened, or while the one that it was written to ends.
func (f *inflightRequest) preWriteCheck(id messenger.UpstreamID, chosen messenger.UpstreamPolicy) func() error {
	return func() error {
		if f.caller.Disconnected() {
			return errCallerGone
		}
		now, known := f.d.cfg.Upstreams.Upstream(id)
		if !known || now.Address != chosen.Address || now.Pool != chosen.Pool {
			return errNoUpstream
		}
		return nil
	}
}

// start begins an exchange of an attempt.
func (f *inflightRequest) startExchange(at *attempt, out *upstreamRequest) {
	at.exchange = &exchange{updated: f.exchangeUpdated, maxBuffered: readAheadBytes}
	at.chosenAt = f.now()
	at.recordProgress(at.chosenAt, f.progressTimeout())
	f.d.live.add(out.address, at.exchange)
	f.d.transport.Start(at.exchange, out)
}

// progressTimeout returns how long an upstream may be silent now.
func (f *inflightRequest) progressTimeout() time.Duration {
	if f.result.FirstOutputAt.IsZero() && f.req.FirstOutputTimeout > 0 {
		return f.req.FirstOutputTimeout
	}
	if f.req.Class.ProgressTimeout > 0 {
		return f.req.Class.ProgressTimeout
	}
	return DefaultProgressTimeout
}

// late reports whether the caller's deadline has passed.
func (f *inflightRequest) deadlinePassed() bool {
	return !f.deadline.IsZero() && !f.now().Before(f.deadline)
}

// leave notes that the caller is gone. Work that nobody waits for is ended,
// except what may not be repeated: its outcome is still worth recording.
func (f *inflightRequest) handleCallerGone() {
	f.callerGone = true
	if f.concluded {
		f.result.CallerGone = f.result.CallerGone || f.relay.HasQueued()
		f.result.Aborted = f.result.Aborted || f.relay.HasQueued()
		return
	}
	f.result.CallerGone, f.result.Aborted = true, true
	f.d.counters.CallersGone.Add(1)
	if f.pendingDispatch != nil {
		return
	}
	if len(f.attempts) == 0 && f.failedAttempt == nil {
		f.queue.Notify(messenger.Abandon{Request: f.req.ID})
		f.conclude(tracker.Refuse)
		return
	}
	if f.continuesWithoutCaller() {
		return
	}
	f.cancelAllAttempts()
	f.conclude(tracker.Refuse)
}

// keepsRunning reports whether the work goes on without its caller.
func (f *inflightRequest) continuesWithoutCaller() bool {
	for _, at := range f.attempts {
		if !f.req.Arrive.Idempotent && !at.policy.Engine && !f.d.traits.CloseCancels {
			return true
		}
	}
	return false
}

// stop ends the request because the router does.
func (f *inflightRequest) shutDown() {
	if f.concluded {
		f.callerGone = true
		f.result.Aborted = f.result.Aborted || f.relay.HasQueued()
		return
	}
	if len(f.attempts) == 0 && f.failedAttempt == nil && f.pendingDispatch == nil {
		f.queue.Notify(messenger.Abandon{Request: f.req.ID})
	}
	if f.pendingDispatch != nil {
		f.reportFinish(f.pendingDispatch.Upstream, 0, false, false)
		f.pendingDispatch = nil
	}
	f.cancelAllAttempts()
	f.fail(ProblemShuttingDown)
}

// dropAll ends every open attempt and frees its slot.
func (f *inflightRequest) cancelAllAttempts() {
	f.cancelRetry()
	for len(f.attempts) > 0 {
		f.cancelAttempt(f.attempts[0])
	}
}

// dropRetry gives back a failed attempt that waited to be placed again, once
// another runs or none is wanted.
func (f *inflightRequest) cancelRetry() {
	if f.failedAttempt != nil {
		f.reportFinish(f.failedAttempt.upstream, f.failedAttempt.tokens(), !f.failedAttempt.upstreamWithdrawn(), false)
		f.failedAttempt = nil
	}
}

// refuse answers a request that the scheduler did not dispatch.
func (f *inflightRequest) refuse(reason string, after time.Duration) {
	p := newProblem(reason, f.outcome.RunState())
	p.RetryAfter = after
	if p.Run == messenger.NotRun && p.Status != http.StatusNotFound && after <= 0 {
		p.RetryAfter = time.Second
	}
	f.endWithProblem(reason, p)
}

// fail ends the request without an upstream's answer.
func (f *inflightRequest) fail(name string) {
	run := f.outcome.RunState()
	p := newProblem(name, run)
	if run == messenger.NotRun || f.req.Arrive.Idempotent || f.needsClaim() {
		p.RetryAfter = time.Second
	}
	f.endWithProblem(name, p)
}

// conclude ends the request.
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
	f.recordClaim()
}
