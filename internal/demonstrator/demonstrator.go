// Package demonstrator runs a whole fleet in one process and shows what it
// does under load: three routers, several workers, an order desk and the
// platform's store, all on loopback and in memory.
//
// Several client accounts send a bounded mix of work; one of them floods. Half
// way a worker is drained, and at the end all routers shut down while requests
// are in progress. The promises are then checked against the journals of the
// stand-ins, which say what really ran.
//
// # Usage
//
//	report, err := demonstrator.Run(ctx, demonstrator.Config{For: 5 * time.Second})
//	err = report.Write(os.Stdout)
package demonstrator

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"lentilwood.example/lentilwood/internal/generator"
	"lentilwood.example/lentilwood/internal/messenger"
)

// Bounds of a run.
const (
	DefaultFor = 5 * time.Second
	MinFor     = time.Second
	MaxFor     = 10 * time.Second

	maxOpen     = 1500
	maxRequests = 20_000
	// answerTimeout is how long one answer may take in full.
	answerTimeout = 8 * time.Second
)

// drained is the worker that leaves half way.
const drained messenger.UpstreamID = "worker-4"

// Config is the settings of a demonstration.
type Config struct {
	// For is how long requests are sent; zero means DefaultFor.
	For time.Duration
	// Seed makes the arrivals repeatable.
	Seed uint64
	// Log gets the log lines of routers and stand-ins; nil drops them.
	Log io.Writer
	// Progress is called about once a second; nil means never.
	Progress func(generator.Progress)
}

// Run runs the demonstration.
func Run(ctx context.Context, cfg Config) (*Report, error) {
	if cfg.For == 0 {
		cfg.For = DefaultFor
	}
	if cfg.For < MinFor || cfg.For > MaxFor {
		return nil, merry.Errorf("the load lasts %v, want %v to %v", cfg.For, MinFor, MaxFor)
	}
	f, err := startFleet(ctx, quietLog(cfg.Log))
	if err != nil {
		return nil, err
	}
	defer f.stop()
	e := evidence{}
	var background sync.WaitGroup
	end := f.clock.After(cfg.For)
	background.Go(func() {
		e.drainHalfWay(ctx, f, cfg.For/2)
		e.shutDown(ctx, f, end)
	})
	e.load, err = generator.Run(ctx, generator.Config{
		Routers: f.callers(), Mix: mix(), For: cfg.For, MaxRequests: maxRequests, MaxOpen: maxOpen,
		Timeout: answerTimeout, Seed: cfg.Seed, Run: "demo", Expect: generator.StandIns{},
		Clock: f.clock, Progress: cfg.Progress, Observe: e.observe,
	})
	background.Wait()
	if err != nil {
		return nil, err
	}
	e.collect(f)
	return e.report(), nil
}

// drainHalfWay drains a worker once d has passed.
func (e *evidence) drainHalfWay(ctx context.Context, f *fleet, d time.Duration) {
	select {
	case <-f.clock.After(d):
	case <-ctx.Done():
		e.drainErr = ctx.Err()
		return
	}
	change, err := f.drain(ctx, drained)
	e.drained, e.drainErr = f.clock.Now(), err
	if err == nil {
		e.lateRouters = f.awaitVersion(ctx, change.Version, configurationLimit)
	}
}

// shutDown shuts the routers down at the end of the load.
func (e *evidence) shutDown(ctx context.Context, f *fleet, end <-chan time.Time) {
	select {
	case <-end:
	case <-ctx.Done():
	}
	e.cutRouters = f.shutdown(ctx)
}
