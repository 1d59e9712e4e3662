package router

import (
	"slices"

	"lentilwood.example/lentilwood/internal/messenger"
)

// The functions in this file exchange the evidence on quarantined prompt parts between routers
// that share their own store. New evidence spreads as a rumor: each router that learns something
// sends it to a few others. The checksums in heartbeats show what was lost on the way. They run
// on the control goroutine.

// evidenceFanout is how many routers one router sends new evidence to.
const evidenceFanout = 4

// receiveEvidence adds the evidence of another router, and sends it this router's if it lacks
// some of it.
func (r *Router) receiveEvidence(m peerEnvelope) {
	if m.envelope.Evidence != nil {
		r.quarantine.merge(*m.envelope.Evidence)
	}
	r.evidenceSync(m.from).checksum = m.envelope.EvidenceChecksum
	r.sendEvidence(m.from)
}

// spreadEvidence sends new evidence to a few other routers.
func (r *Router) spreadEvidence() {
	if !r.quarantine.takeNews() {
		return
	}
	others := slices.DeleteFunc(slices.Clone(r.peers.Live), func(id messenger.RouterID) bool { return id == r.self })
	r.rng.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	for _, id := range others[:min(len(others), evidenceFanout)] {
		r.sendEvidence(id)
	}
}

// sendEvidence sends this router's evidence to another one, unless that has it.
func (r *Router) sendEvidence(to messenger.RouterID) {
	address, ok := r.coordinator.Address(to)
	if !ok || !r.evidenceSync(to).isDue(r.clock.Now(), r.quarantine.checksum()) {
		return
	}
	m := r.quarantine.message()
	r.sendEnvelope(address, envelope{Evidence: &m})
}

// evidenceSync returns what is known of the evidence of another router.
func (r *Router) evidenceSync(id messenger.RouterID) *evidenceSync {
	s, ok := r.evidenceSyncs[id]
	if !ok {
		s = &evidenceSync{}
		r.evidenceSyncs[id] = s
	}
	return s
}

// forgetEvidenceSyncs removes the state of routers that are not live.
func (r *Router) forgetEvidenceSyncs() {
	for id := range r.evidenceSyncs {
		if !slices.Contains(r.peers.Live, id) {
			delete(r.evidenceSyncs, id)
		}
	}
}
