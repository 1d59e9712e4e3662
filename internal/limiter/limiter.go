// Package limiter holds client accounts to the limits that the policy sets for
// the whole fleet: request rate, concurrency, tokens a minute, queue length.
//
// A Limiter holds one router's part of each limit. The part is even until the
// fleet says otherwise.
//
// # Usage
//
//	l := limiter.New()
//	l.SetPolicy(policy)
//	if reason, after, ok := l.Admit(now, account, queue); !ok {
//		// refuse, come back after that time
//	}
package limiter

import (
	"math"
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
)

// smallLimit is the limit, in requests for each router, below which parts of
// it are too coarse to go by alone.
const minRequestsPerRouter = 2

// Limiter holds client accounts to their limits. It is not safe for concurrent
// use.
type Limiter struct {
	policy   *messenger.Policy
	routers  int
	accounts map[messenger.AccountID]*account
}

// QueueLength is what waits of one client account in one pool. The bound on queues
// holds for each pool, so that a backlog in one does not shut another.
type QueueLength struct {
	// Local counts the requests waiting here, Remote those at other routers.
	Local, Remote int
}

// FleetState is what the fleet says of one client account.
type FleetState struct {
	// Share is this router's part of the account's limits, 0 to 1.
	Share float64
	// Running counts the account's running requests at other routers.
	Running int
	// ExpiresAt is when this ceases to be true.
	ExpiresAt time.Time
}

// account is what one client account uses through this router.
type account struct {
	policy           messenger.AccountPolicy
	fleet            FleetState
	waiting, running int
	requestBucket    bucket
	tokenBucket      bucket
}

// New returns a Limiter without limits.
func New() *Limiter {
	return &Limiter{
		policy:   &messenger.Policy{},
		routers:  1,
		accounts: make(map[messenger.AccountID]*account),
	}
}

// SetPolicy puts the limits of a policy in force.
func (l *Limiter) SetPolicy(policy *messenger.Policy) {
	l.policy = policy
	for id, a := range l.accounts {
		a.policy = policy.AccountOf(id)
	}
}

// SetRouterCount says over how many routers limits are divided.
func (l *Limiter) SetRouterCount(n int) { l.routers = max(1, n) }

func (l *Limiter) accountOf(id messenger.AccountID) *account {
	a, ok := l.accounts[id]
	if !ok {
		a = &account{policy: l.policy.AccountOf(id)}
		l.accounts[id] = a
	}
	return a
}

// SetFleetState takes in what the fleet says of an account.
func (l *Limiter) SetFleetState(id messenger.AccountID, f FleetState) { l.accountOf(id).fleet = f }

// Forget drops an account that uses nothing.
func (l *Limiter) Forget(id messenger.AccountID) {
	if a, ok := l.accounts[id]; ok && a.waiting+a.running == 0 {
		delete(l.accounts, id)
	}
}

// share returns this router's part of an account's limits: even among all
// routers until the fleet has said otherwise.
func (l *Limiter) share(now time.Time, a *account) float64 {
	if a.fleet.Share > 0 && now.Before(a.fleet.ExpiresAt) {
		return a.fleet.Share
	}
	return 1 / float64(l.routers)
}

// reached reports whether own requests are as many as this router's part of a
// limit allows. Each router may have one at least; where that could add up to
// more than the limit, what others last had counts too.
func (l *Limiter) limitReached(now time.Time, a *account, limit, local, remote int) bool {
	if limit <= 0 {
		return false
	}
	if limit < minRequestsPerRouter*l.routers && now.Before(a.fleet.ExpiresAt) && local+remote >= limit {
		return true
	}
	return float64(local) >= max(1, math.Round(l.share(now, a)*float64(limit)))
}

// Admit counts one more waiting request, or returns why it must be refused and
// when it may come back.
func (l *Limiter) Admit(now time.Time, id messenger.AccountID, q QueueLength) (messenger.RefuseReason, time.Duration, bool) {
	a := l.accountOf(id)
	if l.limitReached(now, a, a.policy.QueueLength, q.Local, q.Remote) {
		if l.AtConcurrencyLimit(now, id) {
			return messenger.RefuseConcurrency, 0, false
		}
		return messenger.RefuseQueueFull, 0, false
	}
	share := l.share(now, a)
	if capacity := share * a.policy.TokensPerMinute; capacity > 0 {
		if wait := a.tokenBucket.wait(now, capacity/time.Minute.Seconds(), capacity, 0); wait > 0 {
			return messenger.RefuseTokens, wait, false
		}
	}
	if rate := share * a.policy.RequestsPerSecond; rate > 0 {
		capacity := max(1, share*float64(a.policy.Burst))
		if wait := a.requestBucket.wait(now, rate, capacity, 1); wait > 0 {
			return messenger.RefuseRate, wait, false
		}
		a.requestBucket.take(1)
	}
	a.waiting++
	return "", 0, true
}

// AtConcurrencyLimit reports whether the account runs all the requests it may.
func (l *Limiter) AtConcurrencyLimit(now time.Time, id messenger.AccountID) bool {
	a := l.accountOf(id)
	return l.limitReached(now, a, a.policy.Concurrency, a.running, a.fleet.Running)
}

// DropWaiting counts one waiting request less.
func (l *Limiter) DropWaiting(id messenger.AccountID) { l.accountOf(id).waiting-- }

// Start counts a waiting request as running.
func (l *Limiter) Start(id messenger.AccountID) {
	a := l.accountOf(id)
	a.waiting--
	a.running++
}

// Requeue counts a running request as waiting again.
func (l *Limiter) Requeue(id messenger.AccountID) {
	a := l.accountOf(id)
	a.running--
	a.waiting++
}

// End counts one running request less.
func (l *Limiter) End(id messenger.AccountID) { l.accountOf(id).running-- }

// Charge takes generated tokens, which may be negative, from the account's
// tokens a minute.
func (l *Limiter) Charge(now time.Time, id messenger.AccountID, tokens float64) {
	a := l.accountOf(id)
	rate := a.policy.TokensPerMinute
	if rate <= 0 {
		return
	}
	a.tokenBucket.refill(now, l.share(now, a)*rate/time.Minute.Seconds())
	a.tokenBucket.take(tokens)
}

// State is what one client account uses of its limits through one router.
type State struct {
	// Share is the router's part of the limits.
	Share   float64 `json:"share"`
	Waiting int     `json:"waiting"`
	Running int     `json:"running"`
	// QueueLength, Concurrency, RequestsPerSecond and TokensPerMinute are the
	// limits over the whole fleet; zero means none.
	QueueLength       int     `json:"queueLength"`
	Concurrency       int     `json:"concurrency"`
	RequestsPerSecond float64 `json:"requestsPerSecond"`
	TokensPerMinute   float64 `json:"tokensPerMinute"`
}

// State returns what an account uses of its limits.
func (l *Limiter) State(now time.Time, id messenger.AccountID) State {
	policy := l.policy.AccountOf(id)
	state := State{
		Share:             1 / float64(l.routers),
		QueueLength:       policy.QueueLength,
		Concurrency:       policy.Concurrency,
		RequestsPerSecond: policy.RequestsPerSecond,
		TokensPerMinute:   policy.TokensPerMinute,
	}
	if a, ok := l.accounts[id]; ok {
		state.Share = l.share(now, a)
		state.Waiting, state.Running = a.waiting, a.running
	}
	return state
}
