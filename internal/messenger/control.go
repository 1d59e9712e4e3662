package messenger

// Control is the scheduling state that one router sends to another: as owner and as user of
// upstreams, and as home router of client accounts. Every item carries an absolute value, not
// a difference, so messages are idempotent and the next one makes up for a lost one.
type Control struct {
	_ struct{} `codec:",toarray"`
	// Incarnation is the incarnation of the sender, which differs after each start.
	Incarnation uint64
	// ReceiverIncarnation is the receiver's incarnation as known to the sender, or 0 if
	// unknown.
	ReceiverIncarnation uint64
	// Sequence increases with each message of an incarnation to a receiver. An item of an
	// earlier message does not override one of a later message.
	Sequence uint64
	// Pools holds the state of each pool.
	Pools []PoolControl
}

// PoolControl is the part of a Control that concerns one pool.
type PoolControl struct {
	_    struct{} `codec:",toarray"`
	Pool PoolID
	// VirtualTime is the sender's virtual time of the pool, in tokens divided by weight.
	VirtualTime int64
	// Demand is the sender's demand for slots of upstreams that the receiver owns.
	Demand []Demand
	// Holdings are the slots that the sender holds of upstreams that the receiver owns.
	Holdings []Holding
	// Grants are the slots that the receiver may use of upstreams that the sender owns.
	Grants []Grant
	// CompetingDemand is the other routers' demand for slots of upstreams that the sender
	// owns.
	CompetingDemand []Demand
	// Uses states how much the sender has served accounts whose home router is the receiver.
	Uses []AccountUse
	// Tags holds the virtual start tags of accounts whose home router is the sender.
	Tags []AccountTag
}

// Demand is a router's demand for slots in one pool.
type Demand struct {
	_ struct{} `codec:",toarray"`
	// Waiting is the number of requests that need a slot. Long is the number of long requests
	// that wait because no slot is free for long work.
	Waiting, Long int
	// Precedence is the precedence of the next request to dispatch, and Tag the virtual start
	// tag of its account.
	Precedence int
	Tag        int64
}

// Holding states how many slots of an upstream a router holds.
type Holding struct {
	_        struct{} `codec:",toarray"`
	Upstream UpstreamID
	// Slots is the number of slots and Long the number that long work may use.
	Slots, Long int
	// GrantSequence is the Sequence of the newest Grant that the router has received.
	GrantSequence uint64
}

// Grant states how many slots of an upstream a router may use.
type Grant struct {
	_           struct{} `codec:",toarray"`
	Upstream    UpstreamID
	Slots, Long int
	// Sequence increases with each change of the grant.
	Sequence uint64
}

// AccountUse states how much one router has served one client account.
type AccountUse struct {
	_       struct{} `codec:",toarray"`
	Account AccountID
	// Served is the total charged to the account since the sender started, in tokens.
	Served int64
	// Tag is the account's virtual start tag as known to the sender.
	Tag int64
	// Waiting and Running are the numbers of the account's requests at the sender.
	Waiting, Running int
	// Rate is the number of requests per minute that arrive at the sender.
	Rate int
}

// AccountTag is the report of a client account's home router to another router.
type AccountTag struct {
	_       struct{} `codec:",toarray"`
	Account AccountID
	// Tag is the account's virtual start tag, in tokens divided by weight.
	Tag int64
	// Included is how many of the tokens that the receiver has charged to the account are
	// included in Tag.
	Included int64
	// Waiting and Running are the numbers of the account's requests at other routers.
	Waiting, Running int
	// Rate is the number of requests per minute that arrive at all routers together.
	Rate int
	// Routers is the number of routers that serve the account.
	Routers int
}
