package dispatcher

import (
	"context"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"lentilwood.example/lentilwood/internal/messenger"
	"lentilwood.example/lentilwood/internal/recorder"
	"lentilwood.example/lentilwood/internal/tracker"
)

// Recorder stores the outcomes of requests that carry an idempotency key.
type Recorder interface {
	// Claim claims the key for one request. If another request holds it, the result
	// has the outcome of that request. After an error the request must not be sent, and
	// the returned claim must be released: a write without a response may still take effect.
	Claim(ctx context.Context, req recorder.Request) (recorder.Claim, error)
	// RecordOutcome records the outcome of a claimed request.
	RecordOutcome(ctx context.Context, c recorder.Claim, o recorder.Outcome) error
	// Release releases the key of a request that was certainly not run.
	Release(ctx context.Context, c recorder.Claim) error
}

const (
	// claimTimeout limits the claim of a key, including the read that verifies it.
	claimTimeout = 2 * time.Second
	// settleTimeout limits the recording of an outcome.
	settleTimeout = 60 * time.Second
	// replayedHeader marks a response that was replayed from the record of a key.
	replayedHeader = "Idempotent-Replayed"
)

// claimResult is the result of a claim.
type claimResult struct {
	claim recorder.Claim
	err   error
}

// needsClaim reports whether the request's key must be claimed. Requests that may be
// repeated need no record.
func (f *inflightRequest) needsClaim() bool { return f.req.Key != "" && !f.req.Arrive.Idempotent }

// startClaim claims the key in the background. The upstream's slot for the pending Dispatch
// stays reserved meanwhile.
func (f *inflightRequest) startClaim(ctx context.Context) {
	f.claiming = true
	if f.d.cfg.Recorder == nil {
		f.claimResults <- claimResult{err: errNoRecorder}
		return
	}
	request := recorder.Request{
		Account: f.req.Arrive.Account, Key: f.req.Key,
		Fingerprint: recorder.Fingerprint(f.req.Method, f.req.URI, f.req.Body),
	}
	f.d.background.Go(func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), claimTimeout)
		defer cancel()
		c, err := f.d.cfg.Recorder.Claim(ctx, request)
		f.claimResults <- claimResult{claim: c, err: err}
	})
}

// handleClaim continues with the dispatch that waited for the claim.
func (f *inflightRequest) handleClaim(r claimResult) {
	f.claiming = false
	f.claim = r.claim
	if r.err != nil {
		f.d.releaseClaim(f.log("keyKept"), r.claim)
	}
	a := f.pendingDispatch
	f.pendingDispatch = nil
	policy, known := f.d.cfg.Upstreams.Upstream(a.Upstream)
	if r.err == nil && r.claim.Status == recorder.Claimed && !f.callerGone && !f.deadlinePassed() {
		f.track(tracker.Claim)
		f.startAttempt(*a, policy, known)
		return
	}
	f.reportFinish(a.Upstream, 0, false, false)
	switch {
	case f.callerGone:
		f.conclude(tracker.Refuse)
	case r.err != nil:
		f.log("keyNotClaimed").WithError(r.err).Warn("idempotency key not claimed")
		f.fail(ProblemStoreUnavailable)
	case r.claim.Status == recorder.Claimed:
		f.refuse(string(messenger.RefuseDeadline), 0)
	default:
		f.respondToDuplicate(r.claim)
	}
}

// respondToDuplicate responds to a request whose key was used before. This copy was not
// run; the response describes the request that holds the key.
func (f *inflightRequest) respondToDuplicate(c recorder.Claim) {
	switch c.Status {
	case recorder.InProgress:
		p := newProblem(ProblemInProgress, messenger.StateUnknown)
		p.RetryAfter = c.RetryAfter
		f.endWithProblem(ProblemInProgress, p)
	case recorder.Mismatch:
		f.endWithProblem(ProblemKeyReused, newProblem(ProblemKeyReused, messenger.StateNotRun))
	case recorder.Completed:
		f.replayOutcome(c.Outcome)
	default:
		f.endWithProblem(ProblemOutcomeUnknown, newProblem(ProblemOutcomeUnknown, messenger.StateUnknown))
	}
}

// replayOutcome responds with the recorded outcome.
func (f *inflightRequest) replayOutcome(o recorder.Outcome) {
	run := messenger.StateRun
	if o.Unknown {
		run = messenger.StateUnknown
	}
	f.caller.Header().Set(replayedHeader, "true")
	switch {
	case o.Status == 0:
		f.endWithProblem(ProblemOutcomeUnknown, newProblem(ProblemOutcomeUnknown, run))
		return
	case o.Truncated:
		f.endWithProblem(ProblemAnswerNotKept, newProblem(ProblemAnswerNotKept, run))
		return
	}
	if !f.callerGone {
		h := f.caller.Header()
		h.Set("Content-Type", o.ContentType)
		h.Set("Content-Length", strconv.Itoa(len(o.Body)))
		h.Set(messenger.RunHeader, string(run))
		h.Set(messenger.RequestIDHeader, f.req.WireID)
		f.responseStarted = true
		f.result.Status = o.Status
		f.caller.WriteHeader(o.Status)
		f.relay.Push(o.Body)
		f.flushRelay()
	}
	f.conclude(tracker.Refuse)
}

// finishClaim records the outcome of a claimed key in the background, or releases the key if
// the request was not run. Until that is done, duplicates get the response that the request
// is in progress.
func (f *inflightRequest) finishClaim() {
	if f.claiming {
		f.releasePendingClaim()
		return
	}
	if f.claim.Status != recorder.Claimed {
		return
	}
	claim, outcome := f.claim, f.outcomeToRecord
	f.claim = recorder.Claim{}
	outcome.Unknown = f.outcome.RunState() != messenger.StateRun
	release := f.outcome.RunState() == messenger.StateNotRun
	log := f.log("outcomeNotRecorded")
	f.d.background.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
		defer cancel()
		var err error
		if release {
			err = f.d.cfg.Recorder.Release(ctx, claim)
		} else {
			err = f.d.cfg.Recorder.RecordOutcome(ctx, claim, outcome)
		}
		if err != nil {
			log.WithError(err).Warn("outcome not recorded; duplicates will get the response that the outcome is unknown")
		}
	})
}

// releasePendingClaim releases a claim whose result is still outstanding.
func (f *inflightRequest) releasePendingClaim() {
	claims, log := f.claimResults, f.log("keyKept")
	f.claiming = false
	f.d.background.Go(func() {
		r := <-claims
		if r.err != nil || r.claim.Status == recorder.Claimed {
			f.d.releaseClaim(log, r.claim)
		}
	})
}

// releaseClaim releases a claim in the background.
func (d *Dispatcher) releaseClaim(log *logrus.Entry, c recorder.Claim) {
	if d.cfg.Recorder == nil {
		return
	}
	d.background.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
		defer cancel()
		if err := d.cfg.Recorder.Release(ctx, c); err != nil {
			log.WithError(err).Warn("idempotency key not released")
		}
	})
}

// saveResponse keeps the response for the record of the key. The events of a stream are not
// kept; its record is marked as truncated.
func (f *inflightRequest) saveResponse(at *attempt) {
	if f.claim.Status != recorder.Claimed {
		return
	}
	f.outcomeToRecord = recorder.Outcome{Status: at.status, ContentType: at.header.Get("Content-Type")}
	f.outcomeToRecord.Truncated = at.stream != nil
	f.outcomeToRecord.Body = at.buffered
}
