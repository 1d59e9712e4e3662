package configurer

import (
	"slices"
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
	"lentilwood.example/lentilwood/internal/orderer"
)

// Resolve returns the policy in force at a time on one router, which stands in
// a failure domain: defaults, then exceptions that have not ended, the
// narrower after the wider.
func (d *Document) Resolve(now time.Time, self messenger.RouterID, domain string) *messenger.Policy {
	r := resolver{doc: d, now: now, self: self, domain: domain}
	for _, id := range d.ordered() {
		if e := d.Exceptions[id]; r.applies(e) {
			r.add(e)
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
	// common are those of exceptions that change all client accounts, and
	// named are the accounts that others change.
	common []Exception
	named  map[messenger.AccountID]bool
}

func (r *resolver) add(e Exception) {
	r.exceptions = append(r.exceptions, e)
	if e.Account == nil {
		return
	}
	if e.Scope.Account == "" {
		r.common = append(r.common, e)
		return
	}
	if r.named == nil {
		r.named = make(map[messenger.AccountID]bool)
	}
	r.named[e.Scope.Account] = true
}

// applies reports whether an exception holds now on this router.
func (r *resolver) applies(e Exception) bool {
	if e.Until != nil && !r.now.Before(*e.Until) {
		return false
	}
	if e.Scope.Router != "" && e.Scope.Router != r.self {
		return false
	}
	return e.Upstream != nil || e.Scope.Domain == "" || e.Scope.Domain == r.domain
}

// account resolves one client account; the empty id gives the default.
func (r *resolver) account(id messenger.AccountID, s *AccountSettings) messenger.AccountPolicy {
	var p messenger.AccountPolicy
	r.doc.Account.apply(&p)
	s.apply(&p)
	exceptions := r.common
	if r.named[id] {
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
	common := r.account("", &AccountSettings{})
	for id, s := range r.doc.Accounts {
		if p := r.account(id, &s); p != common {
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
			if e.Upstream != nil && e.Scope.holds(id, c) {
				e.Upstream.apply(&p)
			}
		}
		policies[id] = p
	}
	return policies
}

// Engines returns the wanted state of the model engines that have one, for the
// orderer.
func (d *Document) Engines(now time.Time) map[messenger.UpstreamID]orderer.Engine {
	r := resolver{doc: d, now: now}
	engines := make(map[messenger.UpstreamID]orderer.Engine)
	for id, p := range d.Resolve(now, "", "").Upstreams {
		if want := r.state(id, p); want != nil && p.Engine {
			engines[id] = orderer.Engine{Want: *want, ChecksFence: p.ChecksFence}
		}
	}
	return engines
}

// state resolves the wanted state of one engine: the pool's, its own, then
// exceptions to either.
func (r *resolver) state(id messenger.UpstreamID, p messenger.UpstreamPolicy) *orderer.State {
	u := r.doc.Upstreams[id]
	want := r.doc.Pools[p.Pool].State
	replace(&want, u.State)
	for _, name := range r.doc.ordered() {
		e := r.doc.Exceptions[name]
		if !r.applies(e) {
			continue
		}
		if e.Pool != nil && (e.Scope.Pool == "" || e.Scope.Pool == p.Pool) && u.State == nil {
			replace(&want, e.Pool.State)
		}
		if e.Upstream != nil && e.Scope.holds(id, u) {
			replace(&want, e.Upstream.State)
		}
	}
	return want
}

// replace sets *to unless from is nil.
func replace[T any](to **T, from *T) {
	if from != nil {
		*to = from
	}
}

// holds reports whether an upstream, as it stands in the document, is in scope.
func (s Scope) holds(id messenger.UpstreamID, u UpstreamSettings) bool {
	return (s.Upstream == "" || s.Upstream == id) &&
		(s.Pool == "" || s.Pool == u.Pool) &&
		(s.Domain == "" || s.Domain == u.Domain)
}

func (s *AccountSettings) apply(p *messenger.AccountPolicy) {
	override(&p.Weight, s.Weight)
	override(&p.RequestsPerSecond, s.RequestsPerSecond)
	override(&p.Burst, s.Burst)
	override(&p.Concurrency, s.Concurrency)
	override(&p.TokensPerMinute, s.TokensPerMinute)
	override(&p.QueueLength, s.QueueLength)
}

func (s ClassSettings) apply(p *messenger.ClassPolicy, now time.Time, zone string) {
	override(&p.Precedence, s.Precedence)
	override(&p.Floor, s.Floor)
	override(&p.Long, s.Long)
	override(&p.ExpectedTokens, s.ExpectedTokens)
	override(&p.Hedge, s.Hedge)
	override(&p.ProgressTimeout, (*time.Duration)(s.ProgressTimeout))
	override(&p.QueueTimeout, (*time.Duration)(s.QueueTimeout))
	i := s.period(now, zone)
	if i < 0 {
		return
	}
	override(&p.Precedence, s.Schedule[i].Precedence)
	override(&p.Floor, s.Schedule[i].Floor)
}

func (s PoolSettings) apply(p *messenger.PoolPolicy) {
	override(&p.LongShare, s.LongShare)
	override(&p.HedgeBudget, s.HedgeBudget)
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
	override(&p.Window, s.Window)
	override(&p.Engine, s.Engine)
	override(&p.Leaving, s.Leaving)
	override(&p.NoLong, s.NoLong)
	override(&p.ChecksFence, s.ChecksFence)
}

// override replaces *to unless from is nil.
func override[T any](to, from *T) {
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
