// Package poller polls upstreams for their load and for changes of their prompt caches.
//
// Not every router polls every upstream: rendezvous hashing selects a few of the live routers
// for each upstream, so that the number of requests grows with the number of upstreams and not
// with routers times upstreams.
//
// # Usage
//
//	p := poller.New(poller.Config{Self: "r1", Clock: clock, OnLoad: onLoad, OnCache: onCache})
//	p.Assign(routers, policy.Upstreams)
//	p.Run(ctx)
package poller

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/cespare/xxhash/v2"

	"lentilwood.example/lentilwood/internal/messenger"
	"lentilwood.example/lentilwood/internal/timekeeper"
	"lentilwood.example/lentilwood/internal/verifier"
)

// Times and bounds of a Poller.
const (
	// Interval is the time between two polls of the same upstream.
	Interval = time.Second
	// PollersPerUpstream is the number of routers that poll each upstream.
	PollersPerUpstream = 2
	// requestTimeout bounds one request, response body included.
	requestTimeout = 800 * time.Millisecond
	// maxResponseBytes bounds the part of a response body that is read.
	maxResponseBytes = 1 << 20
)

// errStatus means that an upstream answered with a status other than 200.
var errStatus = merry.Sentinel("unexpected status")

// Config holds the settings of a Poller. OnLoad and OnCache may be called from several
// goroutines at a time.
type Config struct {
	Self  messenger.RouterID
	Clock timekeeper.Clock
	// OnLoad receives each load report, and whether the upstream announces that it is leaving.
	OnLoad func(report messenger.LoadReport, leaving bool)
	// OnCache receives each change of a worker's prompt cache.
	OnCache func(messenger.CacheReport)
	// Transport replaces the default transport in tests.
	Transport *http.Transport
}

// Poller polls the upstreams assigned to this router.
type Poller struct {
	cfg    Config
	client *http.Client

	mu      sync.Mutex
	targets map[messenger.UpstreamID]*target
}

// target is one upstream assigned to this router.
type target struct {
	id      messenger.UpstreamID
	address string
	engine  bool
	// polling is true while a poll of the upstream is in progress.
	polling bool
	// nextEvent is the sequence number from which the next cache events are requested.
	nextEvent uint64
}

// loadResponse is an upstream's load report.
type loadResponse struct {
	Running        int   `json:"running"`
	Waiting        int   `json:"waiting"`
	MeasuredUnixMS int64 `json:"measuredUnixMs"`
	Leaving        bool  `json:"leaving"`
}

// cacheResponse lists changes of a worker's prompt cache.
type cacheResponse struct {
	Next   uint64 `json:"next"`
	Events []struct {
		Prefix string `json:"prefix"`
		Cached bool   `json:"cached"`
	} `json:"events"`
}

// New returns a Poller without assigned upstreams.
func New(cfg Config) *Poller {
	if cfg.Transport == nil {
		cfg.Transport = &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: 10 * Interval}
	}
	return &Poller{
		cfg:     cfg,
		client:  &http.Client{Transport: verifier.NewTransport(cfg.Transport), Timeout: requestTimeout},
		targets: make(map[messenger.UpstreamID]*target),
	}
}

// Assign sets which upstreams this router polls, given the live routers and all upstreams. An
// upstream whose address and kind are unchanged keeps its position in the cache events.
func (p *Poller) Assign(routers []messenger.RouterID, upstreams map[messenger.UpstreamID]messenger.UpstreamPolicy) {
	p.mu.Lock()
	defer p.mu.Unlock()
	targets := make(map[messenger.UpstreamID]*target)
	for id, u := range upstreams {
		if !isAssigned(p.cfg.Self, id, routers) {
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

// isAssigned reports whether self is among the routers that poll an upstream: those with the
// PollersPerUpstream highest rendezvous weights.
func isAssigned(self messenger.RouterID, id messenger.UpstreamID, routers []messenger.RouterID) bool {
	own := rendezvousWeight(self, id)
	ahead := 0
	for _, other := range routers {
		if other != self && rendezvousWeight(other, id) > own {
			ahead++
		}
	}
	return ahead < PollersPerUpstream
}

func rendezvousWeight(router messenger.RouterID, id messenger.UpstreamID) uint64 {
	return xxhash.Sum64String(string(router) + "\x00" + string(id))
}

// Run polls the assigned upstreams until ctx ends, and then waits for polls in progress.
func (p *Poller) Run(ctx context.Context) {
	var polls sync.WaitGroup
	defer polls.Wait()
	for {
		for _, t := range p.claimIdleTargets() {
			polls.Go(func() { p.poll(ctx, t) })
		}
		select {
		case <-ctx.Done():
			return
		case <-p.cfg.Clock.After(Interval):
		}
	}
}

// claimIdleTargets returns the targets without a poll in progress and marks them as polling.
func (p *Poller) claimIdleTargets() []*target {
	p.mu.Lock()
	defer p.mu.Unlock()
	var claimed []*target
	for _, t := range p.targets {
		if !t.polling {
			t.polling = true
			claimed = append(claimed, t)
		}
	}
	return claimed
}

// poll polls one upstream. Errors are ignored and the upstream is polled again at the next
// interval: a missing response reports nothing new, because requests dispatched to the
// upstream detect its failure sooner.
func (p *Poller) poll(ctx context.Context, t *target) {
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		t.polling = false
	}()
	var load loadResponse
	if p.get(ctx, t.address, "/v1/load", &load) == nil {
		p.cfg.OnLoad(messenger.LoadReport{
			Upstream: t.id, Running: load.Running, Waiting: load.Waiting,
			Measured: time.UnixMilli(load.MeasuredUnixMS),
		}, load.Leaving)
	}
	if t.engine {
		p.pollCacheEvents(ctx, t)
	}
}

func (p *Poller) pollCacheEvents(ctx context.Context, t *target) {
	var cache cacheResponse
	if p.get(ctx, t.address, "/v1/cacheEvents?since="+strconv.FormatUint(t.nextEvent, 10), &cache) != nil {
		return
	}
	t.nextEvent = cache.Next
	for _, e := range cache.Events {
		p.cfg.OnCache(messenger.CacheReport{Upstream: t.id, Prefix: xxhash.Sum64String(e.Prefix), Cached: e.Cached})
	}
}

// get requests a path and decodes the JSON response.
func (p *Poller) get(ctx context.Context, address, path string, response any) error {
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
	data, err := verifier.ReadAll(resp.Body, maxResponseBytes)
	if err != nil {
		return err
	}
	return json.Unmarshal(data, response)
}
