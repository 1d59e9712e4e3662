package scheduler

import (
	"math"
	"time"

	"lentilwood.example/lentilwood/internal/limiter"
	"lentilwood.example/lentilwood/internal/messenger"
)

// flow is one client account in one pool.
type flow struct {
	pool    *pool
	account messenger.AccountID
	weight  float64
	// tag is the virtual start tag, in tokens divided by weight.
	tag float64
	// served is the sum of all charges since the router started.
	servedTokens     float64
	waiting, running int
	queues           []*queue
	dispatchInterval intervalAverage
	idleSince        time.Time
	// blocked is true while a limit keeps the account's requests back.
	blocked bool
	// rate counts recent requests, decayed up to rateAt.
	recentArrivals   float64
	recentArrivalsAt time.Time

	// home is the router that sums up the account's service; told, toldActive
	// and toldAt are what it was told last; heard is its newest message.
	homeRouter     messenger.RouterID
	reportedServed float64
	reportedActive bool
	reportedAt     time.Time
	tagSequence    uint64
	inOutbox       bool
	// elsewhere counts the account's requests waiting at other routers, as its
	// home said at elsewhereAt.
	waitingElsewhere int
	// spread is how many times its own service the account gets from the whole
	// fleet; lastTag and lastIncluded are what the home said last.
	fleetRatio            float64
	lastTag, lastIncluded int64
	waitingElsewhereAt    time.Time
}

// backlog counts the requests that wait in the pool, here and elsewhere.
func (f *flow) backlog() limiter.QueueLength {
	return limiter.QueueLength{Local: f.waiting, Remote: f.waitingElsewhere}
}

// waitsElsewhere reports whether requests of the account wait at other routers,
// so that it has not been idle.
func (f *flow) isWaitingElsewhere(now time.Time) bool {
	return f.waitingElsewhere > 0 && now.Sub(f.waitingElsewhereAt) < leaseTTL
}

// class is one class of requests in one pool.
type class struct {
	id     messenger.ClassID
	policy messenger.ClassPolicy
	// queues holds the accounts with waiting requests, the lowest tag first.
	queues heap[*queue]
	// waiting counts its requests in queues.
	waitingForSlot int
	// credit is the service that the class's floor still owes it, in tokens.
	floorCredit float64
	// mean is a moving average of the cost of finished requests.
	averageCost float64
}

// weightOf returns the weight of an account, 1 unless the policy states one.
func weightOf(policy *messenger.Policy, id messenger.AccountID) float64 {
	if w := policy.AccountOf(id).Weight; w > 0 {
		return w
	}
	return 1
}

// flowOf returns the flow of an account, new if it has to be.
func (p *pool) flowOf(id messenger.AccountID) *flow {
	f, ok := p.flows[id]
	if !ok {
		f = &flow{pool: p, account: id, weight: weightOf(p.sched.policy, id), tag: p.virtualTime, fleetRatio: 1}
		p.flows[id] = f
		p.flowList = append(p.flowList, f)
	}
	return f
}

// rehome looks up anew which routers sum up the service of accounts.
func (p *pool) assignHomeRouters() {
	for _, f := range p.flowList {
		home := p.sched.homeRouterOf(f.account)
		if f.homeRouter != home {
			f.homeRouter, f.tagSequence = home, 0
			f.reportedServed = math.Inf(-1)
		}
	}
}

// queueOf returns the flow's queue for a class, new if it has to be.
func (f *flow) queueOf(c *class) *queue {
	for _, q := range f.queues {
		if q.class == c {
			return q
		}
	}
	q := &queue{flow: f, class: c, heapIndex: -1}
	f.queues = append(f.queues, q)
	return q
}

// count changes the number of requests that only lack a slot.
func (p *pool) addWaitingForSlot(q *queue, n int) {
	p.waitingForSlot += n
	q.class.waitingForSlot += n
}

// block keeps back the waiting requests of an account.
func (p *pool) block(f *flow) {
	f.blocked = true
	for _, q := range f.queues {
		p.addWaitingForSlot(q, -q.n)
		q.class.queues.remove(q)
	}
}

// unblock ends a block if the account's limit leaves room.
func (p *pool) unblock(f *flow) {
	if !f.blocked || p.sched.limits.AtConcurrencyLimit(p.sched.now, f.account) {
		return
	}
	f.blocked = false
	for _, q := range f.queues {
		if q.n > 0 {
			p.addWaitingForSlot(q, q.n)
			q.class.queues.push(q)
		}
	}
}

// reorder restores the order of the class heaps after the tag has changed.
func (f *flow) reorder() {
	for _, q := range f.queues {
		q.class.queues.fix(q)
	}
}
