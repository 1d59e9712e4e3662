package leaser

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"lentilwood.example/lentilwood/internal/keeper"
	"lentilwood.example/lentilwood/internal/messenger"
	"lentilwood.example/lentilwood/internal/storer"
	"lentilwood.example/lentilwood/internal/timekeeper"
)

var start = time.Date(2026, 5, 4, 8, 0, 0, 0, time.UTC)

const ttl = 30 * time.Second

// contender is one router with its leaser and its calls in progress.
type contender struct {
	t        *testing.T
	leaser   *Leaser
	store    *keeper.Keeper
	paused   bool
	events   []Event
	answers  []Event
	outcomes []Action
}

func newContender(t *testing.T, store *keeper.Keeper, name messenger.RouterID) *contender {
	c := &contender{t: t, store: store, leaser: New(Config{Self: name, Name: "orders", TTL: ttl, Seed: 1})}
	c.events = []Event{SetWanted{Wanted: true}}
	return c
}

// step runs the router once, unless it is paused.
func (c *contender) step(now time.Time) {
	if c.paused {
		return
	}
	events := append(append(c.events, c.answers...), Tick{})
	c.events, c.answers = nil, nil
	for _, e := range events {
		for _, a := range c.leaser.Handle(now, e) {
			c.perform(a)
		}
	}
}

func (c *contender) perform(a Action) {
	switch a := a.(type) {
	case ReadRow:
		row, err := c.store.Read(c.t.Context(), Table, a.Key)
		c.answers = append(c.answers, RowRead{Call: a.Call, Row: row, Err: err})
	case WriteRow:
		err := c.store.Commit(c.t.Context(), []storer.Op{a.Op})
		c.answers = append(c.answers, RowWritten{Call: a.Call, Err: err})
	default:
		c.outcomes = append(c.outcomes, a)
	}
}

// runBoth runs two contenders for a duration and fails if both hold the lease.
func runBoth(t *testing.T, clock *timekeeper.Manual, a, b *contender, d time.Duration) {
	t.Helper()
	for end := clock.Now().Add(d); clock.Now().Before(end); clock.Advance(TickInterval) {
		a.step(clock.Now())
		b.step(clock.Now())
		requireOneHolder(t, clock.Now(), a.leaser, b.leaser)
	}
}

func requireOneHolder(t *testing.T, now time.Time, a, b *Leaser) {
	t.Helper()
	la, heldA := a.Held(now)
	lb, heldB := b.Held(now)
	if heldA && heldB {
		t.Fatalf("at %v both contenders hold the lease, with fences %d and %d", now.Sub(start), la.Fence, lb.Fence)
	}
}

func heldFence(t *testing.T, l *Leaser, now time.Time) uint64 {
	t.Helper()
	lease, ok := l.Held(now)
	if !ok {
		t.Fatal("the lease is not held")
	}
	return lease.Fence
}

func TestHolderRenewsAndReleases(t *testing.T) {
	clock := timekeeper.NewManual(start)
	store := keeper.New(clock)
	a, b := newContender(t, store, "a"), newContender(t, store, "b")
	runBoth(t, clock, a, b, 10*ttl)
	holder, other := a, b
	if _, ok := b.leaser.Held(clock.Now()); ok {
		holder, other = b, a
	}
	if got := heldFence(t, holder.leaser, clock.Now()); got != 1 {
		t.Errorf("fence after renewals: got %d, want 1", got)
	}
	if got := store.Counts().Writes; got > 40 {
		t.Errorf("writes in 300s: got %d, want about 30", got)
	}
	holder.events = append(holder.events, SetWanted{})
	runBoth(t, clock, a, b, 5*time.Second)
	if got := heldFence(t, other.leaser, clock.Now()); got != 2 {
		t.Errorf("fence after a release: got %d, want 2 within 5s", got)
	}
}

// upstream accepts orders; it may check fencing numbers.
type upstream struct {
	checksFence bool
	fence       uint64
	state       string
}

var errOldFence = errors.New("old fencing number")

func (u *upstream) order(fence uint64, state string) error {
	if u.checksFence && fence < u.fence {
		return errOldFence
	}
	u.fence = max(u.fence, fence)
	u.state = state
	return nil
}

// TestHolderPausedBetweenCheckAndAct guards against orders of an earlier holder taking effect:
// the holder is paused after it checked its lease and before it sends an order.
func TestHolderPausedBetweenCheckAndAct(t *testing.T) {
	clock := timekeeper.NewManual(start)
	store := keeper.New(clock)
	a, b := newContender(t, store, "a"), newContender(t, store, "b")
	a.step(clock.Now())
	runBoth(t, clock, a, b, 5*time.Second)
	old, ok := a.leaser.Held(clock.Now())
	if !ok {
		t.Fatal("a does not hold the lease")
	}
	a.paused = true
	runBoth(t, clock, a, b, 2*ttl)
	checking, ignoring := &upstream{checksFence: true}, &upstream{}
	newFence := heldFence(t, b.leaser, clock.Now())
	if err := checking.order(newFence, "b"); err != nil {
		t.Errorf("order of the new holder: %v", err)
	}
	if err := checking.order(old.Fence, "a"); !errors.Is(err, errOldFence) {
		t.Errorf("order of the paused holder: got %v, want it rejected", err)
	}
	if _, ok := a.leaser.Held(clock.Now()); ok {
		t.Error("the paused holder still holds the lease when it checks again")
	}
	acquired := b.outcomes[len(b.outcomes)-1].(Acquired)
	if wait := acquired.QuietUntil.Sub(old.Until); wait < ttl {
		t.Errorf("orders to upstreams that ignore fences start %v after the old lease expired, want at least one TTL", wait)
	}
	_ = ignoring.order(old.Fence, "a") // late, and not rejected
	_ = ignoring.order(newFence, "b")  // the new holder reads the state and sends its order again
	if ignoring.state != "b" {
		t.Errorf("state: got %q, want b", ignoring.state)
	}
}

// TestLeaseUnderFaults guards against two holders and against a lost lease: two contenders,
// sometimes paused, use a store that loses answers, fails and is unreachable, under many
// seeds.
func TestLeaseUnderFaults(t *testing.T) {
	t.Parallel()
	for seed := range uint64(100) {
		clock := timekeeper.NewManual(start)
		store := keeper.New(clock)
		rng := rand.New(rand.NewPCG(seed, 3))
		a, b := newContender(t, store, "a"), newContender(t, store, "b")
		for range 30 {
			store.SetFaults(keeper.RandomFaults(rng.Uint64()))
			a.paused, b.paused = rng.IntN(4) == 0, rng.IntN(4) == 0
			runBoth(t, clock, a, b, time.Duration(rng.IntN(40))*time.Second)
		}
		store.SetFaults(keeper.Faults{})
		a.paused, b.paused = false, false
		runBoth(t, clock, a, b, 2*ttl)
		_, heldA := a.leaser.Held(clock.Now())
		_, heldB := b.leaser.Held(clock.Now())
		if !heldA && !heldB {
			t.Fatalf("seed %d: no contender holds the lease a minute after the faults", seed)
		}
	}
}

// TestLateWriteDoesNotLengthenLease guards against a lease that lasts too long: a write of
// unknown outcome takes effect between a read and its answer, so that its sender writes once
// more. Contenders measure from the first write, and so must the sender.
func TestLateWriteDoesNotLengthenLease(t *testing.T) {
	l := New(Config{Self: "a", Name: "orders", TTL: ttl, Seed: 1})
	var row storer.Row
	read := func(now time.Time) uint64 {
		for {
			for _, a := range l.Handle(now, Tick{}) {
				if r, ok := a.(ReadRow); ok {
					return r.Call
				}
			}
			now = now.Add(TickInterval)
		}
	}
	l.Handle(start, SetWanted{Wanted: true})
	first := l.Handle(start, RowRead{Call: read(start), Err: storer.ErrNotFound})[0].(WriteRow)
	l.Handle(start, RowWritten{Call: first.Call, Err: storer.ErrUnknown})
	call := read(start) // reads before the row exists
	row = storer.Row{Value: first.Op.Value, Version: 1}
	late := start.Add(5 * time.Second)
	second := l.Handle(late, RowRead{Call: call, Err: storer.ErrNotFound})[0].(WriteRow)
	l.Handle(late, RowWritten{Call: second.Call, Err: storer.ErrConflict})
	l.Handle(late, RowRead{Call: read(late), Row: row})
	if lease, ok := l.Held(late); !ok || lease.Until.After(start.Add(ttl)) {
		t.Errorf("got %+v, %v, want a lease until %v at most", lease, ok, start.Add(ttl))
	}
}

// TestRestartedHolderWaitsForItself guards against a restarted router taking over its own
// lease at once: it does not know its earlier fencing number and has to wait as others do.
func TestRestartedHolderWaitsForItself(t *testing.T) {
	clock := timekeeper.NewManual(start)
	store := keeper.New(clock)
	a := newContender(t, store, "a")
	b := &contender{t: t, store: store, leaser: New(Config{Self: "a", Name: "orders", TTL: ttl, Seed: 2}), events: []Event{SetWanted{Wanted: true}}}
	a.step(clock.Now())
	runBoth(t, clock, a, b, 5*time.Second)
	a.paused = true
	runBoth(t, clock, a, b, 2*ttl)
	if got := heldFence(t, b.leaser, clock.Now()); got != 2 {
		t.Errorf("fence: got %d, want 2", got)
	}
}

func ExampleLeaser_Held() {
	l := New(Config{Self: "r1", Name: "orders", Seed: 1})
	_, ok := l.Held(start)
	fmt.Println(ok)
	// Output: false
}
