package router

import (
	"time"

	"github.com/sirupsen/logrus"

	"lentilwood.example/lentilwood/internal/assigner"
	"lentilwood.example/lentilwood/internal/follower"
	"lentilwood.example/lentilwood/internal/gossiper"
	"lentilwood.example/lentilwood/internal/messenger"
	"lentilwood.example/lentilwood/internal/quarantiner"
)

const (
	// peerQueueLength bounds the messages queued for a router. A message supersedes earlier
	// ones of the same sender, but relayed messages come from many senders.
	peerQueueLength = 64
	// peerCallTimeout bounds one call to another router.
	peerCallTimeout = 400 * time.Millisecond
	// gossipInterval is the time between two updates to the other routers; in a full mesh each
	// further router adds gossipIntervalPerPeer.
	gossipInterval        = 120 * time.Millisecond
	gossipIntervalPerPeer = 5 * time.Millisecond
	// reportInterval is the time between two reports of a router that is no collector.
	reportInterval = 80 * time.Millisecond
	// digestsPerCollectorList is the number of digests of which one carries the list of
	// collectors.
	digestsPerCollectorList = 8
	// reporterTTL is how long a report remains valid.
	reporterTTL = time.Second
	// minSilenceTimeout is the minimum time without a message after which a router counts as
	// not live. In a large fleet maxMissedMessages of its messages may be missing. A silent
	// router is then sent a message only every probeInterval.
	minSilenceTimeout = 2 * time.Second
	maxMissedMessages = 4
	probeInterval     = time.Second
)

// Member is the directory entry of a router.
type Member struct {
	_           struct{} `codec:",toarray"`
	Name        string   `json:"name"`
	Address     string   `json:"address"`
	Domain      string   `json:"domain"`
	Incarnation uint64   `json:"incarnation"`
	// Weight is the CPU capacity of the router's VM, in thousandths of a core.
	Weight int `json:"weight"`
	// AssignsVersions is true if the router assigns streams to software versions by plans, which earlier
	// releases do not.
	AssignsVersions bool `json:"assignsVersions"`
}

// hostedEnvelope is a message between hosted routers. It is encoded as an array, so the order
// of the fields is part of the wire format.
type hostedEnvelope struct {
	_    struct{} `codec:",toarray"`
	From Member
	// Kind is the purpose of the message.
	Kind messageKind
	// Sequence numbers the sender's messages: relayed messages may arrive out of order.
	Sequence uint64
	// Relay asks the receiver to forward the message within its failure domain.
	Relay bool
	// Leaving is true if the sender is shutting down, OutOfRotation if it is out of the
	// rotation because of overload, StoreLost if it can't follow the platform's store. In a
	// digest StoreLost means that the sender knows no router that can follow the store.
	Leaving, OutOfRotation, StoreLost bool
	// RoutersOutOfRotation counts the routers included in Load that are out of the rotation
	// because of overload.
	RoutersOutOfRotation uint32
	// Configuration and Registrations are the newest versions of the two tables that the
	// sender has or, in a digest, knows to exist.
	Configuration, Registrations uint64
	// Load is the load described for the message kind, or nil in a kind without a load.
	Load *messenger.PeerLoad
	// Rows are the rows that the receiver is missing.
	Rows []follower.Batch
	// Departures are the upstreams known to be leaving from their own announcements.
	Departures []follower.Departure
	// Collectors are the collectors known to the sender.
	Collectors []Member
	// EvidenceChecksum is the checksum of the sender's evidence on quarantined prompt parts,
	// Evidence that evidence if a receiver lacks some of it.
	EvidenceChecksum uint64
	Evidence         *quarantiner.Message
	// Ended are processes of upstreams that are known to have ended.
	Ended []follower.EndedProcess
	// PlanEpochs is the sum of the epochs of the sender's plans for streams, Plans those plans if a
	// receiver lacks some.
	PlanEpochs uint64
	Plans      map[messenger.PoolID]assigner.History
	// PlansAsOfMs is the time of the store's clock as of which the sender knows all plans, PlansChecksum
	// identifies its plans. A receiver with the same plans knows as much.
	PlansAsOfMs   int64
	PlansChecksum uint32
	// Stream is the question about a stream, or its answer.
	Stream *streamQuestion
}

// messageKind is the purpose of a message between routers.
type messageKind uint8

const (
	// kindExchange messages carry the loads of the sender and of the routers that report to
	// it, for other collectors.
	kindExchange messageKind = iota
	// kindReport messages carry the load of the sender and ask for digests in return.
	kindReport
	// kindDigest messages carry the aggregated load of all routers except the receiver.
	kindDigest
	// kindDetach messages say that the sender now reports to another router.
	kindDetach
	// kindGreeting messages only ask for the list of collectors.
	kindGreeting
	// kindIntroduction messages answer a greeting, or carry missing rows.
	kindIntroduction
	// kindStreamQuestion messages ask for the version of a stream, kindStreamAnswer messages answer them.
	kindStreamQuestion
	kindStreamAnswer
)

// hostedPeer is the state of another router.
type hostedPeer struct {
	member Member
	// addedAt is when this router first knew of it.
	addedAt      time.Time
	lastReceived time.Time
	lastProbe    time.Time
	live         bool
	leaving      bool
	// collects is true if the router is a collector and sends its aggregated load to this
	// router, reports is true if it is no collector and sends its own load to this router.
	collects, reports bool
	// outOfRotation is true while the router is out of the rotation because of overload;
	// routersOutOfRotation counts those among the routers it aggregates. storeLost is true
	// while it can't follow the platform's store.
	outOfRotation, storeLost bool
	routersOutOfRotation     int
	// incarnation and sequence are taken from the router's last message.
	incarnation, sequence uint64
	// versions are the newest table versions that the router reported.
	versions map[follower.Table]uint64
	// behindSince is when the router was first seen with older rows than this one; rowSender
	// selects the rows to send to it.
	behindSince time.Time
	rowSender   follower.PeerSync
	// evidence tells whether the router lacks some of this one's evidence.
	evidence evidenceSync
	// planEpochs is the sum of the epochs of the router's plans for streams.
	planEpochs uint64
}

// gossipMember returns the entry in the form used by the gossiper.
func (m Member) gossipMember() gossiper.Member {
	return gossiper.Member{Name: m.Name, Domain: m.Domain, Weight: m.Weight}
}

// receive handles a message of another router.
func (h *Hosted) receive(e hostedEnvelope) {
	if e.Relay {
		h.relayToFailureDomain(e)
	}
	p := h.upsertPeer(e.From)
	if p == nil {
		return
	}
	if e.Kind == kindStreamQuestion || e.Kind == kindStreamAnswer {
		h.receiveStreamMessage(p, e)
		return
	}
	p.lastReceived = h.clock.Now()
	h.lastPeerMessageMicros.Store(p.lastReceived.UnixMicro())
	if !p.live {
		p.live = true
		h.log.WithFields(logrus.Fields{eventField: "peer", "peer": p.member.Name, "live": true}).Info("router live: message received")
	}
	if len(e.Rows) > 0 {
		h.mergePeerRows(p, e.Rows)
	}
	h.recordCollectors(e.Collectors)
	if e.Kind != kindDetach {
		h.receiveEvidence(p, e.EvidenceChecksum, e.Evidence)
		h.receivePlans(p, e)
	}
	switch {
	case e.Kind == kindGreeting:
		h.sendIntroduction(p)
	case e.Kind == kindDetach:
		h.dropReporter(p)
	case e.Load != nil && p.advanceSequence(e):
		h.applyPeerState(p, e)
	}
}

// recordCollectors records the collectors listed in a message.
func (h *Hosted) recordCollectors(members []Member) {
	now := h.clock.Now()
	for _, m := range members {
		if h.upsertPeer(m) != nil {
			h.reporter.MarkAnnounced(now, m.Name)
		}
	}
}

// advanceSequence records the incarnation and sequence of a message. It returns false if the
// message is not newer than the last one.
func (p *hostedPeer) advanceSequence(e hostedEnvelope) bool {
	if e.From.Incarnation == p.incarnation && e.Sequence <= p.sequence {
		return false
	}
	p.incarnation, p.sequence = e.From.Incarnation, e.Sequence
	return true
}

// applyPeerState records the state and the load in a message of another router.
func (h *Hosted) applyPeerState(p *hostedPeer, e hostedEnvelope) {
	h.setLeaving(p, e.Leaving)
	p.outOfRotation, p.storeLost = e.OutOfRotation, e.StoreLost
	p.routersOutOfRotation = int(e.RoutersOutOfRotation)
	p.versions[follower.ConfigurationTable] = e.Configuration
	p.versions[follower.RegistrationTable] = e.Registrations
	h.applyDepartures(e)
	h.applyEndedProcesses(e)
	load := *e.Load // copied: the message itself may still be queued for relaying
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

// applyDigest records the aggregated load of the other routers, if it comes from the collector
// that this router reports to.
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

// dropReporter discards the load of a router that now reports to another one.
func (h *Hosted) dropReporter(p *hostedPeer) {
	p.reports = false
	h.collector.Drop(messenger.RouterID(p.member.Name))
	h.control.handle(messenger.PeerLost{Router: messenger.RouterID(p.member.Name)})
}

// applyDepartures records the upstreams that announced to another router that they are
// leaving.
func (h *Hosted) applyDepartures(e hostedEnvelope) {
	changed := false
	for _, d := range e.Departures {
		if h.follower.RecordPeerDeparture(d) {
			h.log.WithFields(logrus.Fields{eventField: "departure", upstreamField: d.Upstream, "peer": e.From.Name}).Info("upstream announced that it is leaving")
			changed = true
		}
	}
	if changed {
		h.publishSnapshot(e.From.Name)
	}
}
