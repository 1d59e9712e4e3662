package scheduler

import (
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
	"lentilwood.example/lentilwood/internal/placer"
)

const (
	// hedgeLatencyFactor is the wait for the first output, in multiples of the pool's typical
	// latency, after which a request may be hedged.
	hedgeLatencyFactor = 3
	// maxHedgeCredit bounds the number of hedges that may be sent in a burst.
	maxHedgeCredit = 8
)

// hedge is a plan to send a second copy of a request if it has produced nothing by dueAt.
type hedge struct {
	request   *request
	dueAt     time.Time
	heapIndex int
}

func (h *hedge) less(other *hedge) bool { return h.dueAt.Before(other.dueAt) }

func (h *hedge) index() *int { return &h.heapIndex }

// scheduleHedge schedules a hedge for a dispatched request, if its class and the pool allow
// it.
func (p *pool) scheduleHedge(r *request) {
	budget := p.sched.policy.Pools[p.id].HedgeBudget
	typicalLatency := p.placer.FirstOutputLatency()
	if budget <= 0 || typicalLatency == 0 || !r.arrive.Idempotent || r.long || !r.queue.class.policy.Hedge {
		return
	}
	p.hedgeCredit = min(p.hedgeCredit+budget, maxHedgeCredit)
	r.hedge = &hedge{request: r, dueAt: p.sched.now.Add(hedgeLatencyFactor * typicalLatency), heapIndex: -1}
	p.sched.hedgeHeap.push(r.hedge)
}

// cancelHedge cancels the scheduled hedge of a request.
func (s *Scheduler) cancelHedge(r *request) {
	if r.hedge != nil {
		s.hedgeHeap.remove(r.hedge)
		r.hedge = nil
	}
}

// sendDueHedges sends the hedges that are due, as far as budgets and free slots allow.
func (s *Scheduler) sendDueHedges() {
	for s.hedgeHeap.len() > 0 && !s.hedgeHeap.min().dueAt.After(s.now) {
		r := s.hedgeHeap.min().request
		s.cancelHedge(r)
		r.queue.flow.pool.sendHedge(r)
	}
}

// sendHedge sends a second copy of r to another upstream.
func (p *pool) sendHedge(r *request) {
	if r.waiting || len(r.upstreams) != 1 || p.hedgeCredit < 1 {
		return
	}
	u, ok := p.placer.Pick(p.sched.now, placer.Query{Avoid: r.upstreams[0]})
	if !ok {
		return
	}
	p.hedgeCredit--
	r.upstreams = append(r.upstreams, u)
	p.placer.Start(p.sched.now, u, r.long)
	p.sched.emit(messenger.Dispatch{Request: r.arrive.Request, Upstream: u, Hedge: true})
}
