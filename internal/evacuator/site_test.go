package evacuator

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"lentilwood.example/lentilwood/internal/configurer"
	"lentilwood.example/lentilwood/internal/keeper"
	"lentilwood.example/lentilwood/internal/messenger"
	"lentilwood.example/lentilwood/internal/storer"
	"lentilwood.example/lentilwood/internal/timekeeper"
)

var start = time.Date(2026, 5, 4, 8, 0, 0, 0, time.UTC)

const (
	fullWindow = 8
	longRun    = 30 * time.Minute
)

// site is a pool that moves from the failure domain "old" to "new", with
// requests that keep it busy.
type site struct {
	t      *testing.T
	rng    *rand.Rand
	clock  *timekeeper.Manual
	keeper *keeper.Keeper
	editor *configurer.Editor
	doc    *configurer.Document
	policy *messenger.Policy
	// writes is the count of writes up to which doc is current.
	writes int
	e      *Evacuator

	loadEvery time.Duration
	ready     map[messenger.UpstreamID]bool
	loaded    time.Time
	running   map[messenger.UpstreamID][]request
	movable   bool

	capacity int
	floor    int
	warnings int
	moves    int
}

// request ends at a time; a long one runs for longRun at most.
type request struct {
	ends time.Time
	long bool
}

func newSite(t *testing.T, n int, seed uint64) *site {
	clock := timekeeper.NewManual(start)
	k := keeper.New(clock)
	s := &site{
		t: t, rng: rand.New(rand.NewPCG(seed, 4)), clock: clock, keeper: k,
		editor: &configurer.Editor{Store: k, Clock: clock}, e: New("move"),
		loadEvery: 5 * time.Minute, loaded: start, movable: true,
		ready: make(map[messenger.UpstreamID]bool), running: make(map[messenger.UpstreamID][]request),
	}
	window, leaving, engine := fullWindow, true, true
	d := &configurer.Document{
		Pools:     map[messenger.PoolID]configurer.PoolSettings{"p": {}},
		Upstreams: make(map[messenger.UpstreamID]configurer.UpstreamSettings),
	}
	for i := range n {
		d.Upstreams[messenger.UpstreamID(fmt.Sprintf("old%02d", i))] = configurer.UpstreamSettings{
			Pool: "p", Domain: "old", Address: fmt.Sprintf("10.0.0.%d:80", i+1), Window: &window, Engine: &engine}
		d.Upstreams[messenger.UpstreamID(fmt.Sprintf("new%02d", i))] = configurer.UpstreamSettings{
			Pool: "p", Domain: "new", Address: fmt.Sprintf("10.0.1.%d:80", i+1), Window: &window, Engine: &engine, Leaving: &leaving}
	}
	if _, err := s.editor.Set(t.Context(), d, configurer.Note{Author: "ilze", Reason: "start"}); err != nil {
		t.Fatal(err)
	}
	s.refresh()
	s.floor = n * fullWindow
	return s
}

func (s *site) refresh() {
	writes := s.keeper.Counts().Writes
	if s.doc != nil && writes == s.writes {
		return
	}
	if d, err := s.editor.Show(s.t.Context()); err == nil {
		if s.doc == nil || d.Version != s.doc.Version {
			s.policy = d.Resolve(start, "", "")
		}
		s.doc, s.writes = d, writes
	}
}

func (s *site) create(by time.Duration) {
	s.t.Helper()
	p, err := Create(start, s.doc, Request{
		Name: "move", Site: "old", Reason: "lease ends", Author: "ilze", By: start.Add(by), LongestRun: longRun,
	})
	if err != nil {
		s.t.Fatal(err)
	}
	if err := s.keeper.Commit(s.t.Context(), []storer.Op{p.Save(0)}); err != nil {
		s.t.Fatal(err)
	}
	s.e.Handle(start, Lead{})
}

// takeOver lets another router, without memory, go on with the plan.
func (s *site) takeOver() {
	s.e = New("move")
	s.e.Handle(s.clock.Now(), Lead{})
}

// run lets time pass, until the plan is finished if that comes first.
func (s *site) run(d time.Duration) {
	s.t.Helper()
	for end := s.clock.Now().Add(d); s.clock.Now().Before(end); s.clock.Advance(TickInterval) {
		now := s.clock.Now()
		s.load(now)
		s.serve(now)
		if now.Sub(start)%(5*time.Second) == 0 {
			s.refresh()
			s.e.Handle(now, s.see(now))
		}
		for _, a := range s.e.Handle(now, Tick{}) {
			s.carryOut(now, a)
		}
		if p, ok := s.e.Plan(); ok && p.Finished() {
			return
		}
	}
}

// load has the weight store load one replacement at a time.
func (s *site) load(now time.Time) {
	if now.Sub(s.loaded) < s.loadEvery {
		return
	}
	s.loaded = now
	for _, id := range sortedIDs(s.doc.Upstreams) {
		if s.doc.Upstreams[id].Domain == "new" && !s.ready[id] {
			s.ready[id] = true
			return
		}
	}
}

// serve fills the windows with requests and ends those that are over. It holds
// the promises to callers.
func (s *site) serve(now time.Time) {
	policy := s.policy
	s.capacity = 0
	for _, id := range sortedIDs(policy.Upstreams) {
		u := policy.Upstreams[id]
		s.end(id, now)
		if u.MoveTo != "" && s.movable {
			s.moves += len(s.running[id])
			s.running[u.MoveTo] = append(s.running[u.MoveTo], s.running[id]...)
			s.running[id] = nil
		}
		if u.Leaving {
			continue
		}
		s.capacity += u.Window
		if u.Domain == "new" && !s.ready[id] {
			s.t.Fatalf("%s gets work before it is loaded", id)
		}
		for len(s.running[id]) < u.Window {
			s.running[id] = append(s.running[id], s.request(now, u.NoLong))
		}
	}
}

func (s *site) request(now time.Time, noLong bool) request {
	if !noLong && s.rng.IntN(20) == 0 {
		return request{ends: now.Add(time.Duration(s.rng.Int64N(int64(longRun)))), long: true}
	}
	return request{ends: now.Add(time.Duration(1+s.rng.IntN(20)) * time.Second)}
}

func (s *site) end(id messenger.UpstreamID, now time.Time) {
	var kept []request
	for _, r := range s.running[id] {
		if r.ends.After(now) {
			kept = append(kept, r)
		}
	}
	s.running[id] = kept
}

func (s *site) see(now time.Time) Seen {
	v := View{Ready: s.ready, Running: make(map[messenger.UpstreamID]int), Measured: make(map[messenger.UpstreamID]time.Time)}
	for id := range s.doc.Upstreams {
		v.Running[id], v.Measured[id] = len(s.running[id]), now
	}
	return Seen{View: v, Exceptions: s.doc.Exceptions}
}

func (s *site) carryOut(now time.Time, a Action) {
	ctx := s.t.Context()
	switch a := a.(type) {
	case ReadPlan:
		row, err := s.keeper.Read(ctx, Table, a.Key)
		s.e.Handle(now, PlanRead{Row: row, Err: err})
	case SavePlan:
		s.e.Handle(now, PlanSaved{Err: s.keeper.Commit(ctx, []storer.Op{a.Op})})
	case PutException:
		_, err := s.editor.PutException(ctx, 0, a.ID, a.Exception)
		s.e.Handle(now, ExceptionPut{ID: a.ID, Err: err})
	case Warn:
		s.warnings++
	}
}

// saved returns the plan as the table holds it.
func (s *site) saved() Plan {
	s.t.Helper()
	s.keeper.SetFaults(keeper.Faults{})
	e := New("move")
	e.Handle(s.clock.Now(), Lead{})
	row, err := s.keeper.Read(s.t.Context(), Table, "move")
	if err != nil {
		s.t.Fatal(err)
	}
	e.Handle(s.clock.Now(), PlanRead{Row: row})
	p, ok := e.Plan()
	if !ok {
		s.t.Fatal(errors.New("the plan cannot be read"))
	}
	return p
}
