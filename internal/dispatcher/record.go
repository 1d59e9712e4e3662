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

// Recorder keeps the outcome of requests that carry an idempotency key.
type Recorder interface {
	// Claim takes the key for one request, or says what became of the request
	// that has it. An error means that nothing was claimed.
	Claim(ctx context.Context, req recorder.Request) (recorder.Claim, error)
	// Settle records the outcome of a claimed request.
	Settle(ctx context.Context, c recorder.Claim, o recorder.Outcome) error
	// Release gives the key back after a request that truly was not run.
	Release(ctx context.Context, c recorder.Claim) error
}

const (
	// claimTimeout bounds the claim of a key, read-back included.
	claimTimeout = 2 * time.Second
	// settleTimeout bounds the recording of an outcome.
	settleTimeout = 60 * time.Second
	// replayedHeader marks an answer that comes from the record of a key.
	replayedHeader = "Idempotent-Replayed"
)

// claimResult is what came of a claim.
type claimResult struct {
	claim recorder.Claim
	err   error
}

// keyed reports whether the request's key has to be claimed. Work that may be
// repeated needs no record.
func (f *flight) keyed() bool { return f.req.Key != "" && !f.req.Arrive.Idempotent }

// startClaim claims the key while the slot waits.
func (f *flight) startClaim(ctx context.Context) {
	f.claiming = true
	if f.d.cfg.Recorder == nil {
		f.claims <- claimResult{err: errNoRecorder}
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
		f.claims <- claimResult{claim: c, err: err}
	})
}

// claimed goes on with the dispatch that waited for the claim.
func (f *flight) claimed(r claimResult) {
	f.claiming = false
	f.claim = r.claim
	if r.err != nil {
		f.d.releaseLater(f.log("keyKept"), r.claim)
	}
	a := f.pending
	f.pending = nil
	policy, known := f.d.cfg.Upstreams.Upstream(a.Upstream)
	if r.err == nil && r.claim.Status == recorder.Claimed && !f.gone && !f.late() {
		f.note(tracker.Claim)
		f.open(*a, policy, known)
		return
	}
	f.finish(a.Upstream, 0, false, false)
	switch {
	case f.gone:
		f.conclude(tracker.Refuse)
	case r.err != nil:
		f.log("keyNotClaimed").WithError(r.err).Warn("idempotency key not claimed")
		f.fail(ProblemStoreUnavailable)
	case r.claim.Status == recorder.Claimed:
		f.refuse(string(messenger.RefuseDeadline), 0)
	default:
		f.repeat(r.claim)
	}
}

// repeat answers a request whose key was used before. This copy of it was not
// run; what is said is about the request that has the key.
func (f *flight) repeat(c recorder.Claim) {
	switch c.Status {
	case recorder.InProgress:
		p := newProblem(ProblemInProgress, messenger.Unknown)
		p.RetryAfter = c.RetryAfter
		f.answerProblem(ProblemInProgress, p)
	case recorder.Mismatch:
		f.answerProblem(ProblemKeyReused, newProblem(ProblemKeyReused, messenger.NotRun))
	case recorder.Settled:
		f.replay(c.Outcome)
	default:
		f.answerProblem(ProblemOutcomeUnknown, newProblem(ProblemOutcomeUnknown, messenger.Unknown))
	}
}

// replay answers with the recorded outcome.
func (f *flight) replay(o recorder.Outcome) {
	run := messenger.Run
	if o.Unknown {
		run = messenger.Unknown
	}
	f.c.Header().Set(replayedHeader, "true")
	switch {
	case o.Status == 0:
		f.answerProblem(ProblemOutcomeUnknown, newProblem(ProblemOutcomeUnknown, run))
		return
	case o.Truncated:
		f.answerProblem(ProblemAnswerNotKept, newProblem(ProblemAnswerNotKept, run))
		return
	}
	if !f.gone {
		h := f.c.Header()
		h.Set("Content-Type", o.ContentType)
		h.Set("Content-Length", strconv.Itoa(len(o.Body)))
		h.Set(messenger.RunHeader, string(run))
		h.Set(messenger.RequestIDHeader, f.req.WireID)
		f.answered = true
		f.result.Status = o.Status
		f.c.WriteHeader(o.Status)
		f.relay.Push(o.Body)
		f.pumpRelay()
	}
	f.conclude(tracker.Refuse)
}

// settleClaim records the outcome of a claimed key in the background; until
// then a repeat is told that the request is in progress.
func (f *flight) settleClaim() {
	if f.claiming {
		f.releaseLater()
		return
	}
	if f.claim.Status != recorder.Claimed {
		return
	}
	claim, outcome := f.claim, f.kept
	f.claim = recorder.Claim{}
	outcome.Unknown = f.outcome.RunState() != messenger.Run
	release := f.outcome.RunState() == messenger.NotRun
	log := f.log("outcomeNotRecorded")
	f.d.background.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
		defer cancel()
		var err error
		if release {
			err = f.d.cfg.Recorder.Release(ctx, claim)
		} else {
			err = f.d.cfg.Recorder.Settle(ctx, claim, outcome)
		}
		if err != nil {
			log.WithError(err).Warn("outcome not recorded; repeats are told that it is unknown")
		}
	})
}

// releaseLater gives back a claim whose answer is still awaited.
func (f *flight) releaseLater() {
	claims, log := f.claims, f.log("keyKept")
	f.claiming = false
	f.d.background.Go(func() {
		r := <-claims
		if r.err != nil || r.claim.Status == recorder.Claimed {
			f.d.releaseLater(log, r.claim)
		}
	})
}

// releaseLater gives a claim back in the background.
func (d *Dispatcher) releaseLater(log *logrus.Entry, c recorder.Claim) {
	if d.cfg.Recorder == nil {
		return
	}
	d.background.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
		defer cancel()
		if err := d.cfg.Recorder.Release(ctx, c); err != nil {
			log.WithError(err).Warn("idempotency key not given back")
		}
	})
}

// keepAnswer remembers the answer for the record of the key.
func (f *flight) keepAnswer(at *attempt) {
	if f.claim.Status != recorder.Claimed {
		return
	}
	f.kept = recorder.Outcome{Status: at.status, ContentType: at.header.Get("Content-Type")}
	f.kept.Truncated = at.stream != nil
	f.kept.Body = at.whole
}
