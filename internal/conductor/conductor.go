// Package conductor runs the jobs that one router of the fleet does at a time:
// it gives orders to engines and works on the plans that empty sites.
//
// A lease decides which router does them; two candidates, picked by rendezvous
// hashing among the live routers, contend for it. The decisions are made by
// leaser, orderer and evacuator; this package carries them out.
//
// # Usage
//
//	c := conductor.New(conductor.Config{Self: "r1", Seed: seed, Clock: clock, Store: store, Log: log})
//	go c.Run(ctx)
//	c.Update(document, policy)   // on each coordinator.ApplyConfiguration
//	c.Peers(live)                // on each coordinator.PeersChange
package conductor

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"lentilwood.example/lentilwood/internal/configurer"
	"lentilwood.example/lentilwood/internal/evacuator"
	"lentilwood.example/lentilwood/internal/leaser"
	"lentilwood.example/lentilwood/internal/messenger"
	"lentilwood.example/lentilwood/internal/orderer"
	"lentilwood.example/lentilwood/internal/storer"
	"lentilwood.example/lentilwood/internal/timekeeper"
	"lentilwood.example/lentilwood/internal/verifier"
)

const (
	// LeaseName is the name of the lease for all jobs.
	LeaseName = "jobs"
	// candidates is how many routers contend for the lease.
	candidates = 2
	// tickInterval is the time between two ticks of the jobs.
	tickInterval = 250 * time.Millisecond
	// lookInterval is the time between two looks at the plans and at the
	// upstreams they are about.
	lookInterval = 3 * time.Second
	// callTimeout bounds one use of the store.
	callTimeout = 10 * time.Second
	// idleTimeout is how long an unused connection to an upstream is kept.
	idleTimeout = 30 * time.Second
	// resignTime is for how long a router that met a later holder stays out.
	resignTime = 2 * leaser.DefaultTTL
	// backlog is how many answers may wait for the goroutine of the jobs.
	backlog = 256
)

// Config are the settings of a Conductor.
type Config struct {
	Self messenger.RouterID
	// Seed tells this start of the router from any other.
	Seed  uint64
	Clock timekeeper.Clock
	Store storer.Store
	Log   *logrus.Logger
	// Transport replaces the default transport; for tests and TLS.
	Transport *http.Transport
	// Orders says how fast the weight store is used.
	Orders orderer.Config
	// TTL is the time of the lease; zero means leaser.DefaultTTL.
	TTL time.Duration
}

// Conductor runs the jobs. Update and Peers may be called from any goroutine.
type Conductor struct {
	cfg     Config
	engines engines
	inbox   chan func()
	calls   sync.WaitGroup
	// open counts the calls whose results are not taken in yet.
	open atomic.Int64

	lease   *leaser.Leaser
	orderer *orderer.Orderer
	plans   map[string]*evacuator.Evacuator
	leads   bool

	// root ends with Run.
	root     context.Context
	document *configurer.Document
	policy   *messenger.Policy
	loads    map[messenger.UpstreamID]load
	nextLook time.Time
	// resigned is when the lease was given up to a later holder.
	resigned time.Time

	mu   sync.Mutex
	news news
}

// news is what other goroutines have said since the last tick.
type news struct {
	document *configurer.Document
	policy   *messenger.Policy
	live     []messenger.RouterID
}

// New returns a Conductor that has yet to be Run.
func New(cfg Config) *Conductor {
	if cfg.Transport == nil {
		cfg.Transport = &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: idleTimeout}
	}
	return &Conductor{
		cfg:     cfg,
		engines: engines{client: &http.Client{Transport: verifier.NewTransport(cfg.Transport)}},
		inbox:   make(chan func(), backlog),
		lease:   leaser.New(leaser.Config{Self: cfg.Self, Name: LeaseName, TTL: cfg.TTL, Seed: cfg.Seed}),
		orderer: orderer.New(cfg.Orders),
		plans:   make(map[string]*evacuator.Evacuator),
		loads:   make(map[messenger.UpstreamID]load),
	}
}

// Run does the jobs until ctx ends, and then waits for its calls to end.
func (c *Conductor) Run(ctx context.Context) {
	defer c.calls.Wait()
	c.root = ctx
	tick := c.cfg.Clock.After(tickInterval)
	for {
		select {
		case <-ctx.Done():
			return
		case do := <-c.inbox:
			do()
			c.open.Add(-1)
		case <-tick:
			c.tick()
			tick = c.cfg.Clock.After(tickInterval)
		}
	}
}

// Update says which configuration is in force. It does not block.
func (c *Conductor) Update(d *configurer.Document, p *messenger.Policy) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.news.document, c.news.policy = d, p
}

// Peers says which routers take part, this one included. It does not block.
func (c *Conductor) Peers(live []messenger.RouterID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.news.live = live
}

// takeNews takes in what other goroutines have said.
func (c *Conductor) takeNews() {
	c.mu.Lock()
	n := c.news
	c.mu.Unlock()
	if n.document != nil && (n.document != c.document || n.policy != c.policy) {
		c.document, c.policy = n.document, n.policy
		c.orderer.Handle(c.now(), orderer.Wanted{Engines: n.document.Engines(c.now())})
	}
	wanted := candidate(n.live, c.cfg.Self) && c.now().Sub(c.resigned) >= resignTime
	c.leased(c.lease.Handle(c.now(), leaser.SetWanted{Wanted: wanted}))
}

func (c *Conductor) now() time.Time { return c.cfg.Clock.Now() }

// candidate reports whether a router is among those that contend for the lease.
func candidate(live []messenger.RouterID, self messenger.RouterID) bool {
	ranked := slices.Clone(live)
	rank := func(id messenger.RouterID) uint64 { return xxhash.Sum64String(LeaseName + "/" + string(id)) }
	slices.SortFunc(ranked, func(a, b messenger.RouterID) int {
		if x, y := rank(a), rank(b); x != y {
			if x < y {
				return -1
			}
			return 1
		}
		return strings.Compare(string(a), string(b))
	})
	return slices.Contains(ranked[:min(candidates, len(ranked))], self)
}

// tick lets the lease and, while it is held, the jobs go on.
func (c *Conductor) tick() {
	now := c.now()
	c.takeNews()
	c.leased(c.lease.Handle(now, leaser.Tick{}))
	if !c.leads {
		return
	}
	if l, ok := c.lease.Held(now); ok {
		c.orderer.Handle(now, orderer.Lead{Lease: l})
	}
	if !now.Before(c.nextLook) {
		c.nextLook = now.Add(lookInterval)
		c.look()
	}
	c.ordered(c.orderer.Handle(now, orderer.Tick{}))
	for name, e := range c.plans {
		c.evacuated(name, e.Handle(now, evacuator.Tick{}))
	}
}

// async makes a call on another goroutine and hands its result to the
// goroutine of the jobs.
func (c *Conductor) async(timeout time.Duration, call func(ctx context.Context) func()) {
	root := c.root
	c.open.Add(1)
	c.calls.Go(func() {
		ctx, cancel := context.WithTimeout(root, timeout)
		defer cancel()
		result := call(ctx)
		select {
		case c.inbox <- result:
		case <-root.Done():
		}
	})
}

// leased carries out what the lease wants.
func (c *Conductor) leased(actions []leaser.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case leaser.ReadRow:
			c.async(callTimeout, func(ctx context.Context) func() {
				row, err := c.cfg.Store.Read(ctx, leaser.Table, a.Key)
				return func() { c.leased(c.lease.Handle(c.now(), leaser.RowRead{Call: a.Call, Row: row, Err: err})) }
			})
		case leaser.WriteRow:
			c.async(callTimeout, func(ctx context.Context) func() {
				err := c.cfg.Store.Commit(ctx, []storer.Op{a.Op})
				return func() { c.leased(c.lease.Handle(c.now(), leaser.RowWritten{Call: a.Call, Err: err})) }
			})
		case leaser.Acquired:
			c.lead(a)
		case leaser.Lost:
			c.follow(a)
		}
	}
}

func (c *Conductor) lead(a leaser.Acquired) {
	c.leads, c.nextLook = true, time.Time{}
	c.orderer.Handle(c.now(), orderer.Lead{Lease: a.Lease, Quiet: a.QuietUntil})
	c.log("lease", logrus.Fields{"fence": a.Lease.Fence, "held": true})
}

func (c *Conductor) follow(a leaser.Lost) {
	c.leads = false
	c.orderer.Handle(c.now(), orderer.Follow{})
	clear(c.plans)
	clear(c.loads)
	c.log("lease", logrus.Fields{"fence": a.Fence, "held": false})
}

func (c *Conductor) log(event string, fields logrus.Fields) {
	if c.cfg.Log == nil {
		return
	}
	fields["event"] = event
	c.cfg.Log.WithFields(fields).Info("jobs of the fleet")
}
