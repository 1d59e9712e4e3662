package admitter

import (
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
)

const (
	// shortestReturn is the least time after which a refused caller may come
	// back.
	shortestReturn = 300 * time.Millisecond
	// returnShare is the part of the time that a caller has left over which
	// returns are spread: they are no use to it later.
	returnShare = 1.0 / 3
	// longestReturn bounds the time for callers without a deadline.
	longestReturn = 5 * time.Second
)

// refuse ends a request that was not sent. Callers that were refused together
// come back one after the other.
func (a *Admitter) refuse(r *request) {
	reason := messenger.RefuseDeadline
	if len(r.pool.members) == 0 {
		reason = messenger.RefuseNoUpstream
	}
	if r.beyond {
		reason = messenger.RefuseTokens
	}
	a.act(messenger.Refuse{
		Request: r.arrive.Request, Reason: reason, RetryAfter: a.returnIn(r), Grounds: a.grounds(r),
	})
}

// hopeless reports whether a request that was not sent can't be before it is refused: it is
// beyond its account's share, next to all slots are kept for those within theirs, and
// requests of the account that wait already take what comes in of the share meanwhile.
// It answers a flood of one account, of which thousands would wait to be looked at again
// with each tick.
func (a *Admitter) hopeless(r *request) bool {
	if !r.beyond || r.tried.at == nil || r.tried.limit >= 0 {
		return false
	}
	before := 0.0
	for _, other := range r.pool.waiting {
		if other.beyond && other.arrive.Account == r.arrive.Account {
			before += other.cost
		}
	}
	return !a.shares.reaches(r.arrive.Account, before, r.holdUntil.Sub(a.now))
}

// trial is what was expected of a request at the upstream that looked best when
// it was not sent.
type trial struct {
	at       *upstream
	forecast forecast
	// limit is how long the request might have waited for others altogether.
	limit time.Duration
	on    time.Time
}

// grounds returns why a request was not sent when that was last looked at, or
// nil if there was no upstream to look at.
func (a *Admitter) grounds(r *request) *messenger.Grounds {
	t := r.tried
	if t.at == nil {
		return nil
	}
	asked, share := a.shares.standing(r.arrive.Account)
	servedHere, shareHere := a.shares.standingHere(r.arrive.Account)
	return &messenger.Grounds{
		Upstream: t.at.id, Ahead: t.forecast.ahead(), Own: t.forecast.own,
		Waited: t.on.Sub(r.arrived), Limit: t.limit,
		ReportAge: a.age(t.at.reported), PeerAge: a.age(a.longestSilent()),
		Asked: asked, Share: share, ServedHere: servedHere, ShareHere: shareHere,
		Correction: t.at.error / r.pool.commonError, SlotsReserved: r.pool.reserve,
		SlotsKept: r.beyond && t.forecast.roomless,
	}
}

// age returns how long ago something was, or a negative time if it never was.
func (a *Admitter) age(at time.Time) time.Duration {
	if at.IsZero() {
		return -1
	}
	return a.now.Sub(at)
}

// longestSilent returns when the router was heard that has been silent longest.
func (a *Admitter) longestSilent() time.Time {
	var oldest time.Time
	for _, p := range a.peers {
		if oldest.IsZero() || p.heard.Before(oldest) {
			oldest = p.heard
		}
	}
	return oldest
}

// returnIn draws the time after which a refused caller may come back. It is no use to
// come while all upstreams want to be sent nothing.
func (a *Admitter) returnIn(r *request) time.Duration {
	return max(a.drawReturn(r), r.pool.pausedFor(a.now))
}

func (a *Admitter) drawReturn(r *request) time.Duration {
	longest := longestReturn
	if !r.arrive.Deadline.IsZero() {
		longest = min(longest, time.Duration(returnShare*float64(r.arrive.Deadline.Sub(a.now))))
	}
	if longest <= shortestReturn {
		return max(longest, 0)
	}
	return shortestReturn + time.Duration(a.rand.Int64N(int64(longest-shortestReturn)))
}
