// Package evacuator empties a site by a date, without a caller noticing.
//
// For each upstream of the site a replacement elsewhere is loaded first, in
// the weight store's pace, which the orderer keeps. Then its window grows step
// by step, and only when it works at its full window the old upstream gets no
// new work. It finishes what it has; streams that take too long are moved by
// export and import of their KV cache. Long work is not begun where it could
// run past the date.
//
// The plan is a row of the platform's table. The holder of a lease works on
// it; it writes each step into the row before it acts on it, and acts by
// stating what is to be: exceptions of the configuration with fixed ids. So any
// router can go on with the plan at any point, and doing a step twice changes
// nothing.
//
// # Usage
//
//	plan, err := evacuator.Create(now, document, request)     // saved by Save
//	e := evacuator.New(plan.Name)
//	e.Handle(now, evacuator.Lead{Fence: acquired.Lease.Fence})
//	for _, a := range e.Handle(clock.Now(), evacuator.Tick{}) {
//		switch a := a.(type) {
//		case evacuator.ReadPlan:     // then PlanRead
//		case evacuator.SavePlan:     // store.Commit(ctx, []storer.Op{a.Op}), then PlanSaved
//		case evacuator.PutException: // Editor.PutException(ctx, 0, a.ID, a.Exception), then ExceptionPut
//		case evacuator.Warn:         // the date is at risk
//		}
//	}
package evacuator

import (
	"encoding/json"
	"reflect"
	"time"

	"lentilwood.example/lentilwood/internal/configurer"
	"lentilwood.example/lentilwood/internal/messenger"
	"lentilwood.example/lentilwood/internal/storer"
)

// Times of an Evacuator.
const (
	// TickInterval is the longest time between two Ticks.
	TickInterval = time.Second
	// readInterval is the time between two reads of the plan's row, which an
	// operator may have paused or resumed.
	readInterval = 10 * time.Second
	// callTimeout is when a call without an answer is given up.
	callTimeout = 30 * time.Second
	// retryInterval is the time before an exception that was refused is put
	// again, for instance because one of an operator's is in its place.
	retryInterval = 30 * time.Second
	// warnInterval is the time between two warnings.
	warnInterval = 10 * time.Minute
)

// Evacuator is the decision logic of one plan. It does no I/O and is not safe
// for concurrent use.
type Evacuator struct {
	name    string
	leads   bool
	plan    Plan
	version uint64
	loaded  bool

	view       View
	exceptions map[string]configurer.Exception

	// busy is what is waited for, since when.
	busy     bool
	since    time.Time
	nextRead time.Time
	failed   map[string]time.Time
	warned   time.Time
}

// New returns an Evacuator of the plan of a name, which does not lead yet.
func New(name string) *Evacuator {
	return &Evacuator{
		name:   name,
		failed: make(map[string]time.Time),
	}
}

// Plan returns the plan as last read or saved; false before the first read.
func (e *Evacuator) Plan() (Plan, bool) { return e.plan, e.loaded }

// Forecast says when the site will be empty.
func (e *Evacuator) Forecast(now time.Time) Forecast { return forecast(&e.plan, now) }

// Save returns the write that stores a plan, on top of a row's version.
func (p *Plan) Save(version uint64) storer.Op {
	data, err := json.Marshal(p)
	if err != nil {
		panic(err) // every field can be written
	}
	return storer.Op{Table: Table, Key: p.Name, Value: data, IfVersion: version}
}

// Handle takes one event and returns what is to be done.
func (e *Evacuator) Handle(now time.Time, ev Event) []Action {
	switch ev := ev.(type) {
	case Tick:
		return e.tick(now)
	case Lead:
		e.leads, e.loaded, e.busy, e.nextRead = true, false, false, now
	case Follow:
		e.leads = false
	case Seen:
		e.seen(now, ev)
	case PlanRead:
		e.planRead(now, ev)
	case PlanSaved:
		e.planSaved(now, ev)
	case ExceptionPut:
		e.busy = false
		if ev.Err != nil {
			e.failed[ev.ID] = now
		}
	}
	return nil
}

// seen takes what was seen, and notes since when drains are in force.
func (e *Evacuator) seen(now time.Time, s Seen) {
	drained := make(map[messenger.UpstreamID]time.Time)
	for _, step := range e.plan.Steps {
		x, ok := s.Exceptions[e.plan.id(step.From)]
		if !ok || x.Upstream == nil || x.Upstream.Leaving == nil || !*x.Upstream.Leaving {
			continue
		}
		drained[step.From] = now
		if since, ok := e.view.drained[step.From]; ok {
			drained[step.From] = since
		}
	}
	e.view, e.exceptions = s.View, s.Exceptions
	e.view.drained = drained
}

// tick does one thing at a time: read the plan, save what has changed in it,
// or bring the configuration in line with it.
func (e *Evacuator) tick(now time.Time) []Action {
	if e.busy && now.Sub(e.since) < callTimeout || !e.leads {
		return nil
	}
	if !e.loaded || !now.Before(e.nextRead) {
		return e.wait(now, ReadPlan{Key: e.name})
	}
	next, changed := advance(e.plan, now, e.view)
	if changed {
		return e.wait(now, SavePlan{Plan: next, Op: next.Save(e.version)})
	}
	if id, x, ok := e.missing(now); ok {
		return e.wait(now, PutException{ID: id, Exception: x})
	}
	return e.warn(now)
}

func (e *Evacuator) wait(now time.Time, a Action) []Action {
	e.busy, e.since = true, now
	return []Action{a}
}

// missing returns the first exception that the configuration lacks.
func (e *Evacuator) missing(now time.Time) (string, configurer.Exception, bool) {
	if e.exceptions == nil {
		return "", configurer.Exception{}, false
	}
	want := e.plan.Exceptions()
	for _, id := range sortedIDs(want) {
		if now.Sub(e.failed[id]) < retryInterval {
			continue
		}
		if have, ok := e.exceptions[id]; !ok || !reflect.DeepEqual(have, want[id]) {
			return id, want[id], true
		}
	}
	return "", configurer.Exception{}, false
}

// planRead takes the plan of the row.
func (e *Evacuator) planRead(now time.Time, r PlanRead) {
	e.busy = false
	if r.Err != nil {
		return
	}
	var p Plan
	if json.Unmarshal(r.Row.Value, &p) != nil {
		return
	}
	e.plan, e.version, e.loaded = p, r.Row.Version, true
	e.nextRead = now.Add(readInterval)
}

// planSaved reads the row after every save: the version is new, or the outcome
// is not certain, or somebody else has changed it.
func (e *Evacuator) planSaved(now time.Time, _ PlanSaved) {
	e.busy, e.loaded, e.nextRead = false, false, now
}

func (e *Evacuator) warn(now time.Time) []Action {
	f := forecast(&e.plan, now)
	if !f.AtRisk || now.Sub(e.warned) < warnInterval {
		return nil
	}
	e.warned = now
	return []Action{Warn{Forecast: f}}
}
