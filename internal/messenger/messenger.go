// Package messenger holds the typed vocabulary of the decision logic: names,
// the policy in force, the events that go in and the actions that come out.
//
// The decision logic does no I/O. A caller hands it one Event and the time and
// carries out the Actions it returns; so the same code runs in the daemon, in
// a test with virtual time and under a fuzzer.
//
// # Usage
//
//	for _, a := range sched.Handle(clock.Now(), messenger.Arrive{Request: id, Account: "riga-1", Pool: "assistant"}) {
//		switch a := a.(type) {
//		case messenger.Dispatch: // send the request to a.Upstream
//		case messenger.Refuse:   // answer "not run", come back after a.RetryAfter
//		case messenger.Send:     // pass a.Message to the router a.To
//		}
//	}
package messenger

// Names of the things that decisions are about.
type (
	// RequestID identifies a request within the router that accepted it.
	RequestID uint64
	// RouterID is the name of a router, unique in the fleet.
	RouterID string
	// AccountID is the name of a client account.
	AccountID string
	// ClassID is the name of a class of requests, such as "consultation".
	ClassID string
	// PoolID is the name of a pool of upstreams that can serve the same work.
	PoolID string
	// UpstreamID is the name of an upstream, unique in the fleet.
	UpstreamID string
)

// RunState says whether an upstream may have run a request.
type RunState string

// The statements made to callers, in the header RunHeader.
const (
	StateNotRun  RunState = "not-run"
	StateRun     RunState = "run"
	StateUnknown RunState = "unknown"
)

// Names of the HTTP headers that lentilwood reads and writes.
const (
	// RunHeader carries a RunState on every answer.
	RunHeader = "Lentilwood-Run"
	// ClassHeader lets a caller choose among the classes its route allows.
	ClassHeader = "Lentilwood-Class"
	// CostHintHeader is the caller's rough guess of the cost, in tokens.
	CostHintHeader = "Lentilwood-Cost-Hint"
	// DeadlineHeader is how long the caller still waits, in milliseconds.
	DeadlineHeader = "Lentilwood-Deadline-Ms"
	// PrefixHeader names the prompt prefix, for cache affinity.
	PrefixHeader = "Lentilwood-Prefix"
	// RequestIDHeader is the caller's id of its request. Towards upstreams it
	// carries the fleet's id.
	RequestIDHeader = "X-Request-Id"
	// FleetRequestIDHeader is the fleet's id of a request, on every answer.
	FleetRequestIDHeader = "Lentilwood-Request-Id"
	// IdempotencyKeyHeader is the caller's key for work that runs at most once.
	IdempotencyKeyHeader = "Idempotency-Key"
	// LastEventIDHeader names the last event of a stream that was delivered.
	LastEventIDHeader = "Last-Event-Id"
	// FenceHeader carries the fencing number of an order to an upstream.
	FenceHeader = "Lentilwood-Fence"
)
