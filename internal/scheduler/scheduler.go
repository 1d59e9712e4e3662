// Package scheduler decides whose request runs next, and where.
//
// Every router runs one Scheduler. It queues requests by client account in
// the order of start-time fair queueing: each account has a tag, its service
// divided by its weight, and the lowest tag goes first. In the mode Fleet the
// routers exchange tags and leased slots, so that the order holds over the
// whole fleet; in the mode Alone each router uses a fixed part of every
// upstream's window and knows only its own service.
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
	// Alone gives each router a fixed part of every window.
	Alone
)

// Config sets up a Scheduler. Its zero value is usable by a lone router.
type Config struct {
	// Self is this router's name.
	Self messenger.RouterID
	// Seed makes every choice reproducible.
	Seed uint64
	// Mode selects how routers share upstreams.
	Mode Mode
}

// Scheduler is the decision logic of one router.
type Scheduler struct {
	cfg      Config
	now      time.Time
	policy   *messenger.Policy
	peers    []messenger.RouterID
	limits   *limiter.Limiter
	pools    map[messenger.PoolID]*pool
	requests map[messenger.RequestID]*request
	expiries heap[*request]
	actions  []messenger.Action
}

// New returns a Scheduler that knows no policy and no peers.
func New(cfg Config) *Scheduler {
	return &Scheduler{
		cfg:      cfg,
		policy:   &messenger.Policy{},
		peers:    []messenger.RouterID{cfg.Self},
		limits:   limiter.New(),
		pools:    make(map[messenger.PoolID]*pool),
		requests: make(map[messenger.RequestID]*request),
	}
}

// Handle takes in one event and returns what is to be done about it, in order.
// The returned slice is valid until the next call.
func (s *Scheduler) Handle(now time.Time, e messenger.Event) []messenger.Action {
	if now.After(s.now) {
		s.now = now
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
	case messenger.Tick:
		s.tick()
	}
	return s.actions
}

// act adds an action to the answer of the current call.
func (s *Scheduler) act(a messenger.Action) { s.actions = append(s.actions, a) }

// changePolicy puts another policy in force.
func (s *Scheduler) changePolicy(policy *messenger.Policy) {
	if policy == nil || policy.Version < s.policy.Version {
		return
	}
	s.policy = policy
	s.limits.SetPolicy(policy)
	for id := range policy.Pools {
		s.poolOf(id)
	}
	for id, u := range policy.Upstreams {
		s.poolOf(u.Pool).placer.Set(id, u)
	}
	for _, p := range s.pools {
		p.applyPolicy(policy)
	}
	s.share()
}

// poolOf returns the pool with a name, new if it has to be.
func (s *Scheduler) poolOf(id messenger.PoolID) *pool {
	p, ok := s.pools[id]
	if !ok {
		p = newPool(s, id)
		s.pools[id] = p
	}
	return p
}

// changePeers takes in which routers are alive.
func (s *Scheduler) changePeers(routers []messenger.RouterID) {
	peers := slices.Clone(routers)
	if !slices.Contains(peers, s.cfg.Self) {
		peers = append(peers, s.cfg.Self)
	}
	slices.Sort(peers)
	s.peers = slices.Compact(peers)
	s.limits.SetRouters(len(s.peers))
	s.share()
}

// share gives this router its fixed part of every window.
func (s *Scheduler) share() {
	for id, u := range s.policy.Upstreams {
		p := s.pools[u.Pool]
		p.placer.Lease(id, staticShare(string(id), u.Window, s.cfg.Self, s.peers))
	}
	for _, p := range s.pools {
		p.dispatch()
	}
}

// tick does the work that time alone makes due.
func (s *Scheduler) tick() {
	s.expire()
	for _, p := range s.pools {
		p.dispatch()
	}
}
