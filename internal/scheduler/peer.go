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
	heartbeatInterval = time.Second
	// retiredTTL is how long messages of an earlier incarnation may be under way.
	oldMessageTTL = time.Minute
	// contendedPause and calmPause are the shortest times between two messages
	// to one router that are not urgent, with and without requests waiting.
	contendedReportInterval = 50 * time.Millisecond
	idleReportInterval      = time.Second
)

// link is what this router knows of another one and has to tell it.
type peerState struct {
	router messenger.RouterID
	// incarnation is the other's; retired is the one before it.
	incarnation, previousIncarnation uint64
	incarnationChangedAt             time.Time
	sentSequence, receivedSequence   uint64
	receivedAt, sentAt               time.Time
	// lost is true once the other has been silent for leaseTTL.
	unresponsive bool
	pending      bool
	urgent       bool
	// greet is true while the other must hear from this router whatever it costs.
	heartbeatDue bool
	pendingSince time.Time
	outboxes     []*outbox
}

// outbox collects what is to be told to one router about one pool. The items
// themselves are read when the message is built, so it holds the newest state.
type outbox struct {
	pool          *pool
	demand        bool
	competing     bool
	leases        []*lease
	holders       []*holder
	flows         []*flow
	contributions []*contribution
}

// linkOf returns the link to a router, new if it has to be.
func (s *Scheduler) peerOf(id messenger.RouterID) *peerState {
	peer, ok := s.peers[id]
	if !ok {
		peer = &peerState{router: id, receivedAt: s.now}
		s.peers[id] = peer
		s.peerList = append(s.peerList, peer)
	}
	return peer
}

// boxOf returns the outbox of a pool.
func (peer *peerState) outboxOf(p *pool) *outbox {
	for _, b := range peer.outboxes {
		if b.pool == p {
			return b
		}
	}
	b := &outbox{pool: p}
	peer.outboxes = append(peer.outboxes, b)
	return b
}

// mark notes that l has something to tell, at once if it is urgent.
func (s *Scheduler) markPending(peer *peerState, urgent bool) {
	if !peer.pending {
		peer.pending = true
		peer.pendingSince = s.now
		s.pending = append(s.pending, peer)
	}
	if urgent && !peer.urgent {
		peer.urgent = true
		s.urgent = append(s.urgent, peer)
	}
}

// tellLease has the slots of a lease told to its owner.
func (p *pool) reportHolding(l *lease, urgent bool) {
	peer := p.sched.peerOf(l.owner)
	if !l.inOutbox {
		l.inOutbox = true
		b := peer.outboxOf(p)
		b.leases = append(b.leases, l)
	}
	p.sched.markPending(peer, urgent)
}

// tellGrant has a grant told to its holder.
func (p *pool) reportGrant(h *holder) {
	peer := p.sched.peerOf(h.router)
	if !h.inOutbox {
		h.inOutbox = true
		b := peer.outboxOf(p)
		b.holders = append(b.holders, h)
	}
	p.sched.markPending(peer, true)
}

// tellDemand has this router's demand told to an owner of its upstreams.
func (p *pool) reportDemand(o *slotOwner, urgent bool) {
	peer := p.sched.peerOf(o.router)
	peer.outboxOf(p).demand = true
	p.sched.markPending(peer, urgent && p.sched.governor.creditBytes > 0)
}

// tellRivals has the demand of others told to the routers with slots.
func (p *pool) reportCompetingDemand(urgent bool) {
	for _, r := range p.users {
		peer := p.sched.peerOf(r)
		peer.outboxOf(p).competing = true
		p.sched.markPending(peer, urgent && p.sched.governor.creditBytes > 0)
	}
}

// tellUse has the use of an account told to its home.
func (p *pool) reportUse(f *flow) {
	if f.homeRouter == "" {
		f.homeRouter = p.sched.homeRouterOf(f.account)
	}
	peer := p.sched.peerOf(f.homeRouter)
	if !f.inOutbox {
		f.inOutbox = true
		b := peer.outboxOf(p)
		b.flows = append(b.flows, f)
	}
	p.sched.markPending(peer, peer.router == p.sched.cfg.Self)
}

// tellTag has the tag of an account told to a router that serves it.
func (p *pool) reportTag(c *contribution) {
	peer := p.sched.peerOf(c.router)
	if !c.inOutbox {
		c.inOutbox = true
		b := peer.outboxOf(p)
		b.contributions = append(b.contributions, c)
	}
	p.sched.markPending(peer, peer.router == p.sched.cfg.Self)
}

// build empties the outboxes of l into a message, or returns nil if there is
// nothing to tell.
func (s *Scheduler) buildMessage(peer *peerState) *messenger.Control {
	peer.sentSequence++
	m := &messenger.Control{Incarnation: s.incarnation, To: peer.incarnation, Sequence: peer.sentSequence}
	for _, b := range peer.outboxes {
		if c, ok := b.drain(peer); ok {
			m.Pools = append(m.Pools, c)
		}
	}
	peer.pending, peer.urgent, peer.heartbeatDue = false, false, false
	peer.sentAt = s.now
	return m
}

// take empties b.
func (b *outbox) drain(peer *peerState) (messenger.PoolControl, bool) {
	p := b.pool
	m := messenger.PoolControl{Pool: p.id, VirtualTime: roundTag(p.virtualTime)}
	if !b.demand && !b.competing && len(b.leases)+len(b.holders)+len(b.flows)+len(b.contributions) == 0 {
		return m, false
	}
	if b.demand || len(b.leases) > 0 {
		m.Demand = []messenger.Demand{p.ownDemand}
		if o := p.ownerOf(peer.router); o != nil {
			o.reportedDemand = p.ownDemand
		}
	}
	if b.competing || len(b.holders) > 0 {
		m.Rivals = p.competingDemand(peer.router)
	}
	for _, x := range b.leases {
		x.inOutbox = false
		m.Holdings = append(m.Holdings, p.holding(x))
	}
	for _, x := range b.holders {
		x.inOutbox = false
		m.Grants = append(m.Grants, x.grant())
	}
	for _, x := range b.flows {
		x.inOutbox = false
		m.Uses = append(m.Uses, x.accountUse(p.sched.now))
	}
	for _, x := range b.contributions {
		x.inOutbox = false
		m.Tags = append(m.Tags, x.accountTag())
	}
	*b = outbox{
		pool: p, leases: b.leases[:0], holders: b.holders[:0],
		flows: b.flows[:0], contributions: b.contributions[:0],
	}
	return m, true
}

// receive takes in a control message of another router.
func (s *Scheduler) receive(from messenger.RouterID, m *messenger.Control) {
	if m == nil || s.cfg.Mode == Standalone || (m.To != 0 && m.To != s.incarnation) {
		return
	}
	peer := s.peerOf(from)
	if m.Incarnation != peer.incarnation && !s.changeIncarnation(peer, m.Incarnation) {
		return
	}
	peer.receivedAt = s.now
	peer.receivedSequence = max(peer.receivedSequence, m.Sequence)
	if peer.unresponsive {
		peer.unresponsive = false
		s.handlePeerRecovery(peer)
	}
	for i := range m.Pools {
		if p, ok := s.pools[m.Pools[i].Pool]; ok {
			p.receiveControl(peer, m.Sequence, &m.Pools[i])
		}
	}
}

// take lets p take in its part of a control message.
func (p *pool) receiveControl(peer *peerState, sequence uint64, m *messenger.PoolControl) {
	p.virtualTime = max(p.virtualTime, float64(m.VirtualTime))
	for _, t := range m.Tags {
		p.receiveTag(peer, sequence, t)
	}
	p.receiveCompetingDemand(peer, sequence, m.Rivals)
	for _, g := range m.Grants {
		p.receiveGrant(peer, g)
	}
	for _, u := range m.Uses {
		p.receiveUse(peer, sequence, u)
	}
	for _, h := range m.Holdings {
		p.receiveHolding(peer, sequence, h)
	}
	for _, d := range m.Demand {
		p.receiveDemand(peer, sequence, d)
	}
	p.grantSlots()
	p.dispatch()
	p.yieldSlotsTo(peer, m.Rivals)
}

// restarted notes another incarnation of a router and reports whether it is
// the newest one.
func (s *Scheduler) changeIncarnation(peer *peerState, incarnation uint64) bool {
	if incarnation == peer.previousIncarnation && s.now.Sub(peer.incarnationChangedAt) < oldMessageTTL {
		return false
	}
	restarted := peer.incarnation != 0
	peer.previousIncarnation, peer.incarnationChangedAt = peer.incarnation, s.now
	peer.incarnation = incarnation
	peer.receivedSequence = 0
	for _, p := range s.poolList {
		p.handlePeerStart(peer, restarted)
	}
	return true
}
