package admitter

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
)

// setCold makes engines cold until a time and passes the policy to all routers. Engines that are
// absent are not part of the policy.
func (s *sim) setCold(perSecond float64, until time.Time, engines []*simEngine, absent bool) {
	policy := *s.policy
	pool := policy.Pools[simPool]
	pool.Cold = messenger.ColdPolicy{PerSecond: perSecond, Duration: 3 * time.Second}
	policy.Pools = map[messenger.PoolID]messenger.PoolPolicy{simPool: pool}
	policy.Upstreams = maps.Clone(policy.Upstreams)
	for _, e := range engines {
		u := policy.Upstreams[e.id]
		u.ColdUntil = until
		policy.Upstreams[e.id] = u
		if absent {
			delete(policy.Upstreams, e.id)
		}
	}
	for _, a := range s.routers {
		a.Handle(s.now, messenger.PolicyChange{Policy: &policy})
	}
}

// joinRouters makes all routers members of one fleet.
func (s *sim) joinRouters() {
	var ids []messenger.RouterID
	for _, a := range s.routers {
		ids = append(ids, a.cfg.Self)
	}
	for _, a := range s.routers {
		a.Join(s.now, ids, len(ids) == 1)
	}
}

// TestColdUpstreamsGetTheirRate replays the return of a failure domain at a load peak: 22 of 66
// engines start at once before 85 routers. It guards against more requests than a cold engine
// bears, and against engines that are left idle while requests are refused.
func TestColdUpstreamsGetTheirRate(t *testing.T) {
	for _, c := range []struct {
		name string
		// routers is the number of routers that get requests.
		routers int
	}{{"all routers", 85}, {"half of the routers", 43}} {
		t.Run(c.name, func(t *testing.T) { returnAtPeak(t, c.routers) })
	}
}

// returnAtPeak has 22 engines return while the given number of routers get requests.
func returnAtPeak(t *testing.T, routers int) {
	const rate, cold = 12.0, 3 * time.Second
	s := newSim(t, 85, 66, 16, 0)
	s.useCollectors()
	s.joinRouters()
	returning := s.engineList[:22]
	s.setCold(rate, time.Time{}, returning, true)
	offer := func(rate float64) func() {
		return func() {
			s.poisson(rate, func() {
				s.offerAt(s.rng.IntN(routers), "a", simObjective, s.sessionPrompt(s.rng.IntN(700), 600, 1800), 200)
			})
		}
	}
	s.run(11*time.Second, offer(150))
	s.run(time.Second, offer(1500))
	before := len(s.all)
	sends := make(map[messenger.UpstreamID][]time.Time)
	s.onSend = func(d messenger.Dispatch) {
		if !d.WriteBy.IsZero() {
			sends[d.Upstream] = append(sends[d.Upstream], s.now)
		}
	}
	s.setCold(rate, s.now.Add(cold), returning, false)
	s.run(cold, offer(1500))
	total, refused := 0, fraction(s.all[before:], func(r *simRequest) bool { return r.refused })
	for id, times := range sends {
		total += len(times)
		if got, limit := busiestSecond(times), 1.5*rate+5; float64(got) > limit {
			t.Errorf("engine %s: got %d requests in a second, want at most %v", id, got, limit)
		}
	}
	if refused == 0 {
		t.Fatal("got no refusal, want a load peak")
	}
	allowed := rate * cold.Seconds() * float64(len(returning))
	t.Logf("%d requests of %v allowed, %.2f of all refused", total, allowed, refused)
	if got, want := float64(total), 0.8*allowed; got < want {
		t.Errorf("got %v requests at cold engines while %.2f of all were refused, want at least %v", got, refused, want)
	}
}

// busiestSecond returns the largest number of times within any second.
func busiestSecond(times []time.Time) int {
	most, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) >= time.Second {
			first++
		}
		most = max(most, i+1-first)
	}
	return most
}

// TestNothingIsSentWithoutPermit guards against requests that reach a cold upstream past the
// permits: as a first send, a retry, a move of a silent request or into a freed slot. Here the
// router knows no other router yet.
func TestNothingIsSentWithoutPermit(t *testing.T) {
	a := New(Config{Self: "r"})
	a.Join(epoch, []messenger.RouterID{"other"}, false)
	policy := &messenger.Policy{
		Pools: map[messenger.PoolID]messenger.PoolPolicy{simPool: {
			Engine: &messenger.EnginePolicy{MemoryTokens: 1000}, Cold: messenger.ColdPolicy{PerSecond: 12},
		}},
		Upstreams: map[messenger.UpstreamID]messenger.UpstreamPolicy{"warm": {Pool: simPool, Window: 2}},
	}
	for i := range 2 * maxFullScan {
		policy.Upstreams[messenger.UpstreamID(fmt.Sprint("cold", i))] = messenger.UpstreamPolicy{Pool: simPool, Window: 2, ColdUntil: epoch.Add(time.Hour)}
	}
	handle := func(e messenger.Event) (refusals []messenger.Refuse) {
		for _, action := range a.Handle(epoch.Add(time.Second), e) {
			switch action := action.(type) {
			case messenger.Dispatch:
				if action.Upstream != "warm" {
					t.Errorf("%T: got request %d sent to %q, want none at a cold upstream", e, action.Request, action.Upstream)
				}
			case messenger.Refuse:
				refusals = append(refusals, action)
			}
		}
		return refusals
	}
	handle(messenger.PolicyChange{Policy: policy})
	for id := range messenger.RequestID(4) {
		handle(messenger.Arrive{Request: id + 1, Pool: simPool, Objective: simObjective})
	}
	handle(messenger.UpstreamSilent{Request: 1, Upstream: "warm", CanMove: true})
	handle(messenger.Finish{Request: 1, Upstream: "warm", Failed: true, Retry: true})
	handle(messenger.Finish{Request: 2, Upstream: "warm"})
	handle(messenger.Tick{})
	policy.Upstreams = maps.Clone(policy.Upstreams)
	delete(policy.Upstreams, "warm")
	handle(messenger.PolicyChange{Policy: policy})
	refusals := handle(messenger.Arrive{Request: 9, Pool: simPool, Objective: simObjective})
	if len(refusals) != 1 || refusals[0].Reason != messenger.RefuseCold {
		t.Errorf("got refusals %v, want one for the reason %q", refusals, messenger.RefuseCold)
	}
}

// TestRetryAfterOfEndedUpstream guards against callers that are told to wait for ten minutes: the
// only upstream of a pool has crashed, and counts as cold for as long as nothing says otherwise,
// while it usually returns within seconds.
func TestRetryAfterOfEndedUpstream(t *testing.T) {
	a := New(Config{Self: "r"})
	a.Join(epoch, []messenger.RouterID{"other"}, false)
	a.Handle(epoch, messenger.PolicyChange{Policy: &messenger.Policy{
		Pools: map[messenger.PoolID]messenger.PoolPolicy{simPool: {Cold: messenger.ColdPolicy{PerSecond: 12, Duration: 3 * time.Second}}},
		Upstreams: map[messenger.UpstreamID]messenger.UpstreamPolicy{
			"u": {Pool: simPool, Window: 2, ColdLimited: true, ColdAssumed: true, ColdUntil: epoch.Add(10 * time.Minute)},
		},
	}})
	actions := a.Handle(epoch, messenger.Arrive{Request: 1, Pool: simPool, Objective: simObjective})
	if len(actions) == 0 { // the request is queued
		actions = a.Handle(epoch.Add(simObjective), messenger.Tick{})
	}
	if len(actions) != 1 {
		t.Fatalf("got actions %v, want one", actions)
	}
	if refusal, ok := actions[0].(messenger.Refuse); !ok || refusal.RetryAfter > maxRetryAfter {
		t.Errorf("got %+v, want a refusal with a Retry-After of at most %v", actions[0], maxRetryAfter)
	}
}
