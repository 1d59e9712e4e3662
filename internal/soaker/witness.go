package soaker

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"lentilwood.example/lentilwood/internal/auditor"
	"lentilwood.example/lentilwood/internal/emulator"
	"lentilwood.example/lentilwood/internal/generator"
	"lentilwood.example/lentilwood/internal/operator"
)

const (
	// excuse is how long after a fault an answer may still break because of it.
	excuse = 3 * time.Second
	// cancelWithin is how long upstreams may work on for a caller that left.
	cancelWithin = time.Second
	// servedAgain is the share of requests that must be answered in full once
	// the faults are over.
	servedAgain = 0.9
	// versionPoll and changeEvery are the times between two looks at the
	// routers' versions and two changes of the configuration.
	versionPoll = 100 * time.Millisecond
	changeEvery = 1500 * time.Millisecond
	mostDetails = 40
)

// witness gathers what callers, operators and upstreams see.
type witness struct {
	start     time.Time
	lastFault time.Duration

	mu           sync.Mutex
	observations []seen
	harms        []span
	details      []string
	stops        int
	badStops     int
	versions     int
	backwards    int
	streams      []emulator.Entry
	calls        []emulator.Entry
}

// seen is one ended request.
type seen struct {
	generator.Observation
	ended time.Time
	// hasty is true for callers that give up early.
	hasty bool
}

// span is the time of one fault.
type span struct {
	fault    fault
	from, to time.Time
}

func (w *witness) observe(o generator.Observation, hasty bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.observations = append(w.observations, seen{Observation: o, ended: time.Now(), hasty: hasty})
}

func (w *witness) harmed(f fault, from, to time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.harms = append(w.harms, span{fault: f, from: from, to: to})
}

// fault notes a line for the report.
func (w *witness) fault(line string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.details) < mostDetails {
		w.details = append(w.details, fmt.Sprintf("%.2fs %s", time.Since(w.start).Seconds(), line))
	}
}

// noteStop notes how a router ended that was told to.
func (w *witness) noteStop(well bool, line string) {
	w.mu.Lock()
	w.stops++
	if !well {
		w.badStops++
	}
	w.mu.Unlock()
	if !well {
		w.fault(line)
	}
}

// watchRouters looks at each router, as long as its process lives, whether the
// version in force goes back, and whether it goes on serving the newest of the
// added routes that it served.
func (w *witness) watchRouters(ctx context.Context, f *fleet) {
	var all sync.WaitGroup
	for i := range routerCount {
		all.Go(func() { w.watchRouter(ctx, f, i) })
	}
	all.Wait()
}

func (w *witness) watchRouter(ctx context.Context, f *fleet, router int) {
	client := f.operators(router)
	var last operator.Status
	step := 0
	for sleepUntil(ctx, time.Now().Add(versionPoll)) {
		status, err := client.Status(ctx)
		if err != nil {
			continue // the router is down or harmed
		}
		if !status.Started.Equal(last.Started) {
			step = 0
		}
		w.compare(last, status)
		last = status
		step = w.askSteps(ctx, f, router, step)
	}
}

func (w *witness) compare(before, now operator.Status) {
	back := now.Started.Equal(before.Started) && now.Version < before.Version
	w.mu.Lock()
	w.versions++
	if back {
		w.backwards++
	}
	w.mu.Unlock()
	if back {
		w.fault(fmt.Sprintf("%s went from version %d to %d", now.Router, before.Version, now.Version))
	}
}

// changeConfiguration adds a route to the configuration from time to time.
func (w *witness) changeConfiguration(ctx context.Context, f *fleet, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 1))
	for step := 1; sleepUntil(ctx, time.Now().Add(changeEvery)); {
		client := f.operators(rng.IntN(routerCount))
		current, err := client.Config(ctx)
		if err != nil {
			continue // the router is down or harmed; the next change goes elsewhere
		}
		document, err := withStep(current.Document, step)
		if err != nil {
			w.fault(shorten(err))
			return
		}
		_, err = client.SetConfig(ctx, operator.SetConfig{
			Precondition: operator.Precondition{IfVersion: current.Version, Reason: "soak"}, Document: document,
		})
		if err == nil {
			step++ // a change that failed under faults is tried again with the same route
		}
	}
}

// withStep adds a route to a configuration.
func withStep(document json.RawMessage, step int) (json.RawMessage, error) {
	var d map[string]any
	if err := json.Unmarshal(document, &d); err != nil {
		return nil, merry.Prepend(err, "read the configuration")
	}
	routes, _ := d["routes"].([]any)
	path := stepPath(step)
	for _, r := range routes {
		if route, ok := r.(map[string]any); ok && route["path"] == path {
			return document, nil
		}
	}
	d["routes"] = append(routes, settings{"path": path, "methods": []string{"GET"}, "pool": "desk", "class": "lookup", "idempotent": true})
	return json.Marshal(d)
}

func stepPath(step int) string { return fmt.Sprintf("/step/%d", step) }

// askSteps asks for the newest route that a router served and the one after it, and
// returns the newest that it serves.
func (w *witness) askSteps(ctx context.Context, f *fleet, router, step int) int {
	if served, known := f.asksRoute(ctx, router, step+1); known && served {
		step++
	}
	if step == 0 {
		return 0
	}
	served, known := f.asksRoute(ctx, router, step)
	w.mu.Lock()
	w.versions++
	if known && !served {
		w.backwards++
	}
	w.mu.Unlock()
	if known && !served {
		w.fault(fmt.Sprintf("router-%d no longer serves route %d", router+1, step))
	}
	return step
}

// readJournals reads what the stand-ins really ran.
func (w *witness) readJournals(ctx context.Context, f *fleet) error {
	calls, err := f.journal(ctx, portDesk)
	if err != nil {
		return err
	}
	w.calls = calls
	for i := range workerCount {
		entries, err := f.journal(ctx, portWorkers+i)
		if err != nil {
			return err
		}
		w.streams = append(w.streams, entries...)
	}
	return nil
}

// report judges the run.
func (w *witness) report(seed uint64, p *plan, exits []string) *Report {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := &Report{Seed: seed, Sent: len(w.observations), Details: append(w.details, exits...)}
	for _, f := range p.faults {
		r.Faults = append(r.Faults, f.String())
	}
	audit := auditor.Audit{Streams: w.streams, Calls: w.calls}
	for _, o := range w.observations {
		audit.Observations = append(audit.Observations, o.Observation)
		if o.Complete {
			r.Complete++
		}
	}
	r.Promises = append(audit.Promises(),
		w.answersAreWhole(r), w.serviceReturns(r), w.leftWorkEnds(r, audit.Ran()),
		auditor.Promise{Name: "a router that is told to stop ends well", Checked: w.stops, Violations: w.badStops},
		auditor.Promise{Name: "a router's configuration never goes back", Checked: w.versions, Violations: w.backwards},
		auditor.Promise{Name: "no process ends by itself", Checked: routerCount + workerCount + 2, Violations: len(exits)},
	)
	return r
}

// answersAreWhole looks for answers that broke without a fault that may break
// them. Requests without any answer are excused while a router stops as well:
// they cross the close of their connection.
func (w *witness) answersAreWhole(r *Report) auditor.Promise {
	p := auditor.Promise{Name: "an answer is whole unless its router or its caller's connection was ended"}
	for _, o := range w.observations {
		if o.hasty {
			continue
		}
		p.Checked++
		if o.Broken && !w.excused(o) {
			p.Violations++
			r.note(fmt.Sprintf("request %s of %s, due %.2fs, ended %.2fs: %s", o.RequestID, o.Class,
				o.Due.Sub(w.start).Seconds(), o.ended.Sub(w.start).Seconds(), o.Problem))
		}
	}
	return p
}

func (w *witness) excused(o seen) bool {
	for _, h := range w.harms {
		if o.ended.Before(h.from) || o.Due.After(h.to.Add(excuse)) {
			continue
		}
		switch h.fault.kind {
		case killRouter, harmCallers:
			return true
		case stopRouter, pauseRouter:
			if o.Lost {
				return true
			}
		}
	}
	return false
}

// serviceReturns looks at the requests that were due after the last fault.
func (w *witness) serviceReturns(r *Report) auditor.Promise {
	p := auditor.Promise{Name: fmt.Sprintf("service is back %v after the last fault", recoverWithin)}
	from := w.start.Add(w.lastFault)
	for _, h := range w.harms {
		if h.to.After(from) {
			from = h.to
		}
	}
	for _, o := range w.observations {
		if o.hasty || o.Due.Before(from.Add(recoverWithin)) {
			continue
		}
		p.Checked++
		if !o.Complete {
			p.Violations++
			r.note(fmt.Sprintf("after the faults: request %s of %s: %s", o.RequestID, o.Class, o.Problem))
		}
	}
	if p.Violations <= int((1-servedAgain)*float64(p.Checked)) && p.Checked > 0 {
		p.Violations = 0
	}
	return p
}

// leftWorkEnds looks for work that went on long after its caller had left, with
// no fault meanwhile.
func (w *witness) leftWorkEnds(r *Report, ran map[string]emulator.Entry) auditor.Promise {
	p := auditor.Promise{Name: fmt.Sprintf("work ends within %v of its caller's leaving", cancelWithin)}
	for _, o := range w.observations {
		entry, ok := ran[o.WireID]
		if !o.hasty || !o.Broken || o.WireID == "" || !ok || w.troubled(o.ended, o.ended.Add(cancelWithin)) {
			continue
		}
		p.Checked++
		if entry.Finished.IsZero() || entry.Finished.Sub(o.ended) > cancelWithin {
			p.Violations++
			r.note(fmt.Sprintf("request %s still runs after its caller left at %.2fs", o.WireID, o.ended.Sub(w.start).Seconds()))
		}
	}
	return p
}

// troubled reports whether some fault lay within or shortly before a time.
func (w *witness) troubled(from, to time.Time) bool {
	for _, h := range w.harms {
		if h.from.Before(to) && h.to.Add(excuse).After(from) {
			return true
		}
	}
	return false
}

func (r *Report) note(line string) {
	if len(r.Details) < mostDetails {
		r.Details = append(r.Details, line)
	}
}
