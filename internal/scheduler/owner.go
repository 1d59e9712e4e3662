package scheduler

import (
	"slices"

	"lentilwood.example/lentilwood/internal/messenger"
)

// maxScannedUpstreams bounds how many upstreams are compared for one grant.
const maxScannedUpstreams = 8

// ownedUpstream is an upstream whose slots this router grants.
type ownedUpstream struct {
	id     messenger.UpstreamID
	window slotCounts
	// held and granted are the sums over all holders.
	held, granted slotCounts
	holders       map[messenger.RouterID]*holder
	// freeIndex is the index in the pool's withFreeSlots, or -1.
	freeIndex int
}

// holder is the part of an owned upstream that one router holds.
type holder struct {
	upstream *ownedUpstream
	router   messenger.RouterID
	// granted is the current grant. held counts the slots that the router may still use: slots
	// that were taken back count as held until the router has confirmed it.
	granted, held slotCounts
	guaranteed    slotCounts
	grantSequence uint64
	// holdingSequence is the sequence of the newest message with a holding of the router.
	holdingSequence uint64
	inOutbox        bool
}

// routerDemand is the demand for slots of one router.
type routerDemand struct {
	messenger.Demand
	router    messenger.RouterID
	sequence  uint64
	heapIndex int
}

func (rd *routerDemand) index() *int { return &rd.heapIndex }

func (rd *routerDemand) less(other *routerDemand) bool {
	a, b := urgencyOf(rd.Demand), urgencyOf(other.Demand)
	if a != b {
		return a.before(b)
	}
	return rd.router < other.router
}

func (h *holder) grant() messenger.Grant {
	return messenger.Grant{
		Upstream: h.upstream.id, Slots: h.granted.slots, Long: h.granted.long, Sequence: h.grantSequence,
	}
}

// set changes granted and held of h and the sums of its upstream.
func (h *holder) set(granted, held slotCounts) {
	o := h.upstream
	o.granted.slots += granted.slots - h.granted.slots
	o.granted.long += granted.long - h.granted.long
	o.held.slots += held.slots - h.held.slots
	o.held.long += held.long - h.held.long
	h.granted, h.held = granted, held
}

// receiveHolding processes the slots that a router keeps of an owned upstream. A holding that
// was sent before the newest grant arrived is ignored, and the grant is sent again.
func (p *pool) receiveHolding(peer *peerState, sequence uint64, m messenger.Holding) {
	o, ok := p.owned[m.Upstream]
	if !ok {
		return
	}
	if _, known := o.holders[peer.router]; !known && m.Slots == 0 {
		return
	}
	h := p.holderOf(o, peer.router)
	if sequence < h.holdingSequence {
		return
	}
	h.holdingSequence = sequence
	if m.GrantSequence != h.grantSequence {
		p.reportGrant(h)
		return
	}
	held := slotCounts{slots: m.Slots, long: m.Long}
	granted := held
	if h.grantSequence > 0 {
		granted.slots = min(granted.slots, h.granted.slots)
		granted.long = min(granted.long, h.granted.long)
	}
	h.set(granted, held)
	p.reclaimExcess(o)
	p.updateFreeList(o)
}

// holderOf returns a router's part of an owned upstream and creates it if necessary.
func (p *pool) holderOf(o *ownedUpstream, r messenger.RouterID) *holder {
	h, ok := o.holders[r]
	if !ok {
		h = &holder{upstream: o, router: r}
		o.holders[r] = h
		if i, found := slices.BinarySearch(p.users, r); !found {
			p.users = slices.Insert(p.users, i, r)
		}
	}
	return h
}

// isUser reports whether a router uses upstreams that this one owns.
func (p *pool) isUser(r messenger.RouterID) bool {
	_, ok := slices.BinarySearch(p.users, r)
	return ok
}

// receiveDemand processes the demand of a router.
func (p *pool) receiveDemand(peer *peerState, sequence uint64, d messenger.Demand) {
	rd, ok := p.demands[peer.router]
	if !ok {
		rd = &routerDemand{router: peer.router, heapIndex: -1}
		p.demands[peer.router] = rd
	}
	if sequence < rd.sequence {
		return
	}
	rd.sequence = sequence
	p.setDemand(rd, d)
}

// setDemand changes a demand, the sum of the demands and their order.
func (p *pool) setDemand(rd *routerDemand, d messenger.Demand) {
	p.totalDemand.Waiting += d.Waiting - rd.Waiting
	p.totalDemand.Long += d.Long - rd.Long
	rd.Demand = d
	if d.Waiting+d.Long == 0 {
		p.demandHeap.remove(rd)
		return
	}
	p.demandHeap.push(rd)
}

// grantSlots grants free slots, the most urgent demand first.
func (p *pool) grantSlots() {
	for p.demandHeap.len() > 0 {
		rd := p.demandHeap.min()
		if !p.grantLong(rd) && !p.grantSlot(rd) {
			break
		}
	}
	p.updateCompetingDemand()
}

// grantSlot grants a free slot for the demand rd and reports whether there was one.
func (p *pool) grantSlot(rd *routerDemand) bool {
	if rd.Waiting == 0 {
		return false
	}
	h := p.holderWithFreeSlot(rd.router)
	if h == nil {
		return false
	}
	d := rd.Demand
	d.Waiting = decrementDemand(d.Waiting)
	long := 0
	if d.Long > 0 && h.upstream.held.long < h.upstream.window.long {
		long = 1
		d.Long = decrementDemand(d.Long)
	}
	p.increaseGrant(h, slotCounts{slots: 1, long: long})
	p.setDemand(rd, d)
	return true
}

// grantLong allows long work in one of the slots that the router of rd holds, and reports
// whether there was room for it.
func (p *pool) grantLong(rd *routerDemand) bool {
	if rd.Long == 0 {
		return false
	}
	for _, o := range p.ownedWithLongRoom(rd.router) {
		h := o.holders[rd.router]
		if h.granted.long >= h.granted.slots {
			continue
		}
		d := rd.Demand
		d.Long = decrementDemand(d.Long)
		p.increaseGrant(h, slotCounts{long: 1})
		p.setDemand(rd, d)
		return true
	}
	return false
}

// ownedWithLongRoom returns up to maxScannedUpstreams owned upstreams that have room for long
// work and of which r holds a part.
func (p *pool) ownedWithLongRoom(r messenger.RouterID) []*ownedUpstream {
	var found []*ownedUpstream
	for _, o := range p.ownedList {
		if o.held.long < o.window.long && o.holders[r] != nil {
			found = append(found, o)
		}
		if len(found) == maxScannedUpstreams {
			break
		}
	}
	return found
}

// increaseGrant adds slots to the grant of h.
func (p *pool) increaseGrant(h *holder, by slotCounts) {
	granted := slotCounts{slots: h.granted.slots + by.slots, long: h.granted.long + by.long}
	held := slotCounts{slots: h.held.slots + by.slots, long: h.held.long + by.long}
	h.grantSequence++
	h.set(granted, held)
	p.updateFreeList(h.upstream)
	p.reportGrant(h)
}

// holderWithFreeSlot returns the part of a router in an owned upstream with a free slot, or
// nil. It picks the upstream with the most free slots out of a few, beginning at a random one.
func (p *pool) holderWithFreeSlot(r messenger.RouterID) *holder {
	var best *holder
	n := len(p.withFreeSlots)
	if n == 0 {
		return nil
	}
	start := p.rand.IntN(n)
	for i, found := 0, 0; i < n && found < maxScannedUpstreams; i++ {
		o := p.withFreeSlots[(start+i)%n]
		h, ok := o.holders[r]
		if !ok {
			continue
		}
		found++
		if best == nil || o.free() > best.upstream.free() {
			best = h
		}
	}
	return best
}

// free returns the number of slots that no router may use.
func (o *ownedUpstream) free() int { return o.window.slots - o.held.slots }

// reclaimExcess takes back slots that were granted beyond the window, one by one from the
// router that is farthest above its guaranteed slots.
func (p *pool) reclaimExcess(o *ownedUpstream) {
	for o.granted.slots > o.window.slots || o.granted.long > o.window.long {
		h := o.largestExcess()
		if h == nil {
			return
		}
		granted := h.granted
		granted.slots = max(0, granted.slots-max(0, min(1, o.granted.slots-o.window.slots)))
		granted.long = min(max(0, granted.long-max(0, min(1, o.granted.long-o.window.long))), granted.slots)
		if granted == h.granted {
			return
		}
		h.grantSequence++
		h.set(granted, h.held)
		p.reportGrant(h)
	}
}

// largestExcess returns the holder that is farthest above its guaranteed slots, or nil.
func (o *ownedUpstream) largestExcess() *holder {
	var best *holder
	most := 0
	for _, h := range o.holders {
		excess := h.granted.slots - h.guaranteed.slots
		if o.granted.slots <= o.window.slots {
			excess = h.granted.long - h.guaranteed.long
		}
		if best == nil || excess > most || excess == most && h.router < best.router {
			best, most = h, excess
		}
	}
	return best
}

// updateFreeList adds o to the list of upstreams with free slots, or removes it.
func (p *pool) updateFreeList(o *ownedUpstream) {
	if o.free() > 0 && o.freeIndex < 0 {
		o.freeIndex = len(p.withFreeSlots)
		p.withFreeSlots = append(p.withFreeSlots, o)
	}
	if o.free() <= 0 && o.freeIndex >= 0 {
		last := p.withFreeSlots[len(p.withFreeSlots)-1]
		p.withFreeSlots[o.freeIndex] = last
		last.freeIndex = o.freeIndex
		p.withFreeSlots = p.withFreeSlots[:len(p.withFreeSlots)-1]
		o.freeIndex = -1
	}
}

// competingDemand returns the demand of all routers except r, with the urgency of the first
// request among them. That is one of the first three in the heap, as only r is left out.
func (p *pool) competingDemand(r messenger.RouterID) []messenger.Demand {
	var d messenger.Demand
	for i := 0; i < min(3, p.demandHeap.len()); i++ {
		rd := p.demandHeap.items[i]
		if rd.router == r {
			continue
		}
		if d.Waiting+d.Long == 0 || urgencyOf(rd.Demand).before(urgencyOf(d)) {
			d = rd.Demand
		}
	}
	if d.Waiting+d.Long == 0 {
		return []messenger.Demand{{}}
	}
	d.Waiting, d.Long = p.totalDemand.Waiting, p.totalDemand.Long
	if rd, ok := p.demands[r]; ok {
		d.Waiting -= rd.Waiting
		d.Long -= rd.Long
	}
	d.Waiting, d.Long = min(d.Waiting, maxDemandSlots), min(d.Long, maxDemandSlots)
	return []messenger.Demand{d}
}

// updateCompetingDemand sends the demands to the users if they have changed significantly.
func (p *pool) updateCompetingDemand() {
	var d messenger.Demand
	if p.demandHeap.len() > 0 {
		d = p.demandHeap.min().Demand
		d.Waiting, d.Long = p.totalDemand.Waiting, p.totalDemand.Long
	}
	significant, urgent := p.demandChange(p.announcedDemand, d)
	if !significant {
		return
	}
	p.announcedDemand = d
	p.reportCompetingDemand(urgent)
}

// removeRouter removes the state of a router that is no longer a member of the fleet.
func (p *pool) removeRouter(r messenger.RouterID) {
	for _, o := range p.ownedList {
		if h, ok := o.holders[r]; ok {
			h.set(slotCounts{}, slotCounts{})
			delete(o.holders, r)
			p.updateFreeList(o)
		}
	}
	p.users = slices.DeleteFunc(p.users, func(u messenger.RouterID) bool { return u == r })
	p.clearDemand(r)
	delete(p.demands, r)
	for _, h := range p.homeAccounts {
		h.removeRouter(r)
	}
}

// clearDemand sets the demand of a router to zero.
func (p *pool) clearDemand(r messenger.RouterID) {
	if rd, ok := p.demands[r]; ok {
		p.setDemand(rd, messenger.Demand{})
	}
}

// reserveGuaranteed reduces the grants of an unresponsive router to its guaranteed slots.
// Further slots that it held count as held until releaseBeyondGuaranteed.
func (p *pool) reserveGuaranteed(r messenger.RouterID) {
	for _, o := range p.ownedList {
		if h, ok := o.holders[r]; ok {
			h.grantSequence++
			held := slotCounts{slots: max(h.held.slots, h.guaranteed.slots), long: max(h.held.long, h.guaranteed.long)}
			h.set(h.guaranteed, held)
			p.reclaimExcess(o)
			p.updateFreeList(o)
		}
	}
	p.clearDemand(r)
}

// releaseBeyondGuaranteed frees all slots of an unresponsive router beyond the guaranteed
// ones.
func (p *pool) releaseBeyondGuaranteed(r messenger.RouterID) {
	for _, o := range p.ownedList {
		if h, ok := o.holders[r]; ok {
			h.set(h.guaranteed, h.guaranteed)
			p.updateFreeList(o)
		}
	}
	p.grantSlots()
}
