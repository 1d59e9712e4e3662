package scheduler

import (
	"math"
	"time"

	"lentilwood.example/lentilwood/internal/limiter"
	"lentilwood.example/lentilwood/internal/messenger"
)

// flow is the state of one client account in one pool.
type flow struct {
	pool    *pool
	account messenger.AccountID
	weight  float64
	// tag is the virtual start tag, in normalised tokens: tokens divided by the weight.
	tag float64
	// servedTokens is the sum of all charges since the flow was created.
	servedTokens     float64
	waiting, running int
	queues           []*queue
	dispatchInterval intervalAverage
	idleSince        time.Time
	// blocked is true while the account's concurrency limit holds its requests in the queue.
	blocked bool
	// recentArrivals is a count of arrivals that decays exponentially, as of
	// recentArrivalsAt.
	recentArrivals   float64
	recentArrivalsAt time.Time

	// homeRouter is the account's home router. reportedServed and reportedActive are the values
	// in the last report to it, sent at reportedAt; tagSequence is the sequence of its newest
	// message.
	homeRouter     messenger.RouterID
	reportedServed float64
	reportedActive bool
	reportedAt     time.Time
	tagSequence    uint64
	inOutbox       bool
	// waitingElsewhere counts the account's requests waiting at other routers, as reported
	// by its home router at waitingElsewhereAt.
	waitingElsewhere int
	// fleetRatio is the service that the account gets from the whole fleet, as a multiple of
	// the service from this router. lastTag is the tag in the home router's last message, and
	// lastIncludedTokens this router's service that the tag includes.
	fleetRatio                  float64
	lastTag, lastIncludedTokens int64
	waitingElsewhereAt          time.Time
}

// backlog returns how many requests wait in the pool at this router and at others.
func (f *flow) backlog() limiter.QueueLength {
	return limiter.QueueLength{Local: f.waiting, Remote: f.waitingElsewhere}
}

// isWaitingElsewhere reports whether requests of the account wait at other routers, in which
// case the account does not count as idle. A report older than leaseTTL is ignored.
func (f *flow) isWaitingElsewhere(now time.Time) bool {
	return f.waitingElsewhere > 0 && now.Sub(f.waitingElsewhereAt) < leaseTTL
}

// class is the state of one class of requests in one pool.
type class struct {
	id     messenger.ClassID
	policy messenger.ClassPolicy
	// queues holds the queues with waiting requests of accounts that are not blocked, the
	// lowest tag first.
	queues heap[*queue]
	// waitingForSlot counts the requests in queues.
	waitingForSlot int
	// floorCredit is the service, in tokens, that the class is still owed under its floor.
	floorCredit float64
	// averageCost is a moving average of the cost of finished requests, in tokens.
	averageCost float64
}

// weightOf returns the weight of an account, or 1 if the policy states none.
func weightOf(policy *messenger.Policy, id messenger.AccountID) float64 {
	if w := policy.AccountOf(id).Weight; w > 0 {
		return w
	}
	return 1
}

// flowOf returns the flow of an account and creates it if necessary.
func (p *pool) flowOf(id messenger.AccountID) *flow {
	f, ok := p.flows[id]
	if !ok {
		f = &flow{pool: p, account: id, weight: weightOf(p.sched.policy, id), tag: p.virtualTime, fleetRatio: 1}
		p.flows[id] = f
		p.flowList = append(p.flowList, f)
	}
	return f
}

// assignHomeRouters looks up the home router of every account again.
func (p *pool) assignHomeRouters() {
	for _, f := range p.flowList {
		home := p.sched.homeRouterOf(f.account)
		if f.homeRouter != home {
			f.homeRouter, f.tagSequence = home, 0
			f.reportedServed = math.Inf(-1)
		}
	}
}

// queueOf returns the flow's queue for a class and creates it if necessary.
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

// addWaitingForSlot adds n to the number of requests that wait only for a slot.
func (p *pool) addWaitingForSlot(q *queue, n int) {
	p.waitingForSlot += n
	q.class.waitingForSlot += n
}

// block excludes the waiting requests of an account from dispatch.
func (p *pool) block(f *flow) {
	f.blocked = true
	for _, q := range f.queues {
		p.addWaitingForSlot(q, -q.n)
		q.class.queues.remove(q)
	}
}

// unblock readmits the requests of a blocked account once it is below its concurrency limit.
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
