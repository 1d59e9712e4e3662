package scheduler

import (
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
)

// Times of the exchange between routers.
const (
	// leaseTTL is how long a router acts on the last word of another.
	leaseTTL = 3 * time.Second
	// keepAlive is the longest silence towards a router that relies on this one.
	keepAlive = time.Second
	// retiredTTL is how long messages of an earlier incarnation may be under way.
	retiredTTL = time.Minute
	// contendedPause and calmPause are the shortest times between two messages
	// to one router that are not urgent, with and without requests waiting.
	contendedPause = 50 * time.Millisecond
	calmPause      = time.Second
)

// link is what this router knows of another one and has to tell it.
type link struct {
	router messenger.RouterID
	// incarnation is the other's; retired is the one before it.
	incarnation, retired uint64
	retiredAt            time.Time
	sent, received       uint64
	heardAt, sentAt      time.Time
	// lost is true once the other has been silent for leaseTTL.
	lost    bool
	pending bool
	urgent  bool
	// greet is true while the other must hear from this router whatever it costs.
	greet bool
	since time.Time
	boxes []*outbox
}

// outbox collects what is to be told to one router about one pool. The items
// themselves are read when the message is built, so it holds the newest state.
type outbox struct {
	pool     *pool
	demand   bool
	rivals   bool
	leases   []*lease
	holders  []*holder
	flows    []*flow
	contribs []*contribution
}

// linkOf returns the link to a router, new if it has to be.
func (s *Scheduler) linkOf(id messenger.RouterID) *link {
	l, ok := s.links[id]
	if !ok {
		l = &link{router: id, heardAt: s.now}
		s.links[id] = l
		s.linkList = append(s.linkList, l)
	}
	return l
}

// boxOf returns the outbox of a pool.
func (l *link) boxOf(p *pool) *outbox {
	for _, b := range l.boxes {
		if b.pool == p {
			return b
		}
	}
	b := &outbox{pool: p}
	l.boxes = append(l.boxes, b)
	return b
}

// mark notes that l has something to tell, at once if it is urgent.
func (s *Scheduler) mark(l *link, urgent bool) {
	if !l.pending {
		l.pending = true
		l.since = s.now
		s.pending = append(s.pending, l)
	}
	if urgent && !l.urgent {
		l.urgent = true
		s.urgent = append(s.urgent, l)
	}
}

// tellLease has the slots of a lease told to its owner.
func (p *pool) tellLease(l *lease, urgent bool) {
	k := p.sched.linkOf(l.owner)
	if !l.queued {
		l.queued = true
		b := k.boxOf(p)
		b.leases = append(b.leases, l)
	}
	p.sched.mark(k, urgent)
}

// tellGrant has a grant told to its holder.
func (p *pool) tellGrant(h *holder) {
	k := p.sched.linkOf(h.router)
	if !h.queued {
		h.queued = true
		b := k.boxOf(p)
		b.holders = append(b.holders, h)
	}
	p.sched.mark(k, true)
}

// tellDemand has this router's demand told to an owner of its upstreams.
func (p *pool) tellDemand(src *source, urgent bool) {
	k := p.sched.linkOf(src.owner)
	k.boxOf(p).demand = true
	p.sched.mark(k, urgent && p.sched.governor.credit > 0)
}

// tellRivals has the demand of others told to the routers with slots.
func (p *pool) tellRivals(urgent bool) {
	for _, r := range p.users {
		k := p.sched.linkOf(r)
		k.boxOf(p).rivals = true
		p.sched.mark(k, urgent && p.sched.governor.credit > 0)
	}
}

// tellUse has the use of an account told to its home.
func (p *pool) tellUse(f *flow) {
	if f.home == "" {
		f.home = p.sched.homeOf(f.account)
	}
	k := p.sched.linkOf(f.home)
	if !f.queued {
		f.queued = true
		b := k.boxOf(p)
		b.flows = append(b.flows, f)
	}
	p.sched.mark(k, k.router == p.sched.cfg.Self)
}

// tellTag has the tag of an account told to a router that serves it.
func (p *pool) tellTag(c *contribution) {
	k := p.sched.linkOf(c.router)
	if !c.queued {
		c.queued = true
		b := k.boxOf(p)
		b.contribs = append(b.contribs, c)
	}
	p.sched.mark(k, k.router == p.sched.cfg.Self)
}

// build empties the outboxes of l into a message, or returns nil if there is
// nothing to tell.
func (s *Scheduler) build(l *link) *messenger.Control {
	l.sent++
	m := &messenger.Control{Incarnation: s.incarnation, To: l.incarnation, Sequence: l.sent}
	for _, b := range l.boxes {
		if c, ok := b.take(l); ok {
			m.Pools = append(m.Pools, c)
		}
	}
	l.pending, l.urgent, l.greet = false, false, false
	l.sentAt = s.now
	return m
}

// take empties b.
func (b *outbox) take(l *link) (messenger.PoolControl, bool) {
	p := b.pool
	m := messenger.PoolControl{Pool: p.id, VirtualTime: round(p.vtime)}
	if !b.demand && !b.rivals && len(b.leases)+len(b.holders)+len(b.flows)+len(b.contribs) == 0 {
		return m, false
	}
	if b.demand || len(b.leases) > 0 {
		m.Demand = []messenger.Demand{p.demand}
		if src := p.sourceOf(l.router); src != nil {
			src.told = p.demand
		}
	}
	if b.rivals || len(b.holders) > 0 {
		m.Rivals = p.rivalsOf(l.router)
	}
	for _, x := range b.leases {
		x.queued = false
		m.Holdings = append(m.Holdings, p.holding(x))
	}
	for _, x := range b.holders {
		x.queued = false
		m.Grants = append(m.Grants, x.grant())
	}
	for _, x := range b.flows {
		x.queued = false
		m.Uses = append(m.Uses, x.use(p.sched.now))
	}
	for _, x := range b.contribs {
		x.queued = false
		m.Tags = append(m.Tags, x.tag())
	}
	*b = outbox{
		pool: p, leases: b.leases[:0], holders: b.holders[:0],
		flows: b.flows[:0], contribs: b.contribs[:0],
	}
	return m, true
}

// receive takes in a control message of another router.
func (s *Scheduler) receive(from messenger.RouterID, m *messenger.Control) {
	if m == nil || s.cfg.Mode == Standalone || (m.To != 0 && m.To != s.incarnation) {
		return
	}
	l := s.linkOf(from)
	if m.Incarnation != l.incarnation && !s.restarted(l, m.Incarnation) {
		return
	}
	l.heardAt = s.now
	l.received = max(l.received, m.Sequence)
	if l.lost {
		l.lost = false
		s.regained(l)
	}
	for i := range m.Pools {
		if p, ok := s.pools[m.Pools[i].Pool]; ok {
			p.take(l, m.Sequence, &m.Pools[i])
		}
	}
}

// take lets p take in its part of a control message.
func (p *pool) take(l *link, sequence uint64, m *messenger.PoolControl) {
	p.vtime = max(p.vtime, float64(m.VirtualTime))
	for _, t := range m.Tags {
		p.takeTag(l, sequence, t)
	}
	p.noteRivals(l, sequence, m.Rivals)
	for _, g := range m.Grants {
		p.takeGrant(l, g)
	}
	for _, u := range m.Uses {
		p.takeUse(l, sequence, u)
	}
	for _, h := range m.Holdings {
		p.takeHolding(l, sequence, h)
	}
	for _, d := range m.Demand {
		p.takeDemand(l, sequence, d)
	}
	p.allot()
	p.dispatch()
	p.yieldAll(l, m.Rivals)
}

// restarted notes another incarnation of a router and reports whether it is
// the newest one.
func (s *Scheduler) restarted(l *link, incarnation uint64) bool {
	if incarnation == l.retired && s.now.Sub(l.retiredAt) < retiredTTL {
		return false
	}
	known := l.incarnation != 0
	l.retired, l.retiredAt = l.incarnation, s.now
	l.incarnation = incarnation
	l.received = 0
	for _, p := range s.poolList {
		p.meet(l, known)
	}
	return true
}
