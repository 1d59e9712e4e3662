package admitter

import (
	"fmt"
	"testing"
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
)

// newPolicy returns a policy with the n upstreams whose numbers start at first.
func newPolicy(first, n int) *messenger.Policy {
	policy := &messenger.Policy{
		Pools:     map[messenger.PoolID]messenger.PoolPolicy{simPool: {Engine: &messenger.EnginePolicy{MemoryTokens: 600_000}}},
		Upstreams: make(map[messenger.UpstreamID]messenger.UpstreamPolicy, n),
	}
	for i := first; i < first+n; i++ {
		policy.Upstreams[messenger.UpstreamID(fmt.Sprint("u", i))] = messenger.UpstreamPolicy{Pool: simPool, Window: 16, Started: epoch}
	}
	return policy
}

// recordParts records holders for many shared parts.
func recordParts(a *Admitter, parts int) {
	p := a.pools[simPool]
	p.holders.retention = time.Hour
	for part := range parts {
		p.holders.record(messenger.PartID(part), holder{upstream: p.members[part%len(p.members)], sentAt: epoch})
	}
}

// TestRestartedUpstreamHoldsNothing restarts one upstream and adds another: the parts held
// by the other upstreams must stay known.
func TestRestartedUpstreamHoldsNothing(t *testing.T) {
	a := New(Config{Self: "r"})
	a.Handle(epoch, messenger.PolicyChange{Policy: newPolicy(0, 3)})
	recordParts(a, 300)
	nextPolicy := newPolicy(0, 4)
	restarted := nextPolicy.Upstreams["u1"]
	restarted.Started = epoch.Add(time.Second)
	nextPolicy.Upstreams["u1"] = restarted
	a.Handle(epoch, messenger.PolicyChange{Policy: nextPolicy})
	found := make(map[messenger.UpstreamID]int)
	for _, at := range a.pools[simPool].holders.byPart {
		for _, h := range at {
			if h.upstream != nil {
				found[h.upstream.id]++
			}
		}
	}
	if len(found) != 2 || found["u0"] != 100 || found["u2"] != 100 {
		t.Errorf("got parts %v, want 100 each at u0 and u2", found)
	}
}

// BenchmarkRelease replaces a batch of upstreams on a router that knows the holders of many
// shared parts.
func BenchmarkRelease(b *testing.B) {
	a := New(Config{Self: "r"})
	const upstreams, batch = 165, 35
	a.Handle(epoch, messenger.PolicyChange{Policy: newPolicy(0, upstreams)})
	recordParts(a, 6000)
	for n := range b.N {
		a.Handle(epoch, messenger.PolicyChange{Policy: newPolicy((n+1)*batch, upstreams)})
	}
}
