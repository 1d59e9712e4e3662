// Package demonstrator runs a whole fleet in one process and shows what it
// does under load: three routers, several workers, an order desk and the
// platform's store, all on loopback and in memory.
//
// Several client accounts send a bounded mix of work; one of them floods. Early
// on the open connections of a worker go silent for good, half way another
// worker is drained, and at the end all routers shut down while requests are
// in progress. The promises are then checked against the journals of the
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
	allSent := make(chan int, 1)
	s := script{fleet: f, evidence: &e, length: cfg.For, start: f.clock.Now(), allSent: allSent}
	background.Go(func() { s.run(ctx) })
	e.load, err = generator.Run(ctx, generator.Config{
		Routers: f.callers(), Mix: mix(), For: cfg.For, MaxRequests: maxRequests, MaxOpen: maxOpen,
		Timeout: answerTimeout, Seed: cfg.Seed, Run: "demo", Expect: generator.StandIns{},
		Clock: f.clock, Progress: cfg.Progress, Observe: e.observe,
		AllSent: func(sent int) { allSent <- sent },
	})
	close(allSent)
	background.Wait()
	if err != nil {
		return nil, err
	}
	e.collect(f)
	return e.report(), nil
}
