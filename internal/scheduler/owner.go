package scheduler

import (
	"slices"

	"lentilwood.example/lentilwood/internal/messenger"
)

// scanLimit bounds how many upstreams are compared for one grant.
const scanLimit = 8

// owned is an upstream whose window this router divides among routers.
type owned struct {
	id     messenger.UpstreamID
	window amounts
	// held counts what routers may still use, granted what they may keep.
	held, granted amounts
	holders       map[messenger.RouterID]*holder
	spareAt       int
}

// holder is one router's part of an owned upstream.
type holder struct {
	owned  *owned
	router messenger.RouterID
	// granted is what the router may keep, held what it may still use: a part
	// that was taken back counts as held until the router has said so.
	granted, held amounts
	floor         amounts
	sequence      uint64
	// heard is the sequence of the newest message about it.
	heard  uint64
	queued bool
}

// want is the demand of one router.
type want struct {
	messenger.Demand
	router   messenger.RouterID
	sequence uint64
	at       int
}

func (w *want) index() *int { return &w.at }

func (w *want) less(other *want) bool {
	a, b := urgencyOf(w.Demand), urgencyOf(other.Demand)
	if a != b {
		return a.before(b)
	}
	return w.router < other.router
}

func (h *holder) grant() messenger.Grant {
	return messenger.Grant{
		Upstream: h.owned.id, Slots: h.granted.slots, Long: h.granted.long, Sequence: h.sequence,
	}
}

// set changes what h may keep and still use, with the sums.
func (h *holder) set(granted, held amounts) {
	o := h.owned
	o.granted.slots += granted.slots - h.granted.slots
	o.granted.long += granted.long - h.granted.long
	o.held.slots += held.slots - h.held.slots
	o.held.long += held.long - h.held.long
	h.granted, h.held = granted, held
}

// takeHolding takes in what a router keeps of an owned upstream.
func (p *pool) takeHolding(k *link, sequence uint64, m messenger.Holding) {
	o, ok := p.owned[m.Upstream]
	if !ok {
		return
	}
	if _, known := o.holders[k.router]; !known && m.Slots == 0 {
		return
	}
	h := p.holderOf(o, k.router)
	if sequence < h.heard {
		return
	}
	h.heard = sequence
	if m.Seen != h.sequence {
		p.tellGrant(h)
		return
	}
	held := amounts{slots: m.Slots, long: m.Long}
	granted := held
	if h.sequence > 0 {
		granted.slots = min(granted.slots, h.granted.slots)
		granted.long = min(granted.long, h.granted.long)
	}
	h.set(granted, held)
	p.reclaim(o)
	p.refreshSpare(o)
}

// holderOf returns a router's part of an owned upstream, new if it has to be.
func (p *pool) holderOf(o *owned, r messenger.RouterID) *holder {
	h, ok := o.holders[r]
	if !ok {
		h = &holder{owned: o, router: r}
		o.holders[r] = h
		if at, found := slices.BinarySearch(p.users, r); !found {
			p.users = slices.Insert(p.users, at, r)
		}
	}
	return h
}

// serves reports whether a router uses upstreams that this one owns.
func (p *pool) serves(r messenger.RouterID) bool {
	_, ok := slices.BinarySearch(p.users, r)
	return ok
}

// takeDemand takes in what a router wants.
func (p *pool) takeDemand(k *link, sequence uint64, d messenger.Demand) {
	w, ok := p.wants[k.router]
	if !ok {
		w = &want{router: k.router, at: -1}
		p.wants[k.router] = w
	}
	if sequence < w.sequence {
		return
	}
	w.sequence = sequence
	p.setWant(w, d)
}

// setWant changes a want and keeps the order of wants.
func (p *pool) setWant(w *want, d messenger.Demand) {
	p.wanting.Want += d.Want - w.Want
	p.wanting.Long += d.Long - w.Long
	w.Demand = d
	if d.Want+d.Long == 0 {
		p.wantHeap.remove(w)
		return
	}
	p.wantHeap.push(w)
}

// allot grants free slots to the most urgent wants.
func (p *pool) allot() {
	for p.wantHeap.len() > 0 {
		w := p.wantHeap.min()
		if !p.grantLong(w) && !p.grantSlot(w) {
			break
		}
	}
	p.updateRivals()
}

// grantSlot gives a slot to w and reports whether there was one.
func (p *pool) grantSlot(w *want) bool {
	if w.Want == 0 {
		return false
	}
	h := p.spareFor(w.router)
	if h == nil {
		return false
	}
	d := w.Demand
	d.Want = consume(d.Want)
	long := 0
	if d.Long > 0 && h.owned.held.long < h.owned.window.long {
		long = 1
		d.Long = consume(d.Long)
	}
	p.raise(h, amounts{slots: 1, long: long})
	p.setWant(w, d)
	return true
}

// grantLong lets w use one of its slots for long work and reports whether
// there was one.
func (p *pool) grantLong(w *want) bool {
	if w.Long == 0 {
		return false
	}
	for _, o := range p.longSpare(w.router) {
		h := o.holders[w.router]
		if h.granted.long >= h.granted.slots {
			continue
		}
		d := w.Demand
		d.Long = consume(d.Long)
		p.raise(h, amounts{long: 1})
		p.setWant(w, d)
		return true
	}
	return false
}

// longSpare returns a few owned upstreams where r holds slots and long work
// has room.
func (p *pool) longSpare(r messenger.RouterID) []*owned {
	var found []*owned
	for _, o := range p.ownedList {
		if o.held.long < o.window.long && o.holders[r] != nil {
			found = append(found, o)
		}
		if len(found) == scanLimit {
			break
		}
	}
	return found
}

// raise grants more to h.
func (p *pool) raise(h *holder, by amounts) {
	granted := amounts{slots: h.granted.slots + by.slots, long: h.granted.long + by.long}
	held := amounts{slots: h.held.slots + by.slots, long: h.held.long + by.long}
	h.sequence++
	h.set(granted, held)
	p.refreshSpare(h.owned)
	p.tellGrant(h)
}

// spareFor returns the part of a router in the emptiest of a few owned
// upstreams with a free slot, or nil.
func (p *pool) spareFor(r messenger.RouterID) *holder {
	var best *holder
	n := len(p.spare)
	if n == 0 {
		return nil
	}
	start := p.rand.IntN(n)
	for i, found := 0, 0; i < n && found < scanLimit; i++ {
		o := p.spare[(start+i)%n]
		h, ok := o.holders[r]
		if !ok {
			continue
		}
		found++
		if best == nil || o.free() > best.owned.free() {
			best = h
		}
	}
	return best
}

// free returns how many slots no router may use.
func (o *owned) free() int { return o.window.slots - o.held.slots }

// reclaim takes back what was granted beyond the window, from the routers
// that are farthest above their floors.
func (p *pool) reclaim(o *owned) {
	for o.granted.slots > o.window.slots || o.granted.long > o.window.long {
		h := o.farthest()
		if h == nil {
			return
		}
		granted := h.granted
		granted.slots = max(0, granted.slots-max(0, min(1, o.granted.slots-o.window.slots)))
		granted.long = min(max(0, granted.long-max(0, min(1, o.granted.long-o.window.long))), granted.slots)
		if granted == h.granted {
			return
		}
		h.sequence++
		h.set(granted, h.held)
		p.tellGrant(h)
	}
}

// farthest returns the holder that is farthest above its floor, or nil.
func (o *owned) farthest() *holder {
	var best *holder
	over := 0
	for _, h := range o.holders {
		d := h.granted.slots - h.floor.slots
		if o.granted.slots <= o.window.slots {
			d = h.granted.long - h.floor.long
		}
		if best == nil || d > over || d == over && h.router < best.router {
			best, over = h, d
		}
	}
	return best
}

// refreshSpare keeps the list of upstreams with a free slot in step with o.
func (p *pool) refreshSpare(o *owned) {
	if o.free() > 0 && o.spareAt < 0 {
		o.spareAt = len(p.spare)
		p.spare = append(p.spare, o)
	}
	if o.free() <= 0 && o.spareAt >= 0 {
		last := p.spare[len(p.spare)-1]
		p.spare[o.spareAt] = last
		last.spareAt = o.spareAt
		p.spare = p.spare[:len(p.spare)-1]
		o.spareAt = -1
	}
}

// rivalsOf returns what all routers but one want.
func (p *pool) rivalsOf(r messenger.RouterID) []messenger.Demand {
	var d messenger.Demand
	for i := 0; i < min(3, p.wantHeap.len()); i++ {
		w := p.wantHeap.items[i]
		if w.router == r {
			continue
		}
		if d.Want+d.Long == 0 || urgencyOf(w.Demand).before(urgencyOf(d)) {
			d = w.Demand
		}
	}
	if d.Want+d.Long == 0 {
		return []messenger.Demand{{}}
	}
	d.Want, d.Long = p.wanting.Want, p.wanting.Long
	if w, ok := p.wants[r]; ok {
		d.Want -= w.Want
		d.Long -= w.Long
	}
	d.Want, d.Long = min(d.Want, maxWant), min(d.Long, maxWant)
	return []messenger.Demand{d}
}

// updateRivals has the routers told when what is wanted most has changed.
func (p *pool) updateRivals() {
	var d messenger.Demand
	if p.wantHeap.len() > 0 {
		d = p.wantHeap.min().Demand
		d.Want, d.Long = p.wanting.Want, p.wanting.Long
	}
	worth, urgent := p.news(p.told, d)
	if !worth {
		return
	}
	p.told = d
	p.tellRivals(urgent)
}

// forget drops a router that the membership no longer names.
func (p *pool) forget(r messenger.RouterID) {
	for _, o := range p.ownedList {
		if h, ok := o.holders[r]; ok {
			h.set(amounts{}, amounts{})
			delete(o.holders, r)
			p.refreshSpare(o)
		}
	}
	p.users = slices.DeleteFunc(p.users, func(u messenger.RouterID) bool { return u == r })
	p.quiet(r)
	delete(p.wants, r)
	for _, h := range p.homes {
		h.drop(r)
	}
}

// quiet ends the demand of a router.
func (p *pool) quiet(r messenger.RouterID) {
	if w, ok := p.wants[r]; ok {
		p.setWant(w, messenger.Demand{})
	}
}

// reserve keeps the floor of a silent router free for it. What it held beyond
// that counts as held until release.
func (p *pool) reserve(r messenger.RouterID) {
	for _, o := range p.ownedList {
		if h, ok := o.holders[r]; ok {
			h.sequence++
			held := amounts{slots: max(h.held.slots, h.floor.slots), long: max(h.held.long, h.floor.long)}
			h.set(h.floor, held)
			p.reclaim(o)
			p.refreshSpare(o)
		}
	}
	p.quiet(r)
}

// release takes all but the floor from a router that stays silent.
func (p *pool) release(r messenger.RouterID) {
	for _, o := range p.ownedList {
		if h, ok := o.holders[r]; ok {
			h.set(h.floor, h.floor)
			p.refreshSpare(o)
		}
	}
	p.allot()
}
