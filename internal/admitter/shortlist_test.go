package admitter

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
)

// TestOverloadOfHundredsOfEngines offers almost twice the capacity of so many engines that
// a router evaluates only some of them for each request.
func TestOverloadOfHundredsOfEngines(t *testing.T) {
	s := newSim(t, 100, 150, 16, 0)
	s.useCollectors()
	// A request holds a slot for about 1.1 s, so 150 engines serve about 2100 per second.
	const rate, capacity = 3700.0, 2100.0
	s.run(4*time.Second, func() {
		s.poisson(rate, func() { s.offer("a", simObjective, s.sessionPrompt(s.rng.IntN(1100), 3000, 800), 200) })
	})
	s.checkOverload(capacity / rate)
}

// TestSharedPartsAreReadOnceWithHundredsOfEngines offers sessions within the engines'
// capacity.
func TestSharedPartsAreReadOnceWithHundredsOfEngines(t *testing.T) {
	s := newSim(t, 100, 150, 16, 0)
	s.useCollectors()
	s.shrinkCaches(200_000, 3*time.Second)
	s.run(4*time.Second, func() {
		s.poisson(1200, func() { s.offer("a", simObjective, s.sessionPrompt(s.rng.IntN(1500), 4800, 1500), 200) })
	})
	s.checkReadOnce(0.85)
}

// newLargePool returns an Admitter with a large pool, in which one engine is free and all
// others run a request, and the id of the free engine.
func newLargePool(t *testing.T, engines int) (*Admitter, messenger.UpstreamID) {
	t.Helper()
	a := New(Config{Self: "r"})
	policy := &messenger.Policy{
		Pools:     map[messenger.PoolID]messenger.PoolPolicy{simPool: {Engine: &messenger.EnginePolicy{MemoryTokens: 1000}}},
		Upstreams: make(map[messenger.UpstreamID]messenger.UpstreamPolicy),
	}
	for i := range engines {
		policy.Upstreams[messenger.UpstreamID(fmt.Sprint("u", i))] = messenger.UpstreamPolicy{Pool: simPool, Window: 1}
	}
	a.Handle(epoch, messenger.PolicyChange{Policy: policy})
	free := messenger.UpstreamID(fmt.Sprint("u", engines/2))
	for id, u := range a.upstreams {
		if id != free {
			u.peerLoad.running = 1
		}
	}
	return a, free
}

// TestOnlyFreeEngineIsFound has one free engine among hundreds, and later another one.
func TestOnlyFreeEngineIsFound(t *testing.T) {
	a, free := newLargePool(t, 300)
	arrive := func(now time.Time, id messenger.RequestID) messenger.UpstreamID {
		for _, action := range a.Handle(now, messenger.Arrive{
			Request: id, Pool: simPool, Objective: simObjective,
			Work: messenger.Work{Prompt: []messenger.PromptPart{{Chain: uint64(id), Tokens: 10}}, MaxOutputTokens: 10},
		}) {
			if d, ok := action.(messenger.Dispatch); ok {
				return d.Upstream
			}
		}
		return ""
	}
	if got := arrive(epoch.Add(time.Second), 1); got != free {
		t.Errorf("got the request sent to %q, want %q, the only free engine of 300", got, free)
	}
	a.upstreams["u7"].peerLoad.running = 0
	if got := arrive(epoch.Add(time.Second+shortlistTTL), 2); got != "u7" {
		t.Errorf("got the request sent to %q, want u7, which has become free", got)
	}
}

// TestUpstreamMovedToOtherPoolGetsNoRequests moves an upstream that holds a shared part and
// runs a request to another pool: it must get no more requests of its former pool, however
// low its cost is.
func TestUpstreamMovedToOtherPoolGetsNoRequests(t *testing.T) {
	a, _ := newLargePool(t, 40)
	const other = messenger.PoolID("other")
	arrive := func(id messenger.RequestID) {
		for _, action := range a.Handle(epoch, messenger.Arrive{
			Request: id, Pool: simPool, Objective: simObjective,
			Work: messenger.Work{Prompt: []messenger.PromptPart{{Chain: 7, Tokens: 3000}, {Chain: 100 + uint64(id), Tokens: 10}}, MaxOutputTokens: 10},
		}) {
			if d, ok := action.(messenger.Dispatch); ok && a.upstreams[d.Upstream].pool.id != simPool {
				t.Errorf("request %d of %q was sent to %q, which serves %q", id, simPool, d.Upstream, other)
			}
		}
	}
	arrive(1)
	holder := a.requests[1].upstream
	policy := *a.policy
	policy.Pools = map[messenger.PoolID]messenger.PoolPolicy{simPool: policy.Pools[simPool], other: policy.Pools[simPool]}
	policy.Upstreams = maps.Clone(policy.Upstreams)
	policy.Upstreams[holder.id] = messenger.UpstreamPolicy{Pool: other, Window: 1}
	a.Handle(epoch, messenger.PolicyChange{Policy: &policy})
	arrive(2)
	arrive(3)
	for _, action := range a.Handle(epoch, messenger.Finish{Request: 1, Upstream: holder.id}) {
		if d, ok := action.(messenger.Dispatch); ok && d.Upstream == holder.id {
			t.Errorf("request %d of %q was sent to %q, which serves %q now", d.Request, simPool, holder.id, other)
		}
	}
}

// BenchmarkArrival measures the arrival of requests with few and with many engines.
func BenchmarkArrival(b *testing.B) {
	for _, engines := range []int{16, 60, 153, 600} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			a := New(Config{Self: "r"})
			policy := &messenger.Policy{
				Pools:     map[messenger.PoolID]messenger.PoolPolicy{simPool: {Engine: &messenger.EnginePolicy{MemoryTokens: 600_000}}},
				Upstreams: make(map[messenger.UpstreamID]messenger.UpstreamPolicy),
			}
			for i := range engines {
				policy.Upstreams[messenger.UpstreamID(fmt.Sprint("u", i))] = messenger.UpstreamPolicy{Pool: simPool, Window: 16}
			}
			now := epoch
			a.Handle(now, messenger.PolicyChange{Policy: policy})
			for n := range b.N {
				now = now.Add(2 * time.Millisecond)
				id := messenger.RequestID(n + 1)
				prompt := []messenger.PromptPart{{Chain: 1, Tokens: 500}, {Chain: uint64(1000 + n%400), Tokens: 3000}, {Chain: uint64(1_000_000 + n), Tokens: 800}}
				for _, action := range a.Handle(now, messenger.Arrive{Request: id, Pool: simPool, Objective: simObjective, Work: messenger.Work{Prompt: prompt, MaxOutputTokens: 200}}) {
					if d, ok := action.(messenger.Dispatch); ok {
						a.Handle(now, messenger.Progress{Request: id, First: true})
						a.Handle(now, messenger.Finish{Request: id, Upstream: d.Upstream})
					}
				}
			}
		})
	}
}
