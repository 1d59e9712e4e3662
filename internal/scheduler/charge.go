package scheduler

import "lentilwood.example/lentilwood/internal/messenger"

// maxCredit bounds what a class's floor may owe it, in multiples of its mean
// cost.
const maxFloorCredit = 20

// costSmoothing is the weight of the past in the mean cost of a pool.
const poolCostDecay = 0.99

// hintTrust bounds how far a caller's hint moves an estimate, as a factor.
const maxHintFactor = 4

// expected returns the cost assumed for a request of the class.
func (c *class) expectedCost() float64 {
	switch {
	case c.averageCost > 0:
		return c.averageCost
	case c.policy.ExpectedTokens > 0:
		return c.policy.ExpectedTokens
	default:
		return defaultCostTokens
	}
}

// owed reports whether the class's floor entitles it to the next turn.
func (c *class) hasFloorCredit() bool {
	return c.policy.Floor > 0 && c.queues.len() > 0 && c.floorCredit >= c.expectedCost()
}

// estimate returns the cost assumed for a request of q, from what finished
// before and from the caller's hint.
func (q *queue) estimateCost(hint float64) float64 {
	e := q.class.expectedCost()
	if hint <= 0 {
		return e
	}
	return min(max(hint, e/maxHintFactor), e*maxHintFactor)
}

// charge adds tokens, which may be negative, to what r's account has used.
func (p *pool) charge(r *request, tokens float64) {
	f := r.queue.flow
	r.chargedTokens += tokens
	f.servedTokens += tokens
	f.tag += f.fleetRatio * tokens / f.weight
	f.reorder()
	p.sched.limits.Charge(p.sched.now, f.account, tokens)
	p.creditFloors(r.queue.class, tokens)
	p.updateUse(f)
}

// credit pays every class with a floor its part of the tokens charged to one.
func (p *pool) creditFloors(charged *class, tokens float64) {
	charged.floorCredit -= tokens
	for _, c := range p.classes {
		if c.queues.len() == 0 {
			c.floorCredit = min(c.floorCredit, 0)
		}
		limit := maxFloorCredit * c.expectedCost()
		c.floorCredit = min(max(c.floorCredit+c.policy.Floor*tokens, -limit), limit)
	}
}

// settle ends r's account of costs: what was charged becomes what was used.
func (p *pool) settleCharges(r *request, failed bool) {
	f := r.queue.flow
	f.running--
	f.idleSince = p.sched.now
	p.sched.limits.End(f.account)
	p.sched.unblockAccount(f.account)
	p.charge(r, r.producedTokens-r.chargedTokens)
	if failed || r.producedTokens <= 0 {
		return
	}
	c := r.queue.class
	c.averageCost = averageDecay*c.expectedCost() + (1-averageDecay)*r.producedTokens
	p.averageCost = poolCostDecay*p.meanCost() + (1-poolCostDecay)*r.producedTokens
	p.maxCost = max(r.producedTokens, p.maxCost*poolCostDecay)
}

// unblock lets the requests of an account go on in every pool.
func (s *Scheduler) unblockAccount(id messenger.AccountID) {
	for _, p := range s.poolList {
		if f, ok := p.flows[id]; ok {
			p.unblock(f)
		}
	}
}
