package admitter

import (
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
)

const (
	// shortestReturn is the least time after which a refused caller may come
	// back.
	minRetryAfter = 300 * time.Millisecond
	// returnShare is the part of the time that a caller has left over which
	// returns are spread: they are no use to it later.
	retryAfterShare = 1.0 / 3
	// longestReturn bounds the time for callers without a deadline.
	maxRetryAfter = 5 * time.Second
)

// refuse ends a request that was not sent. Callers that were refused together
// come back one after the other.
func (a *Admitter) refuse(r *request) {
	reason := messenger.RefuseDeadline
	if len(r.pool.members) == 0 {
		reason = messenger.RefuseNoUpstream
	}
	if r.overShare {
		reason = messenger.RefuseTokens
	}
	a.emit(messenger.Refuse{
		Request: r.arrive.Request, Reason: reason, RetryAfter: a.retryAfter(r), Grounds: a.grounds(r),
	})
}

// hopeless reports whether a request that was not sent can't be before it is refused: it is
// beyond its account's share, next to all slots are kept for those within theirs, and
// requests of the account that wait already take what comes in of the share meanwhile.
// It answers a flood of one account, of which thousands would wait to be looked at again
// with each tick.
func (a *Admitter) cannotBeServed(r *request) bool {
	if !r.overShare || r.denied.upstream == nil || r.denied.maxWait >= 0 {
		return false
	}
	queuedCost := 0.0
	for _, other := range r.pool.waiting {
		if other.overShare && other.arrive.Account == r.arrive.Account {
			queuedCost += other.cost
		}
	}
	return !a.shares.creditCovers(r.arrive.Account, queuedCost, r.queueDeadline.Sub(a.now))
}

// trial is what was expected of a request at the upstream that looked best when
// it was not sent.
type denial struct {
	upstream *upstream
	forecast forecast
	// limit is how long the request might have waited for others altogether.
	maxWait   time.Duration
	decidedAt time.Time
}

// grounds returns why a request was not sent when that was last looked at, or
// nil if there was no upstream to look at.
func (a *Admitter) grounds(r *request) *messenger.Grounds {
	d := r.denied
	if d.upstream == nil {
		return nil
	}
	asked, share := a.shares.fleetDemandAndShare(r.arrive.Account)
	servedHere, shareHere := a.shares.localServedAndShare(r.arrive.Account)
	return &messenger.Grounds{
		Upstream: d.upstream.id, Ahead: d.forecast.queueingTime(), Own: d.forecast.ownTime,
		Waited: d.decidedAt.Sub(r.arrivedAt), Limit: d.maxWait,
		ReportAge: a.age(d.upstream.reportedAt), PeerAge: a.age(a.oldestPeerLoad()),
		Asked: asked, Share: share, ServedHere: servedHere, ShareHere: shareHere,
		Correction: d.upstream.forecastError / r.pool.medianError, SlotsReserved: r.pool.reservedShare,
		SlotsKept: r.overShare && d.forecast.onlyReservedSlots,
	}
}

// age returns how long ago something was, or a negative time if it never was.
func (a *Admitter) age(t time.Time) time.Duration {
	if t.IsZero() {
		return -1
	}
	return a.now.Sub(t)
}

// longestSilent returns when the router was heard that has been silent longest.
func (a *Admitter) oldestPeerLoad() time.Time {
	var oldest time.Time
	for _, p := range a.peers {
		if oldest.IsZero() || p.receivedAt.Before(oldest) {
			oldest = p.receivedAt
		}
	}
	return oldest
}

// returnIn draws the time after which a refused caller may come back. It is no use to
// come while all upstreams want to be sent nothing.
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
