package scheduler

import (
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
)

// Settings of the governor.
const (
	// defaultControlBytes is the budget for control messages, in bytes a second.
	defaultControlBytes = 2048
	// lateAfter is the age of an unsent report at which pressure grows.
	lateAfter = 250 * time.Millisecond
	// pressureUp and pressureDown are the factors by which pressure changes in
	// each tick; maxPressure bounds it.
	pressureUp   = 1.02
	pressureDown = 0.99
	maxPressure  = 64
	// maxCreditSeconds bounds the credit, and reserveSeconds is the part of it
	// that reports leave to slot movements, in seconds of the budget.
	maxCreditSeconds = 0.5
	reserveSeconds   = 0.25
	// fullLead is the lead, in multiples of the slack, that is worth a debt of
	// one second; moveDebtSeconds bounds the debt for moves that fairness asks
	// for, and maxDebtSeconds the debt for telling of any move.
	fullLead        = 1
	moveDebtSeconds = 0.5
	maxDebtSeconds  = 2
	// forcedPause is the time between moves that a large lead gets in any case.
	forcedPause = 200 * time.Millisecond
)

// governor keeps the control messages of a router within a byte budget. Slot
// movements go first and may run up a short debt; reports share what
// is left, the oldest first. Pressure grows while reports are late: it widens
// the steps at which something counts as worth reporting.
type governor struct {
	bytesPerSecond float64
	// credit is what may be sent now, in bytes; negative is a debt.
	credit   float64
	last     time.Time
	forced   time.Time
	pressure float64
	// scale is the ratio of real to estimated sizes.
	scale float64
	// sentBytes and sentMessages count since the start.
	sentBytes, sentMessages uint64
}

// refill adds the credit that the time since the last call brought.
func (g *governor) refill(now time.Time) {
	if !g.last.IsZero() {
		g.credit += now.Sub(g.last).Seconds() * g.bytesPerSecond
	}
	g.last = now
	g.credit = min(g.credit, g.bytesPerSecond*maxCreditSeconds)
}

// spend counts a message.
func (g *governor) spend(m *messenger.PeerMessage) {
	n := float64(m.Size()) * g.scale
	g.credit -= n
	g.sentBytes += uint64(n)
	g.sentMessages++
}

// affords reports whether a slot may be moved for the sake of fairness. The
// larger the lead, the more debt it may run up, and some moves are always
// allowed for a large one.
func (g *governor) affords(lead float64) bool {
	if g.credit > -g.bytesPerSecond*min(moveDebtSeconds, lead/fullLead) {
		return true
	}
	if lead < fullLead || g.last.Sub(g.forced) < forcedPause {
		return false
	}
	g.forced = g.last
	return true
}

// adapt changes the pressure by whether reports are late.
func (g *governor) adapt(late bool) {
	if late {
		g.pressure = min(g.pressure*pressureUp, maxPressure)
		return
	}
	g.pressure = max(g.pressure*pressureDown, 1)
}

// flushUrgent sends what cannot wait, and what is for this router itself.
func (s *Scheduler) flushUrgent() {
	for i := 0; i < len(s.urgent); i++ {
		l := s.urgent[i]
		if !l.urgent {
			continue
		}
		if l.router != s.cfg.Self && s.governor.credit < -s.governor.bytesPerSecond*maxDebtSeconds {
			continue
		}
		s.send(l)
	}
	s.urgent = s.urgent[:0]
}

// flushPending sends reports, the oldest first, as far as the credit goes.
func (s *Scheduler) flushPending() {
	g := &s.governor
	late := false
	batch := s.pending
	s.pending = s.parked[:0]
	for _, l := range batch {
		if !l.pending {
			continue
		}
		if s.due(l) && (l.router == s.cfg.Self || l.greet || g.credit > g.bytesPerSecond*reserveSeconds) {
			s.send(l)
			continue
		}
		late = late || s.contended && s.now.Sub(l.since) > lateAfter
		s.pending = append(s.pending, l)
	}
	clear(batch)
	s.parked = batch[:0]
	g.adapt(late)
}

// due reports whether the pause since the last message to l is over.
func (s *Scheduler) due(l *link) bool {
	if l.urgent {
		return true
	}
	pause := calmPause
	if s.contended {
		pause = contendedPause
	}
	return s.now.Sub(l.sentAt) >= pause
}

// send passes everything pending to a router.
func (s *Scheduler) send(l *link) {
	m := s.build(l)
	if l.router == s.cfg.Self {
		s.receive(l.router, m)
		return
	}
	message := messenger.PeerMessage{Control: m}
	s.governor.spend(&message)
	s.act(messenger.Send{To: l.router, Message: message})
}

// quantum is the change of a tag, in normalised tokens, that is worth a report.
func (p *pool) quantum() float64 {
	return p.sched.cfg.ReportThreshold * p.meanCost() * p.sched.governor.pressure
}

// slack is how far the tag of another router's request must be below that of
// a local one before a slot moves.
func (p *pool) slack() float64 {
	return p.sched.cfg.MoveThreshold * p.largeCost()
}
