package registrar

import (
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
)

// probe is a router that this one asks on behalf of another.
type probe struct {
	target, requester messenger.RouterID
	since             time.Time
}

// receive takes a heartbeat.
func (r *Registrar) receive(now time.Time, h Heartbeat) []Action {
	if h.From.Router == r.self.Router {
		r.outlive(h.From)
		return nil
	}
	m := r.hear(now, h.From)
	for _, n := range h.Updates {
		r.learn(now, n)
	}
	if m == nil {
		return nil
	}
	actions := r.answerProbes(m)
	if h.ReplyRequested {
		actions = append(actions, r.send(m, Heartbeat{EchoUnixMs: h.SentUnixMs}))
	}
	if h.ProbeTarget != "" {
		actions = append(actions, r.startProbe(now, h.ProbeTarget, m)...)
	}
	r.takeReport(now, h)
	return actions
}

// hear notes that a router spoke for itself. It returns nil for an old
// incarnation, whose message was late.
func (r *Registrar) hear(now time.Time, from Member) *member {
	r.learn(now, from)
	m := r.members[from.Router]
	if m == nil || m.Incarnation != from.Incarnation {
		return nil
	}
	r.answered = now
	m.heard, m.asked = now, time.Time{}
	return m
}

// learn takes a statement about a member, its own or another's.
func (r *Registrar) learn(now time.Time, n Member) {
	if n.Router == r.self.Router {
		r.outlive(n)
		return
	}
	m, ok := r.members[n.Router]
	if !ok {
		if n.Status >= Dead {
			return
		}
		r.add(now, n)
		return
	}
	if !n.newer(m.Member) {
		return
	}
	if n.Status != m.Status || n.Incarnation != m.Incarnation {
		m.since = now
	}
	if n.Status == Alive {
		m.asked = time.Time{}
	}
	m.Member = n
	m.left = newsRepeats
	r.changed = true
}

// newer reports whether a statement replaces another about the same member.
func (n Member) newer(m Member) bool {
	if n.Incarnation != m.Incarnation {
		return n.Incarnation > m.Incarnation
	}
	if m.Status == Left {
		return false
	}
	if n.Status == Left {
		return true
	}
	if n.Refutation != m.Refutation {
		return n.Refutation > m.Refutation
	}
	if n.Status != m.Status {
		return n.Status > m.Status
	}
	return n.Leaving && !m.Leaving
}

// outlive refutes what others say of this router.
func (r *Registrar) outlive(n Member) {
	if n.Incarnation > r.self.Incarnation {
		// The clock went back between two starts.
		r.self.Incarnation = n.Incarnation + 1
		r.rush = true
		return
	}
	if n.Incarnation == r.self.Incarnation && n.Status != Alive && n.Refutation >= r.self.Refutation {
		r.self.Refutation = n.Refutation + 1
		r.rush = true
	}
}

// askHelpers has routers that do not answer asked by others.
func (r *Registrar) askHelpers(now time.Time) []Action {
	var actions []Action
	for _, id := range r.ids {
		m := r.members[id]
		if m.asked.IsZero() || m.probed || now.Sub(m.asked) < askTimeout || m.Status != Alive {
			continue
		}
		m.probed = true
		actions = append(actions, r.sendSome(Heartbeat{ProbeTarget: id}, helpers, id)...)
	}
	return append(actions, r.endProbes(now)...)
}

// startProbe asks a router on behalf of another.
func (r *Registrar) startProbe(now time.Time, target messenger.RouterID, requester *member) []Action {
	m, ok := r.members[target]
	if !ok || target == requester.Router {
		return nil
	}
	r.probes = append(r.probes, probe{target: target, requester: requester.Router, since: now})
	return []Action{r.send(m, r.ask(now))}
}

// answerProbes tells those who wanted to know that a router was heard.
func (r *Registrar) answerProbes(m *member) []Action {
	var actions []Action
	kept := r.probes[:0]
	for _, p := range r.probes {
		requester, ok := r.members[p.requester]
		if p.target != m.Router || !ok {
			kept = append(kept, p)
			continue
		}
		actions = append(actions, r.send(requester, Heartbeat{Responsive: p.target}))
	}
	r.probes = kept
	return actions
}

// endProbes tells those who wanted to know that a router stayed silent.
func (r *Registrar) endProbes(now time.Time) []Action {
	var actions []Action
	kept := r.probes[:0]
	for _, p := range r.probes {
		requester, ok := r.members[p.requester]
		if now.Sub(p.since) < askTimeout {
			kept = append(kept, p)
			continue
		}
		if ok {
			actions = append(actions, r.send(requester, Heartbeat{Unresponsive: p.target}))
		}
	}
	r.probes = kept
	return actions
}

// takeReport takes the answer to a probe.
func (r *Registrar) takeReport(now time.Time, h Heartbeat) {
	if m, ok := r.members[h.Responsive]; ok {
		m.asked, m.heard = time.Time{}, now
	}
	if m, ok := r.members[h.Unresponsive]; ok && !m.asked.IsZero() {
		m.silent = true
	}
}

// judge moves members on from alive to suspect and from suspect to dead.
func (r *Registrar) judge(now time.Time) {
	for _, id := range r.ids {
		m := r.members[id]
		switch {
		case m.Status == Alive && r.silentFor(now, m):
			r.set(now, m, Suspect)
		case m.Status == Suspect && now.Sub(m.since) >= suspicionTime:
			r.set(now, m, Dead)
		}
	}
	r.forget(now)
}

// silentFor reports whether a router is silent for this one and for a helper.
// Where there is no helper, its own silence has to do.
func (r *Registrar) silentFor(now time.Time, m *member) bool {
	if m.asked.IsZero() || now.Sub(m.asked) < probeTimeout {
		return false
	}
	return m.silent || len(r.reachable()) == 1
}

func (r *Registrar) set(now time.Time, m *member, s Status) {
	m.Status, m.since, m.left = s, now, newsRepeats
	m.asked = time.Time{}
}
