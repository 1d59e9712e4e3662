package admitter

import "lentilwood.example/lentilwood/internal/messenger"

// The functions in this file apply a new policy to the pools and their upstreams.

// setPolicy applies a new policy.
func (a *Admitter) setPolicy(policy *messenger.Policy) {
	a.policy = policy
	a.limitsCold = false
	for id, poolPolicy := range policy.Pools {
		p, ok := a.pools[id]
		if !ok {
			p = newPool(id)
			a.pools[id] = p
		}
		p.setPolicy(poolPolicy)
		a.limitsCold = a.limitsCold || poolPolicy.Cold.PerSecond > 0
	}
	for id := range a.pools {
		if _, ok := policy.Pools[id]; !ok {
			a.removePool(id)
		}
	}
	a.setUpstreams(policy)
}

// removePool removes a pool that no route uses any more and refuses the requests queued for
// it.
func (a *Admitter) removePool(id messenger.PoolID) {
	a.refuseWaiting(a.pools[id])
	delete(a.pools, id)
}

// refuseWaiting refuses all requests queued for a pool.
func (a *Admitter) refuseWaiting(p *pool) {
	for _, r := range p.waiting {
		delete(a.requests, r.arrive.Request)
		a.refuse(r)
	}
	p.waiting = nil
}

func (a *Admitter) setUpstreams(policy *messenger.Policy) {
	for _, p := range a.pools {
		clear(p.members)
		p.members = p.members[:0]
	}
	for id, up := range policy.Upstreams {
		p, ok := a.pools[up.Pool]
		if !ok {
			continue
		}
		u, known := a.upstreams[id]
		if !known {
			u = newUpstream(id, p)
			a.upstreams[id] = u
			a.upstreamsByKey[messenger.HashName(id)] = u
		}
		u.setPolicy(up, p, a.cfg.Domain)
		a.updateGate(u)
		p.members = append(p.members, u)
	}
	for id, u := range a.upstreams {
		if _, ok := policy.Upstreams[id]; ok {
			continue
		}
		u.acceptsWork = false
		if u.running == 0 {
			delete(a.upstreams, id)
			delete(a.upstreamsByKey, messenger.HashName(id))
		}
	}
	for _, p := range a.pools {
		p.membersChanged()
		if p.evacuated {
			a.refuseWaiting(p)
		}
	}
	a.listColdUpstreams()
	a.rankRouters()
}
