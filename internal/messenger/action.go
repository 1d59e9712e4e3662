package messenger

import "time"

// Action is a decision of a scheduler that the caller must carry out.
type Action interface{ isAction() }

// Dispatch sends a request to an upstream. A Finish event must follow when the attempt ends.
type Dispatch struct {
	Request  RequestID
	Upstream UpstreamID
	// Hedge is true for a second copy of a request whose first copy is still running. The copy
	// that produces output first is used and the other is cancelled.
	Hedge bool
	// FetchFrom is an engine that is expected to have cached parts of the prompt that Upstream
	// lacks, or empty.
	FetchFrom UpstreamID
	// Replaces is the upstream whose attempt ends when this one takes over, or empty.
	Replaces UpstreamID
	// WriteBy is set if Upstream is cold: the request may be written once, until this time.
	WriteBy time.Time
}

// Refuse ends a request that was never dispatched.
type Refuse struct {
	Request RequestID
	Reason  RefuseReason
	// RetryAfter is the time after which the caller may retry, derived from the backlog.
	RetryAfter time.Duration
	// Grounds is the basis of the decision, or nil if no forecast was made.
	Grounds *Grounds
}

// Grounds is the basis of a refusal: the best upstream, the forecast for the request there and
// the age of the data behind it.
type Grounds struct {
	Upstream UpstreamID
	// QueueWait is the expected queueing time behind other requests at Upstream, and
	// OwnLatency the rest of the expected time to the first output.
	QueueWait, OwnLatency time.Duration
	// ElapsedWait is how long the request had already waited, and MaxQueueWait how long it may
	// wait behind other requests in total.
	ElapsedWait, MaxQueueWait time.Duration
	// ReportAge is the age of the upstream's last load report, and PeerAge that of the oldest
	// load message of another router in use. They are negative if there is none.
	ReportAge, PeerAge time.Duration
	// FleetDemand is the account's demand in the whole fleet, and FleetShare the part of it to
	// which the account is entitled, in units of Work.Cost per second.
	FleetDemand, FleetShare float64
	// LocalServed is the cost of the account's requests that this router serves, and LocalShare
	// the cost to which the account is entitled here, in units of Work.Cost per second.
	LocalServed, LocalShare float64
	// Correction is the factor that corrects forecasts for the upstream by the error of
	// earlier ones.
	Correction float64
	// SlotsReserved is the fraction of the slots, 0 to 1, that is reserved for accounts that
	// have not used up their share.
	SlotsReserved float64
	// OnlyReservedSlots is true if all free slots were reserved for accounts that had not used
	// up their share.
	OnlyReservedSlots bool
	// DelaysStreams is true if reading the prompt would have delayed the streams at Upstream
	// beyond the limit of their routes.
	DelaysStreams bool
}

// RefuseReason is the reason for a refusal. Responses and metrics use its text, which stays
// stable.
type RefuseReason string

// The reasons for which a request is refused.
const (
	RefuseQueueFull   RefuseReason = "queue-full"
	RefuseRate        RefuseReason = "rate-limit"
	RefuseConcurrency RefuseReason = "concurrency-limit"
	RefuseTokens      RefuseReason = "token-limit"
	RefuseDeadline    RefuseReason = "deadline"
	RefuseNoUpstream  RefuseReason = "no-upstream"
	// RefuseCold means that only cold upstreams were left.
	RefuseCold        RefuseReason = "cold-upstreams"
	RefuseUnknownPool RefuseReason = "unknown-pool"
	// RefuseEvacuated means that all upstreams of the pool that could take requests are in
	// failure domains that the operator has emptied.
	RefuseEvacuated RefuseReason = "evacuated"
	// RefuseVersionGone means that no upstream with the software version that the request is bound to
	// takes requests.
	RefuseVersionGone RefuseReason = "version-gone"
)

// Send sends a control message to another router.
type Send struct {
	To      RouterID
	Message PeerMessage
}

func (Dispatch) isAction() {}
func (Refuse) isAction()   {}
func (Send) isAction()     {}
