package messenger

import "time"

// Policy is the configuration in force at one moment, with defaults,
// exceptions and schedules already resolved. Its maps are read-only once
// published.
type Policy struct {
	// Version is the configuration's version; 0 means none is known yet.
	Version uint64
	// Account applies to client accounts that Accounts does not name.
	Account AccountPolicy
	// Accounts holds the client accounts that differ from Account.
	Accounts map[AccountID]AccountPolicy
	// Classes holds each class of requests.
	Classes map[ClassID]ClassPolicy
	// Pools holds each pool of upstreams.
	Pools map[PoolID]PoolPolicy
	// Upstreams holds each upstream that is known.
	Upstreams map[UpstreamID]UpstreamPolicy
	// Throughput is what all engines together do in a second, counted as
	// Work.Cost does; zero means not known.
	Throughput float64
}

// AccountOf returns the policy of one client account.
func (p *Policy) AccountOf(id AccountID) AccountPolicy {
	if a, ok := p.Accounts[id]; ok {
		return a
	}
	return p.Account
}

// AccountPolicy is what one client account may use, over the whole fleet.
// A limit of zero means no limit.
type AccountPolicy struct {
	// Weight is the account's share relative to others; zero means 1.
	Weight float64
	// RequestsPerSecond bounds the rate of accepted requests.
	RequestsPerSecond float64
	// Burst is how many requests may come at once on top of the rate.
	Burst int
	// Concurrency bounds the requests in progress.
	Concurrency int
	// TokensPerMinute bounds generated tokens.
	TokensPerMinute float64
	// QueueLength bounds the requests waiting in each pool.
	QueueLength int
}

// ClassPolicy is how one class of requests is treated.
type ClassPolicy struct {
	// Precedence orders classes; the higher goes first.
	Precedence int
	// Floor is the share of a pool, 0 to 1, that the class gets even while
	// classes of higher precedence wait.
	Floor float64
	// Long marks work that may hold an upstream's slot for long.
	Long bool
	// ExpectedTokens is the cost assumed before anything was observed.
	ExpectedTokens float64
	// Hedge allows a second copy of an idempotent request.
	Hedge bool
	// ProgressTimeout is how long an upstream may be silent.
	ProgressTimeout time.Duration
	// QueueTimeout is how long a request may wait for its turn.
	QueueTimeout time.Duration
}

// PoolPolicy is how one pool of upstreams is used.
type PoolPolicy struct {
	// LongShare is the largest share, 0 to 1, of each upstream's window that
	// long work may hold; zero means no bound.
	LongShare float64
	// HedgeBudget is the largest share, 0 to 1, of requests that are hedged.
	HedgeBudget float64
	// Engine describes the pool's model engines; nil for plain services.
	Engine *EnginePolicy
}

// EnginePolicy is what is known beforehand of the model engines of a pool.
type EnginePolicy struct {
	// MemoryTokens is the tokens that running requests and kept prompts share.
	MemoryTokens int
}

// UpstreamPolicy describes one upstream.
type UpstreamPolicy struct {
	Pool PoolID
	// Address is host:port by IP number.
	Address string
	// Domain is the failure domain the upstream stands in.
	Domain string
	// Window is the most requests it is given at a time.
	Window int
	// Engine is true for a model engine and false for a plain service.
	Engine bool
	// Started tells restarts of its process apart; zero if it does not say.
	Started time.Time
	// Leaving is true once it must get no new work.
	Leaving bool
	// NoLong is true once it must get no new long work.
	NoLong bool
	// MoveTo is the engine that streams in progress are to be moved to; empty
	// means that they finish where they are.
	MoveTo UpstreamID
	// ChecksFence is true if it refuses orders with an old fencing number.
	ChecksFence bool
}
