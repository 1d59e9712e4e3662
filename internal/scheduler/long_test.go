package scheduler

import (
	"testing"
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
)

// TestRouterWithOnlyLongWorkGetsSlots guards against long work that waits forever: one router
// has returned all its slots to the owners and then gets nothing but long requests.
func TestRouterWithOnlyLongWorkGetsSlots(t *testing.T) {
	for _, share := range []float64{0, 0.5} {
		policy := policyOf(small)
		policy.Classes["series"] = messenger.ClassPolicy{Long: true, ExpectedTokens: 300}
		policy.Pools["assistant"] = messenger.PoolPolicy{LongShare: share}
		f := newFleet(small.routers, policy, Config{Seed: 5})
		busy, idle := f.nodes[0], f.nodes[1]
		for range 400 {
			f.submit(&job{router: busy, account: accountName(1), class: "question", pool: "assistant", cost: 100, onEnd: func(*job, *messenger.Refuse) {}})
		}
		f.run(5 * time.Second)
		f.submit(&job{router: idle, account: accountName(2), class: "series", pool: "assistant", cost: 100, onEnd: func(*job, *messenger.Refuse) {}})
		f.run(60 * time.Second)
		if got := len(idle.jobs); got != 0 {
			t.Errorf("long share %v: got %d unfinished long requests at the router without slots, want 0", share, got)
		}
	}
}

func TestNoLongUpstreamGetsOnlyShortWork(t *testing.T) {
	policy := testPolicy(2, 4)
	policy.Classes["series"] = messenger.ClassPolicy{Long: true, ExpectedTokens: 300}
	var closed messenger.UpstreamID
	for id := range policy.Upstreams {
		closed = max(closed, id)
	}
	u := policy.Upstreams[closed]
	u.NoLong = true
	policy.Upstreams[closed] = u
	l := newLoneRouter(t, policy)
	l.arrive(20, "a", "series")
	for id, upstream := range l.running {
		if upstream == closed {
			t.Errorf("long request %d runs on an upstream with NoLong", id)
		}
	}
	if got, want := len(l.running), 4; got != want {
		t.Errorf("got %d running long requests, want %d", got, want)
	}
	l.arrive(20, "a", "short")
	if got, want := len(l.running), 8; got != want {
		t.Errorf("got %d running requests, want %d", got, want)
	}
}
