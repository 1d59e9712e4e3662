package scheduler

import (
	"math/rand/v2"
	"slices"
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
	"lentilwood.example/lentilwood/internal/placer"
)

// defaultCostTokens is the cost assumed for requests of a class whose policy states none.
const defaultCostTokens = 100

// pool schedules the requests for one pool of upstreams.
type pool struct {
	sched  *Scheduler
	id     messenger.PoolID
	placer *placer.Placer
	flows  map[messenger.AccountID]*flow
	// classes is in order of precedence, the highest first.
	classes []*class
	// virtualTime is the lowest start tag of an account that becomes active.
	virtualTime float64
	// backloggedAccounts counts the accounts with waiting requests. waitingForSlot counts
	// the requests that wait only because no slot is free, not because of a limit.
	backloggedAccounts, waitingForSlot int
	dispatchInterval                   intervalAverage
	// hedgeCredit is the number of hedges that the budget allows now.
	hedgeCredit float64
	// peerRecoveredAt is when a router that shares upstreams with this one last became
	// responsive again.
	peerRecoveredAt time.Time
	// averageCost is a moving average of the cost of finished requests, in tokens.
	averageCost float64
	// maxCost is a decaying maximum of the cost of finished requests, in tokens.
	maxCost float64
	// flowList holds all flows for sweepAccounts, which continues at sweepCursor.
	flowList    []*flow
	sweepCursor int
	rand        *rand.Rand

	// The state of this router as a user of upstreams: the part of each window that long
	// work may use, its leases, their owners and the demand that it reports to them.
	longShare float64
	leases    map[messenger.UpstreamID]*lease
	owners    []*slotOwner
	ownDemand messenger.Demand

	// The state of this router as an owner of upstreams: its upstreams, those of them with
	// free slots, the routers that use them (sorted), their demands, the sum of these, and
	// the demand that was last sent to the users.
	owned           map[messenger.UpstreamID]*ownedUpstream
	ownedList       []*ownedUpstream
	withFreeSlots   []*ownedUpstream
	users           []messenger.RouterID
	demands         map[messenger.RouterID]*routerDemand
	demandHeap      heap[*routerDemand]
	totalDemand     messenger.Demand
	announcedDemand messenger.Demand

	// homeAccounts holds the accounts whose home router is this one.
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

// applyPolicy applies the classes, weights and limits of a policy.
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

// classOf returns the class with a name and creates it if necessary.
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

// largeCost returns the cost of a large request, in tokens.
func (p *pool) largeCost() float64 { return max(p.maxCost, p.meanCost()) }

// meanCost returns the mean cost of a request, in tokens.
func (p *pool) meanCost() float64 {
	if p.averageCost > 0 {
		return p.averageCost
	}
	return defaultCostTokens
}

// enqueue appends r to its queue. The tag of an account that was idle is raised to the virtual
// time, so that it cannot save up service.
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

// requeue puts a request whose attempt failed back at the head of its queue.
func (p *pool) requeue(r *request) {
	r.queue.flow.running--
	p.sched.limits.Requeue(r.arrive.Account)
	r.queue.pushFront(r)
	p.addWaiting(r)
}

// addWaiting updates the counters, heaps and averages for a request that starts waiting.
func (p *pool) addWaiting(r *request) {
	f := r.queue.flow
	r.waiting = true
	f.waiting++
	if f.waiting == 1 {
		p.backloggedAccounts++
		f.dispatchInterval.startInterval(p.sched.now)
	}
	if p.backloggedAccounts == 1 {
		p.dispatchInterval.startInterval(p.sched.now)
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

// removeWaiting removes r from its queue and updates the counters, heaps and averages.
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

// dequeue removes a waiting request that will not be dispatched.
func (p *pool) dequeue(r *request) {
	p.removeWaiting(r)
	p.sched.limits.DropWaiting(r.arrive.Account)
	r.queue.flow.idleSince = p.sched.now
	p.updateUse(r.queue.flow)
}

// dispatch starts waiting requests while upstreams have free slots.
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

// nextRequest returns the next request to dispatch and its upstream. Classes with floor
// credit come first, then all classes by precedence.
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

// firstRequest returns the first request of a class and an upstream that can run it.
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

// startRequest dispatches r to an upstream and charges its estimated cost.
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

// maxTagOffset bounds how far an account's tag may be behind the virtual time, and after a
// network partition ahead of it, in costs of a large request. Service that an account missed
// during a partition is made up for only to this extent, so that the other accounts are still
// served meanwhile.
const maxTagOffset = 2

// recoveryPeriod is how long after the end of a network partition tags that are too far
// ahead are reduced to maxTag.
const recoveryPeriod = 2 * time.Second

// minTag returns the lowest tag that an account may have.
func (p *pool) minTag() float64 { return p.virtualTime - maxTagOffset*p.largeCost() }

// maxTag returns the highest tag that an account may have after a network partition. An
// account that is farther ahead need not wait until all others have caught up.
func (p *pool) maxTag() float64 { return p.virtualTime + maxTagOffset*p.largeCost() }

// advanceVirtualTime raises the virtual time to the tag of a dispatched request, but not
// beyond the tag of a request that waits at another router.
func (p *pool) advanceVirtualTime(tag float64) {
	for _, o := range p.owners {
		if o.competingDemand.Waiting > 0 {
			tag = min(tag, float64(o.competingDemand.Tag))
		}
	}
	p.virtualTime = max(p.virtualTime, tag)
}
