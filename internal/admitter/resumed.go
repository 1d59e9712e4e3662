package admitter

import (
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
)

// The functions in this file admit requests that resume a stream. They were admitted before: work was
// done for them, their callers have a part of the answer, and what is left is less than the whole. So
// they go before new requests, wait longer, and are within their account's share unless the account has
// taken too much that way.

const (
	// resumedQueueingShare replaces maxQueueingShare for a request that resumes a stream.
	resumedQueueingShare = 1
	// resumeCreditTime is the time over which an account's share accrues for requests that resume streams:
	// about as long as streams are in progress.
	resumeCreditTime = 4 * time.Second
)

// maxQueueing returns how long the request may be queued.
func (r *request) maxQueueing() time.Duration {
	if r.arrive.Resumed {
		return time.Duration(resumedQueueingShare * float64(r.arrive.Objective))
	}
	return time.Duration(maxQueueingShare * float64(r.arrive.Objective))
}

// addDemand records the demand of a request and reports whether the account has used up its share.
func (a *Admitter) addDemand(r *request) (overShare bool) {
	work := r.arrive.Work
	if r.arrive.Resumed && a.shares.addResumedDemand(a.now, r.arrive.Account, r.cost, r.cost+float64(work.PromptTokens())) {
		return false
	}
	return a.shares.addDemand(a.now, r.arrive.Account, r.cost, r.arrive.SpentShare)
}

// addResumedDemand records the demand of a request that resumes a stream, and reports whether it is
// within the account's share. Such requests have a credit of their own, which pays for all that engines
// may have to do again; if it is used up, nothing is recorded. Without it, anybody could escape the share
// by claiming to resume.
func (s *shares) addResumedDemand(now time.Time, id messenger.AccountID, cost, costWithPrompt float64) bool {
	a := s.accountOf(id)
	if a.capped && a.resumeCredit <= 0 {
		return false
	}
	a.decay(now)
	a.demand += rateIncrement(cost)
	a.resumeCredit -= costWithPrompt
	return true
}

// refillResumeCredit adds the credit that accrued for requests that resume streams. An account that has
// just reached its share has all of it: its streams in progress may come to this router at any time.
func (a *account) refillResumeCredit(fairShare float64, elapsed time.Duration) {
	longest := fairShare * resumeCreditTime.Seconds()
	if !a.capped {
		a.resumeCredit = longest
	}
	a.resumeCredit = min(a.resumeCredit+a.creditRate*elapsed.Seconds(), longest)
}
