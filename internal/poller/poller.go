// Package poller asks upstreams for their load and for the prompt prefixes
// that they hold.
//
// Not every router asks every upstream: each upstream is asked by the few
// routers that rendezvous hashing picks among the live ones, so that the
// number of questions grows with the upstreams and not with routers times
// upstreams.
//
// # Usage
//
//	p := poller.New(poller.Config{Self: "r1", Clock: clock, Load: onLoad, Cache: onCache})
//	p.Assign(routers, policy.Upstreams)
//	p.Run(ctx)
package poller

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/cespare/xxhash/v2"

	"lentilwood.example/lentilwood/internal/messenger"
	"lentilwood.example/lentilwood/internal/timekeeper"
)

// Times and bounds of a Poller.
const (
	// Interval is the time between two questions to the same upstream.
	Interval = time.Second
	// PollersPerUpstream is how many routers ask each upstream.
	PollersPerUpstream = 2
	// timeout bounds one question.
	timeout = 800 * time.Millisecond
	// maxAnswerBytes bounds one answer.
	maxAnswerBytes = 1 << 20
)

// errStatus means that an upstream answered with an error.
var errStatus = merry.Sentinel("unexpected status")

// Config says what a Poller does. Load and Cache may be called from several
// goroutines.
type Config struct {
	Self  messenger.RouterID
	Clock timekeeper.Clock
	// OnLoad is told of each load report, and whether the upstream says that it
	// is leaving.
	OnLoad func(report messenger.LoadReport, leaving bool)
	// OnCache is told of each change of a worker's prompt cache.
	OnCache func(messenger.CacheReport)
	// Transport replaces the default transport; for tests.
	Transport http.RoundTripper
}

// Poller asks the upstreams that are assigned to this router.
type Poller struct {
	cfg    Config
	client *http.Client

	mu      sync.Mutex
	targets map[messenger.UpstreamID]*target
}

// target is one upstream that this router asks.
type target struct {
	id      messenger.UpstreamID
	address string
	engine  bool
	// asking is true while a question is open.
	asking bool
	// next is the number of the next cache event.
	next uint64
}

// loadAnswer is an upstream's load report.
type loadAnswer struct {
	Running        int   `json:"running"`
	Waiting        int   `json:"waiting"`
	MeasuredUnixMS int64 `json:"measuredUnixMs"`
	Leaving        bool  `json:"leaving"`
}

// cacheAnswer is a list of changes of a worker's prompt cache.
type cacheAnswer struct {
	Next   uint64 `json:"next"`
	Events []struct {
		Prefix string `json:"prefix"`
		Cached bool   `json:"cached"`
	} `json:"events"`
}

// New returns a Poller that asks nobody yet.
func New(cfg Config) *Poller {
	if cfg.Transport == nil {
		cfg.Transport = &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: 10 * Interval}
	}
	return &Poller{
		cfg:     cfg,
		client:  &http.Client{Transport: cfg.Transport, Timeout: timeout},
		targets: make(map[messenger.UpstreamID]*target),
	}
}

// Assign says which routers are alive and which upstreams there are.
func (p *Poller) Assign(routers []messenger.RouterID, upstreams map[messenger.UpstreamID]messenger.UpstreamPolicy) {
	p.mu.Lock()
	defer p.mu.Unlock()
	targets := make(map[messenger.UpstreamID]*target)
	for id, u := range upstreams {
		if !picked(p.cfg.Self, id, routers) {
			continue
		}
		t := p.targets[id]
		if t == nil || t.address != u.Address || t.engine != u.Engine {
			t = &target{id: id, address: u.Address, engine: u.Engine}
		}
		targets[id] = t
	}
	p.targets = targets
}

// picked reports whether self is among the routers that ask an upstream.
func picked(self messenger.RouterID, id messenger.UpstreamID, routers []messenger.RouterID) bool {
	own := weigh(self, id)
	ahead := 0
	for _, other := range routers {
		if other != self && weigh(other, id) > own {
			ahead++
		}
	}
	return ahead < PollersPerUpstream
}

func weigh(router messenger.RouterID, id messenger.UpstreamID) uint64 {
	return xxhash.Sum64String(string(router) + "\x00" + string(id))
}

// Run asks until ctx ends, and waits for open questions.
func (p *Poller) Run(ctx context.Context) {
	var open sync.WaitGroup
	defer open.Wait()
	for {
		for _, t := range p.due() {
			open.Go(func() { p.ask(ctx, t) })
		}
		select {
		case <-ctx.Done():
			return
		case <-p.cfg.Clock.After(Interval):
		}
	}
}

// due returns the targets without an open question and marks them.
func (p *Poller) due() []*target {
	p.mu.Lock()
	defer p.mu.Unlock()
	var due []*target
	for _, t := range p.targets {
		if !t.asking {
			t.asking = true
			due = append(due, t)
		}
	}
	return due
}

// ask asks one upstream. An upstream that does not answer is asked again at
// the next interval: silence is no news, since dispatches find it out sooner.
func (p *Poller) ask(ctx context.Context, t *target) {
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		t.asking = false
	}()
	var load loadAnswer
	if p.get(ctx, t.address, "/v1/load", &load) == nil {
		p.cfg.OnLoad(messenger.LoadReport{
			Upstream: t.id, Running: load.Running, Waiting: load.Waiting,
			Measured: time.UnixMilli(load.MeasuredUnixMS),
		}, load.Leaving)
	}
	if t.engine {
		p.askCache(ctx, t)
	}
}

func (p *Poller) askCache(ctx context.Context, t *target) {
	var cache cacheAnswer
	if p.get(ctx, t.address, "/v1/cacheEvents?since="+strconv.FormatUint(t.next, 10), &cache) != nil {
		return
	}
	t.next = cache.Next
	for _, e := range cache.Events {
		p.cfg.OnCache(messenger.CacheReport{Upstream: t.id, Prefix: xxhash.Sum64String(e.Prefix), Cached: e.Cached})
	}
}

// get reads one JSON answer.
func (p *Poller) get(ctx context.Context, address, path string, answer any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, http.NoBody)
	if err != nil {
		return err
	}
	resp, err := p.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close() //nolint:errcheck // nothing was written to it
	if resp.StatusCode != http.StatusOK {
		return merry.Prependf(errStatus, "%d", resp.StatusCode)
	}
	return json.NewDecoder(io.LimitReader(resp.Body, maxAnswerBytes)).Decode(answer)
}
