package storer

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"lentilwood.example/lentilwood/internal/timekeeper"
)

// Limits of a Guard.
const (
	// CallTimeout bounds one attempt.
	CallTimeout = 2 * time.Second
	// maxAttempts is how often one call is tried in all.
	maxAttempts = 4
	// firstBackoff is the longest wait before the first retry; it doubles.
	firstBackoff = 50 * time.Millisecond
	// budgetPerCall is how much of a retry each call adds to the budget.
	budgetPerCall = 0.2
	// maxBudget is the most retries that are saved up.
	maxBudget = 10.0
)

// Purpose says what a call to the store is for; calls are counted by it.
type Purpose string

// Counts are the calls that were made for one purpose.
type Counts struct {
	// Reads and Writes count attempts that were sent to the store.
	Reads, Writes uint64
	// Failures counts attempts that failed, Retries those that were repeats.
	Failures, Retries uint64
	// Rejected counts calls that the circuit held back.
	Rejected uint64
}

// Guard protects the platform's store from a fleet of routers, and the
// routers from a store that is down or slow. It gives each attempt a
// deadline, retries with jitter within a budget, stops calling a store that
// keeps failing, and settles a write whose answer was lost by reading back.
//
// Settling compares values, so a caller that must tell its own write from
// another's puts a random token into the value. Where the rows hold something
// else by then, the outcome stays ErrUnknown.
type Guard struct {
	store Store
	clock timekeeper.Clock

	mu      sync.Mutex
	rng     *rand.Rand
	circuit circuit
	budget  float64
	counts  map[Purpose]Counts
}

// NewGuard returns a Guard around store. Its jitter is drawn from seed.
func NewGuard(store Store, clock timekeeper.Clock, seed uint64) *Guard {
	return &Guard{
		store:  store,
		clock:  clock,
		rng:    rand.New(rand.NewPCG(seed, 0)),
		budget: maxBudget,
		counts: make(map[Purpose]Counts),
	}
}

// For returns the store as used for one purpose.
func (g *Guard) For(p Purpose) Store { return guarded{guard: g, purpose: p} }

// Counts returns the calls made so far, by purpose.
func (g *Guard) Counts() map[Purpose]Counts {
	g.mu.Lock()
	defer g.mu.Unlock()
	return maps.Clone(g.counts)
}

// Open reports whether the circuit is open: calls fail without being sent.
func (g *Guard) Open() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.circuit.open(g.clock.Now())
}

// call runs one operation with deadline, circuit and retries. An unknown
// outcome is retried only where again is true.
func (g *Guard) call(ctx context.Context, p Purpose, write, again bool, do func(context.Context) error) error {
	unknown := false
	for attempt := 1; ; attempt++ {
		probe, ok := g.admit(p, write, attempt > 1)
		if !ok {
			return worse(unknown, ErrUnavailable)
		}
		err := g.attempt(ctx, p, probe, do)
		unknown = unknown || errors.Is(err, ErrUnknown)
		if !retryable(err, again) || attempt == maxAttempts || ctx.Err() != nil {
			return worse(unknown, err)
		}
		wait, ok := g.backoff(attempt)
		if !ok {
			return worse(unknown, err)
		}
		select {
		case <-ctx.Done():
			return worse(unknown, err)
		case <-g.clock.After(wait):
		}
	}
}

// worse keeps an unknown outcome from being reported as "nothing written"
// because a later attempt did not reach the store.
func worse(unknown bool, err error) error {
	if unknown && err != nil {
		return ErrUnknown
	}
	return err
}

func retryable(err error, again bool) bool {
	return errors.Is(err, ErrUnavailable) || again && errors.Is(err, ErrUnknown)
}

// admit asks the circuit for one attempt, and reports whether it is a probe.
func (g *Guard) admit(p Purpose, write, retry bool) (probe, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := g.counts[p]
	defer func() { g.counts[p] = c }()
	probe, ok = g.circuit.admit(g.clock.Now())
	if !ok {
		c.Rejected++
		return false, false
	}
	if retry {
		c.Retries++
	} else {
		g.budget = min(maxBudget, g.budget+budgetPerCall)
	}
	if write {
		c.Writes++
	} else {
		c.Reads++
	}
	return probe, true
}

func (g *Guard) attempt(ctx context.Context, p Purpose, probe bool, do func(context.Context) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-ctx.Done():
		case <-g.clock.After(CallTimeout):
			cancel()
		}
	}()
	err := do(ctx)
	failed := errors.Is(err, ErrUnavailable) || errors.Is(err, ErrUnknown)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.circuit.record(g.clock.Now(), failed, probe, g.rng)
	if failed {
		c := g.counts[p]
		c.Failures++
		g.counts[p] = c
	}
	return err
}

// backoff returns a random wait before the next attempt, if the budget allows
// one.
func (g *Guard) backoff(attempt int) (time.Duration, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.budget < 1 {
		return 0, false
	}
	g.budget--
	limit := firstBackoff << (attempt - 1)
	return time.Duration(g.rng.Int64N(int64(limit))) + time.Millisecond, true
}
