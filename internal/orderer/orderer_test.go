package orderer

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"lentilwood.example/lentilwood/internal/leaser"
	"lentilwood.example/lentilwood/internal/messenger"
)

var start = time.Date(2026, 5, 4, 8, 0, 0, 0, time.UTC)

const loadTime = 20 * time.Second

// fakeEngine carries out orders after loadTime.
type fakeEngine struct {
	checks bool
	fence  uint64
	state  State
	orders int
}

func (f *fakeEngine) take(a SendOrder) (oldFence bool) {
	if f.checks && a.Fence < f.fence {
		return true
	}
	f.fence = max(f.fence, a.Fence)
	f.orders++
	switch a.Order.Kind {
	case LoadModel:
		f.state.Models = maps.Clone(f.state.Models)
		if f.state.Models == nil {
			f.state.Models = make(map[string]string)
		}
		f.state.Models[a.Order.Model] = a.Order.Version
	case LoadAdapter:
		f.state.Adapters = append(slices.Clone(f.state.Adapters), a.Order.Adapter)
	case SetRole:
		f.state.Role = a.Order.Role
	case Unload:
		f.state.Models = maps.Clone(f.state.Models)
		delete(f.state.Models, a.Order.Model)
		f.state.Adapters = slices.DeleteFunc(slices.Clone(f.state.Adapters), func(s string) bool { return s == a.Order.Adapter })
	}
	return false
}

// site is engines and the orderers that order them.
type site struct {
	now     time.Time
	engines map[messenger.UpstreamID]*fakeEngine
	rng     *rand.Rand
	// failures is the share of orders that fail, half of them after effect.
	failures float64
	loads    []time.Time
	pending  []delayed
	resigned bool
}

type delayed struct {
	due time.Time
	o   *Orderer
	e   Event
}

func newSite(n int) *site {
	s := &site{now: start, engines: make(map[messenger.UpstreamID]*fakeEngine), rng: rand.New(rand.NewPCG(1, 1))}
	for i := range n {
		s.engines[messenger.UpstreamID(fmt.Sprintf("w%02d", i))] = &fakeEngine{checks: true}
	}
	return s
}

func (s *site) wanted(want State) Wanted {
	w := Wanted{Engines: make(map[messenger.UpstreamID]Engine)}
	for id, e := range s.engines {
		w.Engines[id] = Engine{Want: want, ChecksFence: e.checks}
	}
	return w
}

func lead(now time.Time, fence uint64) Lead {
	return Lead{Lease: leaser.Lease{Fence: fence, Until: now.Add(24 * time.Hour)}, Quiet: now.Add(31 * time.Second)}
}

// run lets the orderers work for a time.
func (s *site) run(d time.Duration, orderers ...*Orderer) {
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(TickInterval) {
		due := s.pending
		s.pending = nil
		for _, p := range due {
			if p.due.After(s.now) {
				s.pending = append(s.pending, p)
				continue
			}
			s.feed(p.o, p.e)
		}
		for _, o := range orderers {
			s.feed(o, Tick{})
		}
	}
}

func (s *site) feed(o *Orderer, e Event) {
	for _, a := range o.Handle(s.now, e) {
		switch a := a.(type) {
		case ReadState:
			s.feed(o, StateRead{Upstream: a.Upstream, State: s.engines[a.Upstream].state})
		case SendOrder:
			s.send(o, a)
		case Resign:
			s.resigned = true
		}
	}
}

func (s *site) send(o *Orderer, a SendOrder) {
	done := OrderDone{Upstream: a.Upstream, Fence: a.Fence}
	if s.rng.Float64() < s.failures {
		done.Err = errors.New("order failed")
	}
	if done.Err == nil || s.rng.IntN(2) == 0 {
		done.OldFence = s.engines[a.Upstream].take(a)
	}
	if a.Order.loads() {
		s.loads = append(s.loads, s.now)
	}
	s.pending = append(s.pending, delayed{due: s.now.Add(loadTime), o: o, e: done})
}

func (s *site) reached(want State) int {
	n := 0
	for _, e := range s.engines {
		if _, missing := next(e.state, want); !missing {
			n++
		}
	}
	return n
}

var want = State{Models: map[string]string{"fitting": "7"}, Adapters: []string{"wigs"}, Role: "decode"}

func TestEnginesReachAndKeepWantedState(t *testing.T) {
	for _, failures := range []float64{0, 0.3} {
		s := newSite(4)
		s.failures = failures
		s.engines["w00"].state = State{Models: map[string]string{"old": "1", "fitting": "6"}, Adapters: []string{"caps"}}
		o := New(Config{})
		s.feed(o, s.wanted(want))
		s.feed(o, lead(s.now, 1))
		s.run(10*time.Minute, o)
		if got := s.reached(want); got != 4 {
			t.Errorf("failures %v: %d engines have the wanted state, want 4", failures, got)
		}
		if got := s.engines["w00"].state; len(got.Models) != 1 || len(got.Adapters) != 1 {
			t.Errorf("w00: got %+v, want nothing else loaded", got)
		}
		s.engines["w01"].state = State{} // restarted
		s.run(10*time.Minute, o)
		if got := s.reached(want); got != 4 {
			t.Errorf("failures %v: after a restart %d engines have the wanted state, want 4", failures, got)
		}
	}
}

func TestLoadsKeepWithinWeightStoresRate(t *testing.T) {
	s := newSite(12)
	o := New(Config{LoadsPerMinute: 2, MaxLoads: 1})
	s.feed(o, s.wanted(want))
	s.feed(o, lead(s.now, 1))
	s.run(5*time.Minute, o)
	next := New(Config{LoadsPerMinute: 2, MaxLoads: 1})
	s.feed(o, Follow{})
	s.feed(next, s.wanted(want))
	s.feed(next, lead(s.now, 2))
	s.run(10*time.Minute, o, next)
	for i := 2; i < len(s.loads); i++ {
		if gap := s.loads[i].Sub(s.loads[i-2]); gap < 59*time.Second {
			t.Errorf("loads %d to %d began within %v, want a minute", i-2, i, gap)
		}
	}
	if got := s.reached(want); got != 12 {
		t.Errorf("%d engines have the wanted state, want 12", got)
	}
}

// TestPausedHolder lets an earlier holder's order arrive after the new holder's.
func TestPausedHolder(t *testing.T) {
	s := newSite(2)
	s.engines["w01"].checks = false
	paused, o := New(Config{}), New(Config{})
	s.feed(paused, s.wanted(State{Models: map[string]string{"fitting": "6"}}))
	s.feed(paused, lead(s.now, 1))
	s.feed(o, s.wanted(want))
	s.feed(o, lead(s.now, 2))
	s.run(2*time.Minute, o)
	if got := s.engines["w01"].orders; got != 0 {
		t.Errorf("the engine that ignores fences got %d orders while the new holder should keep still", got)
	}
	s.run(15*time.Minute, o)
	if got := s.reached(want); got != 2 {
		t.Fatalf("%d engines have the wanted state, want 2", got)
	}
	late := SendOrder{Order: Order{Kind: LoadModel, Model: "fitting", Version: "6"}, Fence: 1}
	if !s.engines["w00"].take(late) {
		t.Error("the engine that checks fences took a late order")
	}
	s.engines["w01"].take(late)
	s.run(assertInterval+2*loadTime, o)
	if got := s.reached(want); got != 2 {
		t.Errorf("after a late order %d engines have the wanted state, want 2", got)
	}
	s.feed(paused, Tick{})
	s.run(time.Minute, paused)
	if !s.resigned {
		t.Error("the earlier holder, refused by an engine, does not resign")
	}
}

// TestLoadUnderWayIsNotOrderedAgain meets an engine that answers an order at
// once and loads afterwards, begun by an earlier holder.
func TestLoadUnderWayIsNotOrderedAgain(t *testing.T) {
	o := New(Config{MaxLoads: 1})
	w := Wanted{Engines: map[messenger.UpstreamID]Engine{"a": {Want: want, ChecksFence: true}, "b": {Want: want, ChecksFence: true}}}
	o.Handle(start, w)
	o.Handle(start, lead(start, 1))
	o.Handle(start, Tick{})
	underWay := StateRead{Upstream: "a", Loading: map[string]string{"fitting": "7"}}
	if got := o.Handle(start, underWay); len(got) != 0 {
		t.Errorf("got %+v, want no order while the model is loading", got)
	}
	if got := o.Handle(start, StateRead{Upstream: "b"}); len(got) != 0 {
		t.Errorf("got %+v, want no second load at a time", got)
	}
	later := start.Add(loadingInterval)
	o.Handle(later, Tick{})
	o.Handle(later, StateRead{Upstream: "a", State: want})
	if got := o.Handle(later, StateRead{Upstream: "b"}); len(got) != 1 || !o.Ready("a") {
		t.Errorf("got %+v, ready %v, want an order to b once a is loaded", got, o.Ready("a"))
	}
}

func TestNoOrderWithoutLease(t *testing.T) {
	s := newSite(1)
	o := New(Config{})
	s.feed(o, s.wanted(want))
	s.run(time.Minute, o)
	s.feed(o, Lead{Lease: leaser.Lease{Fence: 1, Until: s.now}})
	s.run(time.Minute, o)
	if got := s.engines["w00"].orders; got != 0 {
		t.Errorf("got %d orders without a lease", got)
	}
}
