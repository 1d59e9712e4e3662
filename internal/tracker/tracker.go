// Package tracker is the state machine of a request's outcome: whether an upstream may have
// run it, whether it may be sent again, and which run state may be reported to the caller.
//
// Every retry, hedge, resume and answer depends on a Tracker, and the run state (not-run, run
// or unknown) is derived from it alone. A Tracker performs no I/O and reads no clock, so that
// a test can explore all orders of its events.
//
// # Usage
//
//	t := tracker.New(idempotent)
//	if t.MaySend() {
//		t.Handle(tracker.Open)      // an upstream is chosen, nothing has been sent
//		t.Handle(tracker.FirstByte) // from here on the request may have run
//		t.Handle(tracker.Fail)      // the connection broke
//	}
//	t.RunState() // messenger.StateUnknown
package tracker

import (
	"github.com/ansel1/merry/v2"

	"lentilwood.example/lentilwood/internal/messenger"
)

// State is the state of a request.
type State uint8

// The states of a request. Queued is the state of a new one.
const (
	// Queued means that nothing has been sent to any upstream.
	Queued State = iota
	// Claimed is like Queued, with the idempotency key claimed in the platform's table.
	Claimed
	// Sending means that an attempt is open of which no byte has been sent.
	Sending
	// MayHaveRun means that a byte of some attempt may have reached an upstream.
	MayHaveRun
	// Answered means that an upstream's own answer to the request has begun.
	Answered
	// Completed means that the answer was received completely.
	Completed
	// Refused means that the request ended without an answer from an upstream.
	Refused
)

var stateNames = [...]string{"queued", "claimed", "sending", "mayHaveRun", "answered", "completed", "refused"}

// String returns the name of the state.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "invalid"
}

// Event is an event in the life of a request.
type Event uint8

// The events of a request.
const (
	// Claim means that the idempotency key was claimed.
	Claim Event = iota
	// Open starts an attempt; no byte of it has been sent.
	Open
	// FirstByte means that bytes of an open attempt may be sent from now on.
	FirstByte
	// Unsent ends an open attempt of which no byte was sent.
	Unsent
	// Fail ends an attempt that may have run and returned no complete answer.
	Fail
	// Reject ends an attempt that did not run according to the upstream.
	Reject
	// Answer means that the head of an upstream's answer with the right request ID was
	// received.
	Answer
	// Decline is like Answer, but the answer does not prove that the request ran, for example
	// because the upstream was busy or has failed.
	Decline
	// Deliver means that a part of the answer is sent to the caller.
	Deliver
	// Break means that the answer broke off before its end. Its attempt stays open until an
	// Answer to a resume or a Fail.
	Break
	// Complete means that the answer was received to its end.
	Complete
	// Refuse ends the request without an answer from an upstream.
	Refuse
)

var eventNames = [...]string{"claim", "open", "firstByte", "unsent", "fail", "reject", "answer", "decline", "deliver", "break", "complete", "refuse"}

// String returns the name of the event.
func (e Event) String() string {
	if int(e) < len(eventNames) {
		return eventNames[e]
	}
	return "invalid"
}

// ErrInvalidTransition is returned for an event that cannot happen in the state of the
// request.
var ErrInvalidTransition = merry.Sentinel("event not allowed")

// Tracker tracks the outcome of one request. The zero value is a new request that is not
// idempotent.
type Tracker struct {
	idempotent bool
	claimed    bool
	state      State
	// unsentAttempts counts the open attempts of which no byte has been sent, sentAttempts the
	// other open ones.
	unsentAttempts, sentAttempts int
	// resumable is true if the rest of a broken answer may be requested with a new attempt,
	// even after a part was delivered to the caller.
	resumable bool
	// possibleRuns counts the attempts of which a byte may have been sent, except those that
	// were rejected; mayHaveRun is true if there is one.
	possibleRuns int
	mayHaveRun   bool
	// declined is true if the answer does not prove that the request ran.
	declined bool
	// delivered is true once a part of an answer was sent to the caller.
	delivered bool
}

// New returns the Tracker of a new request.
func New(idempotent bool) *Tracker { return &Tracker{idempotent: idempotent} }

// NewResumable returns the Tracker of a new idempotent request whose answer is a stream that
// another upstream may continue.
func NewResumable() *Tracker { return &Tracker{idempotent: true, resumable: true} }

// State returns the state of the request.
func (t *Tracker) State() State { return t.state }

// Delivered reports whether a part of an answer was sent to the caller.
func (t *Tracker) Delivered() bool { return t.delivered }

// Ended reports whether the request has reached a final state.
func (t *Tracker) Ended() bool { return t.state == Completed || t.state == Refused }

// RunState returns the run state that may be reported to the caller.
func (t *Tracker) RunState() messenger.RunState {
	switch {
	case t.state == Answered && !t.declined, t.state == Completed && !t.declined:
		return messenger.StateRun
	case t.mayHaveRun:
		return messenger.StateUnknown
	}
	return messenger.StateNotRun
}

// MaySend reports whether an attempt may be opened now: the first, a retry, or
// a hedge beside one that is open.
func (t *Tracker) MaySend() bool {
	if t.Ended() || t.delivered && !t.resumable || t.state == Answered {
		return false
	}
	if t.idempotent {
		return true
	}
	return !t.mayHaveRun && t.unsentAttempts == 0
}

// MayResume reports whether the rest of a broken answer may be requested. A resume reads the
// output of a run that has already started, so it is not another attempt.
func (t *Tracker) MayResume() bool { return t.mayHaveRun && !t.Ended() }

// Handle applies an event. For an event that cannot happen in the current state it returns
// ErrInvalidTransition and changes nothing.
func (t *Tracker) Handle(e Event) error {
	if !t.allows(e) {
		return merry.Prependf(ErrInvalidTransition, "%v in state %v", e, t.state)
	}
	switch e {
	case Claim:
		t.claimed = true
	case Open:
		t.unsentAttempts++
	case FirstByte:
		t.unsentAttempts--
		t.sentAttempts++
		t.possibleRuns++
		t.mayHaveRun = true
	case Reject:
		t.sentAttempts--
		t.possibleRuns--
		t.mayHaveRun = t.possibleRuns > 0
	case Unsent:
		t.unsentAttempts--
	case Fail:
		t.sentAttempts--
	case Answer, Decline:
		t.state = Answered
		t.declined = e == Decline
	case Deliver:
		t.delivered = true
	case Break:
		t.state = MayHaveRun
	case Complete:
		t.sentAttempts--
		t.state = Completed
	case Refuse:
		t.state = Refused
	}
	t.updateState()
	return nil
}

// updateState derives the state of a request without an answer from its attempts.
func (t *Tracker) updateState() {
	switch {
	case t.Ended() || t.state == Answered:
	case t.mayHaveRun:
		t.state = MayHaveRun
	case t.unsentAttempts > 0:
		t.state = Sending
	case t.claimed:
		t.state = Claimed
	default:
		t.state = Queued
	}
}

// allows reports whether an event can happen in the current state.
func (t *Tracker) allows(e Event) bool {
	switch e {
	case Unsent:
		return t.unsentAttempts > 0
	case Fail, Reject:
		return t.sentAttempts > t.answeringAttempts()
	}
	if t.Ended() {
		return false
	}
	switch e {
	case Claim:
		return t.state == Queued
	case Open:
		return t.MaySend()
	case FirstByte:
		return t.unsentAttempts > 0 && (t.idempotent || !t.mayHaveRun)
	case Answer, Decline:
		return t.state == MayHaveRun && t.sentAttempts > 0
	case Deliver, Break, Complete:
		return t.state == Answered
	case Refuse:
		return t.state != Answered
	}
	return false
}

// answeringAttempts returns 1 if one of the sent attempts is being answered, otherwise 0.
func (t *Tracker) answeringAttempts() int {
	if t.state == Answered {
		return 1
	}
	return 0
}
