package dispatcher

import (
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
)

// arm sets the timer to the next moment at which something is due. A timer
// that would fire too early is left alone: what it finds is checked again.
func (f *flight) arm() {
	due := f.nextDue()
	if due.IsZero() {
		f.timer = nil
		return
	}
	if f.timer != nil && !due.Before(f.timerDue) {
		return
	}
	f.timerDue = due
	f.timer = f.d.cfg.Clock.After(due.Sub(f.now()))
}

// nextDue returns the next moment at which expire has something to do, or the
// zero time.
func (f *flight) nextDue() time.Time {
	var due time.Time
	add := func(t time.Time) {
		if due.IsZero() || t.Before(due) {
			due = t
		}
	}
	if !f.gone && (f.relay.HasQueued() || !f.relay.HasRoom()) {
		add(f.now().Add(drainPoll))
	}
	if f.over {
		return due
	}
	for _, at := range f.attempts {
		add(at.deadline)
	}
	if f.retry != nil {
		add(f.retryAt)
	}
	if !f.deadline.IsZero() && !f.gone {
		add(f.deadline)
	}
	return due
}

// expire does what is due.
func (f *flight) expire() {
	f.drain()
	if f.over {
		return
	}
	if f.late() && !f.gone {
		f.expireDeadline()
		return
	}
	f.giveBack()
	now := f.now()
	for _, at := range append([]*attempt(nil), f.attempts...) {
		if f.over || !f.holds(at) || now.Before(at.deadline) {
			continue
		}
		f.pumpProbe(at)
		if f.holds(at) {
			f.pumpAttempt(at)
		}
		if !f.over && f.holds(at) && !f.now().Before(at.deadline) {
			f.silent(at)
		}
	}
}

// expireDeadline ends a request whose caller no longer waits. One that is queued is
// left to the scheduler, which refuses it.
func (f *flight) expireDeadline() {
	f.deadline = time.Time{}
	if len(f.attempts) == 0 && f.retry == nil && f.pending == nil {
		f.queue.Notify(messenger.Abandon{Request: f.req.ID})
		f.refuse(string(messenger.RefuseDeadline), 0)
		return
	}
	if f.keepsRunning() {
		p := newProblem(string(messenger.RefuseDeadline), f.outcome.RunState())
		f.result.Problem = string(messenger.RefuseDeadline)
		f.sendProblem(p)
		f.gone = true
		return
	}
	f.dropAll()
	f.fail(string(messenger.RefuseDeadline))
}

// drain moves what the caller takes, and gives up a caller that takes nothing
// for too long.
func (f *flight) drain() {
	if f.gone {
		return
	}
	f.pumpRelay()
	sent := f.relay.SentBytes()
	if f.relay.UnsentBytes() == 0 || sent > f.slowSent || f.slowSince.IsZero() {
		f.slowSince = f.now()
	}
	f.slowSent = sent
	if f.relay.UnsentBytes() > 0 && f.now().Sub(f.slowSince) >= f.d.cfg.CallerTimeout {
		f.log("callerStalled").Warn("caller takes nothing")
		f.leave()
		return
	}
	for _, at := range f.attempts {
		if at.stream != nil && f.relay.HasRoom() {
			f.pumpAttempt(at)
			return
		}
	}
}
