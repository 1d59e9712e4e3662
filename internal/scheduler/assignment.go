package scheduler

import (
	"math"
	"slices"

	"lentilwood.example/lentilwood/internal/messenger"
)

// reassign recalculates which routers own the upstreams of p and which slots this router may
// use, after a change of the policy or of the live routers.
func (p *pool) reassign() {
	ids := p.upstreamIDs()
	p.removeUpstreams(ids)
	cells := groupCells(p.id, ids, p.sched.routers, p.sched.cfg.CellSize)
	old := p.owners
	p.owners = nil
	ownedIDs := make(map[messenger.UpstreamID]bool)
	p.users = p.users[:0]
	for i := range cells {
		c := &cells[i]
		for _, u := range c.upstreams {
			if slices.Contains(c.users, p.sched.cfg.Self) {
				p.assignLease(u, c, old)
			}
			if c.owner == p.sched.cfg.Self {
				ownedIDs[u] = true
				p.assignOwned(u, c)
			}
		}
	}
	p.dropUnassignedLeases(cells)
	p.dropOwned(ownedIDs)
	slices.Sort(p.users)
	p.users = slices.Compact(p.users)
	if p.sched.cfg.Mode == Fleet {
		p.grantSlots()
	}
}

// upstreamIDs returns the upstreams of p in the policy, sorted.
func (p *pool) upstreamIDs() []messenger.UpstreamID {
	var ids []messenger.UpstreamID
	for id, u := range p.sched.policy.Upstreams {
		if u.Pool == p.id {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// removeUpstreams removes the upstreams that are not among ids.
func (p *pool) removeUpstreams(ids []messenger.UpstreamID) {
	for id := range p.leases { // the order does not matter
		if _, ok := slices.BinarySearch(ids, id); !ok {
			delete(p.leases, id)
			p.placer.Remove(id)
		}
	}
}

// dropUnassignedLeases ends the leases of upstreams in cells that this router does not use. A
// lease with running requests or a grant is kept as unassigned, and its owner is notified.
func (p *pool) dropUnassignedLeases(cells []cell) {
	for i := range cells {
		if slices.Contains(cells[i].users, p.sched.cfg.Self) {
			continue
		}
		for _, id := range cells[i].upstreams {
			l, ok := p.leases[id]
			if !ok {
				continue
			}
			if running, _ := p.placer.Running(id); running == 0 && l.grantSequence == 0 {
				l.allowed = slotCounts{}
				p.updatePlacer(l)
				delete(p.leases, id)
				continue
			}
			if l.owner != cells[i].owner {
				l.owner, l.grantSequence = cells[i].owner, 0
			}
			l.guaranteed, l.allowed, l.unassigned = slotCounts{}, slotCounts{}, true
			p.updatePlacer(l)
			p.reportHolding(l, true)
		}
	}
}

// windowOf returns the window of an upstream and the part of it that long work may use.
func (p *pool) windowOf(id messenger.UpstreamID) slotCounts {
	w := p.sched.policy.Upstreams[id].Window
	if p.longShare <= 0 {
		return slotCounts{slots: w}
	}
	return slotCounts{slots: w, long: max(min(w, 1), int(p.longShare*float64(w)))}
}

// guaranteedSlots returns the slots of an upstream that a router may use without a grant.
func guaranteedSlots(id messenger.UpstreamID, window slotCounts, r messenger.RouterID, users []messenger.RouterID) slotCounts {
	return slotCounts{
		slots: staticShare(string(id), window.slots, r, users),
		long:  staticShare(string(id), window.long, r, users),
	}
}

// assignLease creates or updates the lease of an upstream.
func (p *pool) assignLease(id messenger.UpstreamID, c *cell, old []*slotOwner) {
	guaranteed := guaranteedSlots(id, p.windowOf(id), p.sched.cfg.Self, c.users)
	l, ok := p.leases[id]
	if !ok {
		l = &lease{upstream: id, owner: c.owner, allowed: guaranteed}
		p.leases[id] = l
	}
	if l.unassigned {
		l.unassigned, l.allowed = false, guaranteed
	}
	l.guaranteed = guaranteed
	if p.sched.cfg.Mode == Standalone {
		l.allowed = guaranteed
	}
	if l.owner != c.owner {
		l.owner, l.grantSequence = c.owner, 0
		p.shrinkToUsed(l)
		p.reportHolding(l, true)
	}
	p.addToOwner(l, old)
	p.updatePlacer(l)
}

// shrinkToUsed reduces l to the running requests or to the guaranteed slots, whichever is
// more: a new owner assumes that no router holds more.
func (p *pool) shrinkToUsed(l *lease) {
	running, long := p.placer.Running(l.upstream)
	l.allowed.slots = min(l.allowed.slots, max(running, l.guaranteed.slots))
	l.allowed.long = min(l.allowed.long, max(long, l.guaranteed.long))
	p.updatePlacer(l)
}

// addToOwner adds l to the state of its owner, which is carried over from old if possible.
func (p *pool) addToOwner(l *lease, old []*slotOwner) {
	o := p.ownerOf(l.owner)
	if o == nil {
		o = &slotOwner{router: l.owner}
		for _, known := range old {
			if known.router == l.owner {
				o = known
				o.leases = nil
			}
		}
		p.owners = append(p.owners, o)
	}
	o.leases = append(o.leases, l)
}

// assignOwned creates or updates an upstream that this router owns.
func (p *pool) assignOwned(id messenger.UpstreamID, c *cell) {
	if p.sched.cfg.Mode == Standalone {
		return
	}
	o, ok := p.owned[id]
	if !ok {
		o = &ownedUpstream{id: id, holders: make(map[messenger.RouterID]*holder), freeIndex: -1}
		p.owned[id] = o
		p.ownedList = append(p.ownedList, o)
	}
	o.window = p.windowOf(id)
	p.users = append(p.users, c.users...)
	for _, r := range c.users {
		h, ok := o.holders[r]
		guaranteed := guaranteedSlots(id, o.window, r, c.users)
		if !ok {
			h = &holder{upstream: o, router: r}
			o.holders[r] = h
			h.set(guaranteed, guaranteed)
		}
		h.guaranteed = guaranteed
	}
	p.reclaimExcess(o)
	p.updateFreeList(o)
}

// dropOwned removes the upstreams that this router no longer owns.
func (p *pool) dropOwned(ownedIDs map[messenger.UpstreamID]bool) {
	kept := p.ownedList[:0]
	for _, o := range p.ownedList {
		if ownedIDs[o.id] {
			kept = append(kept, o)
			continue
		}
		o.window = slotCounts{slots: math.MinInt32}
		p.updateFreeList(o)
		delete(p.owned, o.id)
	}
	clear(p.ownedList[len(kept):])
	p.ownedList = kept
}

// handlePeerStart synchronises with a router that sent its first message to this one, either
// ever or since it restarted.
func (p *pool) handlePeerStart(peer *peerState, restarted bool) {
	if owner := p.ownerOf(peer.router); owner != nil {
		owner.competingSequence = 0
		for _, l := range owner.leases {
			l.grantSequence = 0
			p.reportHolding(l, true)
		}
		p.reportDemand(owner, false)
	}
	if !restarted {
		return
	}
	for _, o := range p.ownedList {
		if h, ok := o.holders[peer.router]; ok {
			h.grantSequence, h.holdingSequence = 0, 0
			h.set(h.guaranteed, h.guaranteed)
			p.reclaimExcess(o)
			p.updateFreeList(o)
		}
	}
	p.clearDemand(peer.router)
	delete(p.demands, peer.router)
	for _, h := range p.homeAccounts {
		h.removeRouter(peer.router)
	}
	for _, f := range p.flowList {
		if f.homeRouter == peer.router {
			f.tagSequence = 0
			p.reportUse(f)
		}
	}
}

// handlePeerRecovery synchronises with a router that was unresponsive and sends again.
func (s *Scheduler) handlePeerRecovery(peer *peerState) {
	for _, p := range s.poolList {
		if o := p.ownerOf(peer.router); o != nil {
			for _, l := range o.leases {
				p.reportHolding(l, true)
			}
			p.reportDemand(o, false)
		}
		if p.isUser(peer.router) {
			peer.outboxOf(p).competingDemandDue = true
			s.markPending(peer, false)
		}
		if p.isUser(peer.router) || p.ownerOf(peer.router) != nil {
			p.peerRecoveredAt = s.now
		}
		for _, f := range p.flowList {
			if f.homeRouter == peer.router {
				p.reportUse(f)
			}
		}
	}
}
