package dispatcher

import "sync/atomic"

// Counters are cumulative counts since the Dispatcher was created. They are safe for
// concurrent use.
type Counters struct {
	// WrongAnswers counts responses that belong to another request or to none.
	WrongAnswers atomic.Uint64
	// Retries counts attempts after the first. RetriesDenied counts those that the retry
	// budget did not allow.
	Retries, RetriesDenied atomic.Uint64
	// Hedges counts additional copies of a request sent while another attempt was
	// running.
	Hedges atomic.Uint64
	// Resumes counts streams that were requested again after their last event.
	Resumes atomic.Uint64
	// Moves counts streams whose state was transferred to another engine.
	Moves atomic.Uint64
	// Cancels counts streams canceled at their engine.
	Cancels atomic.Uint64
	// SilentConnections counts progress timeouts of upstream connections.
	SilentConnections atomic.Uint64
	// UnprovenEnds counts responses without a length that ended and count as truncated,
	// because the process that sent them is not known to be alive.
	UnprovenEnds atomic.Uint64
	// CallersGone counts callers that disconnected before their response was complete.
	CallersGone atomic.Uint64
	// Quarantined counts requests that were refused or ended because a part of their prompt is
	// quarantined.
	Quarantined atomic.Uint64
	// PermitsExpired counts requests that were not written to a cold upstream because they had no
	// permit, or it had expired.
	PermitsExpired atomic.Uint64
	// UnknownOutcomes counts requests that ended without a known outcome.
	UnknownOutcomes atomic.Uint64
}
