package dispatcher

import (
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
	"lentilwood.example/lentilwood/internal/tracker"
)

// takeoverWindow is how long a replaced attempt may go on after the request was written to
// another upstream that has not answered. Upstreams must not work on a request at the same
// time for 400 ms or more; the rest is left for the end of the connection to arrive. An
// upstream that declines does so at once.
const takeoverWindow = 250 * time.Millisecond

// beginTakeover prepares for the attempt that is to replace another one, and reports whether
// it may start. The replaced attempt goes on until the new upstream answers or takeoverWindow
// is over, because the new upstream may decline. Bytes received so far are processed first:
// they may include output of a response that cannot continue at another upstream.
func (f *inflightRequest) beginTakeover(a messenger.Dispatch) bool {
	old := f.attemptAt(a.Replaces)
	if old == nil {
		return true
	}
	f.processAttempt(old)
	if !f.isOpen(old) {
		return true
	}
	if !f.mayFailOver() {
		return false
	}
	f.retries++
	f.takeoverCheckAt = f.now().Add(takeoverWindow)
	old.beingReplaced = true
	if old.selected && f.outcome.State() == tracker.Answered {
		f.track(tracker.Break)
	}
	old.selected = false
	return true
}

// attemptAt returns the open attempt at an upstream, or nil.
func (f *inflightRequest) attemptAt(upstream messenger.UpstreamID) *attempt {
	for _, at := range f.attempts {
		if at.upstream == upstream {
			return at
		}
	}
	return nil
}

// replacedAttempt returns the open attempt that another one is to replace, or nil.
func (f *inflightRequest) replacedAttempt() *attempt {
	for _, at := range f.attempts {
		if at.beingReplaced {
			return at
		}
	}
	return nil
}

// keepReplaced cancels the attempt that was to replace another one, as that has gone on.
func (f *inflightRequest) keepReplaced(old *attempt) {
	for _, next := range append([]*attempt(nil), f.attempts...) {
		if next != old {
			f.closeAttempt(next, true)
			f.reportEnd(next, false)
		}
	}
}

// reportEnd reports the end of an attempt that is not retried. If it was to replace another
// one, the request goes on there. The slot of a replaced attempt was freed before.
func (f *inflightRequest) reportEnd(at *attempt, failed bool) {
	if at.beingReplaced {
		return
	}
	f.returnToReplaced(messenger.Finish{Upstream: at.upstream, Tokens: at.tokens(), Failed: failed})
}

// reportUnused reports that a Dispatch was not used.
func (f *inflightRequest) reportUnused(a messenger.Dispatch) {
	finish := messenger.Finish{Upstream: a.Upstream}
	if a.Replaces != "" && f.attemptAt(a.Replaces) != nil {
		finish.ContinuesAt = a.Replaces
	}
	f.returnToReplaced(finish)
}

// returnToReplaced makes the replaced attempt, if there is one, the request's only attempt again,
// and reports the Finish of the other one.
func (f *inflightRequest) returnToReplaced(finish messenger.Finish) {
	if old := f.replacedAttempt(); old != nil {
		old.beingReplaced = false
		finish.ContinuesAt = old.upstream
		f.log("takeoverEnded").WithField("upstream", finish.Upstream).WithField("continuesAt", old.upstream).
			WithField("failed", finish.Failed).Info("request goes on at its previous upstream")
		old.recordProgress(f.now(), f.progressTimeout())
		if old.header != nil {
			old.selected = true
			f.track(responseEvent(old.status))
		}
	}
	finish.Request = f.req.ID
	f.queue.Notify(finish)
}

// endReplaced ends the replaced attempt, because the new upstream has the request.
func (f *inflightRequest) endReplaced(old *attempt) {
	f.reportBreak(old, true)
	f.cancelAttempt(old)
}

// checkTakeover ends the replaced attempt once the request was written to the new upstream
// takeoverWindow ago.
func (f *inflightRequest) checkTakeover() {
	old := f.replacedAttempt()
	if old == nil || f.now().Before(f.takeoverCheckAt) {
		return
	}
	f.processAttempts()
	if f.concluded || f.replacedAttempt() != old {
		return
	}
	f.takeoverCheckAt = f.now().Add(takeoverWindow)
	for _, next := range f.attempts {
		if next != old && next.sent {
			f.takeoverCheckAt = next.writtenAt.Add(takeoverWindow)
		}
	}
	if !f.now().Before(f.takeoverCheckAt) {
		f.endReplaced(old)
	}
}
