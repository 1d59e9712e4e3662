// Package scheduler decides whose request runs next, and where.
//
// Every router runs one Scheduler. It queues requests by client account in
// the order of start-time fair queueing: each account has a tag, its service
// divided by its weight, and the lowest tag goes first. In the mode Fleet the
// routers exchange tags and leased slots, so that the order holds over the
// whole fleet; in the mode Standalone each router uses a fixed part of
// every upstream's window and knows only its own service.
//
// A Scheduler does no I/O, starts no goroutine and reads no clock. It is not
// safe for concurrent use: one control goroutine owns it.
//
// # Usage
//
//	sched := scheduler.New(scheduler.Config{Self: "router-1", Seed: 1})
//	sched.Handle(now, messenger.PolicyChange{Policy: policy})
//	sched.Handle(now, messenger.PeersChange{Routers: routers})
//	actions := sched.Handle(now, messenger.Arrive{Request: 1, Account: "a", Pool: "p"})
package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"lentilwood.example/lentilwood/internal/limiter"
	"lentilwood.example/lentilwood/internal/messenger"
)

// Mode selects how routers share upstreams.
type Mode int

// The modes of a Scheduler.
const (
	// Fleet shares slots and service counters among all routers.
	Fleet Mode = iota
	// Standalone gives each router a fixed part of every window.
	Standalone
)

// Config sets up a Scheduler. Its zero value is usable by a lone router.
type Config struct {
	// Self is this router's name.
	Self messenger.RouterID
	// Seed makes every choice reproducible.
	Seed uint64
	// Mode selects how routers share upstreams.
	Mode Mode
	// ControlBytesPerSecond is the budget for control messages; zero means
	// defaultControlBytes.
	ControlBytesPerSecond int
	// CellSize is how many upstreams of a pool have one owner, on average;
	// zero means defaultCellSize.
	CellSize int
	// ReportThreshold and MoveThreshold are how far tags must differ, in mean costs of a
	// request, before it is reported and before a slot moves; zero means
	// the defaults.
	ReportThreshold, MoveThreshold float64
}

// Defaults of a Config.
const (
	defaultCellSize        = 4
	defaultReportThreshold = 0.5
	defaultMoveThreshold   = 3
)

// withDefaults fills in what is not set.
func (c Config) withDefaults() Config {
	if c.ControlBytesPerSecond <= 0 {
		c.ControlBytesPerSecond = defaultControlBytesPerSecond
	}
	if c.CellSize <= 0 {
		c.CellSize = defaultCellSize
	}
	if c.ReportThreshold <= 0 {
		c.ReportThreshold = defaultReportThreshold
	}
	if c.MoveThreshold <= 0 {
		c.MoveThreshold = defaultMoveThreshold
	}
	return c
}

// Scheduler is the decision logic of one router.
type Scheduler struct {
	cfg        Config
	now        time.Time
	policy     *messenger.Policy
	routers    []messenger.RouterID
	limits     *limiter.Limiter
	pools      map[messenger.PoolID]*pool
	poolList   []*pool
	requests   map[messenger.RequestID]*request
	expiryHeap heap[*request]
	// hedges holds the requests that may need a second copy.
	hedgeHeap heap[*hedge]
	actions   []messenger.Action

	// incarnation tells this start of the router from earlier ones.
	incarnation uint64
	governor    governor
	peers       map[messenger.RouterID]*peerState
	peerList    []*peerState
	// pending and urgent list the links that have something to tell.
	pending, urgent []*peerState
	// parked is the spare array of pending.
	pendingBuffer []*peerState
	// contended is true while requests wait here or at another router.
	contended bool
	ticks     uint64
}

// New returns a Scheduler that knows no policy and no peers.
func New(cfg Config) *Scheduler {
	cfg = cfg.withDefaults()
	return &Scheduler{
		cfg:      cfg,
		policy:   &messenger.Policy{},
		routers:  []messenger.RouterID{cfg.Self},
		limits:   limiter.New(),
		pools:    make(map[messenger.PoolID]*pool),
		requests: make(map[messenger.RequestID]*request),
		peers:    make(map[messenger.RouterID]*peerState),
		governor: governor{bytesPerSecond: float64(cfg.ControlBytesPerSecond), pressure: 1, sizeRatio: 1},
	}
}

// Handle takes in one event and returns what is to be done about it, in order.
// The returned slice is valid until the next call.
func (s *Scheduler) Handle(now time.Time, e messenger.Event) []messenger.Action {
	if now.After(s.now) {
		s.now = now
	}
	if s.incarnation == 0 {
		s.incarnation = uint64(uint32(s.now.UnixMilli())) | 1
	}
	s.actions = s.actions[:0]
	switch e := e.(type) {
	case messenger.Arrive:
		s.arrive(e)
	case messenger.Progress:
		s.progress(e)
	case messenger.Finish:
		s.finish(e)
	case messenger.Abandon:
		s.abandon(e)
	case messenger.PolicyChange:
		s.changePolicy(e.Policy)
	case messenger.PeersChange:
		s.changePeers(e.Routers)
	case messenger.LoadReport:
		if p := s.poolOfUpstream(e.Upstream); p != nil {
			p.placer.ReportLoad(e)
		}
	case messenger.CacheReport:
		if p := s.poolOfUpstream(e.Upstream); p != nil {
			p.placer.ReportCache(e.Upstream, e.Prefix, e.Cached)
		}
	case messenger.Receive:
		s.receive(e.From, e.Message.Control)
	case messenger.Tick:
		s.tick()
	}
	s.flushUrgent()
	return s.actions
}

// act adds an action to the answer of the current call.
func (s *Scheduler) emit(a messenger.Action) { s.actions = append(s.actions, a) }

// poolWith returns the pool of an upstream, or nil.
func (s *Scheduler) poolOfUpstream(id messenger.UpstreamID) *pool {
	u, ok := s.policy.Upstreams[id]
	if !ok {
		return nil
	}
	return s.pools[u.Pool]
}

// changePolicy puts another policy in force.
func (s *Scheduler) changePolicy(policy *messenger.Policy) {
	if policy == nil || policy.Version < s.policy.Version {
		return
	}
	s.policy = policy
	s.limits.SetPolicy(policy)
	for _, id := range slices.Sorted(maps.Keys(policy.Pools)) {
		s.poolFor(id)
	}
	for _, id := range slices.Sorted(maps.Keys(policy.Upstreams)) {
		u := policy.Upstreams[id]
		s.poolFor(u.Pool).placer.SetUpstream(id, u)
	}
	for _, p := range s.poolList {
		p.applyPolicy(policy)
	}
	s.reassign()
}

// poolOf returns the pool with a name, new if it has to be.
func (s *Scheduler) poolFor(id messenger.PoolID) *pool {
	p, ok := s.pools[id]
	if !ok {
		p = newPool(s, id)
		s.pools[id] = p
		i, _ := slices.BinarySearchFunc(s.poolList, p, func(a, b *pool) int { return cmp.Compare(a.id, b.id) })
		s.poolList = slices.Insert(s.poolList, i, p)
	}
	return p
}

// changePeers takes in which routers are alive.
func (s *Scheduler) changePeers(routers []messenger.RouterID) {
	live := slices.Clone(routers)
	if !slices.Contains(live, s.cfg.Self) {
		live = append(live, s.cfg.Self)
	}
	slices.Sort(live)
	s.routers = slices.Compact(live)
	s.limits.SetRouterCount(len(s.routers))
	for _, peer := range slices.Clone(s.peerList) {
		if _, ok := slices.BinarySearch(s.routers, peer.router); !ok {
			s.forgetPeer(peer)
		}
	}
	s.reassign()
}

// forget drops a router that is no longer alive.
func (s *Scheduler) forgetPeer(peer *peerState) {
	peer.pending, peer.urgent = false, false
	delete(s.peers, peer.router)
	s.peerList = slices.DeleteFunc(s.peerList, func(other *peerState) bool { return other == peer })
	for _, p := range s.poolList {
		p.forgetRouter(peer.router)
	}
}

// relate works out anew what routers are to each other.
func (s *Scheduler) reassign() {
	for _, p := range s.poolList {
		p.reassign()
		p.assignHomeRouters()
		p.dispatch()
	}
}
