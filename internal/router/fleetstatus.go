package router

import (
	"cmp"
	"context"
	"slices"
	"time"

	"lentilwood.example/lentilwood/internal/coordinator"
	"lentilwood.example/lentilwood/internal/messenger"
	"lentilwood.example/lentilwood/internal/operator"
	"lentilwood.example/lentilwood/internal/scheduler"
)

// Status returns this router's view of the fleet.
func (b *backend) Status(ctx context.Context) (operator.Status, error) {
	versions, err := b.Versions(ctx)
	if err != nil {
		return operator.Status{}, err
	}
	ready, _ := b.r.Ready()
	s := operator.Status{
		Router: string(b.r.self), FailureDomain: b.r.settings.FailureDomain, Ready: ready,
		Started: b.r.startedAt, StoreReachable: !b.r.store.Open(), Routers: versions.Routers,
	}
	cfg := b.r.active.Load()
	if cfg == nil {
		return s, nil
	}
	s.Version = cfg.policy.Version
	for _, part := range b.r.quarantine.quarantined() {
		s.Quarantined = append(s.Quarantined, part.String())
	}
	var slots map[messenger.UpstreamID]scheduler.UpstreamSnapshot
	b.r.control.call(func() {
		s.Scheduler = b.r.scheduler.Snapshot()
		slots = b.r.scheduler.Upstreams()
	})
	for id, u := range cfg.policy.Upstreams {
		s.Upstreams = append(s.Upstreams, operator.UpstreamStatus{
			Upstream: string(id), Pool: string(u.Pool), FailureDomain: u.Domain, Window: u.Window, Leaving: u.Leaving,
			Slots: slots[id].Slots, Running: slots[id].Running,
		})
	}
	slices.SortFunc(s.Upstreams, func(x, y operator.UpstreamStatus) int {
		return cmp.Or(cmp.Compare(x.Pool, y.Pool), cmp.Compare(x.Upstream, y.Upstream))
	})
	return s, nil
}

// Account returns this router's view of a client account.
func (b *backend) Account(_ context.Context, name string) (operator.AccountStatus, error) {
	cfg := b.r.active.Load()
	if cfg == nil {
		return operator.AccountStatus{}, operator.NewUnavailable("no configuration is known yet")
	}
	if _, known := cfg.document.Accounts[messenger.AccountID(name)]; !known {
		return operator.AccountStatus{}, operator.NewNotFound("client account " + name)
	}
	s := operator.AccountStatus{Router: string(b.r.self)}
	b.r.control.call(func() { s.Explanation = b.r.scheduler.Explain(messenger.AccountID(name)) })
	return s, nil
}

// Versions returns the configuration version of each router, as far as this router knows it. It
// also queries the routers whose version is older than this router's or was reported too long
// ago, so that the next call returns newer values.
func (b *backend) Versions(context.Context) (operator.Versions, error) {
	var v operator.Versions
	alive := b.r.control.call(func() { v = b.r.versions() })
	if !alive {
		return v, operator.NewUnavailable("the router is shutting down")
	}
	return v, nil
}

// versionMaxAge is how old a version reported by another router may be before the router is
// queried again.
const versionMaxAge = 2 * time.Second

// versions collects the known configuration versions. It runs on the control goroutine.
func (r *Router) versions() operator.Versions {
	now := r.clock.Now()
	own := r.coordinator.Configurer().Version()
	v := operator.Versions{Newest: own}
	for _, id := range r.peers.Live {
		if id == r.self {
			continue
		}
		p := r.peerVersions[id]
		v.Newest = max(v.Newest, p.version)
		v.Routers = append(v.Routers, operator.RouterVersion{
			Router: string(id), FailureDomain: p.domain, Version: p.version,
			Alive: slices.Contains(r.peers.Reachable, id), Heard: p.receivedAt,
		})
		if p.version < own || now.Sub(p.receivedAt) > versionMaxAge {
			r.handleFleetEvent(coordinator.QueryVersion{Router: id})
		}
	}
	v.Routers = append(v.Routers, operator.RouterVersion{
		Router: string(r.self), FailureDomain: r.settings.FailureDomain, Version: own, Alive: true, Heard: now,
	})
	slices.SortFunc(v.Routers, func(x, y operator.RouterVersion) int { return cmp.Compare(x.Router, y.Router) })
	return v
}
