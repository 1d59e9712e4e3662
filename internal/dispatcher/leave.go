package dispatcher

import (
	"lentilwood.example/lentilwood/internal/messenger"
	"lentilwood.example/lentilwood/internal/tracker"
)

// The functions in this file end requests whose caller has left or whose router shuts down.

// handleCallerGone handles a disconnected caller. It cancels the work, except for
// requests that must not be repeated: their outcome is still worth recording.
func (f *inflightRequest) handleCallerGone() {
	f.callerGone = true
	if f.concluded {
		f.result.CallerGone = f.result.CallerGone || f.relay.HasQueued()
		f.result.Aborted = f.result.Aborted || f.relay.HasQueued()
		return
	}
	f.result.CallerGone, f.result.Aborted = true, true
	f.d.counters.CallersGone.Add(1)
	if f.pendingDispatch != nil {
		return
	}
	if len(f.attempts) == 0 && f.failedAttempt == nil {
		f.queue.Notify(messenger.Abandon{Request: f.req.ID})
		f.conclude(tracker.Refuse)
		return
	}
	if f.continuesWithoutCaller() {
		return
	}
	f.cancelAllAttempts()
	f.conclude(tracker.Refuse)
}

// continuesWithoutCaller reports whether the attempts continue after the caller is gone.
func (f *inflightRequest) continuesWithoutCaller() bool {
	for _, at := range f.attempts {
		if !f.req.Arrive.Idempotent && !at.policy.Engine && !f.d.traits.CloseCancels {
			return true
		}
	}
	return false
}

// shutDown ends the request because the router is shutting down.
func (f *inflightRequest) shutDown() {
	if f.concluded {
		f.callerGone = true
		f.result.Aborted = f.result.Aborted || f.relay.HasQueued()
		return
	}
	f.withdraw()
	f.fail(ProblemShuttingDown)
}

// withdraw takes the request out of the scheduler's queue and cancels its attempts.
func (f *inflightRequest) withdraw() {
	if len(f.attempts) == 0 && f.failedAttempt == nil && f.pendingDispatch == nil {
		f.queue.Notify(messenger.Abandon{Request: f.req.ID})
	}
	if f.pendingDispatch != nil {
		f.reportFinish(f.pendingDispatch.Upstream, 0, false, false)
		f.pendingDispatch = nil
	}
	f.cancelAllAttempts()
}
