// Package generator sends a load to routers and measures what callers get.
//
// The load is open loop: requests arrive at random at a mean rate and do not
// wait for the answers to earlier ones, so a slow fleet shows in the latency
// instead of slowing the load down. Latency counts from the time at which a
// request was due. Every answer is checked: it must be whole, belong to its
// request and state whether the request was run.
//
// A run is bounded in time, requests and open requests, and goes to loopback
// addresses only.
//
// # Usage
//
//	mix, findings := generator.LoadMix("mix.jsonc")
//	report, err := generator.Run(ctx, generator.Config{
//		Routers: []string{"127.0.0.1:7000"}, Mix: mix, For: 10 * time.Second,
//	})
package generator

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"lentilwood.example/lentilwood/internal/messenger"
	"lentilwood.example/lentilwood/internal/timekeeper"
)

// Errors that callers tell apart with errors.Is.
var (
	// ErrNotLoopback means that a router's address is not on this machine.
	ErrNotLoopback = merry.Sentinel("load goes to loopback addresses only")
	// ErrSetting means that a setting of the run makes no sense.
	ErrSetting = merry.Sentinel("invalid load setting")
)

// Bounds of a run, and what they are where Config names none.
const (
	DefaultFor      = 10 * time.Second
	DefaultRequests = 100_000
	DefaultOpen     = 2_000
	DefaultTimeout  = 60 * time.Second
	MaxFor          = time.Hour
	MaxRequests     = 10_000_000
	MaxOpen         = 20_000
)

// Config is the settings of a run. Zero values mean the defaults.
type Config struct {
	// Routers are callers' addresses, host:port by IP number.
	Routers []string
	Mix     Mix
	// For is how long requests are sent.
	For time.Duration
	// MaxRequests bounds the requests of the run.
	MaxRequests int
	// MaxOpen bounds the requests that wait for an answer at a time. What is
	// due beyond it is not sent but counted as skipped.
	MaxOpen int
	// Timeout is how long one answer may take in full.
	Timeout time.Duration
	// Seed makes the arrivals repeatable.
	Seed uint64
	// Run is a text that makes request ids and idempotency keys differ from
	// those of other runs.
	Run string
	// Expect says what the stand-ins answer; nil skips the check of texts.
	Expect Expecter
	// Clock is the system's clock if it is nil.
	Clock timekeeper.Clock
	// Progress is called about once a second; nil means never.
	Progress func(Progress)
	// AllSent is called once, with the number of requests, after the last one
	// was started; nil means never.
	AllSent func(sent int)
	// Observe is called for each request once it has ended, from several
	// goroutines; nil means never.
	Observe func(Observation)
}

// Observation is what a caller learned about one request.
type Observation struct {
	// RequestID is the id that the caller gave, and WireID the one that the
	// upstream saw, as far as the answer tells it.
	RequestID, WireID string
	Account, Class    string
	Kind              Kind
	// Key is the idempotency key, or empty.
	Key string
	// Statement is what the answer says of the run.
	Statement messenger.RunState
	// Complete is true for a whole answer that belongs to the request.
	Complete bool
	// Broken is true for an answer that was wrong, cut off or lost, Lost for the
	// last of these: nothing came at all.
	Broken, Lost bool
	// Problem is the type of the problem document, or the fault of the answer.
	Problem string
	Tokens  int
	// Due is when the request was due.
	Due time.Time
}

// Expecter says what upstreams must have answered.
type Expecter interface {
	// Token returns the text of token n, counted from 1, of the answer to a
	// completion.
	Token(requestID string, n int) string
	// Stock returns the count that a lookup of an item finds.
	Stock(item string) int
}

// Progress is how far a run is.
type Progress struct {
	Elapsed              time.Duration
	Sent, Done, Open     int
	Refused, Wrong, Lost int
}

func (cfg *Config) setDefaults() {
	if cfg.For == 0 {
		cfg.For = DefaultFor
	}
	if cfg.MaxRequests == 0 {
		cfg.MaxRequests = DefaultRequests
	}
	if cfg.MaxOpen == 0 {
		cfg.MaxOpen = DefaultOpen
	}
	if cfg.Timeout == 0 {
		cfg.Timeout = DefaultTimeout
	}
	if cfg.Run == "" {
		cfg.Run = "load"
	}
	if cfg.Clock == nil {
		cfg.Clock = timekeeper.System{}
	}
	cfg.Mix.setDefaults()
}

func (cfg *Config) check() error {
	if len(cfg.Routers) == 0 {
		return merry.Prepend(ErrSetting, "no router is named")
	}
	for _, router := range cfg.Routers {
		address, err := netip.ParseAddrPort(router)
		if err != nil {
			return merry.Prependf(ErrSetting, "router %q is not host:port with an IP number", router)
		}
		if !address.Addr().IsLoopback() {
			return merry.Prependf(ErrNotLoopback, "%s", router)
		}
	}
	switch {
	case cfg.For < 0 || cfg.For > MaxFor:
		return merry.Prependf(ErrSetting, "the time %v is not within %v", cfg.For, MaxFor)
	case cfg.MaxRequests < 0 || cfg.MaxRequests > MaxRequests:
		return merry.Prependf(ErrSetting, "%d requests are not within %d", cfg.MaxRequests, MaxRequests)
	case cfg.MaxOpen < 0 || cfg.MaxOpen > MaxOpen:
		return merry.Prependf(ErrSetting, "%d open requests are not within %d", cfg.MaxOpen, MaxOpen)
	case len(cfg.Mix.Streams) == 0:
		return merry.Prepend(ErrSetting, "the mix has no streams")
	}
	return nil
}

// Run sends the load and returns what came of it. If ctx ends, no more
// requests are sent and those in progress are cut off.
func Run(ctx context.Context, cfg Config) (*Report, error) {
	cfg.setDefaults()
	if err := cfg.check(); err != nil {
		return nil, err
	}
	r := &runner{cfg: cfg, client: newClient(cfg), results: newCollector(cfg.Run)}
	defer r.client.CloseIdleConnections()
	r.run(ctx)
	return r.results.report(), nil
}

// newClient returns a client that reaches loopback addresses only and keeps
// connections.
func newClient(cfg Config) *http.Client {
	return &http.Client{
		Timeout: cfg.Timeout,
		Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: cfg.Timeout}).DialContext,
			MaxIdleConns:        cfg.MaxOpen,
			MaxIdleConnsPerHost: cfg.MaxOpen,
			DisableCompression:  true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// runner sends the requests of one run.
type runner struct {
	cfg     Config
	client  *http.Client
	results *collector
	start   time.Time
	open    sync.WaitGroup
}

func (r *runner) run(ctx context.Context) {
	r.start = r.cfg.Clock.Now()
	stop := r.reportProgress()
	defer stop()
	slots := make(chan struct{}, r.cfg.MaxOpen)
	sched := newSchedule(&r.cfg.Mix, r.cfg.Seed, r.cfg.Run, len(r.cfg.Routers), r.cfg.For)
	sent := 0
	for sent < r.cfg.MaxRequests {
		a, ok := sched.take()
		if !ok || !r.waitUntil(ctx, a.at) {
			break
		}
		select {
		case slots <- struct{}{}:
		default:
			r.results.skip(a)
			continue
		}
		sent++
		r.results.send(a)
		r.open.Go(func() {
			defer func() { <-slots }()
			r.finish(a, r.do(ctx, a))
		})
	}
	if r.cfg.AllSent != nil {
		r.cfg.AllSent(sent)
	}
	r.open.Wait()
	r.results.finish(r.cfg.Clock.Now().Sub(r.start))
}

// finish counts what came of a request.
func (r *runner) finish(a arrival, o outcome) {
	r.results.add(a, o)
	if r.cfg.Observe == nil {
		return
	}
	r.cfg.Observe(Observation{
		RequestID: a.id, WireID: o.wireID, Account: a.stream.Account, Class: a.stream.Class, Kind: a.stream.Kind, Key: a.key,
		Statement: stated(o.statement), Complete: o.kind == complete, Broken: o.broken(), Lost: o.kind == lost, Problem: o.problem, Tokens: o.tokens, Due: r.start.Add(a.at),
	})
}

// waitUntil waits for a moment of the run. It returns false if ctx ended.
func (r *runner) waitUntil(ctx context.Context, at time.Duration) bool {
	d := at - r.cfg.Clock.Now().Sub(r.start)
	if d <= 0 {
		return ctx.Err() == nil
	}
	select {
	case <-r.cfg.Clock.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// progressInterval is the time between two calls of Config.Progress.
const progressInterval = time.Second

// reportProgress calls Config.Progress until the function it returns is
// called.
func (r *runner) reportProgress() (stop func()) {
	if r.cfg.Progress == nil {
		return func() {}
	}
	done := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			select {
			case <-r.cfg.Clock.After(progressInterval):
				r.cfg.Progress(r.results.progress(r.cfg.Clock.Now().Sub(r.start)))
			case <-done:
				return
			}
		}
	})
	return func() {
		close(done)
		wg.Wait()
	}
}
