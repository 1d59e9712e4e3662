package registrar

import (
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
)

// probe is a router that this one contacts on behalf of another.
type probe struct {
	target, requester messenger.RouterID
	startedAt         time.Time
}

// receive applies a heartbeat and returns the replies.
func (r *Registrar) receive(now time.Time, h Heartbeat) []Action {
	if h.From.Router == r.self.Router {
		r.refute(h.From)
		return nil
	}
	m := r.recordContact(now, h.From)
	for _, update := range h.Updates {
		r.mergeMember(now, update)
	}
	if m == nil {
		return nil
	}
	actions := r.reportResponsive(m)
	if h.ReplyRequested {
		actions = append(actions, r.send(m, Heartbeat{EchoUnixMs: h.SentUnixMs}))
	}
	if h.ProbeTarget != "" {
		actions = append(actions, r.startProbe(now, h.ProbeTarget, m)...)
	}
	r.recordProbeResult(now, h)
	return actions
}

// recordContact records that a router was heard from directly. It returns nil for a late
// message of an earlier incarnation.
func (r *Registrar) recordContact(now time.Time, from Member) *member {
	r.mergeMember(now, from)
	m := r.members[from.Router]
	if m == nil || m.Incarnation != from.Incarnation {
		return nil
	}
	r.lastReceived = now
	m.lastHeard, m.unansweredSince = now, time.Time{}
	return m
}

// mergeMember applies an update about a member, from itself or from another router.
func (r *Registrar) mergeMember(now time.Time, update Member) {
	if update.Router == r.self.Router {
		r.refute(update)
		return
	}
	m, ok := r.members[update.Router]
	if !ok {
		if update.Status >= Dead {
			return
		}
		r.add(now, update)
		return
	}
	if !update.supersedes(m.Member) {
		return
	}
	if update.Status != m.Status || update.Incarnation != m.Incarnation {
		m.statusSince = now
	}
	if update.Status == Alive {
		m.unansweredSince = time.Time{}
	}
	m.Member = update
	m.sendsLeft = updateSends
	r.changed = true
}

// supersedes reports whether n replaces old, an earlier update about the same member.
func (n Member) supersedes(old Member) bool {
	if n.Incarnation != old.Incarnation {
		return n.Incarnation > old.Incarnation
	}
	if old.Status == Left {
		return false
	}
	if n.Status == Left {
		return true
	}
	if n.Refutation != old.Refutation {
		return n.Refutation > old.Refutation
	}
	if n.Status != old.Status {
		return n.Status > old.Status
	}
	return n.Leaving && !old.Leaving
}

// refute answers an update by which this router is suspect, dead or has left, by raising its
// refutation or incarnation above that of the update.
func (r *Registrar) refute(update Member) {
	if update.Incarnation > r.self.Incarnation {
		// The clock was set back between two starts, so the new incarnation is too low.
		r.self.Incarnation = update.Incarnation + 1
		r.gossipDue = true
		return
	}
	if update.Incarnation == r.self.Incarnation && update.Status != Alive && update.Refutation >= r.self.Refutation {
		r.self.Refutation = update.Refutation + 1
		r.gossipDue = true
	}
}

// requestProbes asks other routers to probe the members that do not answer.
func (r *Registrar) requestProbes(now time.Time) []Action {
	var actions []Action
	for _, id := range r.ids {
		m := r.members[id]
		if m.unansweredSince.IsZero() || m.helpersAsked || now.Sub(m.unansweredSince) < replyTimeout || m.Status != Alive {
			continue
		}
		m.helpersAsked = true
		actions = append(actions, r.sendRandom(Heartbeat{ProbeTarget: id}, probeHelpers, id)...)
	}
	return append(actions, r.reportUnresponsive(now)...)
}

// startProbe sends a heartbeat to a router on behalf of another.
func (r *Registrar) startProbe(now time.Time, target messenger.RouterID, requester *member) []Action {
	m, ok := r.members[target]
	if !ok || target == requester.Router {
		return nil
	}
	r.probes = append(r.probes, probe{target: target, requester: requester.Router, startedAt: now})
	return []Action{r.send(m, r.heartbeatRequest(now))}
}

// reportResponsive reports to the requesters of probes that a router answered.
func (r *Registrar) reportResponsive(m *member) []Action {
	var actions []Action
	remaining := r.probes[:0]
	for _, p := range r.probes {
		requester, ok := r.members[p.requester]
		if p.target != m.Router || !ok {
			remaining = append(remaining, p)
			continue
		}
		actions = append(actions, r.send(requester, Heartbeat{Responsive: p.target}))
	}
	r.probes = remaining
	return actions
}

// reportUnresponsive reports to the requesters of probes that routers did not answer in time.
func (r *Registrar) reportUnresponsive(now time.Time) []Action {
	var actions []Action
	remaining := r.probes[:0]
	for _, p := range r.probes {
		requester, ok := r.members[p.requester]
		if now.Sub(p.startedAt) < replyTimeout {
			remaining = append(remaining, p)
			continue
		}
		if ok {
			actions = append(actions, r.send(requester, Heartbeat{Unresponsive: p.target}))
		}
	}
	r.probes = remaining
	return actions
}

// recordProbeResult applies the result of a probe made by another router.
func (r *Registrar) recordProbeResult(now time.Time, h Heartbeat) {
	if m, ok := r.members[h.Responsive]; ok {
		m.unansweredSince, m.lastHeard = time.Time{}, now
	}
	if m, ok := r.members[h.Unresponsive]; ok && !m.unansweredSince.IsZero() {
		m.reportedSilent = true
	}
}

// updateStatuses changes members from alive to suspect and from suspect to dead as their
// timeouts pass.
func (r *Registrar) updateStatuses(now time.Time) {
	for _, id := range r.ids {
		m := r.members[id]
		switch {
		case m.Status == Alive && r.isUnresponsive(now, m):
			r.setStatus(now, m, Suspect)
		case m.Status == Suspect && now.Sub(m.statusSince) >= suspicionTimeout:
			r.setStatus(now, m, Dead)
		}
	}
	r.removeGone(now)
}

// isUnresponsive reports whether a router answered neither this router nor one that probed it.
// If no other router can probe it, this router's own timeout is enough.
func (r *Registrar) isUnresponsive(now time.Time, m *member) bool {
	if m.unansweredSince.IsZero() || now.Sub(m.unansweredSince) < suspectTimeout {
		return false
	}
	return m.reportedSilent || len(r.aliveOrSuspect()) == 1
}

func (r *Registrar) setStatus(now time.Time, m *member, s Status) {
	m.Status, m.statusSince, m.sendsLeft = s, now, updateSends
	m.unansweredSince = time.Time{}
}
