// Package scheduler decides which queued request is dispatched next, and to which upstream.
//
// Every router runs one Scheduler. It queues requests by client account and orders them by
// start-time fair queueing: each account has a virtual start tag, its service divided by its
// weight, and the account with the lowest tag is served first. In mode Fleet, the routers
// exchange tags and lease slots of upstreams to each other, so that the order holds across
// the whole fleet. In mode Standalone, each router uses a fixed part of every upstream's
// window and counts only the service that it gave itself.
//
// A Scheduler performs no I/O, starts no goroutines and reads no clock. It is not safe for
// concurrent use: a single control goroutine owns it.
//
// # Terms
//
//   - A slot is one request that an upstream may run; its window is the number of its slots.
//   - A cell is a group of upstreams of a pool with the same owner and the same users. The
//     owner is the router that grants the slots; users are the routers that lease them.
//   - The guaranteed slots of a router are those it may use without a grant of the owner.
//   - The home router of an account sums up the service that all routers gave the account.
//   - The floor of a class is the part of the service that it is guaranteed whatever its
//     precedence.
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

// Config is the configuration of a Scheduler. Its zero value suits a single router.
type Config struct {
	// Self is the name of this router.
	Self messenger.RouterID
	// Seed is the seed of all random choices, so that they can be reproduced.
	Seed uint64
	// Mode selects how routers share upstreams.
	Mode Mode
	// ControlBytesPerSecond is the budget for control messages; zero means
	// defaultControlBytes.
	ControlBytesPerSecond int
	// CellSize is the average number of upstreams in a cell; zero means defaultCellSize.
	CellSize int
	// ReportThreshold is how far a tag must have changed before it is reported, in mean
	// costs of a request. MoveThreshold is how far two tags must differ before a slot
	// moves to another router, in costs of a large request. Zero means the defaults.
	ReportThreshold, MoveThreshold float64
}

// Defaults of a Config.
const (
	defaultCellSize        = 4
	defaultReportThreshold = 0.5
	defaultMoveThreshold   = 3
)

// withDefaults returns a copy of c with defaults for the fields that are not set.
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
	// hedgeHeap holds the running requests that may be hedged, the earliest due first.
	hedgeHeap heap[*hedge]
	actions   []messenger.Action

	// incarnation distinguishes this process of the router from earlier ones.
	incarnation uint64
	governor    governor
	peers       map[messenger.RouterID]*peerState
	peerList    []*peerState
	// pending lists the peers with a message to be sent, urgent those whose message is
	// sent at the end of the current event.
	pending, urgent []*peerState
	// pendingBuffer is the array that flushPending reuses for the next pending list.
	pendingBuffer []*peerState
	// contended is true while requests wait here or at another router.
	contended bool
	ticks     uint64
}

// New returns a Scheduler without policy and peers.
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

// Handle processes one event and returns the actions to be carried out, in order. The
// returned slice is valid until the next call.
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
		s.handleArrive(e)
	case messenger.Progress:
		s.handleProgress(e)
	case messenger.Finish:
		s.handleFinish(e)
	case messenger.Abandon:
		s.handleAbandon(e)
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
		s.handleTick()
	}
	s.flushUrgent()
	return s.actions
}

// emit appends an action to the result of the current call of Handle.
func (s *Scheduler) emit(a messenger.Action) { s.actions = append(s.actions, a) }

// poolOfUpstream returns the pool of an upstream, or nil.
func (s *Scheduler) poolOfUpstream(id messenger.UpstreamID) *pool {
	u, ok := s.policy.Upstreams[id]
	if !ok {
		return nil
	}
	return s.pools[u.Pool]
}

// changePolicy applies a policy, unless it is older than the current one.
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

// poolFor returns the pool with a name and creates it if necessary.
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

// changePeers updates the list of live routers.
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
			s.removePeer(peer)
		}
	}
	s.reassign()
}

// removePeer removes the state of a router that is no longer alive.
func (s *Scheduler) removePeer(peer *peerState) {
	peer.pending, peer.urgent = false, false
	delete(s.peers, peer.router)
	s.peerList = slices.DeleteFunc(s.peerList, func(other *peerState) bool { return other == peer })
	for _, p := range s.poolList {
		p.removeRouter(peer.router)
	}
}

// reassign recalculates which router owns and uses which upstreams, and the home routers.
func (s *Scheduler) reassign() {
	for _, p := range s.poolList {
		p.reassign()
		p.assignHomeRouters()
		p.dispatch()
	}
}
