package scheduler

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/ugorji/go/codec"

	"lentilwood.example/lentilwood/internal/messenger"
)

// This file holds small fakes of link, upstream and arrivals in virtual time,
// for tests and benchmarks.

// later is something that happens at a time.
type later struct {
	at    time.Duration
	seq   uint64
	do    func()
	place int
}

func (l *later) less(other *later) bool {
	if l.at != other.at {
		return l.at < other.at
	}
	return l.seq < other.seq
}

func (l *later) index() *int { return &l.place }

// job is one request of the fake arrivals, with its true cost.
type job struct {
	id         messenger.RequestID
	router     *node
	account    messenger.AccountID
	class      messenger.ClassID
	pool       messenger.PoolID
	cost, hint float64
	prefix     uint64
	arrived    time.Duration
	started    time.Duration
	timeout    time.Duration
	done       float64
	copies     int
	finished   bool
	// ended is called once, with what came out.
	ended func(j *job, refused *messenger.Refuse)
}

// engine is a fake model engine with continuous batching.
type engine struct {
	id      messenger.UpstreamID
	window  int
	running int
	peak    int
	slow    float64
}

// node is one router with its scheduler.
type node struct {
	id    messenger.RouterID
	index int
	sched *Scheduler
	jobs  map[messenger.RequestID]*job
	bytes int
	sent  int
}

// fleet runs routers, engines and links in virtual time.
type fleet struct {
	cfg    Config
	policy *messenger.Policy
	now    time.Duration
	seq    uint64
	agenda heap[*later]
	rand   *rand.Rand
	// load draws the arrivals, so that they do not depend on what is sent.
	load    *rand.Rand
	nodes   []*node
	names   []messenger.RouterID
	engines map[messenger.UpstreamID]*engine
	slots   int
	// cut reports whether two routers cannot hear each other.
	cut func(a, b int) bool
	// warp changes the fate of a message: copies and extra delay.
	warp    func() (copies int, delay time.Duration)
	handle  codec.MsgpackHandle
	nextID  messenger.RequestID
	waiting int
	running int
	// busy and full integrate slots in use and slots, while work waits.
	busy, full time.Duration
	measuring  bool
	last       time.Duration
	served     map[messenger.AccountID]float64
	prefill    time.Duration
	perToken   time.Duration
	chunk      float64
}

// newFleet returns a fleet of n routers under a policy.
func newFleet(n int, policy *messenger.Policy, cfg Config) *fleet {
	f := &fleet{
		cfg: cfg, policy: policy, rand: rand.New(rand.NewPCG(cfg.Seed, 7)), load: rand.New(rand.NewPCG(cfg.Seed, 8)),
		engines: make(map[messenger.UpstreamID]*engine), served: make(map[messenger.AccountID]float64),
		prefill: 60 * time.Millisecond, perToken: 20 * time.Millisecond, chunk: 8,
	}
	f.handle.StructToArray = true
	for id, u := range policy.Upstreams {
		f.engines[id] = &engine{id: id, window: u.Window, slow: 1}
		f.slots += u.Window
	}
	for i := range n {
		f.names = append(f.names, messenger.RouterID(fmt.Sprintf("router-%d", i)))
	}
	for i := range n {
		f.nodes = append(f.nodes, &node{id: f.names[i], index: i})
		f.start(f.nodes[i])
	}
	return f
}

// start gives a node an empty scheduler, as after a restart.
func (f *fleet) start(n *node) {
	cfg := f.cfg
	cfg.Self = n.id
	cfg.Seed += uint64(n.index)
	n.sched = New(cfg)
	n.jobs = make(map[messenger.RequestID]*job)
	f.tell(n, messenger.PolicyChange{Policy: f.policy})
	f.tell(n, messenger.PeersChange{Routers: f.names})
	sched := n.sched
	var tick func()
	tick = func() {
		if n.sched == sched {
			f.tell(n, messenger.Tick{})
			f.after(messenger.TickInterval, tick)
		}
	}
	f.after(f.jitter(messenger.TickInterval), tick)
}

func (f *fleet) jitter(d time.Duration) time.Duration {
	return time.Duration(f.rand.Int64N(int64(d)))
}

func (f *fleet) after(d time.Duration, do func()) {
	f.seq++
	f.agenda.push(&later{at: f.now + d, seq: f.seq, do: do, place: -1})
}

// run lets virtual time pass up to an end.
func (f *fleet) run(end time.Duration) {
	for f.agenda.len() > 0 && f.agenda.min().at <= end {
		e := f.agenda.min()
		f.agenda.remove(e)
		f.integrate(e.at)
		f.now = e.at
		e.do()
	}
	f.now = end
}

// integrate adds up the use of slots.
func (f *fleet) integrate(at time.Duration) {
	if f.measuring && f.waiting > 0 {
		f.busy += (at - f.last) * time.Duration(f.running)
		f.full += (at - f.last) * time.Duration(f.slots)
	}
	f.last = at
}

// tell hands an event to a node and carries out the actions.
func (f *fleet) tell(n *node, e messenger.Event) {
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
			j.ended(j, &a)
		case messenger.Send:
			f.send(n, a)
		}
	}
}

// send passes a message over a link of about a millisecond.
func (f *fleet) send(n *node, a messenger.Send) {
	var buf []byte
	codec.NewEncoderBytes(&buf, &f.handle).MustEncode(&a.Message)
	n.bytes += len(buf)
	n.sent++
	to := 0
	_, _ = fmt.Sscanf(string(a.To), "router-%d", &to)
	copies, delay := 1, time.Duration(0)
	if f.warp != nil {
		copies, delay = f.warp()
	}
	for range copies {
		f.after(time.Millisecond+f.jitter(time.Millisecond)+delay, func() {
			if f.cut == nil || !f.cut(n.index, to) {
				var m messenger.PeerMessage
				codec.NewDecoderBytes(buf, &f.handle).MustDecode(&m)
				f.tell(f.nodes[to], messenger.Receive{From: n.id, Message: m})
			}
		})
	}
}

// submit lets a job arrive at its router.
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
	f.tell(j.router, e)
}

// dispatch runs a job on an engine.
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
	e.peak = max(e.peak, e.running)
	sched := n.sched
	f.after(time.Duration(float64(f.prefill)*e.slow), func() { f.step(j, e, sched, 0) })
}

// step produces the next tokens of a job on an engine.
func (f *fleet) step(j *job, e *engine, sched *Scheduler, made float64) {
	left := min(f.chunk, j.cost-made)
	if j.finished || left <= 0 {
		f.leave(j, e, sched, made)
		return
	}
	if made == 0 {
		left = 1
	}
	perToken := float64(f.perToken) * e.slow * (0.75 + 0.25*float64(e.running)/float64(e.window))
	f.after(time.Duration(left*perToken), func() {
		if !j.finished && made+left > j.done {
			f.served[j.account] += made + left - j.done
			delta := made + left - j.done
			j.done = made + left
			if j.router.sched == sched {
				f.tell(j.router, messenger.Progress{Request: j.id, Tokens: delta, First: made == 0})
			}
		}
		f.step(j, e, sched, made+left)
	})
}

// leave frees a job's slot on an engine.
func (f *fleet) leave(j *job, e *engine, sched *Scheduler, made float64) {
	e.running--
	f.running--
	won := !j.finished
	j.finished = true
	if j.router.sched == sched {
		f.tell(j.router, messenger.Finish{Request: j.id, Upstream: e.id, Tokens: made})
	}
	if won {
		delete(j.router.jobs, j.id)
		j.ended(j, nil)
	}
}

// shape is the size of a fleet with one pool.
type shape struct {
	name                                 string
	routers, upstreams, window, accounts int
}

// The shapes of today, and of the capacity page's ratios.
var (
	riga    = shape{"riga", 8, 20, 16, 16}
	hungary = shape{"hungary", 8, 10, 16, 16}
	forty   = shape{"routers40", 40, 73, 16, 140}
	large   = shape{"routers400", 400, 730, 16, 1400}
)

// policyOf returns the policy of a shape. Every eighth account is large.
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
