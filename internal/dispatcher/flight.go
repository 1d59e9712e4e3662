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
const drainPoll = 10 * time.Millisecond

// flight is one request in the hands of Serve. All of it belongs to the
// goroutine that called Serve.
type flight struct {
	d     *Dispatcher
	req   *Request
	queue Queue
	c     Caller

	outcome  *tracker.Tracker
	relay    *relayer.Stream
	ready    chan struct{}
	attempts []*attempt
	// pending is a Dispatch that waits for the claim of the key.
	pending *messenger.Dispatch
	claim   recorder.Claim
	claims  chan claimResult
	// claiming is true while the answer to a claim is awaited.
	claiming bool
	// kept is the answer as it goes into the record of the key.
	kept recorder.Outcome
	// retryAt is when the failed attempt in retry is given back for another.
	retryAt time.Time
	retry   *attempt
	retries int
	// asked is true while another upstream than a silent one is asked for, with a retry
	// taken from the budget.
	asked bool
	// sends counts the upstreams that may have been given the request.
	sends int
	// lastEvent is the last event of the stream that the caller has.
	lastEvent uint64
	hasEvent  bool

	// deadline is when the caller stops waiting; zero means never, or that it
	// was told so.
	deadline time.Time
	timer    <-chan time.Time
	timerDue time.Time
	// slowSince is when the caller last took something of what waits for it.
	slowSince time.Time
	slowSent  int

	// gone is true once the caller has left, answered once the answer has
	// begun, over once nothing is left to do but to drain.
	gone, answered, over bool
	result               Result
}

func newFlight(d *Dispatcher, req *Request, q Queue, c Caller) *flight {
	return &flight{
		d: d, req: req, queue: q, c: c, deadline: req.Arrive.Deadline,
		outcome: newTracker(req), lastEvent: req.LastEvent, hasEvent: req.HasLastEvent,
		relay:  relayer.NewStream(c, d.cfg.BufferBudget, d.cfg.RelayLimits),
		ready:  make(chan struct{}, 1),
		claims: make(chan claimResult, 1),
	}
}

// run is the life of a request.
func (f *flight) run(ctx context.Context) {
	defer f.relay.Close()
	f.queue.Notify(f.req.Arrive)
	actions, done, stop := f.queue.Actions(), f.c.Done(), ctx.Done()
	for !f.finished() {
		f.arm()
		select {
		case a, ok := <-actions:
			if !ok {
				actions = nil
				continue
			}
			f.act(ctx, a)
		case <-f.ready:
			f.pump()
		case r := <-f.claims:
			f.claimed(r)
		case <-f.timer:
			f.timer = nil
			f.expire()
		case <-done:
			done = nil
			f.leave()
		case <-stop:
			stop = nil
			f.stop()
		}
	}
	f.end(actions)
}

// finished reports whether nothing is left to do, drained callers included.
func (f *flight) finished() bool {
	return f.over && (f.gone || !f.relay.HasQueued())
}

// end fills in the result and answers what crossed the end of the request.
func (f *flight) end(actions <-chan messenger.Action) {
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
				f.finish(d.Upstream, 0, false, false)
			}
			if !ok {
				return
			}
		default:
			return
		}
	}
}

func (f *flight) now() time.Time { return f.d.cfg.Clock.Now() }

// note tells the outcome of an event that the flight knows to be possible.
func (f *flight) note(e tracker.Event) {
	if err := f.outcome.Handle(e); err != nil {
		f.log("outcomeOrder").WithError(err).Error("outcome event refused")
	}
}

// log returns the log entry of an event of this request.
func (f *flight) log(event string) *logrus.Entry {
	return f.d.cfg.Log.WithFields(logrus.Fields{"event": event, "request": f.req.WireID, "account": f.req.Arrive.Account})
}

func (f *flight) finish(upstream messenger.UpstreamID, tokens float64, failed, retry bool) {
	f.queue.Notify(messenger.Finish{Request: f.req.ID, Upstream: upstream, Tokens: tokens, Failed: failed, Retry: retry})
}

// act carries out what the scheduler decided.
func (f *flight) act(ctx context.Context, a messenger.Action) {
	switch a := a.(type) {
	case messenger.Refuse:
		if f.over || len(f.attempts) > 0 || f.pending != nil {
			return
		}
		f.result.Grounds = a.Grounds
		f.refuse(string(a.Reason), a.RetryAfter)
	case messenger.Dispatch:
		f.dispatch(ctx, a)
	}
}

// dispatch opens an attempt, after the key was claimed if there is one.
func (f *flight) dispatch(ctx context.Context, a messenger.Dispatch) {
	if !f.gone && f.c.Disconnected() {
		f.finish(a.Upstream, 0, false, false)
		f.leave()
		return
	}
	if a.Instead != "" && !f.makeWay(a) {
		f.finish(a.Upstream, 0, false, false)
		return
	}
	late := f.late()
	if f.over || f.gone || late || f.pending != nil || !f.outcome.MaySend() {
		f.finish(a.Upstream, 0, false, false)
		f.denied(late)
		return
	}
	if f.keyed() && f.claim.Status != recorder.Claimed {
		f.pending = &a
		f.startClaim(ctx)
		return
	}
	policy, known := f.d.cfg.Upstreams.Upstream(a.Upstream)
	f.open(a, policy, known)
}

// denied ends a request whose Dispatch was not used, if nothing else goes on.
func (f *flight) denied(late bool) {
	if f.over || len(f.attempts) > 0 || f.pending != nil || f.retry != nil {
		return
	}
	if late {
		f.refuse(string(messenger.RefuseDeadline), 0)
		return
	}
	f.fail(ProblemOutcomeUnknown)
}

// open starts an attempt at an upstream. One that is not known fails at once.
func (f *flight) open(a messenger.Dispatch, policy messenger.UpstreamPolicy, known bool) {
	f.dropRetry()
	f.note(tracker.Open)
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
		at.progressed(f.now(), f.progressTimeout())
		at.x = &exchange{ready: f.ready}
		at.x.finish(errNoUpstream)
		return
	}
	f.start(at, &outgoing{
		address: policy.Address, method: f.req.Method, uri: f.req.URI,
		header: f.requestHeader(at), body: f.req.Body,
		fresh: f.needsNewConnection(),
		once:  !f.req.Arrive.Idempotent, answers: f.answersTo(a.Upstream, policy.Address), withheld: f.withheld(a.Upstream, policy),
	})
}

// needsNewConnection reports whether the request may not go over a kept connection. If
// it has no id, only its connection tells its answer from others.
func (f *flight) needsNewConnection() bool {
	return f.retries > 0 || f.req.WireID == "" || !f.req.Arrive.Idempotent && !f.d.traits.ReusesConnections
}

// withheld returns what tells whether a request is still to be written: news of its upstream
// may come while a connection is opened, or while the one that it was written to ends.
func (f *flight) withheld(id messenger.UpstreamID, chosen messenger.UpstreamPolicy) func() error {
	return func() error {
		if f.c.Disconnected() {
			return errUnwanted
		}
		now, known := f.d.cfg.Upstreams.Upstream(id)
		if !known || now.Address != chosen.Address || now.Pool != chosen.Pool {
			return errNoUpstream
		}
		return nil
	}
}

// start begins an exchange of an attempt.
func (f *flight) start(at *attempt, out *outgoing) {
	at.x = &exchange{ready: f.ready, limit: exchangeBytes}
	at.chosen = f.now()
	at.progressed(at.chosen, f.progressTimeout())
	f.d.live.add(out.address, at.x)
	f.d.transport.Start(at.x, out)
}

// progressTimeout returns how long an upstream may be silent now.
func (f *flight) progressTimeout() time.Duration {
	if f.result.FirstOutputAt.IsZero() && f.req.FirstOutputTimeout > 0 {
		return f.req.FirstOutputTimeout
	}
	if f.req.Class.ProgressTimeout > 0 {
		return f.req.Class.ProgressTimeout
	}
	return DefaultProgressTimeout
}

// late reports whether the caller's deadline has passed.
func (f *flight) late() bool {
	return !f.deadline.IsZero() && !f.now().Before(f.deadline)
}

// leave notes that the caller is gone. Work that nobody waits for is ended,
// except what may not be repeated: its outcome is still worth recording.
func (f *flight) leave() {
	f.gone = true
	if f.over {
		f.result.CallerGone = f.result.CallerGone || f.relay.HasQueued()
		f.result.Aborted = f.result.Aborted || f.relay.HasQueued()
		return
	}
	f.result.CallerGone, f.result.Aborted = true, true
	f.d.counters.CallersGone.Add(1)
	if f.pending != nil {
		return
	}
	if len(f.attempts) == 0 && f.retry == nil {
		f.queue.Notify(messenger.Abandon{Request: f.req.ID})
		f.conclude(tracker.Refuse)
		return
	}
	if f.keepsRunning() {
		return
	}
	f.dropAll()
	f.conclude(tracker.Refuse)
}

// keepsRunning reports whether the work goes on without its caller.
func (f *flight) keepsRunning() bool {
	for _, at := range f.attempts {
		if !f.req.Arrive.Idempotent && !at.policy.Engine && !f.d.traits.CloseCancels {
			return true
		}
	}
	return false
}

// stop ends the request because the router does.
func (f *flight) stop() {
	if f.over {
		f.gone = true
		f.result.Aborted = f.result.Aborted || f.relay.HasQueued()
		return
	}
	if len(f.attempts) == 0 && f.retry == nil && f.pending == nil {
		f.queue.Notify(messenger.Abandon{Request: f.req.ID})
	}
	if f.pending != nil {
		f.finish(f.pending.Upstream, 0, false, false)
		f.pending = nil
	}
	f.dropAll()
	f.fail(ProblemShuttingDown)
}

// dropAll ends every open attempt and frees its slot.
func (f *flight) dropAll() {
	f.dropRetry()
	for len(f.attempts) > 0 {
		f.drop(f.attempts[0])
	}
}

// dropRetry gives back a failed attempt that waited to be placed again, once
// another runs or none is wanted.
func (f *flight) dropRetry() {
	if f.retry != nil {
		f.finish(f.retry.upstream, f.retry.tokens(), !f.retry.withheld(), false)
		f.retry = nil
	}
}

// refuse answers a request that the scheduler did not dispatch.
func (f *flight) refuse(reason string, after time.Duration) {
	p := newProblem(reason, f.outcome.RunState())
	p.RetryAfter = after
	if p.Run == messenger.NotRun && p.Status != http.StatusNotFound && after <= 0 {
		p.RetryAfter = time.Second
	}
	f.answerProblem(reason, p)
}

// fail ends the request without an upstream's answer.
func (f *flight) fail(name string) {
	run := f.outcome.RunState()
	p := newProblem(name, run)
	if run == messenger.NotRun || f.req.Arrive.Idempotent || f.keyed() {
		p.RetryAfter = time.Second
	}
	f.answerProblem(name, p)
}

// conclude ends the request.
func (f *flight) conclude(e tracker.Event) {
	if f.over {
		return
	}
	if !f.outcome.Ended() {
		f.note(e)
	}
	f.over = true
	f.slowSince = f.now()
	f.dropRetry()
	f.settleClaim()
}
