// Package matcher finds the route of a request by its host and path, and the
// client account by its key, in a configuration that a platform keeps.
//
// A Table is built once from the routes of one version and never changed, so
// that a request is served by one version from its arrival on.
//
// # Usage
//
//	t, findings := matcher.New(version, routes, accounts)
//	route, ok := t.Route("fitting.example", "/consult/2f")
//	account, ok := t.Account(key)
package matcher

import (
	"net"
	"strings"
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
)

// Share is a part of a route's requests that goes to one pool.
type Share struct {
	Pool messenger.PoolID
	// Weight is relative to the other shares of the route.
	Weight int
}

// Route says how requests with one host and prefix are served.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	// Shares names the pools; at least one.
	Shares []Share
	// Idempotent is true if a request may run more than once.
	Idempotent bool
	// Streaming is true if the answer is a stream of events, and Resumable if
	// another upstream may go on with it.
	Streaming, Resumable bool
	// Public is true if no key is needed.
	Public bool
	// Timeout bounds the time to the whole answer; zero means no bound.
	Timeout time.Duration
	// Objective is the time to the first output that the operator aims at.
	Objective time.Duration
	// MaxSends bounds the upstreams that are given a request.
	MaxSends int
	// Precedence orders routes; the higher goes first.
	Precedence int
}

// Pool returns the pool of a request, drawn by the weights from a number that
// is spread evenly over its range.
func (r *Route) Pool(draw uint64) messenger.PoolID {
	total := 0
	for _, s := range r.Shares {
		total += s.Weight
	}
	if total <= 0 {
		return r.Shares[0].Pool
	}
	at := int(draw % uint64(total))
	for _, s := range r.Shares {
		if at < s.Weight {
			return s.Pool
		}
		at -= s.Weight
	}
	return r.Shares[0].Pool
}

// Account is a client account with its keys.
type Account struct {
	Name messenger.AccountID
	Keys []string
	// Precedence replaces the routes', if HasPrecedence.
	Precedence    int
	HasPrecedence bool
}

// Table is the routes and accounts of one version. The zero value has none.
type Table struct {
	version  uint64
	hosts    map[string]map[string]*Route
	accounts map[string]*Account
	keyed    bool
}

// New returns the Table of a version. Routes without a pool are left out.
func New(version uint64, routes []Route, accounts []Account) *Table {
	t := &Table{
		version: version, keyed: len(accounts) > 0,
		hosts: make(map[string]map[string]*Route), accounts: make(map[string]*Account),
	}
	for i := range routes {
		r := &routes[i]
		if len(r.Shares) == 0 {
			continue
		}
		host := strings.ToLower(r.Host)
		if t.hosts[host] == nil {
			t.hosts[host] = make(map[string]*Route)
		}
		t.hosts[host][r.Prefix] = r
	}
	for _, a := range accounts {
		for _, key := range a.Keys {
			t.accounts[key] = &a
		}
	}
	return t
}

// Version returns the version that the Table was built from.
func (t *Table) Version() uint64 { return t.version }

// RequiresKeys reports whether requests need a key, but for those of public routes.
func (t *Table) RequiresKeys() bool { return t.keyed }

// Route returns the route of the host with the longest prefix that begins path.
func (t *Table) Route(host, path string) (*Route, bool) {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	prefixes := t.hosts[strings.ToLower(host)]
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

// Account returns the account that holds a key.
func (t *Table) Account(key string) (*Account, bool) {
	a, ok := t.accounts[key]
	return a, ok
}
