package messenger

import "time"

// Action is one thing the decision logic wants done.
type Action interface{ isAction() }

// Dispatch sends a request to an upstream. It is answered by a Finish.
type Dispatch struct {
	Request  RequestID
	Upstream UpstreamID
	// Hedge is true for a second copy beside one that is still running; the
	// first to produce output wins and the other is cancelled.
	Hedge bool
	// FetchFrom names an engine that is expected to keep parts of the prompt
	// which Upstream lacks; empty means none.
	FetchFrom UpstreamID
	// Replaces names the upstream whose attempt ends as this one begins; empty means none.
	Replaces UpstreamID
}

// Refuse ends a request that was never dispatched.
type Refuse struct {
	Request RequestID
	Reason  RefuseReason
	// RetryAfter is when the caller may come back, from the actual backlog.
	RetryAfter time.Duration
	// Grounds is what the decision rests on; nil if nothing was forecast.
	Grounds *Grounds
}

// Grounds is what a refusal was decided on: the upstream that looked best, what
// was expected there, and how old that knowledge was.
type Grounds struct {
	Upstream UpstreamID
	// QueueWait is how long the request was expected to wait there for others, OwnLatency
	// the rest of the time to its first output.
	QueueWait, OwnLatency time.Duration
	// ElapsedWait is how long it had waited already, and MaxQueueWait how long it may wait
	// for others altogether.
	ElapsedWait, MaxQueueWait time.Duration
	// ReportAge is how long ago the upstream told its load, and PeerAge how long
	// ago the router was heard that has been silent longest; negative if never.
	ReportAge, PeerAge time.Duration
	// FleetDemand and FleetShare are the account's demand in the whole fleet and what it is
	// entitled to of it, in cost a second.
	FleetDemand, FleetShare float64
	// LocalServed and LocalShare are what the account gets at this router and what it is
	// entitled to here, in cost a second.
	LocalServed, LocalShare float64
	// Correction is the factor by which forecasts at the upstream are corrected for
	// how far off earlier ones were.
	Correction float64
	// SlotsReserved is the part of the slots, 0 to 1, that is kept for accounts that
	// have not used up their share.
	SlotsReserved float64
	// OnlyReservedSlots is true if the slots that were left are kept for accounts that
	// have not used up their share.
	OnlyReservedSlots bool
}

// RefuseReason is the stable name of a cause, used in answers and metrics.
type RefuseReason string

// The causes for which a request is refused.
const (
	RefuseQueueFull   RefuseReason = "queue-full"
	RefuseRate        RefuseReason = "rate-limit"
	RefuseConcurrency RefuseReason = "concurrency-limit"
	RefuseTokens      RefuseReason = "token-limit"
	RefuseDeadline    RefuseReason = "deadline"
	RefuseNoUpstream  RefuseReason = "no-upstream"
	RefuseUnknownPool RefuseReason = "unknown-pool"
)

// Send passes a control message to another router.
type Send struct {
	To      RouterID
	Message PeerMessage
}

func (Dispatch) isAction() {}
func (Refuse) isAction()   {}
func (Send) isAction()     {}
