package router

import (
	"time"

	"github.com/sirupsen/logrus"

	"lentilwood.example/lentilwood/internal/follower"
	"lentilwood.example/lentilwood/internal/gossiper"
	"lentilwood.example/lentilwood/internal/messenger"
)

const (
	// peerQueue bounds the messages that wait for a router. Each says all that
	// its sender's ones before it did, but relayed ones have many senders.
	peerQueueLength = 64
	// peerTimeout bounds one call to a router.
	peerCallTimeout = 400 * time.Millisecond
	// shareInterval is the time between two messages to the other routers, and
	// sharePerPeer what each further router adds to it while all tell all.
	gossipInterval        = 120 * time.Millisecond
	gossipIntervalPerPeer = 5 * time.Millisecond
	// reportInterval is the time between two reports of a router that does not collect.
	reportInterval = 80 * time.Millisecond
	// rosterEvery is how many digests bring no list of the routers that collect
	// between two that do.
	digestsPerCollectorList = 8
	// reporterTTL is how long a report counts.
	reporterTTL = time.Second
	// leastSilence is after what time a router counts as silent, and
	// missedMessages how many of its messages may be missing in a large fleet; it is
	// then tried again every retryInterval only.
	minSilenceTimeout = 2 * time.Second
	maxMissedMessages = 4
	probeInterval     = time.Second
)

// Member is one router as the others find it.
type Member struct {
	_           struct{} `codec:",toarray"`
	Name        string   `json:"name"`
	Address     string   `json:"address"`
	Domain      string   `json:"domain"`
	Incarnation uint64   `json:"incarnation"`
	// Weight is the processor time of its VM, in thousandths of a core.
	Weight int `json:"weight"`
}

// hostedEnvelope is one message between hosted routers. Codecs write it as an
// array, so the order of the fields is part of the format between routers.
type hostedEnvelope struct {
	_    struct{} `codec:",toarray"`
	From Member
	// Kind says what the sender wants with its load.
	Kind messageKind
	// Sequence numbers the sender's messages: relays may deliver them out of order.
	Sequence uint64
	// Relay asks the receiver to pass the message on in its failure domain.
	Relay bool
	// Leaving is true if the sender is about to stop, Strained if it sends its
	// callers elsewhere, StoreLost if it cannot follow the platform's store.
	Leaving, OutOfRotation, StoreLost bool
	// StrainedRouters counts the routers in Load that send their callers elsewhere.
	RoutersOutOfRotation uint32
	// Configuration and Registrations are the newest versions of the two tables that
	// the sender has, or in a digest that it heard of.
	Configuration, Registrations uint64
	// Load is nil in a message that brings none.
	Load *messenger.PeerLoad
	// Rows are what the receiver lacks.
	Rows []follower.Batch
	// Departures are the upstreams that said themselves that they leave.
	Departures []follower.Departure
	// Collectors are the routers that collect, as far as the sender knows.
	Collectors []Member
}

// messageKind is what a message between routers is for.
type messageKind uint8

const (
	// exchanged messages tell what the sender and those that report to it do.
	kindExchange messageKind = iota
	// reported messages tell what the sender does, and ask for digests.
	kindReport
	// digested messages tell what all routers but the receiver do.
	kindDigest
	// parted messages tell that the sender reports to another router now.
	kindDetach
	// greeting messages only ask which routers there are.
	kindGreeting
	// introduced messages answer that, or bring rows.
	kindIntroduction
)

// hostedPeer is another router.
type hostedPeer struct {
	member       Member
	lastReceived time.Time
	lastProbe    time.Time
	live         bool
	leaving      bool
	// collects is true if it tells this router what it and others do, reports if it
	// reports to this router.
	collects, reports bool
	// strained is true while it sends its callers elsewhere, and strainedRouters
	// counts those of which it told that do; storeLost is true while it cannot follow
	// the platform's store.
	outOfRotation, storeLost bool
	routersOutOfRotation     int
	// incarnation and sequence are those of its last message.
	incarnation, sequence uint64
	// versions are the newest that it said it has.
	versions map[follower.Table]uint64
	// behindSince is when it was first seen to have less than this router, and teller
	// decides what it is sent.
	behindSince time.Time
	rowSender   follower.Teller
}

// id returns how the decisions about the fleet know the router.
func (m Member) gossipMember() gossiper.Member {
	return gossiper.Member{Name: m.Name, Domain: m.Domain, Weight: m.Weight}
}

// receive takes in a message of another router.
func (h *Hosted) receive(e hostedEnvelope) {
	if e.Relay {
		h.relayToFailureDomain(e)
	}
	p := h.upsertPeer(e.From)
	if p == nil {
		return
	}
	p.lastReceived = h.clock.Now()
	h.lastPeerMessageMicros.Store(p.lastReceived.UnixMicro())
	if !p.live {
		p.live = true
		h.log.WithFields(logrus.Fields{eventField: "peer", "peer": p.member.Name, "live": true}).Info("router heard")
	}
	if len(e.Rows) > 0 {
		h.mergePeerRows(p, e.Rows)
	}
	h.recordCollectors(e.Collectors)
	switch {
	case e.Kind == kindGreeting:
		h.sendIntroduction(p)
	case e.Kind == kindDetach:
		h.dropReporter(p)
	case e.Load != nil && p.advanceSequence(e):
		h.applyPeerState(p, e)
	}
}

// meetCollectors takes in which routers collect.
func (h *Hosted) recordCollectors(members []Member) {
	now := h.clock.Now()
	for _, m := range members {
		if h.upsertPeer(m) != nil {
			h.reporter.MarkAnnounced(now, m.Name)
		}
	}
}

// isNext reports whether a message is newer than those before it.
func (p *hostedPeer) advanceSequence(e hostedEnvelope) bool {
	if e.From.Incarnation == p.incarnation && e.Sequence <= p.sequence {
		return false
	}
	p.incarnation, p.sequence = e.From.Incarnation, e.Sequence
	return true
}

// learnState takes in what a router says of itself, and of others.
func (h *Hosted) applyPeerState(p *hostedPeer, e hostedEnvelope) {
	h.setLeaving(p, e.Leaving)
	p.outOfRotation, p.storeLost = e.OutOfRotation, e.StoreLost
	p.routersOutOfRotation = int(e.RoutersOutOfRotation)
	p.versions[follower.ConfigurationTable] = e.Configuration
	p.versions[follower.RegistrationTable] = e.Registrations
	h.applyDepartures(e)
	load := *e.Load // the message itself may be on its way to those it is relayed to
	load.From = messenger.RouterID(e.From.Name)
	switch e.Kind {
	case kindDigest:
		h.applyDigest(p, load)
	case kindReport:
		p.reports, p.collects = true, false
		h.collector.Receive(h.clock.Now(), load.From, load, true)
		h.control.handle(load)
	default:
		p.reports, p.collects = false, true
		h.collector.Receive(h.clock.Now(), load.From, load, false)
		h.control.handle(load)
	}
}

// hearDigest takes in what all other routers do, from the one that is reported to.
func (h *Hosted) applyDigest(p *hostedPeer, load messenger.PeerLoad) {
	now := h.clock.Now()
	h.reporter.ReceiveDigest(now, p.member.Name)
	if p.leaving {
		h.reporter.MarkFailed(now, p.member.Name)
	}
	if h.collecting.Load() || p.member.Name != h.reporter.Current().Name {
		return
	}
	load.From = messenger.FleetSum
	h.setFleetSize(1 + len(load.Routers))
	h.control.handle(load)
}

// dropReporter forgets the load of a router that reports to another one now.
func (h *Hosted) dropReporter(p *hostedPeer) {
	p.reports = false
	h.collector.Drop(messenger.RouterID(p.member.Name))
	h.control.handle(messenger.PeerLost{Router: messenger.RouterID(p.member.Name)})
}

// hearDepartures takes in which upstreams told another router that they leave.
func (h *Hosted) applyDepartures(e hostedEnvelope) {
	changed := false
	for _, d := range e.Departures {
		if h.follower.HearDeparture(d) {
			h.log.WithFields(logrus.Fields{eventField: "departure", upstreamField: d.Upstream, "peer": e.From.Name}).Info("upstream says that it leaves")
			changed = true
		}
	}
	if changed {
		h.publishSnapshot(e.From.Name)
	}
}
