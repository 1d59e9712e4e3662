package dispatcher

import "lentilwood.example/lentilwood/internal/tracker"

// endUnwrittenAttempt ends an attempt whose request was not written because the caller
// had disconnected.
func (f *inflightRequest) endUnwrittenAttempt(at *attempt) {
	f.closeAttempt(at, false)
	f.reportFinish(at.upstream, 0, false, false)
	if !f.callerGone {
		f.handleCallerGone()
	}
}

// cancelAttempt ends an attempt whose response is not needed and frees its slot.
func (f *inflightRequest) cancelAttempt(at *attempt) {
	if at.selected && f.outcome.State() == tracker.Answered {
		f.track(tracker.Break)
	}
	f.closeAttempt(at, true)
	f.reportEnd(at, false)
}

// closeAttempt ends the exchanges of an attempt. If cancel is true, an engine is sent a
// request to stop the stream.
func (f *inflightRequest) closeAttempt(at *attempt, cancel bool) {
	f.cancelProbe(at)
	f.cancelExchange(at)
	f.relay.Reserve(-cap(at.buffered))
	for i, open := range f.attempts {
		if open == at {
			f.attempts = append(f.attempts[:i], f.attempts[i+1:]...)
			break
		}
	}
	f.chargeEvents()
	if !at.sent {
		f.returnRetryPermit(at)
		f.track(tracker.Unsent)
		return
	}
	if at.declined {
		f.track(tracker.Reject)
	} else {
		f.track(tracker.Fail)
	}
	if cancel && at.policy.Engine && !f.d.traits.CloseCancels {
		f.d.cancelStream(at.policy.Address, f.req.WireID)
	}
}

// cancelExchange cancels the exchange of an attempt. Its connection is reused only if the
// response was complete.
func (f *inflightRequest) cancelExchange(at *attempt) {
	sent := at.exchange.cancel()
	f.d.live.remove(at.policy.Address, at.exchange)
	if sent && !at.sent {
		f.recordSend(at)
	}
}
