package scheduler

import (
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
)

// Periods of upkeep, in ticks.
const (
	linkTicks = 10
	// wishTicks and refreshTicks are the periods at which wishes and leases are
	// told again, for the case that a message was lost.
	wishTicks    = 300
	refreshTicks = 1000
	// flowsPerTick and homesPerTick bound the accounts looked at in one tick.
	flowsPerTick = 8
)

// tick does the work that time alone makes due.
func (s *Scheduler) tick() {
	s.ticks++
	s.governor.refill(s.now)
	s.expire()
	s.sendHedges()
	s.contended = false
	for _, p := range s.poolList {
		p.placer.CheckHealth(s.now)
		p.sweep()
		s.contended = s.contended || p.contended()
		p.dispatch()
	}
	if s.cfg.Mode == Standalone {
		return
	}
	if s.ticks%linkTicks == 0 {
		s.watch()
	}
	if s.ticks%wishTicks == 0 {
		s.repeatWishes()
	}
	if s.ticks%refreshTicks == 0 {
		s.refresh()
	}
	s.flushPending()
}

// contended reports whether requests wait here or at another router.
func (p *pool) contended() bool {
	if p.waiting > 0 || p.wantHeap.len() > 0 {
		return true
	}
	for _, src := range p.sources {
		if src.rival.Want > 0 {
			return true
		}
	}
	return false
}

// watch looks for routers that have fallen silent and keeps others from
// thinking so of this one.
func (s *Scheduler) watch() {
	for _, k := range s.linkList {
		if k.router == s.cfg.Self {
			continue
		}
		silence := s.now.Sub(k.heardAt)
		if silence > leaseTTL && !k.lost {
			k.lost = true
			for _, p := range s.poolList {
				p.floorLeases(k.router)
				p.reserve(k.router)
			}
		}
		if k.lost && silence > 2*leaseTTL {
			for _, p := range s.poolList {
				p.release(k.router)
			}
		}
		if s.now.Sub(k.sentAt) >= keepAlive {
			s.greet(k)
		}
	}
}

// greet has something told to a router that relies on hearing from this one.
func (s *Scheduler) greet(k *link) {
	for _, p := range s.poolList {
		if p.sourceOf(k.router) != nil {
			k.boxOf(p).demand = p.waiting > 0
			k.greet = true
			s.mark(k, false)
		}
		if p.serves(k.router) {
			k.boxOf(p).rivals = p.wantHeap.len() > 0
			k.greet = true
			s.mark(k, false)
		}
	}
}

// stirred reports whether p differs from what others assume of a router that
// says nothing.
func (p *pool) stirred() bool {
	if p.waiting > 0 {
		return true
	}
	for _, src := range p.sources {
		for _, l := range src.leases {
			if l.allowed != l.floor {
				return true
			}
		}
	}
	return false
}

// repeatWishes tells again what this router wants and what others want of it.
func (s *Scheduler) repeatWishes() {
	for _, p := range s.poolList {
		if p.waiting > 0 {
			for _, src := range p.sources {
				p.tellDemand(src, false)
			}
		}
		if p.wantHeap.len() > 0 {
			p.tellRivals(false)
		}
	}
}

// refresh repeats what lost messages may have left unsaid.
func (s *Scheduler) refresh() {
	for _, p := range s.poolList {
		if !p.stirred() {
			continue
		}
		for _, src := range p.sources {
			for _, l := range src.leases {
				p.tellLease(l, false)
			}
		}
	}
}

// sweep looks at a few accounts: it forgets idle ones, reports what was left
// unreported and refuses what cannot be served in time.
func (p *pool) sweep() {
	for range min(flowsPerTick, len(p.flowList)) {
		p.cursor = (p.cursor + 1) % len(p.flowList)
		f := p.flowList[p.cursor]
		p.unblock(f)
		p.refuseLate(f)
		if p.sched.cfg.Mode == Fleet && p.sched.now.Sub(f.toldAt) > calmPause && f.served != f.told {
			p.tellUse(f)
		}
		if f.waiting+f.running == 0 && !f.queued && p.sched.now.Sub(f.idleSince) > idleTTL {
			p.forgetFlow(p.cursor)
			if len(p.flowList) == 0 {
				return
			}
			p.cursor %= len(p.flowList)
		}
	}
	p.sweepHomes()
}

// forgetFlow drops the account at an index of the list.
func (p *pool) forgetFlow(i int) {
	f := p.flowList[i]
	last := len(p.flowList) - 1
	p.flowList[i] = p.flowList[last]
	p.flowList[last] = nil
	p.flowList = p.flowList[:last]
	delete(p.flows, f.account)
	p.sched.limits.Forget(f.account)
}

// sweepHomes forgets a few accounts that no router has used for long.
func (p *pool) sweepHomes() {
	n := flowsPerTick
	for id, h := range p.homes {
		if n--; n < 0 {
			return
		}
		if h.waiting+h.running == 0 && p.sched.now.Sub(h.usedAt) > idleTTL {
			delete(p.homes, id)
		}
	}
}

// refuseLate refuses the last requests of an account while they cannot be
// served before they expire.
func (p *pool) refuseLate(f *flow) {
	for _, q := range f.queues {
		for q.n > 1 {
			r := q.tail
			wait := p.waitFor(q)
			if r.expires.IsZero() || !p.sched.now.Add(wait).After(r.expires.Add(lateMargin)) {
				break
			}
			p.sched.drop(r)
			p.sched.refuse(r, messenger.RefuseDeadline, wait)
		}
	}
}

// lateMargin is how much later than its end a waiting request may be expected
// before it is refused ahead of time.
const lateMargin = 250 * time.Millisecond
