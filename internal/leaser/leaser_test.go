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

// contender is one router with its clock's deviation and its calls under way.
type contender struct {
	t       *testing.T
	l       *Leaser
	k       *keeper.Keeper
	paused  bool
	events  []Event
	answers []Event
	got     []Action
}

func newContender(t *testing.T, k *keeper.Keeper, name messenger.RouterID) *contender {
	c := &contender{t: t, k: k, l: New(Config{Self: name, Name: "orders", TTL: ttl, Seed: 1})}
	c.events = []Event{SetWanted{Wanted: true}}
	return c
}

// step lets the router run once, unless it is paused.
func (c *contender) step(now time.Time) {
	if c.paused {
		return
	}
	events := append(append(c.events, c.answers...), Tick{})
	c.events, c.answers = nil, nil
	for _, e := range events {
		for _, a := range c.l.Handle(now, e) {
			c.carryOut(a)
		}
	}
}

func (c *contender) carryOut(a Action) {
	switch a := a.(type) {
	case ReadRow:
		row, err := c.k.Read(c.t.Context(), Table, a.Key)
		c.answers = append(c.answers, RowRead{Call: a.Call, Row: row, Err: err})
	case WriteRow:
		err := c.k.Commit(c.t.Context(), []storer.Op{a.Op})
		c.answers = append(c.answers, RowWritten{Call: a.Call, Err: err})
	default:
		c.got = append(c.got, a)
	}
}

// pair runs two contenders for a time and fails if both hold the lease.
func pair(t *testing.T, clock *timekeeper.Manual, a, b *contender, d time.Duration) {
	t.Helper()
	for end := clock.Now().Add(d); clock.Now().Before(end); clock.Advance(TickInterval) {
		a.step(clock.Now())
		b.step(clock.Now())
		oneHolder(t, clock.Now(), a.l, b.l)
	}
}

func oneHolder(t *testing.T, now time.Time, a, b *Leaser) {
	t.Helper()
	la, heldA := a.Held(now)
	lb, heldB := b.Held(now)
	if heldA && heldB {
		t.Fatalf("at %v both hold the lease, with fences %d and %d", now.Sub(start), la.Fence, lb.Fence)
	}
}

func fence(t *testing.T, l *Leaser, now time.Time) uint64 {
	t.Helper()
	lease, ok := l.Held(now)
	if !ok {
		t.Fatal("the lease is not held")
	}
	return lease.Fence
}

func TestHolderRenewsAndReleases(t *testing.T) {
	clock := timekeeper.NewManual(start)
	k := keeper.New(clock)
	a, b := newContender(t, k, "a"), newContender(t, k, "b")
	pair(t, clock, a, b, 10*ttl)
	holder, other := a, b
	if _, ok := b.l.Held(clock.Now()); ok {
		holder, other = b, a
	}
	if got := fence(t, holder.l, clock.Now()); got != 1 {
		t.Errorf("fence after renewals: got %d, want 1", got)
	}
	if got := k.Counts().Writes; got > 40 {
		t.Errorf("writes in 300s: got %d, want about 30", got)
	}
	holder.events = append(holder.events, SetWanted{})
	pair(t, clock, a, b, 5*time.Second)
	if got := fence(t, other.l, clock.Now()); got != 2 {
		t.Errorf("fence after a release: got %d, want 2 within 5s", got)
	}
}

// upstream takes orders; it may check fencing numbers.
type upstream struct {
	checks bool
	fence  uint64
	state  string
}

var errOldFence = errors.New("old fencing number")

func (u *upstream) order(fence uint64, state string) error {
	if u.checks && fence < u.fence {
		return errOldFence
	}
	u.fence = max(u.fence, fence)
	u.state = state
	return nil
}

// TestHolderPausedBetweenCheckAndAct pauses a holder after it has looked at
// its lease and before its order leaves.
func TestHolderPausedBetweenCheckAndAct(t *testing.T) {
	clock := timekeeper.NewManual(start)
	k := keeper.New(clock)
	a, b := newContender(t, k, "a"), newContender(t, k, "b")
	a.step(clock.Now())
	pair(t, clock, a, b, 5*time.Second)
	old, ok := a.l.Held(clock.Now())
	if !ok {
		t.Fatal("a does not hold the lease")
	}
	a.paused = true
	pair(t, clock, a, b, 2*ttl)
	checking, ignoring := &upstream{checks: true}, &upstream{}
	lease := fence(t, b.l, clock.Now())
	if err := checking.order(lease, "b"); err != nil {
		t.Errorf("order of the new holder: %v", err)
	}
	if err := checking.order(old.Fence, "a"); !errors.Is(err, errOldFence) {
		t.Errorf("order of the paused holder: got %v, want it refused", err)
	}
	if _, ok := a.l.Held(clock.Now()); ok {
		t.Error("the paused holder, looking again, believes that it holds the lease")
	}
	acquired := b.got[len(b.got)-1].(Acquired)
	if wait := acquired.QuietUntil.Sub(old.Until); wait < ttl {
		t.Errorf("orders to upstreams that ignore fences start %v after the old lease, want a lease's time", wait)
	}
	_ = ignoring.order(old.Fence, "a") // late, and not refused
	_ = ignoring.order(lease, "b")     // the new holder reads back and asserts again
	if ignoring.state != "b" {
		t.Errorf("state: got %q, want b", ignoring.state)
	}
}

// TestLeaseUnderFaults runs two contenders over a store that loses answers,
// fails and is down, with pauses, under many seeds.
func TestLeaseUnderFaults(t *testing.T) {
	t.Parallel()
	for seed := range uint64(100) {
		clock := timekeeper.NewManual(start)
		k := keeper.New(clock)
		rng := rand.New(rand.NewPCG(seed, 3))
		a, b := newContender(t, k, "a"), newContender(t, k, "b")
		for range 30 {
			k.SetFaults(keeper.RandomFaults(rng.Uint64()))
			a.paused, b.paused = rng.IntN(4) == 0, rng.IntN(4) == 0
			pair(t, clock, a, b, time.Duration(rng.IntN(40))*time.Second)
		}
		k.SetFaults(keeper.Faults{})
		a.paused, b.paused = false, false
		pair(t, clock, a, b, 2*ttl)
		_, heldA := a.l.Held(clock.Now())
		_, heldB := b.l.Held(clock.Now())
		if !heldA && !heldB {
			t.Fatalf("seed %d: nobody holds the lease a minute after the faults", seed)
		}
	}
}

// TestLateWriteDoesNotLengthenLease lets a write of unknown outcome take effect
// between a read and its answer, so that its sender writes once more. A
// contender counts from the first write; so must the sender.
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
	call := read(start) // sees no row yet
	row = storer.Row{Value: first.Op.Value, Version: 1}
	late := start.Add(5 * time.Second)
	second := l.Handle(late, RowRead{Call: call, Err: storer.ErrNotFound})[0].(WriteRow)
	l.Handle(late, RowWritten{Call: second.Call, Err: storer.ErrConflict})
	l.Handle(late, RowRead{Call: read(late), Row: row})
	if lease, ok := l.Held(late); !ok || lease.Until.After(start.Add(ttl)) {
		t.Errorf("got %+v, %v, want a lease until %v at most", lease, ok, start.Add(ttl))
	}
}

// TestRestartedHolderWaitsForItself restarts the holder without its memory.
func TestRestartedHolderWaitsForItself(t *testing.T) {
	clock := timekeeper.NewManual(start)
	k := keeper.New(clock)
	a := newContender(t, k, "a")
	b := &contender{t: t, k: k, l: New(Config{Self: "a", Name: "orders", TTL: ttl, Seed: 2}), events: []Event{SetWanted{Wanted: true}}}
	a.step(clock.Now())
	pair(t, clock, a, b, 5*time.Second)
	a.paused = true
	pair(t, clock, a, b, 2*ttl)
	if got := fence(t, b.l, clock.Now()); got != 2 {
		t.Errorf("fence: got %d, want 2", got)
	}
}

func ExampleLeaser_Held() {
	l := New(Config{Self: "r1", Name: "orders", Seed: 1})
	_, ok := l.Held(start)
	fmt.Println(ok)
	// Output: false
}
