package admitter

import "slices"

// What follows serves and refuses the requests that wait.

// serveWaiting sends what now can be served in time.
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

// offerFreed sends the first of what waits that can be served in time where a request has
// ended. What can be sent elsewhere is for the next tick to find: little else has changed.
func (a *Admitter) fillFreedSlot(p *pool, u *upstream) {
	if len(p.waiting) == 0 || u.pool != p || !u.usable(a.now, false) {
		return
	}
	p.sortWaiting(a)
	for i, r := range p.waiting {
		if r.avoid == u.id {
			continue
		}
		home := p.home(a, r)
		f := u.forecast(a, r, u == home, p.findParts(a, r, home))
		if r.avoid != "" {
			a.send(r, u, f) // what was begun for a caller is not given up for a forecast
		} else if !a.trySendTo(r, u, f) {
			continue
		}
		p.waiting = slices.Delete(p.waiting, i, i+1)
		return
	}
}

// HasWaiting reports whether requests wait, which a tick serves or refuses.
func (a *Admitter) HasWaiting() bool {
	for _, p := range a.pools {
		if len(p.waiting) > 0 {
			return true
		}
	}
	return false
}

// refuseOverdue refuses what has waited for as long as it may.
func (a *Admitter) refuseExpired(p *pool) {
	p.waiting = slices.DeleteFunc(p.waiting, func(r *request) bool {
		if a.now.Before(r.queueDeadline) {
			return false
		}
		delete(a.requests, r.arrive.Request)
		if p.engine && !r.overShare {
			a.shares.recordRefused()
		}
		a.refuse(r)
		return true
	})
}
