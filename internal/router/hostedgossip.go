package router

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"lentilwood.example/lentilwood/internal/collector"
	"lentilwood.example/lentilwood/internal/follower"
	"lentilwood.example/lentilwood/internal/gossiper"
	"lentilwood.example/lentilwood/internal/messenger"
)

// The functions in this file send the state of this router to other routers. They run on the
// control goroutine.

// gossip sends this router's state to the other routers once the interval has passed.
func (h *Hosted) gossip() {
	now := h.clock.Now()
	if !h.isGossipDue(now) {
		return
	}
	h.lastGossip = now
	if h.settings.FirstStart && !h.joined && now.Sub(h.startedAt) < directoryWait {
		return
	}
	if len(h.peers) == 0 {
		h.greetSeedPeers()
		return
	}
	h.markSilentPeers(now)
	h.updateFleetView()
	h.updateCollecting()
	h.assignStoreFollowers()
	h.peersOutOfRotation = h.countPeersOutOfRotation()
	load := h.admitter.NextPeerLoad(now)
	h.sequence++
	if h.collecting.Load() {
		h.exchangeLoads(now, load)
	} else {
		h.sendReport(now, load)
	}
	h.sendRows()
	h.pullOverdueTables()
}

// newEnvelope returns a message with the state of this router and a load.
func (h *Hosted) newEnvelope(kind messageKind, load messenger.PeerLoad) hostedEnvelope {
	return hostedEnvelope{
		From: h.selfMember(), Kind: kind, Sequence: h.sequence, Leaving: h.draining.Load(), OutOfRotation: h.outOfRotation.Load(),
		StoreLost:     h.unreachableTables.Load() > 0,
		Configuration: h.follower.Version(follower.ConfigurationTable),
		Registrations: h.follower.Version(follower.RegistrationTable),
		Load:          &load, Departures: h.follower.Departures(), Ended: h.follower.EndedProcesses(h.clock.Now()),
	}
}

// updateCollecting determines whether this router is a collector: it is if it was elected or
// if other routers report to it.
func (h *Hosted) updateCollecting() {
	if h.candidatesChanged {
		h.electCollectors()
	}
	collecting := h.selfElected && !h.draining.Load() || len(h.collector.Reporters()) > 0
	if h.collecting.Swap(collecting) == collecting {
		return
	}
	h.log.WithFields(logrus.Fields{
		eventField: "collecting", "on": collecting, "chosen": h.selfElected, "routers": len(h.peers) + 1,
	}).Info("collector role changed")
	if collecting {
		h.control.handle(messenger.PeerLost{Router: messenger.FleetSum})
	}
}

// electCollectors recomputes the list of candidates, which includes this router but none that
// is shutting down, and the collectors elected from it.
func (h *Hosted) electCollectors() {
	h.candidatesChanged = false
	self := h.selfMember().gossipMember()
	h.collectorCandidates = append(h.collectorCandidates[:0], self)
	for _, p := range h.peers {
		if !p.leaving {
			h.collectorCandidates = append(h.collectorCandidates, p.member.gossipMember())
		}
	}
	h.electedCollectors = gossiper.Collectors(h.collectorCandidates)
	h.fullMesh = len(h.electedCollectors) == len(h.collectorCandidates)
	n := len(h.electedCollectors)
	h.electedCollectors = slices.DeleteFunc(h.electedCollectors, func(m gossiper.Member) bool { return m.Name == self.Name })
	h.selfElected = len(h.electedCollectors) < n
}

// setLeaving records whether a router is shutting down.
func (h *Hosted) setLeaving(p *hostedPeer, leaving bool) {
	h.candidatesChanged = h.candidatesChanged || p.leaving != leaving
	p.leaving = leaving
}

// exchangeLoads exchanges aggregated loads with the other collectors and sends digests to the
// routers that report to this one.
func (h *Hosted) exchangeLoads(now time.Time, load messenger.PeerLoad) {
	round := h.collector.Aggregate(load)
	h.setFleetSize(round.RouterCount())
	e := h.newEnvelope(kindExchange, round.Partial())
	e.RoutersOutOfRotation = uint32(h.countReportersOutOfRotation()) //nolint:gosec // a count of routers
	live := h.liveCollectors()
	h.attachEvidence(&e, h.peersOf(live)...)
	h.attachPlans(&e, h.peersOf(live)...)
	near, relays := gossiper.Targets(h.selfMember().gossipMember(), live, h.sequence)
	h.send(near, e)
	h.probeSilentCollectors(now, e)
	e.Relay = true
	h.send(relays, e)
	h.sendDigests(round)
}

// sendDigests sends each router that reports to this one the aggregated load of all other
// routers.
func (h *Hosted) sendDigests(round *collector.Aggregate) {
	reporters := h.collector.Reporters()
	if len(reporters) == 0 {
		return
	}
	e := h.newEnvelope(kindDigest, messenger.PeerLoad{})
	e.StoreLost = len(h.storeFollowers) == 0
	e.RoutersOutOfRotation = uint32(h.peersOutOfRotation) //nolint:gosec // a count of routers
	e.Configuration = max(e.Configuration, h.newestPeerVersion(follower.ConfigurationTable))
	e.Registrations = max(e.Registrations, h.newestPeerVersion(follower.RegistrationTable))
	if h.sequence%digestsPerCollectorList == 0 {
		e.Collectors = h.knownCollectors()
	}
	for _, id := range reporters {
		load := round.Without(id)
		e.Load = &load
		if p, ok := h.peers[string(id)]; ok {
			e.Evidence = nil
			h.attachEvidence(&e, p)
			h.attachPlans(&e, p)
			_ = h.exchanger.Send(p.member.Address, e) // best effort: repeated in the next round
		}
	}
}

// sendReport sends this router's load to its collector.
func (h *Hosted) sendReport(now time.Time, load messenger.PeerLoad) {
	h.reporter.SetOverloaded(h.overload.saturated())
	previous := h.reporter.Current()
	to := h.reporter.Pick(now, h.selfMember().gossipMember(), h.electedCollectors, h.collectorCandidates)
	if previous.Name != to.Name {
		h.sendDetach(previous)
		h.log.WithFields(logrus.Fields{eventField: "reporting", "to": to.Name, "before": previous.Name}).Info("now reporting to another collector")
	}
	if p, ok := h.peers[to.Name]; ok {
		e := h.newEnvelope(kindReport, load)
		h.attachEvidence(&e, p)
		h.attachPlans(&e, p)
		_ = h.exchanger.Send(p.member.Address, e) // best effort: repeated with the next report
	}
}

// sendDetach tells a collector that this router now reports to another one.
func (h *Hosted) sendDetach(collector gossiper.Member) {
	if p, ok := h.peers[collector.Name]; ok {
		_ = h.exchanger.Send(p.member.Address, hostedEnvelope{From: h.selfMember(), Kind: kindDetach}) // best effort: otherwise the reports expire
	}
}

// knownCollectors returns the live collectors that are not shutting down, this router included
// if it is one.
func (h *Hosted) knownCollectors() []Member {
	var members []Member
	if h.collecting.Load() && !h.draining.Load() {
		members = append(members, h.selfMember())
	}
	for _, p := range h.peers {
		if p.live && p.collects && !p.leaving {
			members = append(members, p.member)
		}
	}
	return members
}

// countPeersOutOfRotation returns how many other routers are out of the rotation because of
// overload.
func (h *Hosted) countPeersOutOfRotation() int {
	n := 0
	for _, p := range h.peers {
		if !p.live {
			continue
		}
		n += p.routersOutOfRotation
		if p.outOfRotation {
			n++
		}
	}
	return n
}

// countReportersOutOfRotation returns how many of the routers that report to this one are out
// of the rotation because of overload.
func (h *Hosted) countReportersOutOfRotation() int {
	n := 0
	for _, p := range h.peers {
		if p.live && p.reports && p.outOfRotation {
			n++
		}
	}
	return n
}

// relayToFailureDomain forwards a message to the collectors in this router's failure domain.
func (h *Hosted) relayToFailureDomain(e hostedEnvelope) {
	e.Relay = false
	h.meter.Counter("lentilwood_peer_messages_total{event=\"relayed\"}").Inc()
	h.send(gossiper.SameDomain(h.selfMember().gossipMember(), h.liveCollectors()), e)
}

func (h *Hosted) send(to []gossiper.Member, e hostedEnvelope) {
	for _, m := range to {
		if m.Name == e.From.Name {
			continue
		}
		_ = h.exchanger.Send(h.peers[m.Name].member.Address, e) // best effort: repeated with the next update
	}
}

// liveCollectors returns the collectors from which messages arrive.
func (h *Hosted) liveCollectors() []gossiper.Member {
	members := make([]gossiper.Member, 0, len(h.electedCollectors))
	for _, p := range h.peers {
		if p.live && p.collects {
			members = append(members, p.member.gossipMember())
		}
	}
	return members
}

// markSilentPeers marks a router as not live if no message from it arrived within the timeout.
func (h *Hosted) markSilentPeers(now time.Time) {
	h.collector.Expire(now.Add(-reporterTTL))
	limit := h.peerSilenceTimeout()
	for _, p := range h.peers {
		if !p.live || now.Sub(p.lastReceived) <= limit {
			continue
		}
		p.live, p.collects, p.reports, p.routersOutOfRotation = false, false, false, 0
		h.log.WithFields(logrus.Fields{eventField: "peer", "peer": p.member.Name, "live": false, "age": now.Sub(p.lastReceived)}).Info("router not live: no message within the timeout")
	}
}

// peerSilenceTimeout returns the time without a message after which a router counts as not
// live. In a full mesh the interval between messages grows with the size of the fleet.
func (h *Hosted) peerSilenceTimeout() time.Duration {
	return max(minSilenceTimeout, maxMissedMessages*h.currentGossipInterval())
}

// currentGossipInterval returns the time between two updates to the other routers.
func (h *Hosted) currentGossipInterval() time.Duration {
	switch {
	case !h.collecting.Load() && len(h.peers) > 0:
		return reportInterval
	case h.fullMesh:
		return gossipInterval + gossipIntervalPerPeer*time.Duration(len(h.peers))
	}
	return gossipInterval
}

// probeSilentCollectors sends a message to the elected collectors that are silent, at most
// once per probeInterval.
func (h *Hosted) probeSilentCollectors(now time.Time, e hostedEnvelope) {
	for _, m := range h.electedCollectors {
		p := h.peers[m.Name]
		if p == nil || p.live && p.collects || now.Sub(p.lastProbe) < probeInterval {
			continue
		}
		p.lastProbe = now
		_ = h.exchanger.Send(p.member.Address, e) // best effort: repeated after probeInterval
	}
}
