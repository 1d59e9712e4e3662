package dispatcher

import (
	"time"

	"github.com/sirupsen/logrus"

	"lentilwood.example/lentilwood/internal/tracker"
)

// arrivalKind says why a request may reach an upstream after it may have reached one before.
type arrivalKind string

const (
	// arrivalRetry follows an attempt that failed, arrivalDeclined one that the upstream
	// declined. Both go to the upstream that the scheduler chooses.
	arrivalRetry    arrivalKind = "retry"
	arrivalDeclined arrivalKind = "declined"
	// arrivalFailover replaces an attempt at a silent upstream.
	arrivalFailover arrivalKind = "failover"
	// arrivalResend goes to the same upstream over a new connection, after a kept one broke off
	// before any part of a response.
	arrivalResend arrivalKind = "resend"
	// arrivalDispatch is a Dispatch that none of the others asked for.
	arrivalDispatch arrivalKind = "dispatch"
	// arrivalResume and arrivalMove request the rest of a stream from the engine that holds it.
	arrivalResume arrivalKind = "resume"
	arrivalMove   arrivalKind = "move"
)

// retryPermitTTL is how long an admitted retry can be used. Meanwhile no other request has it.
const retryPermitTTL = 4 * time.Second

// isCharged reports whether arrivals of this kind count against the retry budget. Requesting the
// rest of a stream starts no run, so it does not.
func (k arrivalKind) isCharged() bool { return k != arrivalResume && k != arrivalMove }

// admitArrival decides whether the request may reach an upstream once more. Each arrival beyond
// the first passes here when it is asked for, and takeRetryPermit when its attempt starts, except
// hedges, which have a budget of their own. A retry is taken from the budget unless an earlier one
// was not used. at is the attempt that it follows.
func (f *inflightRequest) admitArrival(kind arrivalKind, at *attempt) bool {
	charged := kind.isCharged() && !f.hasRetryPermit() && f.d.spendRetry(f.req.Arrive.Pool)
	if charged {
		f.retryPermit = f.now()
	}
	admitted := !kind.isCharged() || f.hasRetryPermit()
	entry := f.log("resend").WithFields(logrus.Fields{
		"kind": kind, "admitted": admitted, "charged": charged,
		"sends": f.sends, "lastEvent": f.lastEvent, "run": f.outcome.RunState(), "softwareVersion": f.result.SoftwareVersion,
	})
	if at != nil {
		entry = entry.WithFields(logrus.Fields{"avoid": at.upstream, "silentMs": f.now().Sub(at.lastProgressAt).Milliseconds()})
	}
	entry.Info("request is to reach an upstream once more")
	return admitted
}

// takeRetryPermit uses the permit for an attempt that is about to start, and reports whether the
// attempt may start. The retry counts in the window in which it is used. The first arrival needs
// no permit; beside an open attempt of which nothing was sent yet, it may be the second.
func (f *inflightRequest) takeRetryPermit(at *attempt) bool {
	if at.hedge && !at.sameUpstream || f.sends == 0 && len(f.attempts) == 0 {
		return true
	}
	if !f.hasRetryPermit() && !f.admitArrival(arrivalDispatch, at) {
		return false
	}
	f.d.budget.Postpone(f.req.Arrive.Pool, f.retryPermit)
	f.retryPermit, at.retryPermit = time.Time{}, f.now()
	return true
}

// returnRetryPermit gives back the permit of an attempt of which nothing was sent.
func (f *inflightRequest) returnRetryPermit(at *attempt) {
	if at.retryPermit.After(f.retryPermit) {
		f.retryPermit = at.retryPermit
	}
	at.retryPermit = time.Time{}
}

// hasRetryPermit reports whether an admitted retry can be used.
func (f *inflightRequest) hasRetryPermit() bool {
	return !f.retryPermit.IsZero() && f.now().Sub(f.retryPermit) < retryPermitTTL
}

// resendOnNewConnection sends the request to the same upstream again if its kept connection broke
// off before any part of a response. Upstreams close kept connections at any time, so this says
// nothing about the upstream. It returns false if the attempt has failed.
//
// The upstream may have read the request: an end that is seen after the write looks the same
// whether the upstream closed the connection before or after. So this is an arrival, and only
// for requests that may run twice. Where it is certain that nothing arrived, the transport has
// used another connection already, see connTransport.sendRequest.
func (f *inflightRequest) resendOnNewConnection(at *attempt, u exchangeUpdate) bool {
	askedForOther := f.hasRetryPermit() || len(f.attempts) > 1
	if !u.unanswered || askedForOther || !f.req.Arrive.Idempotent || f.callerGone || !f.outcome.MaySend() {
		return false
	}
	if !f.admitArrival(arrivalResend, at) {
		at.retryDenied = true
		return false
	}
	f.closeAttempt(at, false)
	again := &attempt{upstream: at.upstream, policy: at.policy, hedge: at.hedge, fetchFrom: at.fetchFrom, sameUpstream: true}
	f.takeRetryPermit(again)
	f.openAttempt(again, true)
	return true
}

// openAttempt sends the request for an attempt.
func (f *inflightRequest) openAttempt(at *attempt, known bool) {
	f.track(tracker.Open)
	f.attempts = append(f.attempts, at)
	if !known {
		at.recordProgress(f.now(), f.progressTimeout())
		at.exchange = &exchange{updated: f.exchangeUpdated}
		at.exchange.finish(errNoUpstream)
		return
	}
	f.startExchange(at, &upstreamRequest{
		address: at.policy.Address, method: f.req.Method, uri: f.req.URI,
		header: f.requestHeader(at), body: f.req.Body,
		newConn:          f.needsNewConnection(),
		ownsResponse:     f.responseFilter(at.upstream, at.policy.Address),
		checkBeforeWrite: f.preWriteCheck(at),
	})
}

// needsNewConnection reports whether the request must not reuse a connection. A request
// without an id needs a new connection, because on a reused one its response could not be
// distinguished from the response to another request.
func (f *inflightRequest) needsNewConnection() bool {
	return f.sends > 0 || f.retries > 0 || f.req.WireID == "" || !f.req.Arrive.Idempotent && !f.d.traits.ReusesConnections
}
