package admitter

import (
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
)

const (
	// minRetryAfter is the minimum Retry-After of a refusal.
	minRetryAfter = 300 * time.Millisecond
	// retryAfterShare is the fraction of the remaining time to the deadline over which
	// retries are spread; later retries would be of no use to the caller.
	retryAfterShare = 1.0 / 3
	// maxRetryAfter bounds the Retry-After of callers without a deadline.
	maxRetryAfter = 5 * time.Second
)

// refuse ends a request that was not sent. The random Retry-After spreads the retries of
// requests that were refused together.
func (a *Admitter) refuse(r *request) {
	reason := messenger.RefuseDeadline
	if len(r.pool.members) == 0 {
		reason = messenger.RefuseNoUpstream
	}
	if r.overShare {
		reason = messenger.RefuseTokens
	}
	if a.countColdRefusal(r) {
		reason = messenger.RefuseCold
	}
	if !r.pool.hasVersionOf(r) {
		reason = messenger.RefuseVersionGone
	}
	if r.pool.evacuated {
		reason = messenger.RefuseEvacuated
	}
	retryAfter := a.retryAfter(r)
	if reason == messenger.RefuseVersionGone && r.arrive.Resumed {
		retryAfter = 0 // the version of a stream never changes
	}
	a.emit(messenger.Refuse{
		Request: r.arrive.Request, Reason: reason, RetryAfter: retryAfter, Grounds: a.grounds(r),
	})
}

// cannotBeServed reports whether a request that was not sent cannot be served within its
// maximum queueing time either: the request is over its account's share, almost all slots
// are reserved for accounts within theirs, and queued requests of the same account will use
// up the credit that accrues in that time. Those of the account that have spent more of their
// time are no obstacle, as they need more credit. Without this check, a flood from one account
// would queue thousands of requests, each evaluated again with every tick.
func (a *Admitter) cannotBeServed(r *request) bool {
	if !r.overShare || r.lastDenial.upstream == nil || r.lastDenial.maxWait >= 0 {
		return false
	}
	queuedCost := 0.0
	for _, other := range r.pool.waiting {
		if other.overShare && other.arrive.Account == r.arrive.Account && other.arrive.SpentShare <= r.arrive.SpentShare {
			queuedCost += other.cost
		}
	}
	return !a.shares.creditCovers(r.arrive.Account, queuedCost, r.arrive.SpentShare, r.queueDeadline.Sub(a.now))
}

// denial is the forecast for a request at the best upstream when it was not sent.
type denial struct {
	upstream *upstream
	forecast forecast
	// maxWait is the limit of the time behind others, counted from the request's arrival.
	maxWait   time.Duration
	decidedAt time.Time
}

// grounds returns the reasons of the last decision not to send a request, or nil if there
// was no upstream to evaluate.
func (a *Admitter) grounds(r *request) *messenger.Grounds {
	d := r.lastDenial
	if d.upstream == nil {
		return nil
	}
	demand, share := a.shares.fleetDemandAndShare(r.arrive.Account)
	servedHere, shareHere := a.shares.localServedAndShare(r.arrive.Account)
	return &messenger.Grounds{
		Upstream: d.upstream.id, QueueWait: d.forecast.queueingTime(), OwnLatency: d.forecast.ownTime,
		ElapsedWait: d.decidedAt.Sub(r.arrivedAt), MaxQueueWait: d.maxWait,
		ReportAge: a.age(d.upstream.reportedAt), PeerAge: a.age(a.oldestPeerLoadAt()),
		FleetDemand: demand, FleetShare: share, LocalServed: servedHere, LocalShare: shareHere,
		Correction: d.upstream.forecastError / r.pool.medianError, SlotsReserved: r.pool.reservedShare,
		OnlyReservedSlots: r.overShare && d.forecast.onlyReservedSlots,
		DelaysStreams:     d.forecast.delaysStreams,
	}
}

// age returns the time elapsed since t, or -1 if t is zero.
func (a *Admitter) age(t time.Time) time.Duration {
	if t.IsZero() {
		return -1
	}
	return a.now.Sub(t)
}

// oldestPeerLoadAt returns the time of receipt of the oldest load message in use.
func (a *Admitter) oldestPeerLoadAt() time.Time {
	var oldest time.Time
	for _, p := range a.peers {
		if oldest.IsZero() || p.receivedAt.Before(oldest) {
			oldest = p.receivedAt
		}
	}
	return oldest
}

// retryAfter returns the time after which a refused caller may retry. It is no shorter than
// the time until at least one upstream accepts requests again.
func (a *Admitter) retryAfter(r *request) time.Duration {
	return max(a.randomRetryAfter(r), r.pool.pauseRemaining(a.now))
}

func (a *Admitter) randomRetryAfter(r *request) time.Duration {
	longest := maxRetryAfter
	if !r.arrive.Deadline.IsZero() {
		longest = min(longest, time.Duration(retryAfterShare*float64(r.arrive.Deadline.Sub(a.now))))
	}
	if longest <= minRetryAfter {
		return max(longest, 0)
	}
	return minRetryAfter + time.Duration(a.rand.Int64N(int64(longest-minRetryAfter)))
}
