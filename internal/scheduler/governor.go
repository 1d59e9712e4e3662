package scheduler

import (
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
)

// Settings of the governor.
const (
	// defaultControlBytesPerSecond is the default budget for control messages.
	defaultControlBytesPerSecond = 2048
	// lateReportAge is the age of an unsent report at which pressure grows.
	lateReportAge = 250 * time.Millisecond
	// pressureIncrease and pressureDecrease are the factors by which pressure changes in
	// each tick; maxPressure bounds it.
	pressureIncrease = 1.02
	pressureDecrease = 0.99
	maxPressure      = 64
	// maxCreditSeconds bounds the credit, and moveReserveSeconds is the part of it that
	// reports leave to the movement of slots. Both are in seconds of the budget.
	maxCreditSeconds   = 0.5
	moveReserveSeconds = 0.25
	// fullDebtLead is the lead, in multiples of moveThreshold, that justifies a debt of one
	// second of the budget. moveDebtSeconds bounds the debt for moves for the sake of
	// fairness, urgentDebtSeconds that for urgent messages of any kind.
	fullDebtLead      = 1
	moveDebtSeconds   = 0.5
	urgentDebtSeconds = 2
	// forcedMoveInterval is the least time between the moves that a large lead is allowed
	// whatever the debt.
	forcedMoveInterval = 200 * time.Millisecond
)

// governor keeps the control messages of a router within a byte budget. Movements of slots
// have priority and may incur a short debt; reports share the rest, the oldest first. While
// reports are late, pressure grows, which raises the threshold at which a change is reported.
type governor struct {
	bytesPerSecond float64
	// creditBytes is the number of bytes that may be sent now; a negative value is a debt.
	creditBytes  float64
	refilledAt   time.Time
	forcedMoveAt time.Time
	pressure     float64
	// sizeRatio is the ratio of real to estimated message sizes.
	sizeRatio float64
	// sentBytes and sentMessages are totals since the start.
	sentBytes, sentMessages uint64
}

// refill adds the credit for the time since the last call.
func (g *governor) refill(now time.Time) {
	if !g.refilledAt.IsZero() {
		g.creditBytes += now.Sub(g.refilledAt).Seconds() * g.bytesPerSecond
	}
	g.refilledAt = now
	g.creditBytes = min(g.creditBytes, g.bytesPerSecond*maxCreditSeconds)
}

// recordSent deducts a message from the credit and counts it.
func (g *governor) recordSent(m *messenger.PeerMessage) {
	n := float64(m.Size()) * g.sizeRatio
	g.creditBytes -= n
	g.sentBytes += uint64(n)
	g.sentMessages++
}

// affordsMove reports whether a slot may be moved for the sake of fairness. The larger the
// lead, the larger the debt may be; from fullDebtLead on, one move per forcedMoveInterval is
// always allowed.
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

// adjustPressure raises the pressure if reports are late, and lowers it otherwise.
func (g *governor) adjustPressure(late bool) {
	if late {
		g.pressure = min(g.pressure*pressureIncrease, maxPressure)
		return
	}
	g.pressure = max(g.pressure*pressureDecrease, 1)
}

// flushUrgent sends the urgent messages, and those from this router to itself.
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

// flushPending sends pending reports, the oldest first, as far as the credit allows.
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

// reportDue reports whether enough time has passed since the last message to a peer.
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

// send sends everything that is pending for a peer in one message.
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

// reportThreshold returns the change of a tag, in normalised tokens, from which it is
// reported.
func (p *pool) reportThreshold() float64 {
	return p.sched.cfg.ReportThreshold * p.meanCost() * p.sched.governor.pressure
}

// moveThreshold returns how far the tag of another router's request must be below that of a
// local one before a slot moves, in normalised tokens.
func (p *pool) moveThreshold() float64 {
	return p.sched.cfg.MoveThreshold * p.largeCost()
}
