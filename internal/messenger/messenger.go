// Package messenger defines the types shared by the packages that schedule requests:
// identifiers, the policy in force, the events that a scheduler receives, the actions it
// returns and the messages that routers exchange.
//
// The schedulers do no I/O. The caller passes each Event with the current time and carries
// out the returned Actions. The same code therefore runs in the daemon, in tests with virtual
// time and under a fuzzer.
//
// # Usage
//
//	for _, a := range sched.Handle(clock.Now(), messenger.Arrive{Request: id, Account: "riga-1", Pool: "assistant"}) {
//		switch a := a.(type) {
//		case messenger.Dispatch: // send the request to a.Upstream
//		case messenger.Refuse:   // respond "not run" with a Retry-After of a.RetryAfter
//		case messenger.Send:     // send a.Message to the router a.To
//		}
//	}
package messenger

// Identifiers of requests, routers, client accounts, classes, pools and upstreams.
type (
	// RequestID identifies a request within the router that accepted it.
	RequestID uint64
	// RouterID is the name of a router. It is unique in the fleet.
	RouterID string
	// AccountID is the name of a client account.
	AccountID string
	// ClassID is the name of a class of requests, such as "consultation".
	ClassID string
	// PoolID is the name of a pool of upstreams that can serve the same requests.
	PoolID string
	// UpstreamID is the name of an upstream. It is unique in the fleet.
	UpstreamID string
)

// RunState states whether an upstream may have run a request.
type RunState string

// The values of RunHeader.
const (
	StateNotRun  RunState = "not-run"
	StateRun     RunState = "run"
	StateUnknown RunState = "unknown"
)

// Names of the HTTP headers that lentilwood reads and writes.
const (
	// RunHeader carries the RunState of the request on every response.
	RunHeader = "Lentilwood-Run"
	// ClassHeader selects one of the classes that the route allows.
	ClassHeader = "Lentilwood-Class"
	// CostHintHeader carries the caller's estimate of the request's cost, in tokens.
	CostHintHeader = "Lentilwood-Cost-Hint"
	// DeadlineHeader carries the time that the caller will still wait, in milliseconds.
	DeadlineHeader = "Lentilwood-Deadline-Ms"
	// PrefixHeader identifies the prompt prefix, for cache affinity.
	PrefixHeader = "Lentilwood-Prefix"
	// RequestIDHeader carries the caller's ID of the request. In requests to upstreams it
	// carries the fleet's ID.
	RequestIDHeader = "X-Request-Id"
	// FleetRequestIDHeader carries the fleet's ID of the request on every response.
	FleetRequestIDHeader = "Lentilwood-Request-Id"
	// IdempotencyKeyHeader carries the caller's key for a request that must run at most once.
	IdempotencyKeyHeader = "Idempotency-Key"
	// LastEventIDHeader carries the ID of the last stream event that was delivered.
	LastEventIDHeader = "Last-Event-Id"
	// FenceHeader carries the fencing number of an order to an upstream.
	FenceHeader = "Lentilwood-Fence"
)
