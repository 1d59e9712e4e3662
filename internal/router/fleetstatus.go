package router

import (
	"cmp"
	"context"
	"slices"

	"lentilwood.example/lentilwood/internal/messenger"
	"lentilwood.example/lentilwood/internal/operator"
)

// Status returns the fleet as this router sees it.
func (b *backend) Status(ctx context.Context) (operator.Status, error) {
	versions, err := b.Versions(ctx)
	if err != nil {
		return operator.Status{}, err
	}
	ready, _ := b.r.Ready()
	s := operator.Status{
		Router: string(b.r.self), FailureDomain: b.r.settings.FailureDomain, Ready: ready,
		Started: b.r.started, StoreReachable: !b.r.store.Open(), Routers: versions.Routers,
	}
	cfg := b.r.current.Load()
	if cfg == nil {
		return s, nil
	}
	s.Version = cfg.policy.Version
	for id, u := range cfg.policy.Upstreams {
		s.Upstreams = append(s.Upstreams, operator.UpstreamStatus{
			Upstream: string(id), Pool: string(u.Pool), FailureDomain: u.Domain, Window: u.Window, Leaving: u.Leaving,
		})
	}
	slices.SortFunc(s.Upstreams, func(x, y operator.UpstreamStatus) int {
		return cmp.Or(cmp.Compare(x.Pool, y.Pool), cmp.Compare(x.Upstream, y.Upstream))
	})
	return s, nil
}

// Account returns one client account as this router sees it.
func (b *backend) Account(_ context.Context, name string) (operator.AccountStatus, error) {
	cfg := b.r.current.Load()
	if cfg == nil {
		return operator.AccountStatus{}, operator.NewUnavailable("no configuration is known yet")
	}
	if _, known := cfg.document.Accounts[messenger.AccountID(name)]; !known {
		return operator.AccountStatus{}, operator.NewNotFound("client account " + name)
	}
	policy := cfg.policy.AccountOf(messenger.AccountID(name))
	s := operator.AccountStatus{AccountSummary: operator.AccountSummary{Account: name, Weight: max(policy.Weight, 0)}}
	return s, nil
}

// Versions says which router runs which version, as far as this one knows.
func (b *backend) Versions(context.Context) (operator.Versions, error) {
	cfg := b.r.current.Load()
	if cfg == nil {
		return operator.Versions{}, nil
	}
	now := b.r.clock.Now()
	return operator.Versions{Newest: cfg.policy.Version, Routers: []operator.RouterVersion{{
		Router: string(b.r.self), FailureDomain: b.r.settings.FailureDomain,
		Version: cfg.policy.Version, Alive: true, Heard: now,
	}}}, nil
}
