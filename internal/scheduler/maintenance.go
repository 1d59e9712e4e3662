package scheduler

import (
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
)

// Periods of regular work, in ticks.
const (
	peerCheckTicks = 10
	// demandRepeatTicks and holdingRepeatTicks are the periods at which demands and holdings
	// are reported again, in case a message was lost.
	demandRepeatTicks  = 300
	holdingRepeatTicks = 1000
	// accountsPerTick bounds the accounts and the home accounts checked per pool and tick.
	accountsPerTick = 8
)

// handleTick does the work that depends on time only.
func (s *Scheduler) handleTick() {
	s.ticks++
	s.governor.refill(s.now)
	s.refuseExpired()
	s.sendDueHedges()
	s.contended = false
	for _, p := range s.poolList {
		p.placer.CheckHealth(s.now)
		p.sweepAccounts()
		s.contended = s.contended || p.isContended()
		p.dispatch()
	}
	if s.cfg.Mode == Standalone {
		return
	}
	if s.ticks%peerCheckTicks == 0 {
		s.checkPeers()
	}
	if s.ticks%demandRepeatTicks == 0 {
		s.repeatDemands()
	}
	if s.ticks%holdingRepeatTicks == 0 {
		s.repeatHoldings()
	}
	s.flushPending()
}

// isContended reports whether requests wait for the pool here or at another router.
func (p *pool) isContended() bool {
	if p.waitingForSlot > 0 || p.demandHeap.len() > 0 {
		return true
	}
	for _, o := range p.owners {
		if o.competingDemand.Waiting > 0 {
			return true
		}
	}
	return false
}

// checkPeers marks peers from which no message has arrived for leaseTTL as unresponsive, frees
// their slots beyond the guaranteed ones after twice that time, and schedules heartbeats to
// peers to which nothing was sent for heartbeatInterval.
func (s *Scheduler) checkPeers() {
	for _, peer := range s.peerList {
		if peer.router == s.cfg.Self {
			continue
		}
		silence := s.now.Sub(peer.receivedAt)
		if silence > leaseTTL && !peer.unresponsive {
			peer.unresponsive = true
			for _, p := range s.poolList {
				p.revertToGuaranteed(peer.router)
				p.reserveGuaranteed(peer.router)
			}
		}
		if peer.unresponsive && silence > 2*leaseTTL {
			for _, p := range s.poolList {
				p.releaseBeyondGuaranteed(peer.router)
			}
		}
		if s.now.Sub(peer.sentAt) >= heartbeatInterval {
			s.scheduleHeartbeat(peer)
		}
	}
}

// scheduleHeartbeat schedules a message to a router that owns upstreams which this one uses,
// or uses upstreams which this one owns.
func (s *Scheduler) scheduleHeartbeat(peer *peerState) {
	for _, p := range s.poolList {
		if p.ownerOf(peer.router) != nil {
			peer.outboxOf(p).demandDue = p.waitingForSlot > 0
			peer.heartbeatDue = true
			s.markPending(peer, false)
		}
		if p.isUser(peer.router) {
			peer.outboxOf(p).competingDemandDue = p.demandHeap.len() > 0
			peer.heartbeatDue = true
			s.markPending(peer, false)
		}
	}
}

// deviatesFromGuaranteed reports whether this router has other slots than the guaranteed ones,
// which the owners assume if they get no message, or has requests that wait for slots.
func (p *pool) deviatesFromGuaranteed() bool {
	if p.waitingForSlot > 0 {
		return true
	}
	for _, o := range p.owners {
		for _, l := range o.leases {
			if l.allowed != l.guaranteed {
				return true
			}
		}
	}
	return false
}

// repeatDemands reports again the demand of this router, and to the users of its upstreams the
// demand of others.
func (s *Scheduler) repeatDemands() {
	for _, p := range s.poolList {
		if p.waitingForSlot > 0 {
			for _, o := range p.owners {
				p.reportDemand(o, false)
			}
		}
		if p.demandHeap.len() > 0 {
			p.reportCompetingDemand(false)
		}
	}
}

// repeatHoldings reports all holdings again, in case messages were lost.
func (s *Scheduler) repeatHoldings() {
	for _, p := range s.poolList {
		if !p.deviatesFromGuaranteed() {
			continue
		}
		for _, o := range p.owners {
			for _, l := range o.leases {
				p.reportHolding(l, false)
			}
		}
	}
}

// sweepAccounts checks a few accounts: it unblocks them if possible, refuses requests that
// cannot be served in time, reports use not reported yet, and removes idle accounts.
func (p *pool) sweepAccounts() {
	for range min(accountsPerTick, len(p.flowList)) {
		p.sweepCursor = (p.sweepCursor + 1) % len(p.flowList)
		f := p.flowList[p.sweepCursor]
		p.unblock(f)
		p.refuseOverdue(f)
		if p.sched.cfg.Mode == Fleet && p.sched.now.Sub(f.reportedAt) > idleReportInterval && f.servedTokens != f.reportedServed {
			p.reportUse(f)
		}
		if f.waiting+f.running == 0 && !f.inOutbox && p.sched.now.Sub(f.idleSince) > idleAccountTTL {
			p.removeFlow(p.sweepCursor)
			if len(p.flowList) == 0 {
				return
			}
			p.sweepCursor %= len(p.flowList)
		}
	}
	p.sweepHomeAccounts()
}

// removeFlow removes the account at index i of the list.
func (p *pool) removeFlow(i int) {
	f := p.flowList[i]
	last := len(p.flowList) - 1
	p.flowList[i] = p.flowList[last]
	p.flowList[last] = nil
	p.flowList = p.flowList[:last]
	delete(p.flows, f.account)
	p.sched.limits.Forget(f.account)
}

// sweepHomeAccounts checks a few home accounts and removes those that no router has used for
// idleAccountTTL.
func (p *pool) sweepHomeAccounts() {
	n := accountsPerTick
	for id, h := range p.homeAccounts {
		if n--; n < 0 {
			return
		}
		if h.waiting+h.running == 0 && p.sched.now.Sub(h.lastUsedAt) > idleAccountTTL {
			delete(p.homeAccounts, id)
		}
	}
}

// refuseOverdue refuses the last requests of an account as long as their estimated wait goes
// beyond their expiry time. The first request of a queue is never refused early.
func (p *pool) refuseOverdue(f *flow) {
	for _, q := range f.queues {
		for q.n > 1 {
			r := q.tail
			wait := p.estimatedWait(q)
			if r.expiresAt.IsZero() || !p.sched.now.Add(wait).After(r.expiresAt.Add(overdueMargin)) {
				break
			}
			p.sched.dropWaiting(r)
			p.sched.refuse(r, messenger.RefuseDeadline, wait)
		}
	}
}

// overdueMargin is how far the estimated wait of a request may go beyond its expiry time
// before the request is refused early.
const overdueMargin = 250 * time.Millisecond
