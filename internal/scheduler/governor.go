package scheduler

import (
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
)

// Settings of the governor.
const (
	// defaultControlBytes is the budget for control messages, in bytes a second.
	defaultControlBytesPerSecond = 2048
	// lateAfter is the age of an unsent report at which pressure grows.
	lateReportAge = 250 * time.Millisecond
	// pressureUp and pressureDown are the factors by which pressure changes in
	// each tick; maxPressure bounds it.
	pressureIncrease = 1.02
	pressureDecrease = 0.99
	maxPressure      = 64
	// maxCreditSeconds bounds the credit, and reserveSeconds is the part of it
	// that reports leave to slot movements, in seconds of the budget.
	maxCreditSeconds   = 0.5
	moveReserveSeconds = 0.25
	// fullLead is the lead, in multiples of the slack, that is worth a debt of
	// one second; moveDebtSeconds bounds the debt for moves that fairness asks
	// for, and maxDebtSeconds the debt for telling of any move.
	fullDebtLead      = 1
	moveDebtSeconds   = 0.5
	urgentDebtSeconds = 2
	// forcedPause is the time between moves that a large lead gets in any case.
	forcedMoveInterval = 200 * time.Millisecond
)

// governor keeps the control messages of a router within a byte budget. Slot
// movements go first and may run up a short debt; reports share what
// is left, the oldest first. Pressure grows while reports are late: it widens
// the steps at which something counts as worth reporting.
type governor struct {
	bytesPerSecond float64
	// credit is what may be sent now, in bytes; negative is a debt.
	creditBytes  float64
	refilledAt   time.Time
	forcedMoveAt time.Time
	pressure     float64
	// scale is the ratio of real to estimated sizes.
	sizeRatio float64
	// sentBytes and sentMessages count since the start.
	sentBytes, sentMessages uint64
}

// refill adds the credit that the time since the last call brought.
func (g *governor) refill(now time.Time) {
	if !g.refilledAt.IsZero() {
		g.creditBytes += now.Sub(g.refilledAt).Seconds() * g.bytesPerSecond
	}
	g.refilledAt = now
	g.creditBytes = min(g.creditBytes, g.bytesPerSecond*maxCreditSeconds)
}

// spend counts a message.
func (g *governor) recordSent(m *messenger.PeerMessage) {
	n := float64(m.Size()) * g.sizeRatio
	g.creditBytes -= n
	g.sentBytes += uint64(n)
	g.sentMessages++
}

// affords reports whether a slot may be moved for the sake of fairness. The
// larger the lead, the more debt it may run up, and some moves are always
// allowed for a large one.
func (g *governor) affordsMove(lead float64) bool {
	if g.creditBytes > -g.bytesPerSecond*min(moveDebtSeconds, lead/fullDebtLead) {
		return true
	}
	if lead < fullDebtLead || g.refilledAt.Sub(g.forcedMoveAt) < forcedMoveInterval {
		return false
	}
	g.forcedMoveAt = g.refilledAt
	return true
}

// adapt changes the pressure by whether reports are late.
func (g *governor) adjustPressure(late bool) {
	if late {
		g.pressure = min(g.pressure*pressureIncrease, maxPressure)
		return
	}
	g.pressure = max(g.pressure*pressureDecrease, 1)
}

// flushUrgent sends what cannot wait, and what is for this router itself.
func (s *Scheduler) flushUrgent() {
	for i := 0; i < len(s.urgent); i++ {
		peer := s.urgent[i]
		if !peer.urgent {
			continue
		}
		if peer.router != s.cfg.Self && s.governor.creditBytes < -s.governor.bytesPerSecond*urgentDebtSeconds {
			continue
		}
		s.send(peer)
	}
	s.urgent = s.urgent[:0]
}

// flushPending sends reports, the oldest first, as far as the credit goes.
func (s *Scheduler) flushPending() {
	g := &s.governor
	late := false
	batch := s.pending
	s.pending = s.pendingBuffer[:0]
	for _, peer := range batch {
		if !peer.pending {
			continue
		}
		if s.reportDue(peer) && (peer.router == s.cfg.Self || peer.heartbeatDue || g.creditBytes > g.bytesPerSecond*moveReserveSeconds) {
			s.send(peer)
			continue
		}
		late = late || s.contended && s.now.Sub(peer.pendingSince) > lateReportAge
		s.pending = append(s.pending, peer)
	}
	clear(batch)
	s.pendingBuffer = batch[:0]
	g.adjustPressure(late)
}

// due reports whether the pause since the last message to l is over.
func (s *Scheduler) reportDue(peer *peerState) bool {
	if peer.urgent {
		return true
	}
	interval := idleReportInterval
	if s.contended {
		interval = contendedReportInterval
	}
	return s.now.Sub(peer.sentAt) >= interval
}

// send passes everything pending to a router.
func (s *Scheduler) send(peer *peerState) {
	m := s.buildMessage(peer)
	if peer.router == s.cfg.Self {
		s.receive(peer.router, m)
		return
	}
	message := messenger.PeerMessage{Control: m}
	s.governor.recordSent(&message)
	s.emit(messenger.Send{To: peer.router, Message: message})
}

// quantum is the change of a tag, in normalised tokens, that is worth a report.
func (p *pool) reportThreshold() float64 {
	return p.sched.cfg.ReportThreshold * p.meanCost() * p.sched.governor.pressure
}

// slack is how far the tag of another router's request must be below that of
// a local one before a slot moves.
func (p *pool) moveThreshold() float64 {
	return p.sched.cfg.MoveThreshold * p.largeCost()
}
