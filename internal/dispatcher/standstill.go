package dispatcher

import (
	"net"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"
)

const (
	// minTimerLag is how late the timer of a request must be for it to show that the router's VM
	// stood still. On a VM short of CPU time, goroutines wait up to 0.2 s.
	minTimerLag = 250 * time.Millisecond
	// unreadGrace is how long to wait for bytes that have arrived to be read.
	unreadGrace = 50 * time.Millisecond
)

// Standstill is a time during which the router's VM did not run. The zero value means none.
type Standstill struct {
	From, To time.Time
	// earlierHidesUntil is the latest HidesUntil of the standstills before.
	earlierHidesUntil time.Time
}

// Then returns the standstill that follows s, or continues it if both begin at the same time.
func (s Standstill) Then(from, to time.Time) Standstill {
	next := Standstill{From: from, To: to, earlierHidesUntil: s.HidesUntil()}
	if from.Equal(s.From) {
		next.earlierHidesUntil = s.earlierHidesUntil
	}
	return next
}

// HidesUntil returns until when the end of a connection that happened during the standstill, or one
// before it, may be received. TCP repeats what was lost after at most as long again.
func (s Standstill) HidesUntil() time.Time {
	until := s.To.Add(s.To.Sub(s.From))
	if s.earlierHidesUntil.After(until) {
		return s.earlierHidesUntil
	}
	return until
}

// mayHide reports whether the end of a connection that was received at t may have happened
// during a standstill that began before now.
func (s Standstill) mayHide(t, now time.Time) bool {
	until := s.HidesUntil()
	if !s.From.Before(now) {
		until = s.earlierHidesUntil
	}
	return !until.IsZero() && !t.After(until)
}

// noteStandstill records a standstill of the router's VM that the request's timer shows, or
// that the router knows of.
func (f *inflightRequest) noteStandstill(now time.Time) {
	if now.Sub(f.timerExpectedAt) >= minTimerLag {
		f.standstill = Standstill{From: f.timerExpectedAt, To: now}
	}
	if f.d.cfg.LastStandstill == nil {
		return
	}
	if s := f.d.cfg.LastStandstill(); s.To.After(f.standstill.To) {
		f.standstill = s
	}
}

// isSilenceUnproven reports whether an attempt without progress within its timeout may have
// received something. It then extends the attempt's deadline: after a standstill by as long
// again, as TCP repeats what was lost by then, and once for bytes that wait to be read.
func (f *inflightRequest) isSilenceUnproven(at *attempt, now time.Time) bool {
	s := f.standstill
	excused := s.To.Add(min(s.To.Sub(s.From), f.progressTimeout()))
	reason := "standstill"
	if !s.To.After(at.lastProgressAt) || !now.Before(excused) {
		if at.unreadExcused || !at.exchange.hasUnread() {
			return false
		}
		at.unreadExcused = true
		reason, excused = "unread", now.Add(unreadGrace)
	}
	at.deadline = excused
	f.log("silenceUnproven").WithFields(logrus.Fields{
		"upstream": at.upstream, "reason": reason, "silentMs": now.Sub(at.lastProgressAt).Milliseconds(),
		"standstillMs": s.To.Sub(s.From).Milliseconds(), "extendedMs": excused.Sub(now).Milliseconds(),
	}).Info("upstream does not count as silent yet")
	return true
}

// hasUnread reports whether bytes have arrived for the exchange that were not read yet.
func (x *exchange) hasUnread() bool {
	x.mu.Lock()
	unread := x.control.unread
	x.mu.Unlock()
	return unread != nil && unread()
}

// hasUnreadBytes reports whether bytes of a connection wait in the system to be read. It may be
// called while another goroutine reads.
func hasUnreadBytes(conn net.Conn) bool {
	n := 0
	err := controlSocket(conn, func(fd int) (err error) {
		n, err = unix.IoctlGetInt(fd, unix.TIOCINQ)
		return err
	})
	return err == nil && n > 0
}
