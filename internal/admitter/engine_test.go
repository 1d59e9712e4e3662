package admitter

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
)

// The tests simulate loads in virtual time: a fleet of routers, each with its own Admitter,
// and engines that batch requests, read prompts in order of arrival and cache the parts that
// they read.

var epoch = time.Unix(1_700_000_000, 0)

const (
	simStep               = 2 * time.Millisecond
	simPool               = messenger.PoolID("p")
	readSecondsPerToken   = 9e-6
	secondsPerOutputToken = 0.005
	simBase               = 20 * time.Millisecond
	// simAttempts is the number of attempts of a request whose attempts fail.
	simAttempts = 4
)

// simEngine is a simulated engine.
type simEngine struct {
	id      messenger.UpstreamID
	slots   int
	running []*simRequest
	waiting []*simRequest
	// lastUsed is when each part was last used, retention how long it stays cached.
	lastUsed     map[uint64]time.Time
	retention    time.Duration
	slowdown     float64
	unresponsive bool
	// refusesConnections makes the engine fail all requests immediately.
	refusesConnections bool
	// plain makes the engine a plain server, which starts each request immediately.
	plain bool
	// chunked makes the engine read prompts in chunks between decoding steps; see
	// pauseguard_test.go.
	chunked *chunkedReading
}

// simRequest is a simulated request.
type simRequest struct {
	arrive      messenger.Arrive
	router      int
	arrivedAt   time.Time
	largePrompt bool
	upstream    messenger.UpstreamID
	// failures counts its failed attempts.
	failures int

	unreadTokens  int
	readDone      time.Time
	tokens        float64
	firstOutputAt time.Time
	// readTokens, lastEventAt and longestPause are used with chunked reading.
	readTokens   int
	lastEventAt  time.Time
	longestPause time.Duration
	refused      bool
	ended        bool
}

// onTime reports whether the first output came within the objective.
func (r *simRequest) onTime() bool {
	return !r.firstOutputAt.IsZero() && r.firstOutputAt.Sub(r.arrivedAt) <= r.arrive.Objective
}

// sim is a simulated fleet.
type sim struct {
	t          *testing.T
	now        time.Time
	rng        *rand.Rand
	engines    map[messenger.UpstreamID]*simEngine
	engineList []*simEngine
	routers    []*Admitter
	requests   map[messenger.RequestID]*simRequest
	all        []*simRequest
	lastID     messenger.RequestID
	// rereadTokens counts the tokens of shared parts that were read although some engine
	// had read them before; sharedTokens counts all requested tokens of shared parts.
	rereadTokens, sharedTokens float64
	lastRead                   map[uint64]time.Time
	lastGossip                 time.Time
	// gossipInterval is the interval between the load messages of a router.
	gossipInterval time.Duration
	// aggregated is true if collectors exchange the loads; see collectors_test.go.
	aggregated bool
	collectors []simCollector
	messages   []simMessage
	policy     *messenger.Policy
	// onSend, if set, is called with each dispatch.
	onSend func(messenger.Dispatch)
	// pauseLimit is the longest pause in the streams of the requests that is in time.
	pauseLimit time.Duration
}

func newSim(t *testing.T, routers, engines, slots int, throughput float64) *sim {
	s := &sim{
		t: t, now: epoch, rng: rand.New(rand.NewPCG(1, 2)),
		engines:  make(map[messenger.UpstreamID]*simEngine),
		requests: make(map[messenger.RequestID]*simRequest),
		lastRead: make(map[uint64]time.Time), gossipInterval: 150 * time.Millisecond,
	}
	policy := &messenger.Policy{
		Version: 1, Throughput: throughput,
		Pools:     map[messenger.PoolID]messenger.PoolPolicy{simPool: {Engine: &messenger.EnginePolicy{MemoryTokens: 700_000}}},
		Upstreams: make(map[messenger.UpstreamID]messenger.UpstreamPolicy),
	}
	s.policy = policy
	domains := []string{"a", "b", "c"}
	for i := range engines {
		e := &simEngine{
			id: messenger.UpstreamID(rune('A' + i)), slots: slots, slowdown: 1,
			lastUsed: make(map[uint64]time.Time), retention: 10 * time.Second,
		}
		s.engines[e.id] = e
		s.engineList = append(s.engineList, e)
		policy.Upstreams[e.id] = messenger.UpstreamPolicy{Pool: simPool, Domain: domains[i%3], Window: slots}
	}
	for i := range routers {
		a := New(Config{Self: messenger.RouterID(rune('0' + i)), Domain: domains[i%3], Seed: uint64(i)})
		a.Handle(s.now, messenger.PolicyChange{Policy: policy})
		s.routers = append(s.routers, a)
	}
	return s
}

// shrinkCaches reduces the engines' memory to a number of tokens, and the retention time of
// unused parts.
func (s *sim) shrinkCaches(memory int, retention time.Duration) {
	for _, e := range s.engineList {
		e.retention = retention
	}
	policy := *s.policy
	policy.Pools = map[messenger.PoolID]messenger.PoolPolicy{simPool: {Engine: &messenger.EnginePolicy{MemoryTokens: memory}}}
	for _, a := range s.routers {
		a.Handle(s.now, messenger.PolicyChange{Policy: &policy})
	}
}

// makePlain turns the pool into one of a plain service.
func (s *sim) makePlain() {
	policy := *s.policy
	policy.Pools = map[messenger.PoolID]messenger.PoolPolicy{simPool: {}}
	for _, e := range s.engineList {
		e.plain = true
	}
	for _, a := range s.routers {
		a.Handle(s.now, messenger.PolicyChange{Policy: &policy})
	}
}

// offer makes a request arrive at a random router.
func (s *sim) offer(account messenger.AccountID, objective time.Duration, prompt []messenger.PromptPart, output int) *simRequest {
	return s.offerAt(s.rng.IntN(len(s.routers)), account, objective, prompt, output)
}

// offerAt makes a request arrive at the given router.
func (s *sim) offerAt(router int, account messenger.AccountID, objective time.Duration, prompt []messenger.PromptPart, output int) *simRequest {
	s.lastID++
	r := &simRequest{router: router, arrivedAt: s.now}
	r.arrive = messenger.Arrive{
		Request: s.lastID, Account: account, Pool: simPool, Objective: objective, PauseLimit: s.pauseLimit,
		Deadline: s.now.Add(10 * time.Second),
		Work:     messenger.Work{Prompt: prompt, MaxOutputTokens: output},
	}
	s.requests[s.lastID] = r
	s.all = append(s.all, r)
	s.deliver(r.router, r.arrive)
	return r
}

func (s *sim) deliver(router int, e messenger.Event) {
	actions := append([]messenger.Action(nil), s.routers[router].Handle(s.now, e)...)
	for _, a := range actions {
		switch a := a.(type) {
		case messenger.Refuse:
			s.requests[a.Request].refused = true
		case messenger.Dispatch:
			s.send(s.requests[a.Request], a)
		}
	}
}

func (s *sim) send(r *simRequest, d messenger.Dispatch) {
	e := s.engines[d.Upstream]
	r.upstream = e.id
	if s.onSend != nil {
		s.onSend(d)
	}
	if e.refusesConnections {
		s.sendDelayed(func() { s.failAttempt(r, e) })
		return
	}
	if src, ok := s.engines[d.FetchFrom]; ok && d.FetchFrom != "" {
		for _, p := range r.arrive.Work.Prompt[:len(r.arrive.Work.Prompt)-1] {
			if s.now.Sub(src.lastUsed[p.Chain]) < src.retention {
				e.lastUsed[p.Chain] = s.now
			}
		}
	}
	e.waiting = append(e.waiting, r)
}

// failAttempt notifies a router that an engine refused the connection for a request. The
// request is retried until simAttempts is reached.
func (s *sim) failAttempt(r *simRequest, e *simEngine) {
	r.failures++
	s.deliver(r.router, messenger.Finish{Request: r.arrive.Request, Upstream: e.id, Failed: true, Retry: r.failures < simAttempts})
}

// crash fails all requests of an engine and makes it refuse connections.
func (s *sim) crash(e *simEngine) {
	e.refusesConnections = true
	lost := slices.Concat(e.running, e.waiting)
	e.running, e.waiting = nil, nil
	for _, r := range lost {
		s.failAttempt(r, e)
	}
}

// startWaiting moves waiting requests into free slots and starts to read their prompts.
func (s *sim) startWaiting(e *simEngine) {
	for len(e.running) < e.slots && len(e.waiting) > 0 && !e.unresponsive {
		r := e.waiting[0]
		e.waiting = e.waiting[1:]
		readerFreeAt := s.now
		for _, other := range e.running {
			if !e.plain && other.readDone.After(readerFreeAt) {
				readerFreeAt = other.readDone
			}
		}
		prefixEnded := false
		prompt := r.arrive.Work.Prompt
		for i, p := range prompt {
			found := !prefixEnded && s.now.Sub(e.lastUsed[p.Chain]) < e.retention
			prefixEnded = prefixEnded || !found
			e.lastUsed[p.Chain] = s.now
			if i+1 < len(prompt) {
				s.sharedTokens += float64(p.Tokens)
			}
			if found {
				continue
			}
			r.unreadTokens += p.Tokens
			if at, seen := s.lastRead[p.Chain]; seen && i+1 < len(prompt) && s.now.Sub(at) < 9*time.Second {
				s.rereadTokens += float64(p.Tokens)
			}
			s.lastRead[p.Chain] = s.now
		}
		readTime := time.Duration(float64(r.unreadTokens) * readSecondsPerToken * e.slowdown * float64(time.Second))
		r.readDone = readerFreeAt.Add(readTime + simBase)
		e.running = append(e.running, r)
	}
}

// step advances the simulation by simStep.
func (s *sim) step() {
	s.now = s.now.Add(simStep)
	for _, e := range s.engineList {
		s.startWaiting(e)
		if e.chunked != nil {
			s.runSteps(e)
			continue
		}
		s.generate(e)
	}
	for i := range s.routers {
		if s.now.Sub(epoch)%messenger.TickInterval == 0 {
			s.deliver(i, messenger.Tick{})
		}
	}
	if s.aggregated {
		s.stepCollectors()
		return
	}
	if s.now.Sub(s.lastGossip) >= s.gossipInterval {
		s.lastGossip = s.now
		s.gossip()
	}
}

// generate adds the tokens of one step to each running request.
func (s *sim) generate(e *simEngine) {
	if e.unresponsive {
		return
	}
	kept := e.running[:0]
	for _, r := range e.running {
		if s.now.Before(r.readDone) {
			kept = append(kept, r)
			continue
		}
		if r.firstOutputAt.IsZero() {
			r.firstOutputAt = s.now
			s.deliver(r.router, messenger.Progress{Request: r.arrive.Request, First: true})
		}
		r.tokens += simStep.Seconds() / (secondsPerOutputToken * e.slowdown)
		if r.tokens < float64(r.arrive.Work.MaxOutputTokens) {
			kept = append(kept, r)
			continue
		}
		r.ended = true
		s.deliver(r.router, messenger.Finish{Request: r.arrive.Request, Upstream: e.id})
	}
	e.running = kept
}

func (s *sim) gossip() {
	for i, from := range s.routers {
		load := from.NextPeerLoad(s.now)
		for j := range s.routers {
			if i != j {
				s.deliver(j, load)
			}
		}
	}
}

// run runs the simulation for d and calls offer before every step.
func (s *sim) run(d time.Duration, offer func()) {
	for end := s.now.Add(d); s.now.Before(end); {
		offer()
		s.step()
	}
}

// poisson calls f at random, rate times per second on average.
func (s *sim) poisson(rate float64, f func()) {
	for p := rate * simStep.Seconds(); p > 0; p-- {
		if s.rng.Float64() < p {
			f()
		}
	}
}

// sessionPrompt returns the prompt of a session, with parts that other requests share.
func (s *sim) sessionPrompt(n, shared, own int) []messenger.PromptPart {
	return []messenger.PromptPart{
		{Chain: 1, Tokens: 500}, {Chain: uint64(1000 + n), Tokens: shared},
		{Chain: 1_000_000 + uint64(s.lastID), Tokens: own},
	}
}
