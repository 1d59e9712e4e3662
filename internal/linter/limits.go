package linter

import (
	"fmt"

	"lentilwood.example/lentilwood/internal/configurer"
	"lentilwood.example/lentilwood/internal/messenger"
)

// accountLimits checks the limits of client accounts as they hold without
// exceptions.
func (l *linter) accountLimits() {
	pools := make(map[messenger.PoolID]bool)
	for _, r := range l.doc.Routes {
		pools[r.Pool] = true
	}
	// The rate of some accounts may come from an exception.
	rateKnown := !l.changedByException("account.requestsPerSecond")
	l.accountLimit("account", configurer.AccountSettings{}, len(pools), rateKnown)
	for _, id := range sortedKeys(l.doc.Accounts) {
		a := l.doc.Accounts[id]
		if a.Burst != nil || a.RequestsPerSecond != nil || a.Concurrency != nil || a.QueueLength != nil {
			l.accountLimit(entryPath("accounts", id), a, len(pools), rateKnown)
		}
	}
}

func (l *linter) accountLimit(path string, a configurer.AccountSettings, pools int, rateKnown bool) {
	d := l.doc.Account
	burst := valueOf(a.Burst, d.Burst)
	concurrency, queue := valueOf(a.Concurrency, d.Concurrency), valueOf(a.QueueLength, d.QueueLength)
	switch {
	case burst == 0:
	case valueOf(a.RequestsPerSecond, d.RequestsPerSecond) == 0:
		// The default burst may be meant for accounts that set a rate.
		if a.Burst != nil && rateKnown {
			l.add(path+".burst", BurstWithoutRate, "a burst has no effect without requestsPerSecond")
		}
	case concurrency > 0 && queue > 0 && burst > concurrency+queue*max(1, pools):
		l.add(path, BurstAboveLimits, fmt.Sprintf(
			"a burst of %d can never be taken: %d requests may be in progress and %d wait in each of %d pools",
			burst, concurrency, queue, max(1, pools)))
	}
}

// classLimits checks the floors and the hedging of classes.
func (l *linter) classLimits() {
	for _, pool := range sortedKeys(l.doc.Pools) {
		sum := 0.0
		for _, c := range l.classesOf(pool) {
			sum += lowestFloor(l.doc.Classes[c])
		}
		// The margin covers rounding: 0.7 + 0.2 + 0.1 may come out above 1.
		if sum > 1+1e-9 {
			l.add(entryPath("pools", pool), FloorsAboveOne, fmt.Sprintf("the floors of its classes sum to %.4g at all times", sum))
		}
	}
	if l.changedByException("pool.hedgeBudget") {
		return
	}
	for _, id := range sortedKeys(l.doc.Classes) {
		if hedge := l.doc.Classes[id].Hedge; hedge != nil && *hedge && !l.mayHedge(id) {
			l.add(entryPath("classes", id)+".hedge", HedgeWithoutBudget,
				"no idempotent route leads the class to a pool with a hedgeBudget above 0")
		}
	}
}

// lowestFloor returns the lowest floor that the class has at any time.
func lowestFloor(c configurer.ClassSettings) float64 {
	floor := valueOf(c.Floor)
	for _, p := range c.Schedule {
		floor = min(floor, valueOf(p.Floor, c.Floor))
	}
	return floor
}

func (l *linter) mayHedge(c messenger.ClassID) bool {
	for _, r := range l.doc.Routes {
		if r.Idempotent && r.Allows(c) && valueOf(l.doc.Pools[r.Pool].HedgeBudget) > 0 {
			return true
		}
	}
	return false
}

// valueOf returns the first value that is set, or else zero.
func valueOf[T any](values ...*T) T {
	for _, v := range values {
		if v != nil {
			return *v
		}
	}
	var zero T
	return zero
}
