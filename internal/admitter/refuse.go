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
	a.act(messenger.Refuse{Request: r.arrive.Request, Reason: reason, RetryAfter: a.returnIn(r)})
}

// returnIn draws the time after which a refused caller may come back.
func (a *Admitter) returnIn(r *request) time.Duration {
	longest := longestReturn
	if !r.arrive.Deadline.IsZero() {
		longest = min(longest, time.Duration(returnShare*float64(r.arrive.Deadline.Sub(a.now))))
	}
	if longest <= shortestReturn {
		return max(longest, 0)
	}
	return shortestReturn + time.Duration(a.rand.Int64N(int64(longest-shortestReturn)))
}
