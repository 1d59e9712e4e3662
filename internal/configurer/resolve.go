package configurer

import (
	"slices"
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
	"lentilwood.example/lentilwood/internal/orderer"
)

// Resolve returns the policy at a time for one router in a failure domain. It applies
// the defaults, the named entries, and then the active exceptions from the widest
// scope to the narrowest.
func (d *Document) Resolve(now time.Time, self messenger.RouterID, domain string) *messenger.Policy {
	r := resolver{doc: d, now: now, self: self, domain: domain}
	for _, id := range d.exceptionOrder() {
		if e := d.Exceptions[id]; r.applies(e) {
			r.addException(e)
		}
	}
	return &messenger.Policy{
		Version:   d.Version,
		Account:   r.account("", &AccountSettings{}),
		Accounts:  r.accounts(),
		Classes:   r.classes(),
		Pools:     r.pools(),
		Upstreams: r.upstreams(),
	}
}

type resolver struct {
	doc        *Document
	now        time.Time
	self       messenger.RouterID
	domain     string
	exceptions []Exception
	// accountWide are the exceptions that apply to all client accounts.
	// scopedAccounts are the accounts with exceptions of their own; the other accounts
	// need only accountWide.
	accountWide    []Exception
	scopedAccounts map[messenger.AccountID]bool
}

func (r *resolver) addException(e Exception) {
	r.exceptions = append(r.exceptions, e)
	if e.Account == nil {
		return
	}
	if e.Scope.Account == "" {
		r.accountWide = append(r.accountWide, e)
		return
	}
	if r.scopedAccounts == nil {
		r.scopedAccounts = make(map[messenger.AccountID]bool)
	}
	r.scopedAccounts[e.Scope.Account] = true
}

// applies reports whether an exception is active now on this router.
func (r *resolver) applies(e Exception) bool {
	if e.Until != nil && !r.now.Before(*e.Until) {
		return false
	}
	if e.Scope.Router != "" && e.Scope.Router != r.self {
		return false
	}
	return e.Upstream != nil || e.Scope.Domain == "" || e.Scope.Domain == r.domain
}

// account resolves one client account; the empty id returns the default.
func (r *resolver) account(id messenger.AccountID, s *AccountSettings) messenger.AccountPolicy {
	var p messenger.AccountPolicy
	r.doc.Account.apply(&p)
	s.apply(&p)
	exceptions := r.accountWide
	if r.scopedAccounts[id] {
		exceptions = r.exceptions
	}
	for i := range exceptions {
		e := &exceptions[i]
		if e.Account != nil && (e.Scope.Account == "" || e.Scope.Account == id) {
			e.Account.apply(&p)
		}
	}
	return p
}

func (r *resolver) accounts() map[messenger.AccountID]messenger.AccountPolicy {
	policies := make(map[messenger.AccountID]messenger.AccountPolicy, len(r.doc.Accounts))
	defaultPolicy := r.account("", &AccountSettings{})
	for id, s := range r.doc.Accounts {
		if p := r.account(id, &s); p != defaultPolicy {
			policies[id] = p
		}
	}
	return policies
}

func (r *resolver) classes() map[messenger.ClassID]messenger.ClassPolicy {
	policies := make(map[messenger.ClassID]messenger.ClassPolicy, len(r.doc.Classes))
	for id, c := range r.doc.Classes {
		var p messenger.ClassPolicy
		c.apply(&p, r.now, r.doc.TimeZone)
		for _, e := range r.exceptions {
			if e.Class != nil && (e.Scope.Class == "" || e.Scope.Class == id) {
				e.Class.apply(&p, r.now, r.doc.TimeZone)
			}
		}
		policies[id] = p
	}
	return policies
}

func (r *resolver) pools() map[messenger.PoolID]messenger.PoolPolicy {
	policies := make(map[messenger.PoolID]messenger.PoolPolicy, len(r.doc.Pools))
	for id, c := range r.doc.Pools {
		var p messenger.PoolPolicy
		c.apply(&p)
		for _, e := range r.exceptions {
			if e.Pool != nil && (e.Scope.Pool == "" || e.Scope.Pool == id) {
				e.Pool.apply(&p)
			}
		}
		policies[id] = p
	}
	return policies
}

func (r *resolver) upstreams() map[messenger.UpstreamID]messenger.UpstreamPolicy {
	policies := make(map[messenger.UpstreamID]messenger.UpstreamPolicy, len(r.doc.Upstreams))
	for id, c := range r.doc.Upstreams {
		var p messenger.UpstreamPolicy
		c.apply(&p)
		for _, e := range r.exceptions {
			if e.Upstream != nil && e.Scope.IncludesUpstream(id, c) {
				e.Upstream.apply(&p)
			}
		}
		policies[id] = p
	}
	return policies
}

// Engines returns the wanted state of each model engine that has one, for the
// orderer.
func (d *Document) Engines(now time.Time) map[messenger.UpstreamID]orderer.Engine {
	r := resolver{doc: d, now: now}
	engines := make(map[messenger.UpstreamID]orderer.Engine)
	for id, p := range d.Resolve(now, "", "").Upstreams {
		if want := r.wantedState(id, p); want != nil && p.Engine {
			engines[id] = orderer.Engine{Want: *want, ChecksFence: p.ChecksFence}
		}
	}
	return engines
}

// wantedState resolves the wanted state of one engine: first the pool's, then its own,
// then exceptions for either.
func (r *resolver) wantedState(id messenger.UpstreamID, p messenger.UpstreamPolicy) *orderer.State {
	u := r.doc.Upstreams[id]
	want := r.doc.Pools[p.Pool].State
	replaceIfSet(&want, u.State)
	for _, name := range r.doc.exceptionOrder() {
		e := r.doc.Exceptions[name]
		if !r.applies(e) {
			continue
		}
		if e.Pool != nil && (e.Scope.Pool == "" || e.Scope.Pool == p.Pool) && u.State == nil {
			replaceIfSet(&want, e.Pool.State)
		}
		if e.Upstream != nil && e.Scope.IncludesUpstream(id, u) {
			replaceIfSet(&want, e.Upstream.State)
		}
	}
	return want
}

// replaceIfSet sets the pointer *to to from, unless from is nil.
func replaceIfSet[T any](to **T, from *T) {
	if from != nil {
		*to = from
	}
}

// IncludesUpstream reports whether the scope includes an upstream. Only the pool and
// failure domain in the document count, not those set by exceptions.
func (s Scope) IncludesUpstream(id messenger.UpstreamID, u UpstreamSettings) bool {
	return (s.Upstream == "" || s.Upstream == id) &&
		(s.Pool == "" || s.Pool == u.Pool) &&
		(s.Domain == "" || s.Domain == u.Domain)
}

func (s *AccountSettings) apply(p *messenger.AccountPolicy) {
	overrideIfSet(&p.Weight, s.Weight)
	overrideIfSet(&p.RequestsPerSecond, s.RequestsPerSecond)
	overrideIfSet(&p.Burst, s.Burst)
	overrideIfSet(&p.Concurrency, s.Concurrency)
	overrideIfSet(&p.TokensPerMinute, s.TokensPerMinute)
	overrideIfSet(&p.QueueLength, s.QueueLength)
}

func (s ClassSettings) apply(p *messenger.ClassPolicy, now time.Time, zone string) {
	overrideIfSet(&p.Precedence, s.Precedence)
	overrideIfSet(&p.Floor, s.Floor)
	overrideIfSet(&p.Long, s.Long)
	overrideIfSet(&p.ExpectedTokens, s.ExpectedTokens)
	overrideIfSet(&p.Hedge, s.Hedge)
	overrideIfSet(&p.ProgressTimeout, (*time.Duration)(s.ProgressTimeout))
	overrideIfSet(&p.QueueTimeout, (*time.Duration)(s.QueueTimeout))
	i := s.activePeriod(now, zone)
	if i < 0 {
		return
	}
	overrideIfSet(&p.Precedence, s.Schedule[i].Precedence)
	overrideIfSet(&p.Floor, s.Schedule[i].Floor)
}

func (s PoolSettings) apply(p *messenger.PoolPolicy) {
	overrideIfSet(&p.LongShare, s.LongShare)
	overrideIfSet(&p.HedgeBudget, s.HedgeBudget)
}

func (s UpstreamSettings) apply(p *messenger.UpstreamPolicy) {
	if s.Pool != "" {
		p.Pool = s.Pool
	}
	if s.Address != "" {
		p.Address = s.Address
	}
	if s.Domain != "" {
		p.Domain = s.Domain
	}
	if s.MoveTo != "" {
		p.MoveTo = s.MoveTo
	}
	if s.SoftwareVersion != "" {
		p.SoftwareVersion = s.SoftwareVersion
	}
	overrideIfSet(&p.Window, s.Window)
	overrideIfSet(&p.Engine, s.Engine)
	overrideIfSet(&p.Leaving, s.Leaving)
	overrideIfSet(&p.NoLong, s.NoLong)
	overrideIfSet(&p.ChecksFence, s.ChecksFence)
}

// overrideIfSet copies *from to *to, unless from is nil.
func overrideIfSet[T any](to, from *T) {
	if from != nil {
		*to = *from
	}
}

func sortedKeys[K ~string, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
