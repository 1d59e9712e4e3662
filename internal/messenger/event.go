package messenger

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Event is one thing that happened, told to the decision logic.
type Event interface{ isEvent() }

// Arrive says that a request came in and waits for its turn. The answer is a
// Dispatch or a Refuse, now or later.
type Arrive struct {
	Request RequestID
	Account AccountID
	Class   ClassID
	Pool    PoolID
	// CostHint is the caller's guess in tokens; zero means none.
	CostHint float64
	// Deadline is when the caller stops waiting; zero means never.
	Deadline time.Time
	// Idempotent is true if the request may be sent more than once.
	Idempotent bool
	// Prefix is a hash of the prompt prefix; zero means none.
	Prefix uint64
	// Work is what the request asks of a model engine; the zero value means
	// that nothing is known of it.
	Work Work
	// Objective is the time from the arrival to the first output that the
	// operator aims at; zero means none.
	Objective time.Duration
	// Precedence orders requests that wait; the higher goes first. Requests with
	// a class of the configuration have that class's instead.
	Precedence int
}

// Work is what one request asks of a model engine.
type Work struct {
	// Prompt holds the parts of the prompt in order.
	Prompt []PromptPart
	// MaxOutputTokens is how many tokens may be generated.
	MaxOutputTokens int
}

// PromptPart is a part of a prompt that requests may share.
type PromptPart struct {
	// Chain identifies the part together with all parts before it.
	Chain uint64
	// Tokens is the length of the part.
	Tokens int
}

// PromptTokens returns the length of the whole prompt.
func (w Work) PromptTokens() int {
	n := 0
	for _, p := range w.Prompt {
		n += p.Tokens
	}
	return n
}

// Cost returns what the work counts for in shares of throughput: each token
// read once and each token generated twice.
func (w Work) Cost() float64 { return float64(w.PromptTokens() + 2*w.MaxOutputTokens) }

// Progress says that an upstream produced tokens since the last event.
type Progress struct {
	Request RequestID
	Tokens  float64
	// First is true on the first output of the request.
	First bool
}

// Finish says that a dispatched attempt has ended and its slot is free.
type Finish struct {
	Request  RequestID
	Upstream UpstreamID
	// Tokens is what was produced in total, zero where it is not known.
	Tokens float64
	// Failed is true if the upstream failed, refused or went silent.
	Failed bool
	// Retry is true if the request must be placed again, on another upstream.
	Retry bool
}

// UpstreamSilent says that the upstream of a request has said nothing for the time that its route
// allows. The request goes on there, unless a Dispatch that names Upstream in Replaces
// follows, which frees the slot.
type UpstreamSilent struct {
	Request  RequestID
	Upstream UpstreamID
	// CanMove is true if another upstream may go on with the request.
	CanMove bool
}

// Abandon says that the caller of a request has left. A request that still
// waits is forgotten; one that runs is ended by its Finish.
type Abandon struct{ Request RequestID }

// PolicyChange says that another policy is in force.
type PolicyChange struct{ Policy *Policy }

// PeersChange says which routers are alive, in any order, self included.
type PeersChange struct{ Routers []RouterID }

// Pause is an upstream's wish to be sent nothing by this router for a while. It said so
// when it turned a request away.
type Pause struct {
	Upstream UpstreamID
	Duration time.Duration
}

// LoadReport is what an upstream said of its own load, some time ago.
type LoadReport struct {
	Upstream UpstreamID
	// Running and Waiting count the requests inside the upstream.
	Running, Waiting int
	// Slots is how many requests the upstream works on at a time; zero means
	// that it does not say.
	Slots int
	// Slowdown is how many times longer than usual work takes there now; zero
	// means that it does not say.
	Slowdown float64
	// Measured is when the upstream counted.
	Measured time.Time
}

// CacheReport says that an upstream gained or dropped a prompt prefix. Such
// reports come late and some are missing.
type CacheReport struct {
	Upstream UpstreamID
	Prefix   uint64
	Cached   bool
}

// Receive is a control message from another router.
type Receive struct {
	From    RouterID
	Message PeerMessage
}

// Tick says that time has passed; it comes every TickInterval.
type Tick struct{}

// TickInterval is the time between two Ticks.
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
func (CacheReport) isEvent()    {}
func (Receive) isEvent()        {}
func (Tick) isEvent()           {}

// PeerLoad is what another router runs on the upstreams and is asked for.
// Codecs write it as an array, so the order of the fields is part of the
// format between routers.
type PeerLoad struct {
	_         struct{} `codec:",toarray"`
	From      RouterID
	Upstreams []UpstreamLoad
	Accounts  []AccountDemand
	// ReservedShare is the part of the slots, 0 to 1, that accounts which have used up
	// their share are to leave to others.
	ReservedShare float32
	// Pools says how much of each pool's slots the routers are to divide.
	Pools []PoolDemand
	// Routers are the routers whose loads are added up here; none means that it is the
	// load of From alone.
	Routers []NameHash
}

// FleetSum is the sender of a load that adds up those of all other routers.
const FleetSum RouterID = "*"

// PeerLost says that what another router said of loads no longer counts.
type PeerLost struct {
	Router RouterID
}

// PoolDemand is what one router saw of the demand for one pool of engines.
type PoolDemand struct {
	_    struct{} `codec:",toarray"`
	Pool NameHash
	// Contested is the part of the slots, 0 to 1, that no router should take
	// beyond its own part.
	Contested float32
	// BaseSeconds and SecondsPerToken are what the router learnt of the time to a first output,
	// in seconds and in seconds a token; zero means nothing yet.
	BaseSeconds, SecondsPerToken float32
}

// UpstreamLoad is what one router runs on one upstream.
type UpstreamLoad struct {
	_        struct{} `codec:",toarray"`
	Upstream NameHash
	// Running counts the requests.
	Running uint32
	// UnreadTokens is what is to be read for those without output, in tokens.
	UnreadTokens uint32
	// Parts names the shared parts of prompts sent there since the last message.
	Parts []PartID
}

// NameHash stands for an upstream or account between routers that know its name: what
// they tell each other several times a second is to be short. Two that bear the
// same key count as one in forecasts and shares.
type NameHash uint32

// HashName returns the key of a name.
func HashName[T ~string](name T) NameHash { return NameHash(xxhash.Sum64String(string(name))) }

// PartID names a part of a prompt, with all parts before it, between routers:
// the lower half of PromptPart.Chain. Two parts that bear the same one only make
// a forecast worse.
type PartID uint32

// AccountDemand is what one client account asks of one router.
type AccountDemand struct {
	_       struct{} `codec:",toarray"`
	Account NameHash
	// Rate is what it asks for, in units of Work.Cost a second, and Served what
	// it gets.
	Rate, Served uint32
}

func (PeerLost) isEvent() {}
func (PeerLoad) isEvent() {}
