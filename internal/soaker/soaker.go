// Package soaker runs the real programs as separate processes, injects faults
// from outside them, and checks the promises of docs/PROMISES.md from what
// callers and upstreams see.
//
// One run starts a fleet on an address of the loopback range of its own: the
// stand-in of the platform's store, two workers, an order desk and three
// routers, each a process. A proxy stands before each stand-in and before the
// routers' callers; that one also is the balancer. The seed decides which
// processes are stopped, paused, killed and restarted, which connections are
// delayed, reset, cut one way or silenced, and when; faults come in series and
// overlap. Meanwhile callers send a load, some give up early, and an operator
// changes the configuration.
//
// It ends only processes that it started.
//
// # Usage
//
//	report, err := soaker.Run(ctx, soaker.Config{Seed: 7, For: 20 * time.Second, Dir: dir})
//	for _, p := range report.Promises { ... }
package soaker

import (
	"context"
	"os"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"lentilwood.example/lentilwood/internal/auditor"
	"lentilwood.example/lentilwood/internal/generator"
)

const (
	// calmBefore and calmAfter are the times without faults at both ends of a
	// run. The end shows that service returns.
	calmBefore = 2 * time.Second
	calmAfter  = 8 * time.Second
	// recoverWithin is how long after the last fault service may be reduced.
	recoverWithin = 4 * time.Second
	// settle is the time for the stand-ins to end what callers gave up.
	settle = 2 * time.Second
	// DefaultFor is the length of a run.
	DefaultFor = 24 * time.Second
)

// Config is the settings of a run. Zero values mean the defaults.
type Config struct {
	// Seed decides the faults and the load.
	Seed uint64
	// For is how long requests are sent.
	For time.Duration
	// Dir gets the settings and logs of the processes.
	Dir string
	// Program is the lentilwood program; empty means the one that runs.
	Program string
}

// Report is what a run showed.
type Report struct {
	Seed     uint64            `json:"seed"`
	Sent     int               `json:"sent"`
	Complete int               `json:"complete"`
	Faults   []string          `json:"faults"`
	Promises []auditor.Promise `json:"promises"`
	// Details say what broke, a line each.
	Details []string `json:"details,omitempty"`
}

// Violations adds up the violations of all promises.
func (r *Report) Violations() int {
	n := 0
	for _, p := range r.Promises {
		n += p.Violations
	}
	return n
}

// Run plays one seed.
func Run(ctx context.Context, cfg Config) (*Report, error) {
	if cfg.For <= 0 {
		cfg.For = DefaultFor
	}
	if cfg.Program == "" {
		program, err := os.Executable()
		if err != nil {
			return nil, merry.Prepend(err, "find the program")
		}
		cfg.Program = program
	}
	f, err := startFleet(ctx, cfg)
	if err != nil {
		return nil, err
	}
	defer f.stop()
	w := &witness{start: time.Now()}
	schedule := newPlan(cfg.Seed, cfg.For-calmBefore-calmAfter)
	w.lastFault = calmBefore + schedule.end()
	var work sync.WaitGroup
	work.Go(func() { schedule.play(ctx, f, w) })
	watched, stopWatching := context.WithCancel(ctx)
	var watchers sync.WaitGroup
	watchers.Go(func() { w.watchRouters(watched, f) })
	watchers.Go(func() { w.changeConfiguration(watched, f, cfg.Seed) })
	work.Go(func() { w.load(ctx, f, cfg, patientMix(), patientTimeout, "p") })
	work.Go(func() { w.load(ctx, f, cfg, hastyMix(), hastyTimeout, "h") })
	work.Wait()
	stopWatching()
	watchers.Wait()
	select {
	case <-time.After(settle):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if err := w.readJournals(ctx, f); err != nil {
		return nil, err
	}
	exits := f.unexpectedExits()
	return w.report(cfg.Seed, schedule, exits), nil
}

// load sends requests through the balancer and notes what came of them.
func (w *witness) load(ctx context.Context, f *fleet, cfg Config, mix generator.Mix, timeout time.Duration, run string) {
	_, err := generator.Run(ctx, generator.Config{
		Routers: []string{f.callers.address}, Mix: mix, For: cfg.For, Timeout: timeout,
		Seed: cfg.Seed, Run: run, Expect: generator.StandIns{},
		Observe: func(o generator.Observation) { w.observe(o, run == "h") },
	})
	if err != nil {
		w.fault("load: " + err.Error())
	}
}
