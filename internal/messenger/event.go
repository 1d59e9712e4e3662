package messenger

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Event is an occurrence that a scheduler must process.
type Event interface{ isEvent() }

// Arrive reports a new request that waits to be dispatched. The scheduler returns a Dispatch or
// a Refuse for it at once or later.
type Arrive struct {
	Request RequestID
	Account AccountID
	Class   ClassID
	Pool    PoolID
	// CostHint is the caller's estimate of the cost in tokens, or 0 if there is none.
	CostHint float64
	// Deadline is the time at which the caller stops waiting; zero means never.
	Deadline time.Time
	// SpentShare is the fraction, 0 to 1, of the time its caller waits at most that had passed
	// when the request arrived: the caller was refused before and has come back.
	SpentShare float64
	// SoftwareVersion is that of the only upstreams which may serve the request, because its stream
	// begins or began there; "" means any.
	SoftwareVersion string
	// Resumed is true if the request resumes a stream of which the caller has received some events, and
	// ReceivedTokens is how many tokens these have at least.
	Resumed        bool
	ReceivedTokens int
	// Idempotent is true if the request may be sent to upstreams more than once.
	Idempotent bool
	// Prefix is a hash of the prompt prefix, or 0 if there is none.
	Prefix uint64
	// Work is the work that the request causes at a model engine; the zero value means
	// unknown.
	Work Work
	// Objective is the operator's target for the time from the arrival to the first output;
	// zero means none.
	Objective time.Duration
	// PauseLimit is the operator's target for the longest pause between two events of a stream;
	// zero means none.
	PauseLimit time.Duration
	// Precedence orders waiting requests, highest first. Requests whose class is configured
	// use the Precedence of that class instead.
	Precedence int
}

// Progress reports the tokens that an upstream has produced since the last Progress event.
type Progress struct {
	Request RequestID
	Tokens  float64
	// First is true for the first output of the request.
	First bool
}

// Finish reports that a dispatched attempt has ended and its slot is free.
type Finish struct {
	Request  RequestID
	Upstream UpstreamID
	// Tokens is the total number of tokens produced, or 0 if unknown.
	Tokens float64
	// Failed is true if the upstream failed, refused the request or stopped responding.
	Failed bool
	// Retry is true if the request must be dispatched again, to another upstream.
	Retry bool
	// ContinuesAt is the upstream whose attempt the ended one was to replace and which the
	// request goes on with, or empty.
	ContinuesAt UpstreamID
}

// UpstreamSilent reports that the upstream of a request has sent nothing for the time that the
// route allows. The attempt continues unless a Dispatch with Upstream in Replaces follows, which
// frees the slot. If the upstream of that Dispatch does not take over, a Finish with Upstream in
// ContinuesAt follows, which occupies the slot again.
type UpstreamSilent struct {
	Request  RequestID
	Upstream UpstreamID
	// CanMove is true if another upstream may continue the request.
	CanMove bool
}

// Abandon reports that the caller of a request has disconnected. A request that still waits is
// removed; a Finish event follows for one that runs.
type Abandon struct{ Request RequestID }

// PolicyChange reports that a new policy is in force.
type PolicyChange struct{ Policy *Policy }

// PeersChange lists the routers that are alive, in any order and including this one.
type PeersChange struct{ Routers []RouterID }

// Pause reports that an upstream has refused a request and asked this router to send it nothing
// for the given time.
type Pause struct {
	Upstream UpstreamID
	Duration time.Duration
}

// LoadReport is an upstream's report of its own load. It may be out of date when received.
type LoadReport struct {
	Upstream UpstreamID
	// Running and Waiting are the numbers of requests that run and wait at the upstream.
	Running, Waiting int
	// Slots is the number of requests that the upstream processes concurrently, or 0 if not
	// reported.
	Slots int
	// Slowdown is the current processing time divided by the usual one, or 0 if not reported.
	Slowdown float64
	// Measured is the time at which the upstream measured its load.
	Measured time.Time
}

// StreamTimes reports the times between the events of the streams of one upstream that had a
// pause limit, since the last report.
type StreamTimes struct {
	Upstream UpstreamID
	// Events is the number of events after the first of a stream, and LateEvents the number of
	// those that exceeded the limit of their stream.
	Events, LateEvents uint32
	// Shortest is the shortest time between two events.
	Shortest time.Duration
}

// CacheReport reports that an upstream has added a prompt prefix to its cache or evicted it.
// Such reports arrive late and some are lost.
type CacheReport struct {
	Upstream UpstreamID
	Prefix   uint64
	Cached   bool
}

// Receive reports a control message from another router.
type Receive struct {
	From    RouterID
	Message PeerMessage
}

// Tick reports that time has passed. The caller sends one every TickInterval while requests wait
// for a decision, and may send them less often otherwise.
type Tick struct{}

// TickInterval is the time between two Ticks while requests wait for a decision.
const TickInterval = 10 * time.Millisecond

func (Arrive) isEvent()         {}
func (Progress) isEvent()       {}
func (Finish) isEvent()         {}
func (Abandon) isEvent()        {}
func (UpstreamSilent) isEvent() {}
func (PolicyChange) isEvent()   {}
func (PeersChange) isEvent()    {}
func (Pause) isEvent()          {}
func (LoadReport) isEvent()     {}
func (StreamTimes) isEvent()    {}
func (CacheReport) isEvent()    {}
func (Receive) isEvent()        {}
func (Tick) isEvent()           {}

// PeerLoad is the load that another router, or several together, put on the upstreams, and the
// demand that they receive. Codecs write it as an array, so the order of the fields is part of
// the wire format.
type PeerLoad struct {
	_         struct{} `codec:",toarray"`
	From      RouterID
	Upstreams []UpstreamLoad
	Accounts  []AccountDemand
	// ReservedShare is the fraction of the slots, 0 to 1, that is reserved for accounts that
	// have not used up their share.
	ReservedShare float32
	// Pools holds the contested share and the engine speed of each pool.
	Pools []PoolDemand
	// Routers are the routers whose loads are summed in this message. If empty, it is the load
	// of From alone.
	Routers []NameHash
	// Quiet marks the routers with little traffic, which leave their shares of cold upstreams
	// to others: one bit for each entry of Routers, or one for From, the lowest bits first.
	// Missing bits are zero.
	Quiet []byte
}

// IsQuiet reports whether the router with the given index in Routers has little traffic.
func (l *PeerLoad) IsQuiet(i int) bool { return i/8 < len(l.Quiet) && l.Quiet[i/8]>>(i%8)&1 == 1 }

// SetQuiet marks the router with the given index in Routers as one with little traffic.
func (l *PeerLoad) SetQuiet(i int) {
	for i/8 >= len(l.Quiet) {
		l.Quiet = append(l.Quiet, 0)
	}
	l.Quiet[i/8] |= 1 << (i % 8)
}

// FleetSum is the From of a PeerLoad that sums the loads of all other routers.
const FleetSum RouterID = "*"

// PeerLost reports that the last PeerLoad from Router is no longer valid.
type PeerLost struct {
	Router RouterID
}

// PoolDemand holds the measurements of one router for one pool of engines.
type PoolDemand struct {
	_    struct{} `codec:",toarray"`
	Pool NameHash
	// Contested is a fraction of an upstream's slots, 0 to 1. If fewer slots are free, a router
	// uses no more than its own part of the upstream's slots.
	Contested float32
	// BaseSeconds and SecondsPerToken are the router's estimates of the time to the first
	// output: a fixed part and a part per prompt token. Zero means no estimate yet.
	BaseSeconds, SecondsPerToken float32
}

// UpstreamLoad is the load that one router puts on one upstream.
type UpstreamLoad struct {
	_        struct{} `codec:",toarray"`
	Upstream NameHash
	// Running is the number of requests in progress.
	Running uint32
	// UnreadTokens is the number of prompt tokens that the upstream has still to process, for
	// requests without output so far.
	UnreadTokens uint32
	// Parts are the shared prompt parts sent to the upstream since the last message.
	Parts []PartID
	// Pace holds observations of the upstream's speed, or nil if there are none. Routers with
	// an older version skip it.
	Pace *Pace
}

// Pace holds sums of observations of the streams of one upstream, which decay with time. The
// sums of several routers can be added.
type Pace struct {
	_ struct{} `codec:",toarray"`
	// Events is the number of events of streams with a pause limit, and LateEvents the number
	// of those that came later than the limit after the event before.
	Events, LateEvents uint32
	// UsualMS is the time between two events while the upstream reads no prompt, in
	// milliseconds, times Events.
	UsualMS uint32
}

// Plus returns the sum of two observations, either of which may be nil.
func (p *Pace) Plus(other *Pace) *Pace {
	if p == nil {
		return other
	}
	if other == nil {
		return p
	}
	return &Pace{Events: p.Events + other.Events, LateEvents: p.LateEvents + other.LateEvents, UsualMS: p.UsualMS + other.UsualMS}
}

// Minus returns the observations in p without those of other, which p includes.
func (p *Pace) Minus(other *Pace) *Pace {
	if p == nil || other == nil {
		return p
	}
	return &Pace{Events: p.Events - other.Events, LateEvents: p.LateEvents - other.LateEvents, UsualMS: p.UsualMS - other.UsualMS}
}

// NameHash is a hash of the name of a router, upstream, pool or client account. Routers
// exchange messages several times a second, and hashes keep these short; both sides know the
// names. Names with the same hash count as one in forecasts and shares.
type NameHash uint32

// HashName returns the NameHash of a name.
func HashName[T ~string](name T) NameHash { return NameHash(xxhash.Sum64String(string(name))) }

// AccountDemand is the demand of one client account at one router.
type AccountDemand struct {
	_       struct{} `codec:",toarray"`
	Account NameHash
	// Rate is the cost of the account's arriving requests and Served the cost of those that are
	// served, both in units of Work.Cost per second.
	Rate, Served uint32
}

func (PeerLost) isEvent() {}
func (PeerLoad) isEvent() {}
