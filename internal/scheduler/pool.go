package scheduler

import (
	"math/rand/v2"
	"slices"
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
	"lentilwood.example/lentilwood/internal/placer"
)

// defaultTokens is the cost assumed for a class that states none.
const defaultCostTokens = 100

// pool queues the requests for one pool of upstreams.
type pool struct {
	sched  *Scheduler
	id     messenger.PoolID
	placer *placer.Placer
	flows  map[messenger.AccountID]*flow
	// classes is in order of precedence, the highest first.
	classes []*class
	// vtime is the virtual time: no account that becomes active starts below.
	virtualTime float64
	// backlogged counts the accounts with waiting requests, waiting the
	// requests that are held back by nothing but the lack of a slot.
	backloggedAccounts, waitingForSlot int
	dispatchInterval                   intervalAverage
	// hedgeCredit is how many second copies the budget allows now.
	hedgeCredit float64
	// rejoinedAt is when a router that shares upstreams was last heard again.
	peerRecoveredAt time.Time
	// cost is a moving average of the cost of finished requests.
	averageCost float64
	// large is a decaying maximum of the cost of requests.
	maxCost float64
	// flowList holds the flows for sweep, which goes on at cursor.
	flowList    []*flow
	sweepCursor int
	rand        *rand.Rand

	// What this router may use of the pool's upstreams.
	longShare float64
	leases    map[messenger.UpstreamID]*lease
	owners    []*slotOwner
	ownDemand messenger.Demand

	// What this router divides among others.
	owned           map[messenger.UpstreamID]*ownedUpstream
	ownedList       []*ownedUpstream
	withFreeSlots   []*ownedUpstream
	users           []messenger.RouterID
	demands         map[messenger.RouterID]*routerDemand
	demandHeap      heap[*routerDemand]
	totalDemand     messenger.Demand
	announcedDemand messenger.Demand

	// homes are the accounts whose service this router sums up.
	homeAccounts map[messenger.AccountID]*homeAccount
}

func newPool(s *Scheduler, id messenger.PoolID) *pool {
	seed := s.cfg.Seed ^ rank(string(id), s.cfg.Self)
	return &pool{
		sched:        s,
		id:           id,
		placer:       placer.New(seed),
		rand:         rand.New(rand.NewPCG(seed, 1)),
		flows:        make(map[messenger.AccountID]*flow),
		leases:       make(map[messenger.UpstreamID]*lease),
		owned:        make(map[messenger.UpstreamID]*ownedUpstream),
		demands:      make(map[messenger.RouterID]*routerDemand),
		homeAccounts: make(map[messenger.AccountID]*homeAccount),
	}
}

// applyPolicy takes in the classes, weights and bounds of another policy.
func (p *pool) applyPolicy(policy *messenger.Policy) {
	p.longShare = policy.Pools[p.id].LongShare
	for id := range policy.Classes {
		p.classOf(id)
	}
	for _, c := range p.classes {
		c.policy = policy.Classes[c.id]
	}
	slices.SortStableFunc(p.classes, func(a, b *class) int {
		return b.policy.Precedence - a.policy.Precedence
	})
	for _, f := range p.flows {
		f.weight = weightOf(policy, f.account)
	}
}

// classOf returns the class with a name, new if it has to be.
func (p *pool) classOf(id messenger.ClassID) *class {
	for _, c := range p.classes {
		if c.id == id {
			return c
		}
	}
	c := &class{id: id, policy: p.sched.policy.Classes[id]}
	i, _ := slices.BinarySearchFunc(p.classes, c, func(a, b *class) int {
		return b.policy.Precedence - a.policy.Precedence
	})
	p.classes = slices.Insert(p.classes, i, c)
	return c
}

// largeCost returns the cost of a large request.
func (p *pool) largeCost() float64 { return max(p.maxCost, p.meanCost()) }

// meanCost returns the mean cost of a request.
func (p *pool) meanCost() float64 {
	if p.averageCost > 0 {
		return p.averageCost
	}
	return defaultCostTokens
}

// enqueue lets r wait for its turn.
func (p *pool) enqueue(r *request) {
	f := r.queue.flow
	r.long = r.queue.class.policy.Long
	r.queue.push(r)
	if f.waiting == 0 && !f.isWaitingElsewhere(p.sched.now) {
		f.tag = max(f.tag, p.virtualTime)
	}
	p.addWaiting(r)
	p.updateUse(f)
}

// requeue lets a request whose attempt failed wait again, before all others
// of its account and class.
func (p *pool) requeue(r *request) {
	r.queue.flow.running--
	p.sched.limits.Requeue(r.arrive.Account)
	r.queue.pushFront(r)
	p.addWaiting(r)
}

// wait counts r as waiting.
func (p *pool) addWaiting(r *request) {
	f := r.queue.flow
	r.waiting = true
	f.waiting++
	if f.waiting == 1 {
		p.backloggedAccounts++
		f.dispatchInterval.startWaiting(p.sched.now)
	}
	if p.backloggedAccounts == 1 {
		p.dispatchInterval.startWaiting(p.sched.now)
	}
	if !r.expiresAt.IsZero() {
		p.sched.expiryHeap.push(r)
	}
	if f.blocked {
		return
	}
	p.addWaitingForSlot(r.queue, 1)
	r.queue.class.queues.push(r.queue)
	if p.sched.limits.AtConcurrencyLimit(p.sched.now, f.account) {
		p.block(f)
	}
}

// unwait counts r as no longer waiting.
func (p *pool) removeWaiting(r *request) {
	f := r.queue.flow
	r.waiting = false
	r.queue.remove(r)
	p.sched.expiryHeap.remove(r)
	if !f.blocked {
		p.addWaitingForSlot(r.queue, -1)
	}
	if r.queue.n == 0 {
		r.queue.class.queues.remove(r.queue)
	}
	f.waiting--
	if f.waiting == 0 {
		p.backloggedAccounts--
		f.dispatchInterval.pause()
	}
	if p.backloggedAccounts == 0 {
		p.dispatchInterval.pause()
	}
}

// dequeue takes out a request that was not dispatched.
func (p *pool) dequeue(r *request) {
	p.removeWaiting(r)
	p.sched.limits.DropWaiting(r.arrive.Account)
	r.queue.flow.idleSince = p.sched.now
	p.updateUse(r.queue.flow)
}

// dispatch sends waiting requests while there are slots for them.
func (p *pool) dispatch() {
	for {
		r, u, ok := p.nextRequest()
		if !ok {
			break
		}
		p.startRequest(r, u)
	}
	if p.sched.cfg.Mode == Fleet {
		p.updateDemand()
	}
}

// next returns the request whose turn it is and the upstream that takes it.
func (p *pool) nextRequest() (*request, messenger.UpstreamID, bool) {
	for _, c := range p.classes {
		if c.hasFloorCredit() {
			if r, u, ok := p.firstRequest(c); ok {
				return r, u, ok
			}
		}
	}
	for _, c := range p.classes {
		if r, u, ok := p.firstRequest(c); ok {
			return r, u, ok
		}
	}
	return nil, "", false
}

// head returns the first request of a class, if an upstream can take it.
func (p *pool) firstRequest(c *class) (*request, messenger.UpstreamID, bool) {
	if c.queues.len() == 0 {
		return nil, "", false
	}
	r := c.queues.min().head
	q := placer.Query{Prefix: r.arrive.Prefix, Long: r.long}
	if p.sched.now.Before(r.avoidUntil) && p.placer.Usable() > 1 {
		q.Avoid = r.avoidUpstream
	}
	u, ok := p.placer.Pick(p.sched.now, q)
	return r, u, ok
}

// start dispatches r to an upstream.
func (p *pool) startRequest(r *request, u messenger.UpstreamID) {
	f := r.queue.flow
	f.tag = max(f.tag, p.minTag())
	p.advanceVirtualTime(f.tag)
	p.dispatchInterval.recordEvent(p.sched.now)
	f.dispatchInterval.recordEvent(p.sched.now)
	p.removeWaiting(r)
	f.running++
	p.sched.limits.Start(r.arrive.Account)
	if f.waiting > 0 && p.sched.limits.AtConcurrencyLimit(p.sched.now, f.account) {
		p.block(f)
	}
	r.upstreams = append(r.upstreams, u)
	r.dispatchedAt, r.lastOutputAt = p.sched.now, time.Time{}
	p.placer.Start(p.sched.now, u, r.long)
	p.placer.ReportCache(u, r.arrive.Prefix, true)
	p.scheduleHedge(r)
	if r.chargedTokens == 0 {
		r.estimatedCost = r.queue.estimateCost(r.arrive.CostHint)
		p.charge(r, r.estimatedCost)
	}
	p.sched.emit(messenger.Dispatch{Request: r.arrive.Request, Upstream: u})
}

// repayment bounds how far an account's tag may lag behind the virtual time, in
// large costs: what it was denied during a cut is repaid up to that much, so
// that the others are not starved to settle it.
const maxTagOffset = 2

// rejoinTime is how long after a cut accounts that are too far ahead are
// forgiven.
const recoveryPeriod = 2 * time.Second

// oldest returns the lowest tag that an account may have.
func (p *pool) minTag() float64 { return p.virtualTime - maxTagOffset*p.largeCost() }

// newest returns the highest tag that an account may have after a cut: one that
// is farther ahead does not wait for all the others to catch up.
func (p *pool) maxTag() float64 { return p.virtualTime + maxTagOffset*p.largeCost() }

// advance moves the virtual time up to the tag of a dispatched request, but
// not past a request that waits at another router.
func (p *pool) advanceVirtualTime(tag float64) {
	for _, o := range p.owners {
		if o.competing.Want > 0 {
			tag = min(tag, float64(o.competing.Tag))
		}
	}
	p.virtualTime = max(p.virtualTime, tag)
}
