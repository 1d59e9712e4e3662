package scheduler

import (
	"math"

	"lentilwood.example/lentilwood/internal/messenger"
)

// maxWant bounds the slots that one demand asks for.
const maxWant = 16

// amounts counts slots of an upstream, and those of them for long work.
type amounts struct{ slots, long int }

// lease is what this router may use of one upstream.
type lease struct {
	upstream messenger.UpstreamID
	owner    messenger.RouterID
	// floor is what the router may use without a word from the owner.
	floor   amounts
	allowed amounts
	// seen is the sequence of the newest grant.
	seen   uint64
	queued bool
	// gone is true once this router uses the upstream no more.
	gone bool
}

// source is an owner of upstreams that this router may use.
type source struct {
	owner  messenger.RouterID
	leases []*lease
	// told is this router's demand as the owner knows it.
	told messenger.Demand
	// rival is what others want of the owner's upstreams.
	rival    messenger.Demand
	sequence uint64
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
func round(tag float64) int64 { return int64(math.Round(tag)) }

// first returns the urgency of the request that would go next.
func (p *pool) first() (urgency, bool) {
	for _, c := range p.classes {
		if c.owed() && p.eligible(c) {
			return urgency{precedence: p.classes[0].policy.Precedence, tag: c.queues.min().flow.tag}, true
		}
	}
	for _, c := range p.classes {
		if c.queues.len() > 0 && p.eligible(c) {
			return urgency{precedence: c.policy.Precedence, tag: c.queues.min().flow.tag}, true
		}
	}
	return urgency{}, false
}

// firstLong returns the urgency of the long request that would go next.
func (p *pool) firstLong() (urgency, bool) {
	for _, c := range p.classes {
		if c.policy.Long && c.queues.len() > 0 {
			return urgency{precedence: c.policy.Precedence, tag: c.queues.min().flow.tag}, true
		}
	}
	return urgency{}, false
}

// eligible reports whether a slot is all that a class lacks. Long work that
// finds no free slot at all lacks one, whatever its bound is.
func (p *pool) eligible(c *class) bool {
	return !c.policy.Long || !p.longBound()
}

// longBound reports whether it is the bound on long work, and not the number
// of slots, that keeps long work waiting.
func (p *pool) longBound() bool {
	return p.placer.FreeLongSlots() == 0 && p.placer.FreeLongSlotsUncapped() > 0
}

// place tells the placer what it may use of an upstream.
func (p *pool) place(l *lease) {
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
		Seen:     l.seen,
	}
}

// takeGrant takes in how much of an upstream this router may use.
func (p *pool) takeGrant(k *link, g messenger.Grant) {
	l, ok := p.leases[g.Upstream]
	if !ok {
		l = &lease{upstream: g.Upstream, owner: k.router, gone: true}
		p.leases[g.Upstream] = l
	}
	if l.owner != k.router || g.Sequence <= l.seen {
		return
	}
	if l.gone {
		l.seen = g.Sequence
		p.tellLease(l, true)
		return
	}
	shrunk := g.Slots < l.allowed.slots
	if src := p.sourceOf(k.router); src != nil {
		src.told.Want = max(0, src.told.Want-max(0, g.Slots-l.allowed.slots))
		src.told.Long = max(0, src.told.Long-max(0, g.Long-l.allowed.long))
	}
	l.seen = g.Sequence
	l.allowed = amounts{slots: g.Slots, long: g.Long}
	p.place(l)
	if shrunk {
		p.tellLease(l, false)
	}
}

// noteRivals takes in what others want of an owner's upstreams.
func (p *pool) noteRivals(k *link, sequence uint64, demands []messenger.Demand) {
	if len(demands) == 0 {
		return
	}
	src := p.sourceOf(k.router)
	if src == nil || sequence < src.sequence {
		return
	}
	src.rival, src.sequence = demands[0], sequence
}

// yieldAll gives back free slots of an owner that has said what others want.
func (p *pool) yieldAll(k *link, demands []messenger.Demand) {
	src := p.sourceOf(k.router)
	if src == nil || len(demands) == 0 || demands[0].Want+demands[0].Long == 0 {
		return
	}
	for _, l := range src.leases {
		p.yield(l)
	}
}

// sourceOf returns the source with an owner, or nil.
func (p *pool) sourceOf(owner messenger.RouterID) *source {
	for _, src := range p.sources {
		if src.owner == owner {
			return src
		}
	}
	return nil
}

// yield gives free slots of a lease back while others need them more.
func (p *pool) yield(l *lease) {
	src := p.sourceOf(l.owner)
	if src == nil || src.rival.Want+src.rival.Long == 0 {
		return
	}
	v := &src.rival
	free := l.owner == p.sched.cfg.Self
	running, long := p.placer.Running(l.upstream)
	changed := false
	for v.Want > 0 && l.allowed.slots > running && p.loses(v, free) {
		l.allowed.slots--
		v.Want = consume(v.Want)
		changed = true
	}
	for v.Long > 0 && l.allowed.long > long && p.losesLong(v, free) {
		l.allowed.long--
		v.Long = consume(v.Long)
		changed = true
	}
	if changed {
		p.place(l)
		p.tellLease(l, true)
	}
}

// consume counts one slot less that others want. From maxWant on there are
// more than one router can give back before it hears again.
func consume(n int) int {
	if n >= maxWant {
		return n
	}
	return n - 1
}

// yieldFreed is yield for a lease on which a request has ended. Slots beyond
// what is allowed are reported as gone.
func (p *pool) yieldFreed(l *lease) {
	if p.sched.cfg.Mode == Standalone {
		return
	}
	running, _ := p.placer.Running(l.upstream)
	if running >= l.allowed.slots {
		p.tellLease(l, true)
		return
	}
	p.yield(l)
}

// loses reports whether the next local request goes after that of others.
func (p *pool) loses(v *messenger.Demand, free bool) bool {
	own, ok := p.first()
	return !ok || p.overdue(urgencyOf(*v), own, free)
}

// overdue reports whether a request elsewhere has waited so much longer for
// service than an own one that a slot should move. It is the likelier the
// larger the lead is: what is known of others is late, and a router that gave
// back all it could would overshoot. A router that is out of credit keeps its
// slots busy itself, unless the lead is large or giving back is free of cost.
func (p *pool) overdue(other, own urgency, free bool) bool {
	if other.precedence != own.precedence {
		return other.precedence > own.precedence
	}
	lead := own.tag - other.tag - p.slack()
	if lead <= 0 || !free && !p.sched.governor.affords(lead/p.slack()) {
		return false
	}
	return lead > p.rand.Float64()*yieldRange*p.slack()
}

// yieldRange is the lead, in multiples of the slack, at which every free slot
// is given back.
const yieldRange = 2

// losesLong is loses for long work.
func (p *pool) losesLong(v *messenger.Demand, free bool) bool {
	own, ok := p.firstLong()
	return !ok || p.overdue(urgencyOf(*v), own, free)
}

// updateDemand notes what this router lacks and has it told where it changed.
func (p *pool) updateDemand() {
	d := messenger.Demand{}
	if u, ok := p.first(); ok {
		d = messenger.Demand{Want: p.wanted(), Precedence: u.precedence, Tag: round(u.tag)}
	}
	if u, ok := p.firstLong(); ok && p.longShare > 0 && p.placer.FreeLongSlots() == 0 {
		d.Long = min(p.longWaiting(), maxWant)
		if d.Want == 0 {
			d.Precedence, d.Tag = u.precedence, round(u.tag)
		}
	}
	p.demand = d
	for _, src := range p.sources {
		if worth, urgent := p.news(src.told, d); worth {
			p.tellDemand(src, urgent)
		}
	}
}

// news reports whether a change of demand is worth telling, and at once.
func (p *pool) news(old, d messenger.Demand) (worth, urgent bool) {
	flips := (d.Want > 0) != (old.Want > 0) || (d.Long > 0) != (old.Long > 0)
	if flips {
		return true, d.Want > old.Want || d.Long > old.Long
	}
	if d.Want+d.Long == 0 {
		return false, false
	}
	moved := math.Abs(float64(d.Tag-old.Tag)) >= p.quantum() || d.Precedence != old.Precedence
	grew := d.Want < maxWant && (d.Want > 2*old.Want || 2*d.Want < old.Want)
	return moved || grew, false
}

// wanted counts the requests that lack a slot.
func (p *pool) wanted() int {
	n := p.waiting
	if p.longBound() {
		n -= p.longWaiting()
	}
	return min(max(n, 0), maxWant)
}

// longWaiting counts the waiting requests of long classes.
func (p *pool) longWaiting() int {
	n := 0
	for _, c := range p.classes {
		if c.policy.Long {
			n += c.waiting
		}
	}
	return n
}

// floorLeases makes this router act on its floors where an owner is silent.
func (p *pool) floorLeases(owner messenger.RouterID) {
	src := p.sourceOf(owner)
	if src == nil {
		return
	}
	for _, l := range src.leases {
		l.allowed = l.floor
		p.place(l)
		p.tellLease(l, false)
	}
	src.rival = messenger.Demand{}
}
