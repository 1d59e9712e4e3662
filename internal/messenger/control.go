package messenger

// Control is what one router tells another at one time, in the roles that the
// two have for each other. Every item states a whole value and no difference,
// so a repeated message changes nothing and a lost one is repaired by the next.
type Control struct {
	_ struct{} `codec:",toarray"`
	// Incarnation is the sender's: another number after each start.
	Incarnation uint64
	// ReceiverIncarnation is the receiver's incarnation as the sender knows it; zero means none.
	ReceiverIncarnation uint64
	// Sequence grows with each message of an incarnation to a receiver. An
	// item does not undo what a later message said.
	Sequence uint64
	// Pools holds what is said of each pool.
	Pools []PoolControl
}

// PoolControl is the part of a Control that concerns one pool.
type PoolControl struct {
	_    struct{} `codec:",toarray"`
	Pool PoolID
	// VirtualTime is the sender's virtual time, in normalised tokens.
	VirtualTime int64
	// Demand is what the sender wants of the upstreams that the receiver owns.
	Demand []Demand
	// Holdings are the slots the sender keeps of upstreams the receiver owns.
	Holdings []Holding
	// Grants are the slots the receiver may use of upstreams the sender owns.
	Grants []Grant
	// CompetingDemand is what others want of the upstreams that the sender owns.
	CompetingDemand []Demand
	// Uses is the use of accounts whose home is the receiver.
	Uses []AccountUse
	// Tags are the tags of accounts whose home is the sender.
	Tags []AccountTag
}

// Demand is a wish for slots in one pool.
type Demand struct {
	_ struct{} `codec:",toarray"`
	// Waiting counts the requests without a slot; Long those that are long.
	Waiting, Long int
	// Precedence and Tag are those of the request that goes first.
	Precedence int
	Tag        int64
}

// Holding states how many slots of an upstream a router keeps.
type Holding struct {
	_        struct{} `codec:",toarray"`
	Upstream UpstreamID
	// Slots and Long count all slots, and those that long work may use.
	Slots, Long int
	// GrantSequence is the sequence of the newest Grant that was taken in.
	GrantSequence uint64
}

// Grant states how many slots of an upstream a router may use.
type Grant struct {
	_           struct{} `codec:",toarray"`
	Upstream    UpstreamID
	Slots, Long int
	// Sequence grows with each change of the grant.
	Sequence uint64
}

// AccountUse is what one router gave one client account.
type AccountUse struct {
	_       struct{} `codec:",toarray"`
	Account AccountID
	// Served is the sum of charges since the sender started, in tokens.
	Served int64
	// Tag is the account's tag as the sender sees it.
	Tag int64
	// Waiting and Running count the account's requests at the sender.
	Waiting, Running int
	// Rate is the number of requests offered per minute.
	Rate int
}

// AccountTag is what the home of a client account tells a router.
type AccountTag struct {
	_       struct{} `codec:",toarray"`
	Account AccountID
	// Tag is the account's virtual start tag, in normalised tokens.
	Tag int64
	// Included is the receiver's own service that the tag includes.
	Included int64
	// Waiting and Running count the account's requests at other routers.
	Waiting, Running int
	// Rate is the number of requests offered per minute to all routers.
	Rate int
	// Routers counts the routers that serve the account.
	Routers int
}
