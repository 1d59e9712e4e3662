// Package limiter enforces the limits of client accounts that the policy sets for the whole
// fleet: request rate, concurrency, tokens per minute and queue length.
//
// A Limiter enforces one router's share of each limit. All routers have equal shares until
// SetFleetState sets another.
//
// # Usage
//
//	l := limiter.New()
//	l.SetPolicy(policy)
//	if reason, after, ok := l.Admit(now, account, queue); !ok {
//		// refuse the request with a Retry-After of after
//	}
package limiter

import (
	"math"
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
)

// minRequestsPerRouter is the limit per router below which the shares of a limit are too
// coarse to be used alone.
const minRequestsPerRouter = 2

// Limiter enforces the limits of client accounts. It is not safe for concurrent use.
type Limiter struct {
	policy   *messenger.Policy
	routers  int
	accounts map[messenger.AccountID]*account
}

// QueueLength is the number of queued requests of one client account in one pool. The limit
// on it applies per pool, so that a backlog in one pool does not block the others.
type QueueLength struct {
	// Local counts the requests queued at this router, Remote those at other routers.
	Local, Remote int
}

// FleetState is the state of one client account in the rest of the fleet.
type FleetState struct {
	// Share is this router's share of the account's limits, 0 to 1.
	Share float64
	// Running counts the account's running requests at other routers.
	Running int
	// ExpiresAt is when this state becomes invalid.
	ExpiresAt time.Time
}

// account is the usage of one client account at this router.
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

// SetPolicy applies the limits of a policy.
func (l *Limiter) SetPolicy(policy *messenger.Policy) {
	l.policy = policy
	for id, a := range l.accounts {
		a.policy = policy.AccountOf(id)
	}
}

// SetRouterCount sets the number of routers among which limits are divided.
func (l *Limiter) SetRouterCount(n int) { l.routers = max(1, n) }

func (l *Limiter) accountOf(id messenger.AccountID) *account {
	a, ok := l.accounts[id]
	if !ok {
		a = &account{policy: l.policy.AccountOf(id)}
		l.accounts[id] = a
	}
	return a
}

// SetFleetState stores the state of an account in the fleet.
func (l *Limiter) SetFleetState(id messenger.AccountID, f FleetState) { l.accountOf(id).fleet = f }

// Forget removes an account without queued or running requests.
func (l *Limiter) Forget(id messenger.AccountID) {
	if a, ok := l.accounts[id]; ok && a.waiting+a.running == 0 {
		delete(l.accounts, id)
	}
}

// share returns this router's share of an account's limits. While no fleet state is valid,
// all routers have equal shares.
func (l *Limiter) share(now time.Time, a *account) float64 {
	if a.fleet.Share > 0 && now.Before(a.fleet.ExpiresAt) {
		return a.fleet.Share
	}
	return 1 / float64(l.routers)
}

// limitReached reports whether local requests use up this router's share of a limit. Each
// router may always have one request. If the routers together could exceed the limit that
// way, the last known requests of the other routers count too.
func (l *Limiter) limitReached(now time.Time, a *account, limit, local, remote int) bool {
	if limit <= 0 {
		return false
	}
	if limit < minRequestsPerRouter*l.routers && now.Before(a.fleet.ExpiresAt) && local+remote >= limit {
		return true
	}
	return float64(local) >= max(1, math.Round(l.share(now, a)*float64(limit)))
}

// Admit counts one more queued request, or returns the reason of a refusal and the time
// after which to retry.
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

// AtConcurrencyLimit reports whether the account has reached its limit of running requests.
func (l *Limiter) AtConcurrencyLimit(now time.Time, id messenger.AccountID) bool {
	a := l.accountOf(id)
	return l.limitReached(now, a, a.policy.Concurrency, a.running, a.fleet.Running)
}

// DropWaiting removes one queued request from the count.
func (l *Limiter) DropWaiting(id messenger.AccountID) { l.accountOf(id).waiting-- }

// Start counts a queued request as running.
func (l *Limiter) Start(id messenger.AccountID) {
	a := l.accountOf(id)
	a.waiting--
	a.running++
}

// Requeue counts a running request as queued again.
func (l *Limiter) Requeue(id messenger.AccountID) {
	a := l.accountOf(id)
	a.running--
	a.waiting++
}

// End removes one running request from the count.
func (l *Limiter) End(id messenger.AccountID) { l.accountOf(id).running-- }

// Charge charges generated tokens, which may be negative, to the account's tokens per
// minute.
func (l *Limiter) Charge(now time.Time, id messenger.AccountID, tokens float64) {
	a := l.accountOf(id)
	rate := a.policy.TokensPerMinute
	if rate <= 0 {
		return
	}
	a.tokenBucket.refill(now, l.share(now, a)*rate/time.Minute.Seconds())
	a.tokenBucket.take(tokens)
}

// State is the usage of the limits of one client account at one router.
type State struct {
	// Share is the router's share of the limits.
	Share   float64 `json:"share"`
	Waiting int     `json:"waiting"`
	Running int     `json:"running"`
	// QueueLength, Concurrency, RequestsPerSecond and TokensPerMinute are the limits for
	// the whole fleet; zero means none.
	QueueLength       int     `json:"queueLength"`
	Concurrency       int     `json:"concurrency"`
	RequestsPerSecond float64 `json:"requestsPerSecond"`
	TokensPerMinute   float64 `json:"tokensPerMinute"`
}

// State returns the usage of an account's limits.
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
