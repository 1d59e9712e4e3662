// Package matcher finds the route of a request by host and path, and the client account
// by API key, in one version of a platform's configuration.
//
// A Table is built from the routes and accounts of one version and is immutable, so that
// a request is served by a single version from start to end.
//
// # Usage
//
//	t := matcher.New(version, routes, accounts)
//	route, ok := t.Route("fitting.example", "/consult/2f")
//	account, ok := t.Account(key)
package matcher

import (
	"net"
	"strings"
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
)

// Share is the share of a route's requests that goes to one pool.
type Share struct {
	Pool messenger.PoolID
	// Weight is relative to the weights of the route's other shares.
	Weight int
}

// Route defines how requests with a host and path prefix are served.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	// Shares lists the pools; there is at least one.
	Shares []Share
	// Idempotent is true if a request may run more than once.
	Idempotent bool
	// Streaming is true if the response is an event stream. Resumable is true if another
	// upstream may continue the stream.
	Streaming, Resumable bool
	// Public is true if no API key is needed.
	Public bool
	// Timeout limits the time until the response is complete; zero means no limit.
	Timeout time.Duration
	// Objective is the operator's target for the time to first output.
	Objective time.Duration
	// PauseLimit is the operator's target for the longest pause between two events of a
	// stream; zero means none.
	PauseLimit time.Duration
	// MaxSends limits the number of upstreams that a request is sent to.
	MaxSends int
	// Precedence orders routes; a higher value is served first.
	Precedence int
}

// Pool selects the pool of a request by weight. draw is a random number that is uniformly
// distributed over all uint64 values.
func (r *Route) Pool(draw uint64) messenger.PoolID {
	totalWeight := 0
	for _, s := range r.Shares {
		totalWeight += s.Weight
	}
	if totalWeight <= 0 {
		return r.Shares[0].Pool
	}
	offset := int(draw % uint64(totalWeight))
	for _, s := range r.Shares {
		if offset < s.Weight {
			return s.Pool
		}
		offset -= s.Weight
	}
	return r.Shares[0].Pool
}

// Account is a client account and its API keys.
type Account struct {
	Name messenger.AccountID
	Keys []string
	// Precedence overrides the route's precedence if HasPrecedence is set.
	Precedence    int
	HasPrecedence bool
}

// Table holds the routes and accounts of one configuration version. The zero value is
// empty.
type Table struct {
	version       uint64
	routesByHost  map[string]map[string]*Route
	accountsByKey map[string]*Account
	requiresKeys  bool
	// resumablePools are the pools of routes whose streams may be resumed.
	resumablePools map[messenger.PoolID]bool
}

// New returns the Table of a version. Routes without a pool are omitted.
func New(version uint64, routes []Route, accounts []Account) *Table {
	t := &Table{
		version: version, requiresKeys: len(accounts) > 0,
		routesByHost: make(map[string]map[string]*Route), accountsByKey: make(map[string]*Account),
		resumablePools: make(map[messenger.PoolID]bool),
	}
	for i := range routes {
		r := &routes[i]
		if len(r.Shares) == 0 {
			continue
		}
		host := strings.ToLower(r.Host)
		if t.routesByHost[host] == nil {
			t.routesByHost[host] = make(map[string]*Route)
		}
		t.routesByHost[host][r.Prefix] = r
		for _, share := range r.Shares {
			t.resumablePools[share.Pool] = t.resumablePools[share.Pool] || r.Resumable
		}
	}
	for _, a := range accounts {
		for _, key := range a.Keys {
			t.accountsByKey[key] = &a
		}
	}
	return t
}

// Version returns the version that the Table was built from.
func (t *Table) Version() uint64 { return t.version }

// IsResumable reports whether some route has streams in a pool that may be resumed.
func (t *Table) IsResumable(pool messenger.PoolID) bool { return t.resumablePools[pool] }

// RequiresKeys reports whether requests need an API key. Requests of public routes never
// do.
func (t *Table) RequiresKeys() bool { return t.requiresKeys }

// Route returns the route of the host with the longest prefix of path.
func (t *Table) Route(host, path string) (*Route, bool) {
	if hostname, _, err := net.SplitHostPort(host); err == nil {
		host = hostname
	}
	prefixes := t.routesByHost[strings.ToLower(host)]
	for end := len(path); end > 0; {
		slash := strings.LastIndexByte(path[:end], '/')
		if slash < 0 {
			return nil, false
		}
		if r, ok := prefixes[path[:slash+1]]; ok {
			return r, true
		}
		end = slash
	}
	return nil, false
}

// Account returns the account that owns a key.
func (t *Table) Account(key string) (*Account, bool) {
	a, ok := t.accountsByKey[key]
	return a, ok
}
