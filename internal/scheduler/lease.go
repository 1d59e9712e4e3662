package scheduler

import (
	"math"

	"lentilwood.example/lentilwood/internal/messenger"
)

// maxDemandSlots is the largest number of slots in one demand.
const maxDemandSlots = 16

// slotCounts is a number of slots of an upstream, and the number that long work may use.
type slotCounts struct{ slots, long int }

// lease holds the slots of one upstream that this router may use.
type lease struct {
	upstream messenger.UpstreamID
	owner    messenger.RouterID
	// guaranteed counts the slots that the router may use without a grant of the owner, allowed
	// the slots that it may use now.
	guaranteed slotCounts
	allowed    slotCounts
	// grantSequence is the sequence of the newest grant received.
	grantSequence uint64
	inOutbox      bool
	// unassigned is true once this router is no longer a user of the upstream.
	unassigned bool
}

// slotOwner is a router that owns upstreams which this router uses.
type slotOwner struct {
	router messenger.RouterID
	leases []*lease
	// reportedDemand is this router's demand as last reported to the owner, less the slots that
	// the owner has granted since.
	reportedDemand messenger.Demand
	// competingDemand is the demand of other routers for the owner's upstreams.
	competingDemand   messenger.Demand
	competingSequence uint64
}

// urgency orders the requests of all routers: higher precedence first, then lower tag.
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

// roundTag rounds a tag to a whole number, as control messages carry it.
func roundTag(tag float64) int64 { return int64(math.Round(tag)) }

// nextUrgency returns the urgency of the next request that lacks a slot. A class with floor
// credit counts as having the highest precedence.
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

// nextLongUrgency returns the urgency of the next long request.
func (p *pool) nextLongUrgency() (urgency, bool) {
	for _, c := range p.classes {
		if c.policy.Long && c.queues.len() > 0 {
			return urgency{precedence: c.policy.Precedence, tag: c.queues.min().flow.tag}, true
		}
	}
	return urgency{}, false
}

// lacksSlot reports whether the requests of a class wait for a slot and not for the limit on
// long work. Long work that finds no free slot at all lacks a slot, whatever that limit is.
func (p *pool) lacksSlot(c *class) bool {
	return !c.policy.Long || !p.longLimitReached()
}

// longLimitReached reports whether long work waits because of its limit although slots are
// free.
func (p *pool) longLimitReached() bool {
	return p.placer.FreeLongSlots() == 0 && p.placer.FreeLongSlotsUncapped() > 0
}

// updatePlacer sets how many slots of an upstream the placer may use. Without a LongShare,
// long work is not limited.
func (p *pool) updatePlacer(l *lease) {
	long := l.allowed.long
	if p.longShare <= 0 {
		long = math.MaxInt32
	}
	p.placer.SetLease(l.upstream, l.allowed.slots, long)
}

// holding returns the slots that this router keeps of l, at least those of running requests.
func (p *pool) holding(l *lease) messenger.Holding {
	running, long := p.placer.Running(l.upstream)
	return messenger.Holding{
		Upstream:      l.upstream,
		Slots:         max(l.allowed.slots, running),
		Long:          max(l.allowed.long, long),
		GrantSequence: l.grantSequence,
	}
}

// receiveGrant processes a grant of slots by the owner of an upstream. A smaller grant is
// confirmed with a holding.
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
		o.reportedDemand.Waiting = max(0, o.reportedDemand.Waiting-max(0, g.Slots-l.allowed.slots))
		o.reportedDemand.Long = max(0, o.reportedDemand.Long-max(0, g.Long-l.allowed.long))
	}
	l.grantSequence = g.Sequence
	l.allowed = slotCounts{slots: g.Slots, long: g.Long}
	p.updatePlacer(l)
	if shrunk {
		p.reportHolding(l, false)
	}
}

// receiveCompetingDemand processes the demand of other routers for an owner's upstreams.
func (p *pool) receiveCompetingDemand(peer *peerState, sequence uint64, demands []messenger.Demand) {
	if len(demands) == 0 {
		return
	}
	o := p.ownerOf(peer.router)
	if o == nil || sequence < o.competingSequence {
		return
	}
	o.competingDemand, o.competingSequence = demands[0], sequence
}

// yieldSlotsTo returns free slots to an owner that has reported demand of other routers.
func (p *pool) yieldSlotsTo(peer *peerState, demands []messenger.Demand) {
	o := p.ownerOf(peer.router)
	if o == nil || len(demands) == 0 || demands[0].Waiting+demands[0].Long == 0 {
		return
	}
	for _, l := range o.leases {
		p.yieldSlots(l)
	}
}

// ownerOf returns the state of an owner of upstreams that this router uses, or nil.
func (p *pool) ownerOf(router messenger.RouterID) *slotOwner {
	for _, o := range p.owners {
		if o.router == router {
			return o
		}
	}
	return nil
}

// yieldSlots returns free slots of a lease to the owner while other routers should be served
// first.
func (p *pool) yieldSlots(l *lease) {
	o := p.ownerOf(l.owner)
	if o == nil || o.competingDemand.Waiting+o.competingDemand.Long == 0 {
		return
	}
	competing := &o.competingDemand
	costFree := l.owner == p.sched.cfg.Self
	running, long := p.placer.Running(l.upstream)
	changed := false
	for competing.Waiting > 0 && l.allowed.slots > running && p.shouldYield(competing, costFree) {
		l.allowed.slots--
		competing.Waiting = decrementDemand(competing.Waiting)
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

// decrementDemand returns n-1, or n if it is maxDemandSlots or more: the real demand may then
// be larger, and more than one router can return before it receives the next report.
func decrementDemand(n int) int {
	if n >= maxDemandSlots {
		return n
	}
	return n - 1
}

// yieldFreedSlot is called when a request on a leased upstream has ended. If requests still
// run beyond the allowed slots, the smaller holding is reported; else yieldSlots is called.
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

// shouldYield reports whether a free slot should go to the competing request and not to the
// next local one.
func (p *pool) shouldYield(competing *messenger.Demand, costFree bool) bool {
	own, ok := p.nextUrgency()
	return !ok || p.slotShouldMove(urgencyOf(*competing), own, costFree)
}

// slotShouldMove reports whether a request of another router is so far behind in service
// compared with a local one that a slot should move to it. The result is random, and more
// often true the larger the lead: information about other routers is late, so a router that
// returned all slots it could would return too many. A router without byte credit for control
// messages keeps its slots, unless the lead is large or the move costs no message (costFree).
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

// fullYieldLead is the lead, in multiples of moveThreshold, at which every free slot is
// returned.
const fullYieldLead = 2

// shouldYieldLong is shouldYield for long work.
func (p *pool) shouldYieldLong(competing *messenger.Demand, costFree bool) bool {
	own, ok := p.nextLongUrgency()
	return !ok || p.slotShouldMove(urgencyOf(*competing), own, costFree)
}

// updateDemand recalculates this router's demand and reports it to the owners for which it
// has changed significantly.
func (p *pool) updateDemand() {
	d := messenger.Demand{}
	if u, ok := p.nextUrgency(); ok {
		d = messenger.Demand{Waiting: p.slotsWanted(), Precedence: u.precedence, Tag: roundTag(u.tag)}
	}
	if u, ok := p.nextLongUrgency(); ok && p.longShare > 0 && p.placer.FreeLongSlots() == 0 {
		d.Long = min(p.longWaiting(), maxDemandSlots)
		if d.Waiting == 0 {
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

// demandChange reports whether a change of demand is significant enough to be reported, and
// whether it is urgent.
func (p *pool) demandChange(old, d messenger.Demand) (significant, urgent bool) {
	startedOrEnded := (d.Waiting > 0) != (old.Waiting > 0) || (d.Long > 0) != (old.Long > 0)
	if startedOrEnded {
		return true, d.Waiting > old.Waiting || d.Long > old.Long
	}
	if d.Waiting+d.Long == 0 {
		return false, false
	}
	moved := math.Abs(float64(d.Tag-old.Tag)) >= p.reportThreshold() || d.Precedence != old.Precedence
	resized := d.Waiting < maxDemandSlots && (d.Waiting > 2*old.Waiting || 2*d.Waiting < old.Waiting)
	return moved || resized, false
}

// slotsWanted returns the number of requests that lack a slot, at most maxDemandSlots.
func (p *pool) slotsWanted() int {
	n := p.waitingForSlot
	if p.longLimitReached() {
		n -= p.longWaiting()
	}
	return min(max(n, 0), maxDemandSlots)
}

// longWaiting returns the number of waiting requests of long classes.
func (p *pool) longWaiting() int {
	n := 0
	for _, c := range p.classes {
		if c.policy.Long {
			n += c.waitingForSlot
		}
	}
	return n
}

// revertToGuaranteed reduces the leases of an unresponsive owner to the guaranteed slots.
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
	o.competingDemand = messenger.Demand{}
}
