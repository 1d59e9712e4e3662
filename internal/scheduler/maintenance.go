package scheduler

import (
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
)

// Periods of upkeep, in ticks.
const (
	peerCheckTicks = 10
	// wishTicks and refreshTicks are the periods at which wishes and leases are
	// told again, for the case that a message was lost.
	demandRepeatTicks  = 300
	holdingRepeatTicks = 1000
	// flowsPerTick and homesPerTick bound the accounts looked at in one tick.
	accountsPerTick = 8
)

// tick does the work that time alone makes due.
func (s *Scheduler) tick() {
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

// contended reports whether requests wait here or at another router.
func (p *pool) isContended() bool {
	if p.waitingForSlot > 0 || p.demandHeap.len() > 0 {
		return true
	}
	for _, o := range p.owners {
		if o.competing.Want > 0 {
			return true
		}
	}
	return false
}

// watch looks for routers that have fallen silent and keeps others from
// thinking so of this one.
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

// greet has something told to a router that relies on hearing from this one.
func (s *Scheduler) scheduleHeartbeat(peer *peerState) {
	for _, p := range s.poolList {
		if p.ownerOf(peer.router) != nil {
			peer.outboxOf(p).demand = p.waitingForSlot > 0
			peer.heartbeatDue = true
			s.markPending(peer, false)
		}
		if p.isUser(peer.router) {
			peer.outboxOf(p).competing = p.demandHeap.len() > 0
			peer.heartbeatDue = true
			s.markPending(peer, false)
		}
	}
}

// stirred reports whether p differs from what others assume of a router that
// says nothing.
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

// repeatWishes tells again what this router wants and what others want of it.
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

// refresh repeats what lost messages may have left unsaid.
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

// sweep looks at a few accounts: it forgets idle ones, reports what was left
// unreported and refuses what cannot be served in time.
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

// forgetFlow drops the account at an index of the list.
func (p *pool) removeFlow(i int) {
	f := p.flowList[i]
	last := len(p.flowList) - 1
	p.flowList[i] = p.flowList[last]
	p.flowList[last] = nil
	p.flowList = p.flowList[:last]
	delete(p.flows, f.account)
	p.sched.limits.Forget(f.account)
}

// sweepHomes forgets a few accounts that no router has used for long.
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

// refuseLate refuses the last requests of an account while they cannot be
// served before they expire.
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

// lateMargin is how much later than its end a waiting request may be expected
// before it is refused ahead of time.
const overdueMargin = 250 * time.Millisecond
