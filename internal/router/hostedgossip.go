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

// What follows tells the other routers what this one does. All of it runs on the
// control goroutine.

// tellPeers sends the others what they should know, once it is time.
func (h *Hosted) tellPeers() {
	now := h.clock.Now()
	if now.Sub(h.shared) < h.shareEvery() {
		return
	}
	h.shared = now
	if h.settings.FirstStart && !h.joined && now.Sub(h.startedAt) < joinTime {
		return
	}
	if len(h.peers) == 0 {
		h.greetSeeds()
		return
	}
	h.forgetSilentPeers(now)
	h.assignCollectors()
	h.assignFollowers()
	h.strainedOthers = h.countStrained()
	load := h.admitter.NextPeerLoad(now)
	h.sequence++
	if h.collecting.Load() {
		h.tellCollected(now, load)
	} else {
		h.report(now, load)
	}
	h.tellRows()
	h.pullRows()
}

// message returns a message of this router with a load.
func (h *Hosted) message(kind messageKind, load messenger.PeerLoad) hostedEnvelope {
	return hostedEnvelope{
		From: h.member(), Kind: kind, Sequence: h.sequence, Leaving: h.draining.Load(), Strained: h.strained.Load(),
		StoreLost:     h.lostTables.Load() > 0,
		Configuration: h.follower.Version(follower.ConfigurationTable),
		Registrations: h.follower.Version(follower.RegistrationTable),
		Load:          &load, Departures: h.follower.Departures(),
	}
}

// assignCollectors works out whether this router collects: if it is one of those that
// should, or if others report to it.
func (h *Hosted) assignCollectors() {
	if h.rosterChanged {
		h.chooseCollectors()
	}
	collecting := h.isChosen && !h.draining.Load() || len(h.collector.Reporters()) > 0
	if h.collecting.Swap(collecting) == collecting {
		return
	}
	h.log.WithFields(logrus.Fields{
		eventField: "collecting", "on": collecting, "chosen": h.isChosen, "routers": len(h.peers) + 1,
	}).Info("whether this router collects what others do changed")
	if collecting {
		h.control.handle(messenger.PeerLost{Router: messenger.FleetSum})
	}
}

// chooseCollectors works out anew which routers there are, this one included but none
// that is about to stop, and which of them should collect.
func (h *Hosted) chooseCollectors() {
	h.rosterChanged = false
	self := h.member().id()
	h.roster = append(h.roster[:0], self)
	for _, p := range h.peers {
		if !p.leaving {
			h.roster = append(h.roster, p.member.id())
		}
	}
	h.chosen = gossiper.Collectors(h.roster)
	h.allTellAll = len(h.chosen) == len(h.roster)
	n := len(h.chosen)
	h.chosen = slices.DeleteFunc(h.chosen, func(m gossiper.Member) bool { return m.Name == self.Name })
	h.isChosen = len(h.chosen) < n
}

// setLeaving notes whether a router is about to stop.
func (h *Hosted) setLeaving(p *hostedPeer, leaving bool) {
	h.rosterChanged = h.rosterChanged || p.leaving != leaving
	p.leaving = leaving
}

// tellCollected exchanges what is collected with the other routers that collect, and
// tells those that report here.
func (h *Hosted) tellCollected(now time.Time, load messenger.PeerLoad) {
	round := h.collector.Aggregate(load)
	h.setFleetSize(round.RouterCount())
	e := h.message(exchanged, round.Partial())
	e.StrainedRouters = uint32(h.strainedReporters()) //nolint:gosec // a count of routers
	near, relays := gossiper.Targets(h.member().id(), h.liveCollectors(), h.sequence)
	h.send(near, e)
	h.trySilent(now, e)
	e.Relay = true
	h.send(relays, e)
	h.digest(round)
}

// digest tells each router that reports here what all others do.
func (h *Hosted) digest(round *collector.Aggregate) {
	reporters := h.collector.Reporters()
	if len(reporters) == 0 {
		return
	}
	e := h.message(digested, messenger.PeerLoad{})
	e.StoreLost = len(h.feeders) == 0
	e.StrainedRouters = uint32(h.strainedOthers) //nolint:gosec // a count of routers
	e.Configuration = max(e.Configuration, h.newest(follower.ConfigurationTable))
	e.Registrations = max(e.Registrations, h.newest(follower.RegistrationTable))
	if h.sequence%rosterEvery == 0 {
		e.Collectors = h.collectorList()
	}
	for _, id := range reporters {
		load := round.Without(id)
		e.Load = &load
		if p, ok := h.peers[string(id)]; ok {
			_ = h.exchanger.Send(p.member.Address, e) // a dropped message is said again with the next round
		}
	}
}

// report tells the router that collects for this one what this one does.
func (h *Hosted) report(now time.Time, load messenger.PeerLoad) {
	h.reporter.SetOverloaded(h.strain.starved())
	before := h.reporter.Current()
	to := h.reporter.Pick(now, h.member().id(), h.chosen, h.roster)
	if before.Name != to.Name {
		h.part(before)
		h.log.WithFields(logrus.Fields{eventField: "reporting", "to": to.Name, "before": before.Name}).Info("another router collects for this one")
	}
	if p, ok := h.peers[to.Name]; ok {
		_ = h.exchanger.Send(p.member.Address, h.message(reported, load)) // said again with the next report
	}
}

// part tells a router that this one reports to another one now.
func (h *Hosted) part(from gossiper.Member) {
	if p, ok := h.peers[from.Name]; ok {
		_ = h.exchanger.Send(p.member.Address, hostedEnvelope{From: h.member(), Kind: parted}) // noticed by silence otherwise
	}
}

// collectorList returns the routers that collect, this one included if it does.
func (h *Hosted) collectorList() []Member {
	var members []Member
	if h.collecting.Load() && !h.draining.Load() {
		members = append(members, h.member())
	}
	for _, p := range h.peers {
		if p.live && p.collects && !p.leaving {
			members = append(members, p.member)
		}
	}
	return members
}

// countStrained returns how many other routers send their callers elsewhere.
func (h *Hosted) countStrained() int {
	n := 0
	for _, p := range h.peers {
		if !p.live {
			continue
		}
		n += p.strainedRouters
		if p.strained {
			n++
		}
	}
	return n
}

// strainedReporters returns how many of those that report here do.
func (h *Hosted) strainedReporters() int {
	n := 0
	for _, p := range h.peers {
		if p.live && p.reports && p.strained {
			n++
		}
	}
	return n
}

// relay passes a message on to the routers of the own failure domain that collect.
func (h *Hosted) relay(e hostedEnvelope) {
	e.Relay = false
	h.meter.Counter("lentilwood_peer_messages_total{event=\"relayed\"}").Inc()
	h.send(gossiper.SameDomain(h.member().id(), h.liveCollectors()), e)
}

func (h *Hosted) send(to []gossiper.Member, e hostedEnvelope) {
	for _, m := range to {
		if m.Name == e.From.Name {
			continue
		}
		_ = h.exchanger.Send(h.peers[m.Name].member.Address, e) // a dropped message is said again with the next share
	}
}

// liveCollectors returns the routers that collect and are heard.
func (h *Hosted) liveCollectors() []gossiper.Member {
	members := make([]gossiper.Member, 0, len(h.chosen))
	for _, p := range h.peers {
		if p.live && p.collects {
			members = append(members, p.member.id())
		}
	}
	return members
}

// forgetSilentPeers notes which routers are no longer heard.
func (h *Hosted) forgetSilentPeers(now time.Time) {
	h.collector.Expire(now.Add(-reporterTTL))
	limit := h.silentAfter()
	for _, p := range h.peers {
		if !p.live || now.Sub(p.heard) <= limit {
			continue
		}
		p.live, p.collects, p.reports, p.strainedRouters = false, false, false, 0
		h.log.WithFields(logrus.Fields{eventField: "peer", "peer": p.member.Name, "live": false, "age": now.Sub(p.heard)}).Info("router silent")
	}
}

// silentAfter returns after what time a router counts as silent. Routers that all
// tell one another speak less often in a larger fleet.
func (h *Hosted) silentAfter() time.Duration {
	return max(leastSilence, missedMessages*h.shareEvery())
}

// shareEvery returns the time between two messages to the other routers.
func (h *Hosted) shareEvery() time.Duration {
	switch {
	case !h.collecting.Load() && len(h.peers) > 0:
		return reportInterval
	case h.allTellAll:
		return shareInterval + sharePerPeer*time.Duration(len(h.peers))
	}
	return shareInterval
}

// trySilent sends a message to the routers that should collect and are not heard, from
// time to time.
func (h *Hosted) trySilent(now time.Time, e hostedEnvelope) {
	for _, m := range h.chosen {
		p := h.peers[m.Name]
		if p == nil || p.live && p.collects || now.Sub(p.tried) < retryInterval {
			continue
		}
		p.tried = now
		_ = h.exchanger.Send(p.member.Address, e) // tried again after the interval
	}
}
