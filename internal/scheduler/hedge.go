package scheduler

import (
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
	"lentilwood.example/lentilwood/internal/placer"
)

const (
	// hedgeAfter is the wait for the first output, in multiples of the pool's
	// usual one, after which a second copy may be sent.
	hedgeAfter = 3
	// maxHedgeCredit bounds the second copies that may be sent at once.
	maxHedgeCredit = 8
)

// hedge is a request that gets a second copy at a time if it has produced
// nothing by then.
type hedge struct {
	request *request
	due     time.Time
	at      int
}

func (h *hedge) less(other *hedge) bool { return h.due.Before(other.due) }

func (h *hedge) index() *int { return &h.at }

// planHedge notes when a dispatched request would need a second copy.
func (p *pool) planHedge(r *request) {
	budget := p.sched.policy.Pools[p.id].HedgeBudget
	usual := p.placer.FirstOutputLatency()
	if budget <= 0 || usual == 0 || !r.arrive.Idempotent || r.long || !r.queue.class.policy.Hedge {
		return
	}
	p.hedgeCredit = min(p.hedgeCredit+budget, maxHedgeCredit)
	r.hedge = &hedge{request: r, due: p.sched.now.Add(hedgeAfter * usual), at: -1}
	p.sched.hedges.push(r.hedge)
}

// unhedge drops the plan for a second copy.
func (s *Scheduler) unhedge(r *request) {
	if r.hedge != nil {
		s.hedges.remove(r.hedge)
		r.hedge = nil
	}
}

// sendHedges sends the second copies that are due, as far as the budgets and
// free slots go.
func (s *Scheduler) sendHedges() {
	for s.hedges.len() > 0 && !s.hedges.min().due.After(s.now) {
		r := s.hedges.min().request
		s.unhedge(r)
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
	p.sched.act(messenger.Dispatch{Request: r.arrive.Request, Upstream: u, Hedge: true})
}
