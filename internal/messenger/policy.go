package messenger

import "time"

// Policy is the configuration in force at one moment, with defaults, exceptions and schedules
// already applied. Its maps are read-only once published.
type Policy struct {
	// Version is the version of the configuration, or 0 if none is known yet.
	Version uint64
	// Account applies to client accounts that are not in Accounts.
	Account AccountPolicy
	// Accounts holds the policies of client accounts that differ from Account.
	Accounts map[AccountID]AccountPolicy
	// Classes holds the policy of each class of requests.
	Classes map[ClassID]ClassPolicy
	// Pools holds the policy of each pool of upstreams.
	Pools map[PoolID]PoolPolicy
	// Upstreams holds the policy of each known upstream.
	Upstreams map[UpstreamID]UpstreamPolicy
	// Throughput is the throughput of all engines together, in units of Work.Cost per second,
	// or 0 if unknown.
	Throughput float64
}

// AccountOf returns the policy of one client account.
func (p *Policy) AccountOf(id AccountID) AccountPolicy {
	if a, ok := p.Accounts[id]; ok {
		return a
	}
	return p.Account
}

// AccountPolicy holds the weight and the limits of one client account, which apply to the whole
// fleet. A limit of 0 means no limit.
type AccountPolicy struct {
	// Weight is the account's share relative to other accounts; 0 means 1.
	Weight float64
	// RequestsPerSecond limits the rate of admitted requests.
	RequestsPerSecond float64
	// Burst is the number of requests that may arrive at once in excess of the rate.
	Burst int
	// Concurrency limits the number of requests in progress.
	Concurrency int
	// TokensPerMinute limits the rate of generated tokens.
	TokensPerMinute float64
	// QueueLength limits the number of requests waiting in each pool.
	QueueLength int
}

// ClassPolicy holds the scheduling settings of one class of requests.
type ClassPolicy struct {
	// Precedence orders classes, highest first.
	Precedence int
	// Floor is the fraction of a pool, 0 to 1, that the class gets even while requests of
	// higher precedence wait.
	Floor float64
	// Long is true if requests may occupy a slot of an upstream for a long time.
	Long bool
	// ExpectedTokens is the assumed cost of a request before any has been observed.
	ExpectedTokens float64
	// Hedge is true if a second copy of an idempotent request may be sent.
	Hedge bool
	// ProgressTimeout is how long an upstream may send nothing for a request.
	ProgressTimeout time.Duration
	// QueueTimeout is how long a request may wait in the queue.
	QueueTimeout time.Duration
}

// PoolPolicy holds the scheduling settings of one pool of upstreams.
type PoolPolicy struct {
	// LongShare is the maximum fraction, 0 to 1, of each upstream's window that long work may
	// occupy; 0 means no limit.
	LongShare float64
	// HedgeBudget is the maximum fraction, 0 to 1, of requests that are hedged.
	HedgeBudget float64
	// Engine describes the pool's model engines; nil for plain services.
	Engine *EnginePolicy
	// Cold limits the requests to upstreams that are cold; the zero value means no limit.
	Cold ColdPolicy
	// HealthPath is the path of the health probes of the pool's upstreams; "" means the usual one.
	HealthPath string
}

// ColdPolicy describes upstreams that are cold after their start.
type ColdPolicy struct {
	// PerSecond is the number of requests per second that all routers together may send to a
	// cold upstream; 0 means no limit.
	PerSecond float64
	// Duration is how long an upstream is cold after its start.
	Duration time.Duration
}

// EnginePolicy holds the configured properties of a pool's model engines.
type EnginePolicy struct {
	// MemoryTokens is the capacity, in tokens, that running requests and cached prompts share.
	MemoryTokens int
}

// UpstreamPolicy holds the properties and the state of one upstream.
type UpstreamPolicy struct {
	Pool PoolID
	// Address is the upstream's host:port, with an IP address as host.
	Address string
	// Domain is the failure domain of the upstream.
	Domain string
	// Window is the maximum number of concurrent requests sent to the upstream.
	Window int
	// Engine is true for a model engine and false for a plain service.
	Engine bool
	// HealthPath is that of the upstream's pool.
	HealthPath string
	// SoftwareVersion is the version of the upstream's software; "" if not reported. What two versions
	// write in a stream doesn't fit together.
	SoftwareVersion string
	// Started is the start time of the upstream's process, which distinguishes restarts; zero
	// if not reported.
	Started time.Time
	// Leaving is true once the upstream must get no new requests.
	Leaving bool
	// Evacuated is true while the operator empties the upstream's failure domain. The upstream
	// gets no new requests meanwhile and finishes those that it runs.
	Evacuated bool
	// NoLong is true once the upstream must get no new long requests.
	NoLong bool
	// MoveTo is the engine to which streams in progress must be moved. If empty, they finish on
	// this upstream.
	MoveTo UpstreamID
	// ColdLeft is how much longer the upstream is cold according to its row. Decoders set it;
	// published policies have ColdUntil instead.
	ColdLeft time.Duration
	// ColdUntil is the end of the time in which the upstream is cold. It is zero if the pool has
	// no limit for cold upstreams.
	ColdUntil time.Time
	// ColdLimited is true if the pool has a limit for cold upstreams.
	ColdLimited bool
	// ColdAssumed is true if ColdUntil is assumed because the upstream's process has ended, and
	// holds until the upstream answers.
	ColdAssumed bool
	// ChecksFence is true if the upstream refuses orders with an outdated fencing number.
	ChecksFence bool
}

// IsCold reports whether the upstream is cold.
func (u UpstreamPolicy) IsCold(now time.Time) bool { return now.Before(u.ColdUntil) }

// AcceptsWork reports whether new requests may be sent to the upstream.
func (u UpstreamPolicy) AcceptsWork() bool { return !u.Leaving && !u.Evacuated }
