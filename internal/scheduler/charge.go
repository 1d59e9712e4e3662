package scheduler

import "lentilwood.example/lentilwood/internal/messenger"

// maxFloorCredit bounds the floor credit of a class either way, in multiples of the expected
// cost of its requests.
const maxFloorCredit = 20

// poolCostDecay is the weight of the previous value in the mean and maximum cost of a pool.
const poolCostDecay = 0.99

// maxHintFactor is the largest factor by which a caller's hint changes an estimate.
const maxHintFactor = 4

// expectedCost returns the cost assumed for a request of the class, in tokens.
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

// hasFloorCredit reports whether the class has enough floor credit for its next request to go
// first, whatever its precedence.
func (c *class) hasFloorCredit() bool {
	return c.policy.Floor > 0 && c.queues.len() > 0 && c.floorCredit >= c.expectedCost()
}

// estimateCost returns the cost assumed for a request of q, in tokens, from the requests that
// finished before and from the caller's hint. A hint of zero means that there is none.
func (q *queue) estimateCost(hint float64) float64 {
	e := q.class.expectedCost()
	if hint <= 0 {
		return e
	}
	return min(max(hint, e/maxHintFactor), e*maxHintFactor)
}

// charge adds tokens to the service of r's account and updates its tag. Negative tokens
// return an excessive charge.
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

// creditFloors distributes tokens charged to one class: each class with a floor is credited
// with its part of them. A class without waiting requests saves up no credit.
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

// settleCharges ends the charging of r: the account is charged the tokens that r produced
// instead of the estimate. Costs of failed requests are left out of the averages.
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

// unblockAccount unblocks an account in every pool, as its limits hold across pools.
func (s *Scheduler) unblockAccount(id messenger.AccountID) {
	for _, p := range s.poolList {
		if f, ok := p.flows[id]; ok {
			p.unblock(f)
		}
	}
}
