package scheduler

import (
	"math"
	"slices"

	"lentilwood.example/lentilwood/internal/messenger"
)

// relate works out who owns which upstreams of p and what this router may use
// of them, after a change of the policy or of the live routers.
func (p *pool) relate() {
	ids := p.upstreamIDs()
	p.removeUpstreams(ids)
	cells := cellsOf(p.id, ids, p.sched.peers, p.sched.cfg.CellSize)
	old := p.sources
	p.sources = nil
	owned := make(map[messenger.UpstreamID]bool)
	p.users = p.users[:0]
	for i := range cells {
		c := &cells[i]
		for _, u := range c.upstreams {
			if slices.Contains(c.users, p.sched.cfg.Self) {
				p.relateLease(u, c, old)
			}
			if c.owner == p.sched.cfg.Self {
				owned[u] = true
				p.relateOwned(u, c)
			}
		}
	}
	p.dropLeases(cells)
	p.dropOwned(owned)
	slices.Sort(p.users)
	p.users = slices.Compact(p.users)
	if p.sched.cfg.Mode == Fleet {
		p.allot()
	}
}

// upstreamIDs returns the upstreams that the policy names for p, in order.
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

// removeUpstreams forgets the upstreams that the policy names no more.
func (p *pool) removeUpstreams(ids []messenger.UpstreamID) {
	for id := range p.leases { // each is dealt with alone
		if _, ok := slices.BinarySearch(ids, id); !ok {
			delete(p.leases, id)
			p.placer.Remove(id)
		}
	}
}

// dropLeases ends the leases of upstreams in cells this router does not use.
func (p *pool) dropLeases(cells []cell) {
	for i := range cells {
		if slices.Contains(cells[i].users, p.sched.cfg.Self) {
			continue
		}
		for _, id := range cells[i].upstreams {
			l, ok := p.leases[id]
			if !ok {
				continue
			}
			if running, _ := p.placer.Running(id); running == 0 && l.seen == 0 {
				l.allowed = amounts{}
				p.place(l)
				delete(p.leases, id)
				continue
			}
			if l.owner != cells[i].owner {
				l.owner, l.seen = cells[i].owner, 0
			}
			l.floor, l.allowed, l.gone = amounts{}, amounts{}, true
			p.place(l)
			p.tellLease(l, true)
		}
	}
}

// windowOf returns the window of an upstream with the part for long work.
func (p *pool) windowOf(id messenger.UpstreamID) amounts {
	w := p.sched.policy.Upstreams[id].Window
	if p.longShare <= 0 {
		return amounts{slots: w}
	}
	return amounts{slots: w, long: max(min(w, 1), int(p.longShare*float64(w)))}
}

// floorOf returns what a router may use of an upstream without any word.
func floorOf(id messenger.UpstreamID, window amounts, r messenger.RouterID, users []messenger.RouterID) amounts {
	return amounts{
		slots: staticShare(string(id), window.slots, r, users),
		long:  staticShare(string(id), window.long, r, users),
	}
}

// relateLease sets up or changes the lease of an upstream.
func (p *pool) relateLease(id messenger.UpstreamID, c *cell, old []*source) {
	floor := floorOf(id, p.windowOf(id), p.sched.cfg.Self, c.users)
	l, ok := p.leases[id]
	if !ok {
		l = &lease{upstream: id, owner: c.owner, allowed: floor}
		p.leases[id] = l
	}
	if l.gone {
		l.gone, l.allowed = false, floor
	}
	l.floor = floor
	if p.sched.cfg.Mode == Standalone {
		l.allowed = floor
	}
	if l.owner != c.owner {
		l.owner, l.seen = c.owner, 0
		p.keepUsed(l)
		p.tellLease(l, true)
	}
	p.addSource(l, old)
	p.place(l)
}

// keepUsed reduces l to its floor or to what runs. A new owner takes it for
// granted that nobody has more.
func (p *pool) keepUsed(l *lease) {
	running, long := p.placer.Running(l.upstream)
	l.allowed.slots = min(l.allowed.slots, max(running, l.floor.slots))
	l.allowed.long = min(l.allowed.long, max(long, l.floor.long))
	p.place(l)
}

// addSource adds l to the source of its owner, which keeps what was known.
func (p *pool) addSource(l *lease, old []*source) {
	src := p.sourceOf(l.owner)
	if src == nil {
		src = &source{owner: l.owner}
		for _, known := range old {
			if known.owner == l.owner {
				src = known
				src.leases = nil
			}
		}
		p.sources = append(p.sources, src)
	}
	src.leases = append(src.leases, l)
}

// relateOwned sets up or changes an upstream that this router owns.
func (p *pool) relateOwned(id messenger.UpstreamID, c *cell) {
	if p.sched.cfg.Mode == Standalone {
		return
	}
	o, ok := p.owned[id]
	if !ok {
		o = &owned{id: id, holders: make(map[messenger.RouterID]*holder), spareAt: -1}
		p.owned[id] = o
		p.ownedList = append(p.ownedList, o)
	}
	o.window = p.windowOf(id)
	p.users = append(p.users, c.users...)
	for _, r := range c.users {
		h, ok := o.holders[r]
		floor := floorOf(id, o.window, r, c.users)
		if !ok {
			h = &holder{owned: o, router: r}
			o.holders[r] = h
			h.set(floor, floor)
		}
		h.floor = floor
	}
	p.reclaim(o)
	p.refreshSpare(o)
}

// dropOwned forgets the upstreams that this router owns no more.
func (p *pool) dropOwned(owned map[messenger.UpstreamID]bool) {
	kept := p.ownedList[:0]
	for _, o := range p.ownedList {
		if owned[o.id] {
			kept = append(kept, o)
			continue
		}
		o.window = amounts{slots: math.MinInt32}
		p.refreshSpare(o)
		delete(p.owned, o.id)
	}
	clear(p.ownedList[len(kept):])
	p.ownedList = kept
}

// meet takes in that a router was heard for the first time or has restarted.
func (p *pool) meet(k *link, restarted bool) {
	if src := p.sourceOf(k.router); src != nil {
		src.sequence = 0
		for _, l := range src.leases {
			l.seen = 0
			p.tellLease(l, true)
		}
		p.tellDemand(src, false)
	}
	if !restarted {
		return
	}
	for _, o := range p.ownedList {
		if h, ok := o.holders[k.router]; ok {
			h.sequence, h.heard = 0, 0
			h.set(h.floor, h.floor)
			p.reclaim(o)
			p.refreshSpare(o)
		}
	}
	p.quiet(k.router)
	delete(p.wants, k.router)
	for _, h := range p.homes {
		h.drop(k.router)
	}
	for _, f := range p.flowList {
		if f.home == k.router {
			f.heard = 0
			p.tellUse(f)
		}
	}
}

// regained takes in that a silent router speaks again.
func (s *Scheduler) regained(k *link) {
	for _, p := range s.poolList {
		if src := p.sourceOf(k.router); src != nil {
			for _, l := range src.leases {
				p.tellLease(l, true)
			}
			p.tellDemand(src, false)
		}
		if p.serves(k.router) {
			k.boxOf(p).rivals = true
			s.mark(k, false)
		}
		if p.serves(k.router) || p.sourceOf(k.router) != nil {
			p.rejoinedAt = s.now
		}
		for _, f := range p.flowList {
			if f.home == k.router {
				p.tellUse(f)
			}
		}
	}
}
