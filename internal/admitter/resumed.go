package admitter

import (
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
)

// The functions in this file admit requests that resume a stream. They were admitted before: work was
// done for them, their callers have a part of the answer, and what is left is less than the whole. So
// they go before new requests, wait longer, and are within their account's share unless the account has
// taken too much that way.

// resumedQueueingShare replaces maxQueueingShare for a request that resumes a stream.
const resumedQueueingShare = 1

// maxQueueing returns how long the request may be queued.
func (r *request) maxQueueing() time.Duration {
	if r.arrive.Resumed {
		return time.Duration(resumedQueueingShare * float64(r.arrive.Objective))
	}
	return time.Duration(maxQueueingShare * float64(r.arrive.Objective))
}

// addDemand records the demand of a request and reports whether the account has used up its share.
func (a *Admitter) addDemand(r *request) (overShare bool) {
	if r.arrive.Resumed && a.shares.addResumedDemand(a.now, r.arrive.Account, r.cost) {
		return false
	}
	return a.shares.addDemand(a.now, r.arrive.Account, r.cost, r.arrive.SpentShare)
}

// addResumedDemand records the demand of a request that resumes a stream, and reports whether it is
// within the account's share: such requests may use credit that has not accrued yet. It records nothing
// if the account has used up that too, or else anybody could escape the share by claiming to resume.
func (s *shares) addResumedDemand(now time.Time, id messenger.AccountID, cost float64) bool {
	a := s.accountOf(id)
	if a.capped && a.credit < -a.maxCredit() {
		return false
	}
	a.decay(now)
	a.demand += rateIncrement(cost)
	if a.capped {
		a.credit -= cost
	}
	return true
}
