package router

import (
	"time"

	"lentilwood.example/lentilwood/internal/gossiper"
	"lentilwood.example/lentilwood/internal/quarantiner"
)

// The functions in this file exchange the evidence on quarantined prompt parts between hosted
// routers. They run on the control goroutine, but for those that start the keeping of the evidence.

// keepEvidence creates the keeper of the evidence if there is a store for it.
func (h *Hosted) keepEvidence() {
	if h.cfg.Evidence == nil {
		return
	}
	h.evidence = newEvidenceKeeper(h.cfg, h.quarantine, h.meter, h.incarnation)
	h.quarantine.onVerdicts = h.evidence.handleChanges
}

// startEvidence starts reading and writing the row of evidence, which the router does not wait for.
func (h *Hosted) startEvidence() {
	if h.evidence != nil {
		h.goroutines.Go(func() { h.evidence.run(h.backgroundCtx) })
	}
}

// urgentGossipInterval is the time between two updates to the other routers while there is new
// evidence or a new plan for streams.
const urgentGossipInterval = 30 * time.Millisecond

// isGossipDue reports whether the other routers are to be sent an update now.
func (h *Hosted) isGossipDue(now time.Time) bool {
	passed := now.Sub(h.lastGossip)
	if passed >= h.currentGossipInterval() {
		h.quarantine.takeNews()
		h.streams.takeNews()
		return true
	}
	return passed >= urgentGossipInterval && (h.quarantine.takeNews() || h.streams.takeNews())
}

// attachEvidence adds this router's evidence to a message if one of the receivers lacks it.
func (h *Hosted) attachEvidence(e *hostedEnvelope, receivers ...*hostedPeer) {
	now := h.clock.Now()
	e.EvidenceChecksum = h.quarantine.checksum()
	due := false
	for _, p := range receivers {
		due = p.evidence.isDue(now, e.EvidenceChecksum) || due
	}
	if !due {
		return
	}
	m := h.quarantine.message()
	e.Evidence = &m
}

// peersOf returns the state of some members.
func (h *Hosted) peersOf(members []gossiper.Member) []*hostedPeer {
	peers := make([]*hostedPeer, 0, len(members))
	for _, m := range members {
		if p, ok := h.peers[m.Name]; ok {
			peers = append(peers, p)
		}
	}
	return peers
}

// receiveEvidence adds the evidence in a message of another router.
func (h *Hosted) receiveEvidence(p *hostedPeer, checksum uint64, m *quarantiner.Message) {
	p.evidence.checksum = checksum
	if m != nil {
		h.quarantine.merge(*m)
	}
}
