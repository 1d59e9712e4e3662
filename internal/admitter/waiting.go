package admitter

import "slices"

// sendWaiting sends the queued requests that can be served in time now.
func (a *Admitter) sendWaiting(p *pool) {
	if len(p.waiting) == 0 {
		return
	}
	p.sortWaiting(a)
	p.waiting = slices.DeleteFunc(p.waiting, func(r *request) bool {
		if r.avoid != "" {
			return a.sendRetry(r)
		}
		return a.trySend(r)
	})
}

// fillFreedSlot sends the first queued request that can be served in time to the upstream
// where a request has ended. Other upstreams have hardly changed; the next tick evaluates
// them.
func (a *Admitter) fillFreedSlot(p *pool, u *upstream) {
	if len(p.waiting) == 0 || u.pool != p || !u.usable(a.now, false) {
		return
	}
	p.sortWaiting(a)
	for i, r := range p.waiting {
		if r.avoid == u.id || !u.serves(r) {
			continue
		}
		home := p.home(a, r)
		f := u.forecast(a, r, u == home, p.findParts(a, r, home))
		if r.avoid != "" {
			a.send(r, u, f) // a request that was admitted once is not refused because of a forecast
		} else if !a.trySendTo(r, u, f) {
			continue
		}
		p.waiting = slices.Delete(p.waiting, i, i+1)
		return
	}
}

// HasWaiting reports whether requests are queued, which a tick sends or refuses.
func (a *Admitter) HasWaiting() bool {
	for _, p := range a.pools {
		if len(p.waiting) > 0 {
			return true
		}
	}
	return false
}

// refuseExpired refuses the requests that have reached their maximum queueing time.
func (a *Admitter) refuseExpired(p *pool) {
	p.waiting = slices.DeleteFunc(p.waiting, func(r *request) bool {
		if a.now.Before(r.queueDeadline) {
			return false
		}
		delete(a.requests, r.arrive.Request)
		if p.hasEngines && !r.overShare {
			a.shares.recordRefused()
		}
		a.refuse(r)
		return true
	})
}
