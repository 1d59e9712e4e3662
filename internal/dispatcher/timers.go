package dispatcher

import (
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
)

// setTimer sets the timer for the next due time. A timer that fires too early is left
// running, because handleTimer checks again what is due.
func (f *inflightRequest) setTimer() {
	due := f.nextDue()
	if due.IsZero() {
		f.timer = nil
		return
	}
	if f.timer != nil && !due.Before(f.timerDue) {
		return
	}
	now := f.now()
	f.timerDue, f.timerExpectedAt = due, now.Add(max(0, due.Sub(now)))
	f.timer = f.d.cfg.Clock.After(due.Sub(now))
}

// nextDue returns the next time at which handleTimer has work to do, or the zero time.
func (f *inflightRequest) nextDue() time.Time {
	var due time.Time
	add := func(t time.Time) {
		if due.IsZero() || t.Before(due) {
			due = t
		}
	}
	if !f.callerGone && (f.relay.HasQueued() || !f.relay.HasRoom()) {
		add(f.now().Add(drainPollInterval))
	}
	if f.concluded {
		return due
	}
	for _, at := range f.attempts {
		add(at.deadline)
	}
	if f.failedAttempt != nil {
		add(f.retryAt)
	}
	if f.replacedAttempt() != nil {
		add(f.takeoverCheckAt)
	}
	if !f.deadline.IsZero() && !f.callerGone {
		add(f.deadline)
	}
	return due
}

// handleTimer does the work that is due.
func (f *inflightRequest) handleTimer() {
	f.noteStandstill(f.now())
	f.drainCaller()
	if f.concluded {
		return
	}
	if f.deadlinePassed() && !f.callerGone {
		f.handleDeadline()
		return
	}
	f.requestRetry()
	f.checkTakeover()
	now := f.now()
	for _, at := range append([]*attempt(nil), f.attempts...) {
		if f.concluded || !f.isOpen(at) || now.Before(at.deadline) {
			continue
		}
		f.processProbe(at)
		if f.isOpen(at) {
			f.processAttempt(at)
		}
		if !f.concluded && f.isOpen(at) && !f.now().Before(at.deadline) && !f.isSilenceUnproven(at, now) {
			f.handleSilence(at)
		}
	}
}

// handleDeadline ends a request whose deadline has passed. A request without an attempt
// is abandoned and refused. One that must not be repeated keeps running, but its caller
// receives the problem document for a passed deadline.
func (f *inflightRequest) handleDeadline() {
	f.deadline = time.Time{}
	if len(f.attempts) == 0 && f.failedAttempt == nil && f.pendingDispatch == nil {
		f.queue.Notify(messenger.Abandon{Request: f.req.ID})
		f.refuse(string(messenger.RefuseDeadline), 0)
		return
	}
	if f.continuesWithoutCaller() {
		p := newProblem(string(messenger.RefuseDeadline), f.outcome.RunState())
		f.result.Problem = string(messenger.RefuseDeadline)
		f.sendProblem(p)
		f.callerGone = true
		return
	}
	f.cancelAllAttempts()
	f.fail(string(messenger.RefuseDeadline))
}

// drainCaller passes buffered bytes to the caller. A caller that has read nothing for
// CallerTimeout is treated as gone.
func (f *inflightRequest) drainCaller() {
	if f.callerGone {
		return
	}
	f.flushRelay()
	sent := f.relay.SentBytes()
	if f.relay.UnsentBytes() == 0 || sent > f.callerSentBytes || f.callerProgressAt.IsZero() {
		f.callerProgressAt = f.now()
	}
	f.callerSentBytes = sent
	if f.relay.UnsentBytes() > 0 && f.now().Sub(f.callerProgressAt) >= f.d.cfg.CallerTimeout {
		f.log("callerStalled").Warn("caller stopped reading")
		f.handleCallerGone()
		return
	}
	for _, at := range f.attempts {
		if at.stream != nil && f.relay.HasRoom() {
			f.processAttempt(at)
			return
		}
	}
}
