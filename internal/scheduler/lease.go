package scheduler

import (
	"math"

	"lentilwood.example/lentilwood/internal/messenger"
)

// maxWant bounds the slots that one demand asks for.
const maxDemandSlots = 16

// amounts counts slots of an upstream, and those of them for long work.
type slotCounts struct{ slots, long int }

// lease is what this router may use of one upstream.
type lease struct {
	upstream messenger.UpstreamID
	owner    messenger.RouterID
	// floor is what the router may use without a word from the owner.
	guaranteed slotCounts
	allowed    slotCounts
	// seen is the sequence of the newest grant.
	grantSequence uint64
	inOutbox      bool
	// gone is true once this router uses the upstream no more.
	unassigned bool
}

// source is an owner of upstreams that this router may use.
type slotOwner struct {
	router messenger.RouterID
	leases []*lease
	// told is this router's demand as the owner knows it.
	reportedDemand messenger.Demand
	// rival is what others want of the owner's upstreams.
	competing         messenger.Demand
	competingSequence uint64
}

// urgency orders requests over the fleet.
type urgency struct {
	precedence int
	tag        float64
}

// before reports whether u goes before v.
func (u urgency) before(v urgency) bool {
	if u.precedence != v.precedence {
		return u.precedence > v.precedence
	}
	return u.tag < v.tag
}

func urgencyOf(d messenger.Demand) urgency {
	return urgency{precedence: d.Precedence, tag: float64(d.Tag)}
}

// round turns a tag into what control messages carry.
func roundTag(tag float64) int64 { return int64(math.Round(tag)) }

// first returns the urgency of the request that would go next.
func (p *pool) nextUrgency() (urgency, bool) {
	for _, c := range p.classes {
		if c.hasFloorCredit() && p.lacksSlot(c) {
			return urgency{precedence: p.classes[0].policy.Precedence, tag: c.queues.min().flow.tag}, true
		}
	}
	for _, c := range p.classes {
		if c.queues.len() > 0 && p.lacksSlot(c) {
			return urgency{precedence: c.policy.Precedence, tag: c.queues.min().flow.tag}, true
		}
	}
	return urgency{}, false
}

// firstLong returns the urgency of the long request that would go next.
func (p *pool) nextLongUrgency() (urgency, bool) {
	for _, c := range p.classes {
		if c.policy.Long && c.queues.len() > 0 {
			return urgency{precedence: c.policy.Precedence, tag: c.queues.min().flow.tag}, true
		}
	}
	return urgency{}, false
}

// eligible reports whether a slot is all that a class lacks. Long work that
// finds no free slot at all lacks one, whatever its bound is.
func (p *pool) lacksSlot(c *class) bool {
	return !c.policy.Long || !p.longLimitReached()
}

// longBound reports whether it is the bound on long work, and not the number
// of slots, that keeps long work waiting.
func (p *pool) longLimitReached() bool {
	return p.placer.FreeLongSlots() == 0 && p.placer.FreeLongSlotsUncapped() > 0
}

// place tells the placer what it may use of an upstream.
func (p *pool) updatePlacer(l *lease) {
	long := l.allowed.long
	if p.longShare <= 0 {
		long = math.MaxInt32
	}
	p.placer.SetLease(l.upstream, l.allowed.slots, long)
}

// holding states what l keeps, running requests included.
func (p *pool) holding(l *lease) messenger.Holding {
	running, long := p.placer.Running(l.upstream)
	return messenger.Holding{
		Upstream: l.upstream,
		Slots:    max(l.allowed.slots, running),
		Long:     max(l.allowed.long, long),
		Seen:     l.grantSequence,
	}
}

// takeGrant takes in how much of an upstream this router may use.
func (p *pool) receiveGrant(peer *peerState, g messenger.Grant) {
	l, ok := p.leases[g.Upstream]
	if !ok {
		l = &lease{upstream: g.Upstream, owner: peer.router, unassigned: true}
		p.leases[g.Upstream] = l
	}
	if l.owner != peer.router || g.Sequence <= l.grantSequence {
		return
	}
	if l.unassigned {
		l.grantSequence = g.Sequence
		p.reportHolding(l, true)
		return
	}
	shrunk := g.Slots < l.allowed.slots
	if o := p.ownerOf(peer.router); o != nil {
		o.reportedDemand.Want = max(0, o.reportedDemand.Want-max(0, g.Slots-l.allowed.slots))
		o.reportedDemand.Long = max(0, o.reportedDemand.Long-max(0, g.Long-l.allowed.long))
	}
	l.grantSequence = g.Sequence
	l.allowed = slotCounts{slots: g.Slots, long: g.Long}
	p.updatePlacer(l)
	if shrunk {
		p.reportHolding(l, false)
	}
}

// noteRivals takes in what others want of an owner's upstreams.
func (p *pool) receiveCompetingDemand(peer *peerState, sequence uint64, demands []messenger.Demand) {
	if len(demands) == 0 {
		return
	}
	o := p.ownerOf(peer.router)
	if o == nil || sequence < o.competingSequence {
		return
	}
	o.competing, o.competingSequence = demands[0], sequence
}

// yieldAll gives back free slots of an owner that has said what others want.
func (p *pool) yieldSlotsTo(peer *peerState, demands []messenger.Demand) {
	o := p.ownerOf(peer.router)
	if o == nil || len(demands) == 0 || demands[0].Want+demands[0].Long == 0 {
		return
	}
	for _, l := range o.leases {
		p.yieldSlots(l)
	}
}

// sourceOf returns the source with an owner, or nil.
func (p *pool) ownerOf(router messenger.RouterID) *slotOwner {
	for _, o := range p.owners {
		if o.router == router {
			return o
		}
	}
	return nil
}

// yield gives free slots of a lease back while others need them more.
func (p *pool) yieldSlots(l *lease) {
	o := p.ownerOf(l.owner)
	if o == nil || o.competing.Want+o.competing.Long == 0 {
		return
	}
	competing := &o.competing
	costFree := l.owner == p.sched.cfg.Self
	running, long := p.placer.Running(l.upstream)
	changed := false
	for competing.Want > 0 && l.allowed.slots > running && p.shouldYield(competing, costFree) {
		l.allowed.slots--
		competing.Want = decrementDemand(competing.Want)
		changed = true
	}
	for competing.Long > 0 && l.allowed.long > long && p.shouldYieldLong(competing, costFree) {
		l.allowed.long--
		competing.Long = decrementDemand(competing.Long)
		changed = true
	}
	if changed {
		p.updatePlacer(l)
		p.reportHolding(l, true)
	}
}

// consume counts one slot less that others want. From maxWant on there are
// more than one router can give back before it hears again.
func decrementDemand(n int) int {
	if n >= maxDemandSlots {
		return n
	}
	return n - 1
}

// yieldFreed is yield for a lease on which a request has ended. Slots beyond
// what is allowed are reported as gone.
func (p *pool) yieldFreedSlot(l *lease) {
	if p.sched.cfg.Mode == Standalone {
		return
	}
	running, _ := p.placer.Running(l.upstream)
	if running >= l.allowed.slots {
		p.reportHolding(l, true)
		return
	}
	p.yieldSlots(l)
}

// loses reports whether the next local request goes after that of others.
func (p *pool) shouldYield(competing *messenger.Demand, costFree bool) bool {
	own, ok := p.nextUrgency()
	return !ok || p.slotShouldMove(urgencyOf(*competing), own, costFree)
}

// overdue reports whether a request elsewhere has waited so much longer for
// service than an own one that a slot should move. It is the likelier the
// larger the lead is: what is known of others is late, and a router that gave
// back all it could would overshoot. A router that is out of credit keeps its
// slots busy itself, unless the lead is large or giving back is free of cost.
func (p *pool) slotShouldMove(other, own urgency, costFree bool) bool {
	if other.precedence != own.precedence {
		return other.precedence > own.precedence
	}
	lead := own.tag - other.tag - p.moveThreshold()
	if lead <= 0 || !costFree && !p.sched.governor.affordsMove(lead/p.moveThreshold()) {
		return false
	}
	return lead > p.rand.Float64()*fullYieldLead*p.moveThreshold()
}

// yieldRange is the lead, in multiples of the slack, at which every free slot
// is given back.
const fullYieldLead = 2

// losesLong is loses for long work.
func (p *pool) shouldYieldLong(competing *messenger.Demand, costFree bool) bool {
	own, ok := p.nextLongUrgency()
	return !ok || p.slotShouldMove(urgencyOf(*competing), own, costFree)
}

// updateDemand notes what this router lacks and has it told where it changed.
func (p *pool) updateDemand() {
	d := messenger.Demand{}
	if u, ok := p.nextUrgency(); ok {
		d = messenger.Demand{Want: p.slotsWanted(), Precedence: u.precedence, Tag: roundTag(u.tag)}
	}
	if u, ok := p.nextLongUrgency(); ok && p.longShare > 0 && p.placer.FreeLongSlots() == 0 {
		d.Long = min(p.longWaiting(), maxDemandSlots)
		if d.Want == 0 {
			d.Precedence, d.Tag = u.precedence, roundTag(u.tag)
		}
	}
	p.ownDemand = d
	for _, o := range p.owners {
		if significant, urgent := p.demandChange(o.reportedDemand, d); significant {
			p.reportDemand(o, urgent)
		}
	}
}

// news reports whether a change of demand is worth telling, and at once.
func (p *pool) demandChange(old, d messenger.Demand) (significant, urgent bool) {
	startedOrEnded := (d.Want > 0) != (old.Want > 0) || (d.Long > 0) != (old.Long > 0)
	if startedOrEnded {
		return true, d.Want > old.Want || d.Long > old.Long
	}
	if d.Want+d.Long == 0 {
		return false, false
	}
	moved := math.Abs(float64(d.Tag-old.Tag)) >= p.reportThreshold() || d.Precedence != old.Precedence
	resized := d.Want < maxDemandSlots && (d.Want > 2*old.Want || 2*d.Want < old.Want)
	return moved || resized, false
}

// wanted counts the requests that lack a slot.
func (p *pool) slotsWanted() int {
	n := p.waitingForSlot
	if p.longLimitReached() {
		n -= p.longWaiting()
	}
	return min(max(n, 0), maxDemandSlots)
}

// longWaiting counts the waiting requests of long classes.
func (p *pool) longWaiting() int {
	n := 0
	for _, c := range p.classes {
		if c.policy.Long {
			n += c.waitingForSlot
		}
	}
	return n
}

// floorLeases makes this router act on its floors where an owner is silent.
func (p *pool) revertToGuaranteed(router messenger.RouterID) {
	o := p.ownerOf(router)
	if o == nil {
		return
	}
	for _, l := range o.leases {
		l.allowed = l.guaranteed
		p.updatePlacer(l)
		p.reportHolding(l, false)
	}
	o.competing = messenger.Demand{}
}
