// Package tracker is the state machine of a request's outcome: whether an
// upstream may have run it, whether it may be sent again, and what may be said
// about it to the caller.
//
// Every retry, hedge, resume and answer is decided by asking a Tracker, and
// the statement not-run, run or unknown is derived from it alone. It does no
// I/O and has no clock, so all orders of its events can be explored in a test.
//
// # Usage
//
//	t := tracker.New(idempotent)
//	if t.MaySend() {
//		t.Handle(tracker.Open)      // an upstream is chosen, nothing has left
//		t.Handle(tracker.FirstByte) // from here on it may have run
//		t.Handle(tracker.Fail)      // the connection broke
//	}
//	t.RunState() // messenger.Unknown
package tracker

import (
	"github.com/ansel1/merry/v2"

	"lentilwood.example/lentilwood/internal/messenger"
)

// State is where a request stands.
type State uint8

// The states of a request. Queued is the state of a new one.
const (
	// Queued means that nothing has left for any upstream.
	Queued State = iota
	// Claimed is Queued with the idempotency key held in the platform's table.
	Claimed
	// Sending means that an attempt is open of which no byte has left.
	Sending
	// MayHaveRun means that a byte of some attempt may have reached an upstream.
	MayHaveRun
	// Answered means that an upstream's own answer to the request has begun.
	Answered
	// Completed means that the whole answer was received.
	Completed
	// Refused means that the request ended without an answer of an upstream.
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

// Event is one thing that happened to a request.
type Event uint8

// The events of a request.
const (
	// Claim says that the idempotency key was claimed.
	Claim Event = iota
	// Open starts an attempt; no byte of it has left.
	Open
	// FirstByte says that a byte of an open attempt may leave from now on.
	FirstByte
	// Unsent ends an open attempt of which no byte has left.
	Unsent
	// Fail ends an attempt that may have run and brought no whole answer.
	Fail
	// Reject ends an attempt of which the upstream says that it did not run.
	Reject
	// Answer says that the head of an upstream's answer with the right request
	// id was seen.
	Answer
	// Decline is an Answer that does not prove that the request ran, such as
	// one that says that the upstream is busy or has failed.
	Decline
	// Deliver says that a part of the answer goes to the caller.
	Deliver
	// Break says that the answer broke off before its end. Its attempt stays
	// open until an Answer to a resume or a Fail.
	Break
	// Complete says that the answer was received to its end.
	Complete
	// Refuse ends the request without an upstream's answer.
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

// ErrInvalidTransition means that an event cannot happen in the state of the request.
var ErrInvalidTransition = merry.Sentinel("event out of order")

// Tracker follows one request. The zero value is a new request that is not
// idempotent.
type Tracker struct {
	idempotent bool
	claimed    bool
	state      State
	// fresh counts the open attempts of which no byte has left, running the
	// others.
	unsentAttempts, sentAttempts int
	// resumable is true if the rest of a broken answer may be asked for with a
	// new attempt, whatever the caller already has.
	resumable bool
	// exposures counts the attempts of which a byte may have left, without
	// those that were rejected; exposed is true if there is one.
	possibleRuns int
	mayHaveRun   bool
	// declined is true if the answer does not prove that the request ran.
	declined bool
	// delivered is true once the caller was given a part of an answer.
	delivered bool
}

// New returns the tracker of a new request.
func New(idempotent bool) *Tracker { return &Tracker{idempotent: idempotent} }

// NewResumable returns the tracker of a new idempotent request whose answer is
// a stream that another upstream may go on with.
func NewResumable() *Tracker { return &Tracker{idempotent: true, resumable: true} }

// State returns where the request stands.
func (t *Tracker) State() State { return t.state }

// Delivered reports whether the caller was given a part of an answer.
func (t *Tracker) Delivered() bool { return t.delivered }

// Ended reports whether the request has reached its last state.
func (t *Tracker) Ended() bool { return t.state == Completed || t.state == Refused }

// RunState returns what may be said to the caller.
func (t *Tracker) RunState() messenger.RunState {
	switch {
	case t.state == Answered && !t.declined, t.state == Completed && !t.declined:
		return messenger.Run
	case t.mayHaveRun:
		return messenger.Unknown
	}
	return messenger.NotRun
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

// MayResume reports whether the rest of a broken answer may be asked for. A
// resume reads what already runs, so it is no further attempt.
func (t *Tracker) MayResume() bool { return t.mayHaveRun && !t.Ended() }

// Handle notes an event. An event that cannot happen in the present state
// returns ErrInvalidTransition and changes nothing.
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

// settle derives the states before an answer from the attempts.
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

// answering returns how many running attempts are the one that answers.
func (t *Tracker) answeringAttempts() int {
	if t.state == Answered {
		return 1
	}
	return 0
}
