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
//	if reason, after, ok := l.Admit(now, account); !ok {
//		// refuse, come back after that time
//	}
package limiter

import (
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
)

// Limiter holds client accounts to their limits. It is not safe for concurrent
// use.
type Limiter struct {
	policy   *messenger.Policy
	routers  int
	accounts map[messenger.AccountID]*account
}

// account is what one client account uses through this router.
type account struct {
	policy           messenger.AccountPolicy
	share            float64
	waiting, running int
	requests         bucket
	tokens           bucket
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

// SetRouters says over how many routers limits are divided.
func (l *Limiter) SetRouters(n int) { l.routers = max(1, n) }

func (l *Limiter) accountOf(id messenger.AccountID) *account {
	a, ok := l.accounts[id]
	if !ok {
		a = &account{policy: l.policy.AccountOf(id)}
		l.accounts[id] = a
	}
	return a
}

// part returns this router's part of a limit, at least one.
func (l *Limiter) part(a *account, limit float64) float64 {
	share := a.share
	if share <= 0 {
		share = 1 / float64(l.routers)
	}
	return max(1, limit*share)
}

// Admit counts one more waiting request, or returns why it must be refused and
// when it may come back.
func (l *Limiter) Admit(now time.Time, id messenger.AccountID) (messenger.RefuseReason, time.Duration, bool) {
	a := l.accountOf(id)
	if n := a.policy.QueueLength; n > 0 && float64(a.waiting) >= l.part(a, float64(n)) {
		if l.AtConcurrency(id) {
			return messenger.RefuseConcurrency, 0, false
		}
		return messenger.RefuseQueueFull, 0, false
	}
	if rate := a.policy.TokensPerMinute; rate > 0 {
		perSecond := l.part(a, rate) / time.Minute.Seconds()
		if wait := a.tokens.wait(now, perSecond, l.part(a, rate), 0); wait > 0 {
			return messenger.RefuseTokens, wait, false
		}
	}
	if rate := a.policy.RequestsPerSecond; rate > 0 {
		perSecond := rate * l.part(a, rate) / max(rate, 1)
		size := l.part(a, float64(max(1, a.policy.Burst)))
		if wait := a.requests.wait(now, perSecond, size, 1); wait > 0 {
			return messenger.RefuseRate, wait, false
		}
		a.requests.take(1)
	}
	a.waiting++
	return "", 0, true
}

// AtConcurrency reports whether the account runs all the requests it may.
func (l *Limiter) AtConcurrency(id messenger.AccountID) bool {
	a := l.accountOf(id)
	n := a.policy.Concurrency
	return n > 0 && float64(a.running) >= l.part(a, float64(n))
}

// Drop counts one waiting request less.
func (l *Limiter) Drop(id messenger.AccountID) { l.accountOf(id).waiting-- }

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
	part := l.part(a, rate)
	a.tokens.refill(now, part/time.Minute.Seconds(), part)
	a.tokens.take(tokens)
}
