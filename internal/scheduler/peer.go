package scheduler

import (
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
)

// Times of the message exchange between routers.
const (
	// leaseTTL is how long a router relies on the last message of another one.
	leaseTTL = 3 * time.Second
	// heartbeatInterval is the longest time without a message to a router that relies on
	// messages of this one.
	heartbeatInterval = time.Second
	// oldMessageTTL is how long messages of a previous incarnation may still arrive.
	oldMessageTTL = time.Minute
	// contendedReportInterval is the minimum time between two messages to a router that are not
	// urgent while requests wait, and idleReportInterval the minimum while none do.
	contendedReportInterval = 50 * time.Millisecond
	idleReportInterval      = time.Second
)

// peerState is the state of the message exchange with one router. A router also has one for
// itself, as it may own the upstreams that it uses.
type peerState struct {
	router messenger.RouterID
	// incarnation identifies the peer's process, previousIncarnation the process before it.
	incarnation, previousIncarnation uint64
	incarnationChangedAt             time.Time
	sentSequence, receivedSequence   uint64
	// receivedAt and sentAt are the times of the last messages.
	receivedAt, sentAt time.Time
	// unresponsive is true once no message has arrived for leaseTTL.
	unresponsive bool
	// pending and urgent are true while the peer is in the Scheduler's lists of these names.
	pending bool
	urgent  bool
	// heartbeatDue is true while a message must be sent even without byte credit.
	heartbeatDue bool
	pendingSince time.Time
	outboxes     []*outbox
}

// outbox collects the values to report to one router about one pool. The values are read
// when the message is built, so that it contains the newest state.
type outbox struct {
	pool *pool
	// demandDue is true if this router's demand is to be reported, competingDemandDue if the
	// demand of other routers for its upstreams is.
	demandDue          bool
	competingDemandDue bool
	leases             []*lease
	holders            []*holder
	flows              []*flow
	contributions      []*contribution
}

// peerOf returns the state of a peer and creates it if necessary.
func (s *Scheduler) peerOf(id messenger.RouterID) *peerState {
	peer, ok := s.peers[id]
	if !ok {
		peer = &peerState{router: id, receivedAt: s.now}
		s.peers[id] = peer
		s.peerList = append(s.peerList, peer)
	}
	return peer
}

// outboxOf returns the peer's outbox for a pool and creates it if necessary.
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

// markPending schedules a message to a peer, at the end of the current event if it is urgent.
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

// reportHolding schedules a report of the slots kept under a lease to its owner.
func (p *pool) reportHolding(l *lease, urgent bool) {
	peer := p.sched.peerOf(l.owner)
	if !l.inOutbox {
		l.inOutbox = true
		b := peer.outboxOf(p)
		b.leases = append(b.leases, l)
	}
	p.sched.markPending(peer, urgent)
}

// reportGrant schedules the urgent report of a grant to its holder.
func (p *pool) reportGrant(h *holder) {
	peer := p.sched.peerOf(h.router)
	if !h.inOutbox {
		h.inOutbox = true
		b := peer.outboxOf(p)
		b.holders = append(b.holders, h)
	}
	p.sched.markPending(peer, true)
}

// reportDemand schedules a report of this router's demand to an owner. It is urgent only while
// there is byte credit.
func (p *pool) reportDemand(o *slotOwner, urgent bool) {
	peer := p.sched.peerOf(o.router)
	peer.outboxOf(p).demandDue = true
	p.sched.markPending(peer, urgent && p.sched.governor.creditBytes > 0)
}

// reportCompetingDemand schedules reports of the demand of other routers to all users.
func (p *pool) reportCompetingDemand(urgent bool) {
	for _, r := range p.users {
		peer := p.sched.peerOf(r)
		peer.outboxOf(p).competingDemandDue = true
		p.sched.markPending(peer, urgent && p.sched.governor.creditBytes > 0)
	}
}

// reportUse schedules a report of the use of an account to its home router.
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

// reportTag schedules a report of an account's tag to a router that serves the account.
func (p *pool) reportTag(c *contribution) {
	peer := p.sched.peerOf(c.router)
	if !c.inOutbox {
		c.inOutbox = true
		b := peer.outboxOf(p)
		b.contributions = append(b.contributions, c)
	}
	p.sched.markPending(peer, peer.router == p.sched.cfg.Self)
}

// buildMessage empties the outboxes of a peer into a message. A message without pools serves
// as a heartbeat.
func (s *Scheduler) buildMessage(peer *peerState) *messenger.Control {
	peer.sentSequence++
	m := &messenger.Control{Incarnation: s.incarnation, ReceiverIncarnation: peer.incarnation, Sequence: peer.sentSequence}
	for _, b := range peer.outboxes {
		if c, ok := b.drain(peer); ok {
			m.Pools = append(m.Pools, c)
		}
	}
	peer.pending, peer.urgent, peer.heartbeatDue = false, false, false
	peer.sentAt = s.now
	return m
}

// drain empties b and returns its content, and false if there is none.
func (b *outbox) drain(peer *peerState) (messenger.PoolControl, bool) {
	p := b.pool
	m := messenger.PoolControl{Pool: p.id, VirtualTime: roundTag(p.virtualTime)}
	if !b.demandDue && !b.competingDemandDue && len(b.leases)+len(b.holders)+len(b.flows)+len(b.contributions) == 0 {
		return m, false
	}
	if b.demandDue || len(b.leases) > 0 {
		m.Demand = []messenger.Demand{p.ownDemand}
		if o := p.ownerOf(peer.router); o != nil {
			o.reportedDemand = p.ownDemand
		}
	}
	if b.competingDemandDue || len(b.holders) > 0 {
		m.CompetingDemand = p.competingDemand(peer.router)
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

// receive processes a control message of a router. A message that was meant for an earlier
// incarnation of this router, or comes from an earlier one of the sender, is ignored.
func (s *Scheduler) receive(from messenger.RouterID, m *messenger.Control) {
	if m == nil || s.cfg.Mode == Standalone || (m.ReceiverIncarnation != 0 && m.ReceiverIncarnation != s.incarnation) {
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

// receiveControl processes the part of a control message that concerns p.
func (p *pool) receiveControl(peer *peerState, sequence uint64, m *messenger.PoolControl) {
	p.virtualTime = max(p.virtualTime, float64(m.VirtualTime))
	for _, t := range m.Tags {
		p.receiveTag(peer, sequence, t)
	}
	p.receiveCompetingDemand(peer, sequence, m.CompetingDemand)
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
	p.yieldSlotsTo(peer, m.CompetingDemand)
}

// changeIncarnation records another incarnation of a peer. It returns false, and changes
// nothing, if this is the previous one, whose late messages still arrive.
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
