package scheduler

import "lentilwood.example/lentilwood/internal/messenger"

// maxCredit bounds what a class's floor may owe it, in multiples of its mean
// cost.
const maxCredit = 20

// costSmoothing is the weight of the past in the mean cost of a pool.
const costSmoothing = 0.99

// hintTrust bounds how far a caller's hint moves an estimate, as a factor.
const hintTrust = 4

// expected returns the cost assumed for a request of the class.
func (c *class) expected() float64 {
	switch {
	case c.mean > 0:
		return c.mean
	case c.policy.ExpectedTokens > 0:
		return c.policy.ExpectedTokens
	default:
		return defaultTokens
	}
}

// owed reports whether the class's floor entitles it to the next turn.
func (c *class) owed() bool {
	return c.policy.Floor > 0 && c.queues.len() > 0 && c.credit >= c.expected()
}

// estimate returns the cost assumed for a request of q, from what finished
// before and from the caller's hint.
func (q *queue) estimate(hint float64) float64 {
	e := q.class.expected()
	if hint <= 0 {
		return e
	}
	return min(max(hint, e/hintTrust), e*hintTrust)
}

// charge adds tokens, which may be negative, to what r's account has used.
func (p *pool) charge(r *request, tokens float64) {
	f := r.queue.flow
	r.charged += tokens
	f.served += tokens
	f.tag += f.spread * tokens / f.weight
	f.reorder()
	p.sched.limits.Charge(p.sched.now, f.account, tokens)
	p.credit(r.queue.class, tokens)
	p.updateUse(f)
}

// credit pays every class with a floor its part of the tokens charged to one.
func (p *pool) credit(charged *class, tokens float64) {
	charged.credit -= tokens
	for _, c := range p.classes {
		if c.queues.len() == 0 {
			c.credit = min(c.credit, 0)
		}
		limit := maxCredit * c.expected()
		c.credit = min(max(c.credit+c.policy.Floor*tokens, -limit), limit)
	}
}

// settle ends r's account of costs: what was charged becomes what was used.
func (p *pool) settle(r *request, failed bool) {
	f := r.queue.flow
	f.running--
	f.idleSince = p.sched.now
	p.sched.limits.End(f.account)
	p.sched.unblock(f.account)
	p.charge(r, r.tokens-r.charged)
	if failed || r.tokens <= 0 {
		return
	}
	c := r.queue.class
	c.mean = smoothing*c.expected() + (1-smoothing)*r.tokens
	p.cost = costSmoothing*p.meanCost() + (1-costSmoothing)*r.tokens
	p.large = max(r.tokens, p.large*costSmoothing)
}

// unblock lets the requests of an account go on in every pool.
func (s *Scheduler) unblock(id messenger.AccountID) {
	for _, p := range s.poolList {
		if f, ok := p.flows[id]; ok {
			p.unblock(f)
		}
	}
}
