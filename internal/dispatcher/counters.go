package dispatcher

import "sync/atomic"

// Counters are what a Dispatcher counts since its start. They are safe for
// concurrent use.
type Counters struct {
	// WrongAnswers counts answers that belong to another request, or to none.
	WrongAnswers atomic.Uint64
	// Retries counts attempts after the first; RetriesDenied those that the
	// retry budget did not allow.
	Retries, RetriesDenied atomic.Uint64
	// Hedges counts second copies beside a running one.
	Hedges atomic.Uint64
	// Resumes counts streams asked for again after their last event.
	Resumes atomic.Uint64
	// Moves counts streams that went on at another engine by their state.
	Moves atomic.Uint64
	// Cancels counts streams canceled at their engine.
	Cancels atomic.Uint64
	// SilentConnections counts upstream connections that were given up for silence.
	SilentConnections atomic.Uint64
	// CallersGone counts callers that left before their answer was whole.
	CallersGone atomic.Uint64
	// UnknownOutcomes counts requests that ended without a known outcome.
	UnknownOutcomes atomic.Uint64
}
