package evacuator

import (
	"errors"
	"strings"
	"testing"
	"time"

	"lentilwood.example/lentilwood/internal/configurer"
	"lentilwood.example/lentilwood/internal/keeper"
	"lentilwood.example/lentilwood/internal/messenger"
	"lentilwood.example/lentilwood/internal/storer"
)

// finish runs a plan to its end and holds what must be true of it.
func finish(t *testing.T, s *site, d time.Duration) Plan {
	t.Helper()
	s.run(d)
	p := s.saved()
	if !p.Finished() {
		t.Fatalf("not finished after %v: %+v", s.clock.Now().Sub(start), p.Steps)
	}
	s.refresh()
	policy := s.doc.Resolve(s.clock.Now(), "", "")
	for _, step := range p.Steps {
		if n := len(s.running[step.From]); n != 0 || !policy.Upstreams[step.From].Leaving {
			t.Errorf("%s: %d requests are running, leaving %v, want it empty", step.From, n, policy.Upstreams[step.From].Leaving)
		}
	}
	for _, step := range p.Steps {
		drains := 0
		for _, entry := range p.Log {
			if strings.HasPrefix(entry.Text, string(step.From)+" to ") && strings.Contains(entry.Text, ": draining") {
				drains++
			}
		}
		if drains != 1 {
			t.Errorf("%s was drained %d times, want once", step.From, drains)
		}
	}
	return p
}

func TestSiteIsEmptiedWithoutLossOfCapacity(t *testing.T) {
	t.Parallel()
	s := newSite(t, 6, 1)
	s.create(24 * time.Hour)
	least := s.floor
	for i := range 24 * 60 {
		s.run(time.Minute)
		if i > 0 {
			least = min(least, s.capacity)
		}
	}
	p := finish(t, s, time.Minute)
	if s.moves == 0 {
		t.Error("no stream was moved, though some run for longer than the plan waits")
	}
	if least < s.floor {
		t.Errorf("capacity fell to %d, want at least %d: new before old", least, s.floor)
	}
	if len(p.Log) == 0 || s.warnings > 0 {
		t.Errorf("got %d lines of log and %d warnings, want a log and no warning", len(p.Log), s.warnings)
	}
}

// TestAnyRouterGoesOn replaces the router that runs the plan again and again,
// over a store that fails and loses answers.
func TestAnyRouterGoesOn(t *testing.T) {
	t.Parallel()
	for seed := range uint64(10) {
		s := newSite(t, 4, seed)
		s.create(24 * time.Hour)
		for range 200 {
			s.keeper.SetFaults(keeper.RandomFaults(s.rng.Uint64()))
			s.run(time.Duration(s.rng.IntN(60)) * time.Second)
			s.takeOver()
		}
		s.keeper.SetFaults(keeper.Faults{})
		finish(t, s, 6*time.Hour)
	}
}

// TestPausedHolderActsOnOldPlan lets a paused holder act on an old plan.
func TestPausedHolderActsOnOldPlan(t *testing.T) {
	s := newSite(t, 3, 1)
	s.create(24 * time.Hour)
	s.run(20 * time.Minute)
	paused := s.e
	s.takeOver()
	s.run(30 * time.Minute)
	current := s.e
	before := s.saved()
	s.e = paused
	s.run(5 * time.Second)
	s.e = current
	after := s.saved()
	for i := range before.Steps {
		if order(after.Steps[i].Phase) < order(before.Steps[i].Phase) {
			t.Errorf("%s went from %s back to %s", before.Steps[i].From, before.Steps[i].Phase, after.Steps[i].Phase)
		}
	}
	finish(t, s, 6*time.Hour)
}

// TestLateSaveIsRefused pauses a holder between its decision and its write.
func TestLateSaveIsRefused(t *testing.T) {
	s := newSite(t, 2, 1)
	s.create(24 * time.Hour)
	s.run(5 * time.Second)
	s.ready["new00"] = true
	s.e.Handle(s.clock.Now(), s.see(s.clock.Now()))
	late, ok := s.e.Handle(s.clock.Now(), Tick{})[0].(SavePlan)
	if !ok {
		t.Fatal("the holder does not save its step")
	}
	s.takeOver()
	s.run(30 * time.Minute)
	if err := s.keeper.Commit(t.Context(), []storer.Op{late.Op}); !errors.Is(err, storer.ErrConflict) {
		t.Errorf("late write: got %v, want a conflict", err)
	}
}

func order(p Phase) int {
	for i, q := range []Phase{Loading, Warming, Draining, Moving, Done} {
		if p == q {
			return i
		}
	}
	return -1
}

// TestStreamsThatCannotMoveFinish refuses every move: the work finishes where
// it is, and the upstream is not called empty before.
func TestStreamsThatCannotMoveFinish(t *testing.T) {
	s := newSite(t, 2, 1)
	s.movable = false
	s.create(24 * time.Hour)
	finish(t, s, 6*time.Hour)
}

func TestDateAtRiskIsToldEarly(t *testing.T) {
	t.Parallel()
	s := newSite(t, 8, 1)
	s.loadEvery = 40 * time.Minute
	s.create(5 * time.Hour)
	s.run(90 * time.Minute)
	if s.warnings == 0 {
		t.Error("no warning 3.5 hours before a date that cannot be met")
	}
	f := s.e.Forecast(s.clock.Now())
	if !f.AtRisk || f.Finish.Before(start.Add(5*time.Hour)) || f.Latest.Before(f.Finish) {
		t.Errorf("got %+v, want a forecast after the date", f)
	}
	p := finish(t, s, 4*time.Hour)
	if s.clock.Now().After(p.By) {
		t.Errorf("finished %v after the date", s.clock.Now().Sub(p.By))
	}
}

// TestNoLongWorkPastLatestStart has loads take too long, so that the old
// upstreams work until shortly before the date.
func TestNoLongWorkPastLatestStart(t *testing.T) {
	s := newSite(t, 2, 1)
	s.loadEvery = 100 * time.Hour
	s.create(3 * time.Hour)
	s.run(3*time.Hour - longRun + 10*time.Second)
	policy := s.doc.Resolve(s.clock.Now(), "", "")
	if u := policy.Upstreams["old00"]; !u.NoLong || u.Leaving {
		t.Errorf("old00: got %+v, want no new long work, but short work", u)
	}
	finish(t, s, longRun)
}

func TestPause(t *testing.T) {
	t.Parallel()
	s := newSite(t, 3, 1)
	s.create(24 * time.Hour)
	s.run(8 * time.Minute)
	p := s.saved()
	p.Paused = true
	row, _ := s.keeper.Read(t.Context(), Table, "move")
	if err := s.keeper.Commit(t.Context(), []storer.Op{p.Save(row.Version)}); err != nil {
		t.Fatal(err)
	}
	s.run(readInterval + 5*time.Second)
	before := s.saved()
	s.run(2 * time.Hour)
	after := s.saved()
	for i := range before.Steps {
		if before.Steps[i].Phase != after.Steps[i].Phase {
			t.Errorf("%s: %s became %s while paused", before.Steps[i].From, before.Steps[i].Phase, after.Steps[i].Phase)
		}
	}
	after.Paused = false
	row, _ = s.keeper.Read(t.Context(), Table, "move")
	if err := s.keeper.Commit(t.Context(), []storer.Op{after.Save(row.Version)}); err != nil {
		t.Fatal(err)
	}
	finish(t, s, 6*time.Hour)
}

// TestDrainThatIsNotInForceYet keeps the store down between the plan's step
// and its exception, while the upstream happens to be empty.
func TestDrainThatIsNotInForceYet(t *testing.T) {
	p := Plan{Name: "move", By: start.Add(time.Hour), Steps: []Step{{From: "a", To: "b", Phase: Draining, Since: start}}}
	e := New("move")
	e.Handle(start, Lead{})
	e.plan, e.loaded, e.nextRead = p, true, start.Add(time.Hour)
	late := start.Add(5 * time.Minute)
	empty := View{Running: map[messenger.UpstreamID]int{"a": 0}, Measured: map[messenger.UpstreamID]time.Time{"a": late}}
	e.Handle(late, Seen{View: empty, Exceptions: map[string]configurer.Exception{}})
	if next, changed := advance(e.plan, late, e.view); changed {
		t.Errorf("got phase %s for an upstream that still gets work", next.Steps[0].Phase)
	}
}

func TestPlanThatCannotBeMade(t *testing.T) {
	s := newSite(t, 2, 1)
	tests := []struct {
		name string
		r    Request
		want string
	}{
		{"no reason", Request{Name: "a", Author: "ilze", Site: "old", By: start.Add(time.Hour)}, "needs a name, a reason"},
		{"date has passed", Request{Name: "a", Author: "ilze", Reason: "x", Site: "old", By: start}, "the date has passed"},
		{"unknown site", Request{Name: "a", Author: "ilze", Reason: "x", Site: "odl", By: start.Add(time.Hour)}, "no upstream stands in odl"},
		{"no replacements", Request{Name: "a", Author: "ilze", Reason: "x", Site: "new", By: start.Add(time.Hour)}, "no replacement in pool p for new00"},
	}
	for _, tt := range tests {
		_, err := Create(start, s.doc, tt.r)
		if !errors.Is(err, ErrNotPossible) || !strings.Contains(err.Error(), tt.want) {
			t.Errorf("%s: got %v, want %q", tt.name, err, tt.want)
		}
	}
}
