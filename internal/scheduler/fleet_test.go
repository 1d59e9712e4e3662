package scheduler

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/ugorji/go/codec"

	"lentilwood.example/lentilwood/internal/messenger"
)

// This file holds fakes of the network, the upstreams and the callers in virtual time, for
// tests and benchmarks.

// timedEvent is a function that runs at a point of virtual time.
type timedEvent struct {
	at        time.Duration
	seq       uint64
	run       func()
	heapIndex int
}

func (e *timedEvent) less(other *timedEvent) bool {
	if e.at != other.at {
		return e.at < other.at
	}
	return e.seq < other.seq
}

func (e *timedEvent) index() *int { return &e.heapIndex }

// job is one request of a fake caller, with its true cost in tokens.
type job struct {
	id             messenger.RequestID
	router         *node
	account        messenger.AccountID
	class          messenger.ClassID
	pool           messenger.PoolID
	cost, hint     float64
	prefix         uint64
	arrived        time.Duration
	started        time.Duration
	timeout        time.Duration
	producedTokens float64
	copies         int
	finished       bool
	// onEnd is called once; refused is nil unless the job was refused.
	onEnd func(j *job, refused *messenger.Refuse)
}

// engine is a fake model engine with continuous batching: its speed depends on the number of
// running requests.
type engine struct {
	id         messenger.UpstreamID
	window     int
	running    int
	maxRunning int
	slowFactor float64
}

// node is one router with its scheduler.
type node struct {
	id           messenger.RouterID
	index        int
	sched        *Scheduler
	jobs         map[messenger.RequestID]*job
	sentBytes    int
	sentMessages int
}

// fleet runs routers, engines and the network between routers in virtual time.
type fleet struct {
	cfg    Config
	policy *messenger.Policy
	now    time.Duration
	seq    uint64
	events heap[*timedEvent]
	rand   *rand.Rand
	// arrivalRand draws the arrivals and costs, so that these do not depend on the messages
	// sent between routers, whose delays are drawn from rand.
	arrivalRand *rand.Rand
	nodes       []*node
	names       []messenger.RouterID
	engines     map[messenger.UpstreamID]*engine
	slots       int
	// disconnected reports whether messages between two routers are lost; nil means that none
	// are.
	disconnected func(a, b int) bool
	// messageFault returns how often a message arrives, and its extra delay; nil means once,
	// without delay.
	messageFault func() (copies int, delay time.Duration)
	codecHandle  codec.MsgpackHandle
	nextID       messenger.RequestID
	waiting      int
	running      int
	// busySlotTime and totalSlotTime are integrals over time of the slots in use and of all
	// slots, while requests wait.
	busySlotTime, totalSlotTime time.Duration
	measuring                   bool
	slotTimeUntil               time.Duration
	servedTokens                map[messenger.AccountID]float64
	prefillTime                 time.Duration
	timePerToken                time.Duration
	chunkTokens                 float64
}

// newFleet returns a fleet of n routers under a policy.
func newFleet(n int, policy *messenger.Policy, cfg Config) *fleet {
	f := &fleet{
		cfg: cfg, policy: policy, rand: rand.New(rand.NewPCG(cfg.Seed, 7)), arrivalRand: rand.New(rand.NewPCG(cfg.Seed, 8)),
		engines: make(map[messenger.UpstreamID]*engine), servedTokens: make(map[messenger.AccountID]float64),
		prefillTime: 60 * time.Millisecond, timePerToken: 20 * time.Millisecond, chunkTokens: 8,
	}
	f.codecHandle.StructToArray = true
	for id, u := range policy.Upstreams {
		f.engines[id] = &engine{id: id, window: u.Window, slowFactor: 1}
		f.slots += u.Window
	}
	for i := range n {
		f.names = append(f.names, messenger.RouterID(fmt.Sprintf("router-%d", i)))
	}
	for i := range n {
		f.nodes = append(f.nodes, &node{id: f.names[i], index: i})
		f.restart(f.nodes[i])
	}
	return f
}

// restart gives a node a new Scheduler and no jobs.
func (f *fleet) restart(n *node) {
	cfg := f.cfg
	cfg.Self = n.id
	cfg.Seed += uint64(n.index)
	n.sched = New(cfg)
	n.jobs = make(map[messenger.RequestID]*job)
	f.handle(n, messenger.PolicyChange{Policy: f.policy})
	f.handle(n, messenger.PeersChange{Routers: f.names})
	sched := n.sched
	var tick func()
	tick = func() {
		if n.sched == sched {
			f.handle(n, messenger.Tick{})
			f.schedule(messenger.TickInterval, tick)
		}
	}
	f.schedule(f.jitter(messenger.TickInterval), tick)
}

func (f *fleet) jitter(d time.Duration) time.Duration {
	return time.Duration(f.rand.Int64N(int64(d)))
}

func (f *fleet) schedule(d time.Duration, do func()) {
	f.seq++
	f.events.push(&timedEvent{at: f.now + d, seq: f.seq, run: do, heapIndex: -1})
}

// run advances virtual time to end.
func (f *fleet) run(end time.Duration) {
	for f.events.len() > 0 && f.events.min().at <= end {
		e := f.events.min()
		f.events.remove(e)
		f.addSlotTime(e.at)
		f.now = e.at
		e.run()
	}
	f.now = end
}

// addSlotTime adds the slot time up to at.
func (f *fleet) addSlotTime(at time.Duration) {
	if f.measuring && f.waiting > 0 {
		f.busySlotTime += (at - f.slotTimeUntil) * time.Duration(f.running)
		f.totalSlotTime += (at - f.slotTimeUntil) * time.Duration(f.slots)
	}
	f.slotTimeUntil = at
}

// handle passes an event to a node's Scheduler and carries out the actions.
func (f *fleet) handle(n *node, e messenger.Event) {
	if n.sched == nil {
		return
	}
	for _, a := range append([]messenger.Action(nil), n.sched.Handle(epoch.Add(f.now), e)...) {
		switch a := a.(type) {
		case messenger.Dispatch:
			f.dispatch(n, a)
		case messenger.Refuse:
			j := n.jobs[a.Request]
			delete(n.jobs, a.Request)
			f.waiting--
			j.onEnd(j, &a)
		case messenger.Send:
			f.send(n, a)
		}
	}
}

// send delivers a message to another node after one to two milliseconds.
func (f *fleet) send(n *node, a messenger.Send) {
	var buf []byte
	codec.NewEncoderBytes(&buf, &f.codecHandle).MustEncode(&a.Message)
	n.sentBytes += len(buf)
	n.sentMessages++
	to := 0
	_, _ = fmt.Sscanf(string(a.To), "router-%d", &to)
	copies, delay := 1, time.Duration(0)
	if f.messageFault != nil {
		copies, delay = f.messageFault()
	}
	for range copies {
		f.schedule(time.Millisecond+f.jitter(time.Millisecond)+delay, func() {
			if f.disconnected == nil || !f.disconnected(n.index, to) {
				var m messenger.PeerMessage
				codec.NewDecoderBytes(buf, &f.codecHandle).MustDecode(&m)
				f.handle(f.nodes[to], messenger.Receive{From: n.id, Message: m})
			}
		})
	}
}

// submit sends a job to its router.
func (f *fleet) submit(j *job) {
	f.nextID++
	j.id, j.arrived = f.nextID, f.now
	j.router.jobs[j.id] = j
	f.waiting++
	e := messenger.Arrive{
		Request: j.id, Account: j.account, Class: j.class, Pool: j.pool,
		CostHint: j.hint, Idempotent: true, Prefix: j.prefix,
	}
	if j.timeout > 0 {
		e.Deadline = epoch.Add(f.now + j.timeout)
	}
	f.handle(j.router, e)
}

// dispatch starts a copy of a job on an engine.
func (f *fleet) dispatch(n *node, a messenger.Dispatch) {
	j := n.jobs[a.Request]
	e := f.engines[a.Upstream]
	if j.copies == 0 {
		f.waiting--
		j.started = f.now
	}
	j.copies++
	e.running++
	f.running++
	e.maxRunning = max(e.maxRunning, e.running)
	sched := n.sched
	f.schedule(time.Duration(float64(f.prefillTime)*e.slowFactor), func() { f.generate(j, e, sched, 0) })
}

// generate produces the next chunk of tokens of a copy. The first chunk is a single token.
func (f *fleet) generate(j *job, e *engine, sched *Scheduler, produced float64) {
	chunk := min(f.chunkTokens, j.cost-produced)
	if j.finished || chunk <= 0 {
		f.endCopy(j, e, sched, produced)
		return
	}
	if produced == 0 {
		chunk = 1
	}
	perToken := float64(f.timePerToken) * e.slowFactor * (0.75 + 0.25*float64(e.running)/float64(e.window))
	f.schedule(time.Duration(chunk*perToken), func() {
		if !j.finished && produced+chunk > j.producedTokens {
			f.servedTokens[j.account] += produced + chunk - j.producedTokens
			delta := produced + chunk - j.producedTokens
			j.producedTokens = produced + chunk
			if j.router.sched == sched {
				f.handle(j.router, messenger.Progress{Request: j.id, Tokens: delta, First: produced == 0})
			}
		}
		f.generate(j, e, sched, produced+chunk)
	})
}

// endCopy frees the slot of a copy. The first copy to end completes the job.
func (f *fleet) endCopy(j *job, e *engine, sched *Scheduler, produced float64) {
	e.running--
	f.running--
	first := !j.finished
	j.finished = true
	if j.router.sched == sched {
		f.handle(j.router, messenger.Finish{Request: j.id, Upstream: e.id, Tokens: produced})
	}
	if first {
		delete(j.router.jobs, j.id)
		j.onEnd(j, nil)
	}
}

// shape is the size of a fleet with one pool.
type shape struct {
	name                                 string
	routers, upstreams, window, accounts int
}

// The shapes of two sites, and of larger fleets with about 1.8 upstreams and 3.5 accounts per
// router.
var (
	riga       = shape{"riga", 8, 20, 16, 16}
	hungary    = shape{"hungary", 8, 10, 16, 16}
	routers40  = shape{"routers40", 40, 73, 16, 140}
	routers400 = shape{"routers400", 400, 730, 16, 1400}
)

// policyOf returns the policy of a shape. Every eighth account has a weight of 4.
func policyOf(s shape) *messenger.Policy {
	policy := &messenger.Policy{
		Version:   1,
		Accounts:  map[messenger.AccountID]messenger.AccountPolicy{},
		Classes:   map[messenger.ClassID]messenger.ClassPolicy{"chat": {ExpectedTokens: 100}},
		Pools:     map[messenger.PoolID]messenger.PoolPolicy{"assistant": {}},
		Upstreams: map[messenger.UpstreamID]messenger.UpstreamPolicy{},
	}
	for i := range s.upstreams {
		id := messenger.UpstreamID(fmt.Sprintf("worker-%d", i))
		policy.Upstreams[id] = messenger.UpstreamPolicy{Pool: "assistant", Window: s.window, Engine: true}
	}
	for i := range s.accounts {
		if i%8 == 0 {
			policy.Accounts[accountName(i)] = messenger.AccountPolicy{Weight: 4}
		}
	}
	return policy
}

func accountName(i int) messenger.AccountID {
	return messenger.AccountID(fmt.Sprintf("account-%d", i))
}
