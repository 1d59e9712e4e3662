package collector

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
)

var epoch = time.Unix(1_700_000_000, 0)

// testLoad returns the load of router i: on an upstream that all share, and on one of its
// own.
func testLoad(i int) messenger.PeerLoad {
	return messenger.PeerLoad{
		From:          routerID(i),
		ReservedShare: float32(i) / 100,
		Upstreams: []messenger.UpstreamLoad{
			{Upstream: 1, Running: uint32(i), UnreadTokens: 10, Parts: []messenger.PartID{messenger.PartID(i)}},
			{Upstream: messenger.NameHash(100 + i), Running: 1},
		},
		Accounts: []messenger.AccountDemand{{Account: 7, Rate: uint32(i), Served: 1}},
		Quiet:    []byte{byte(i % 2)},
		Pools:    []messenger.PoolDemand{{Pool: 3, Contested: 0.5, BaseSeconds: 0.02, SecondsPerToken: float32(i + 1)}},
	}
}

func routerID(i int) messenger.RouterID { return messenger.RouterID(fmt.Sprint("r", i)) }

// quietRouters returns the routers that a load marks as quiet, and oddRouters those with odd
// numbers but one, which are. Both are sorted.
func quietRouters(l messenger.PeerLoad) (keys []messenger.NameHash) {
	for i, key := range l.Routers {
		if l.IsQuiet(i) {
			keys = append(keys, key)
		}
	}
	return keys
}

func oddRouters(n, except int) (keys []messenger.NameHash) {
	for i := 1; i < n; i += 2 {
		if i != except {
			keys = append(keys, messenger.HashName(routerID(i)))
		}
	}
	slices.Sort(keys)
	return keys
}

// runningOn returns the running requests of a load on an upstream.
func runningOn(l messenger.PeerLoad, upstream messenger.NameHash) uint32 {
	for _, u := range l.Upstreams {
		if u.Upstream == upstream {
			return u.Running
		}
	}
	return 0
}

// simulateFleet returns the digest that each of n routers receives if every fifth is a
// collector.
func simulateFleet(n int) map[int]messenger.PeerLoad {
	const groupSize = 5
	collectors := make(map[int]*Collector)
	for i := range n {
		collector := i - i%groupSize
		if collector == i {
			collectors[i] = &Collector{}
			continue
		}
		collectors[collector].Receive(epoch, routerID(i), testLoad(i), true)
	}
	for i, from := range collectors {
		partial := from.peekPartial(testLoad(i))
		for j, to := range collectors {
			if i != j {
				to.Receive(epoch, routerID(i), partial, false)
			}
		}
	}
	received := make(map[int]messenger.PeerLoad)
	for i := range n {
		if i%groupSize != 0 {
			received[i] = collectors[i-i%groupSize].peekAggregate(testLoad(i - i%groupSize)).Without(routerID(i))
		}
	}
	return received
}

// peekPartial returns the partial aggregate without resetting the announced parts.
func (c *Collector) peekPartial(own messenger.PeerLoad) messenger.PeerLoad {
	return c.peekAggregate(own).Partial()
}

func (c *Collector) peekAggregate(own messenger.PeerLoad) *Aggregate {
	saved := make(map[messenger.RouterID]map[messenger.NameHash][]messenger.PartID)
	for id, s := range c.sources {
		saved[id] = s.newParts
	}
	agg := c.Aggregate(own)
	for id, s := range c.sources {
		s.newParts = saved[id]
	}
	return agg
}

// TestEachRouterReceivesAllOtherLoads aggregates the loads of sixty routers: each router
// must receive the exact sum of the fifty-nine others.
func TestEachRouterReceivesAllOtherLoads(t *testing.T) {
	const n = 60
	fleetRunning := uint32(n * (n - 1) / 2)
	for i, digest := range simulateFleet(n) {
		if got, want := runningOn(digest, 1), fleetRunning-uint32(i); got != want {
			t.Fatalf("router %d: got %d requests of the other routers, want %d", i, got, want)
		}
		if got := runningOn(digest, messenger.NameHash(100+i)); got != 0 {
			t.Errorf("router %d: got %d of its own requests back, want none", i, got)
		}
		if got, want := digest.Accounts[0].Rate, fleetRunning-uint32(i); got != want {
			t.Errorf("router %d: got a demand of %d, want %d", i, got, want)
		}
		routers := slices.Clone(digest.Routers)
		slices.Sort(routers)
		if got := len(slices.Compact(routers)); got != n-1 || slices.Contains(routers, messenger.HashName(routerID(i))) {
			t.Errorf("router %d: got %d other routers, want %d and not itself", i, got, n-1)
		}
		if got, want := quietRouters(digest), oddRouters(n, i); !slices.Equal(got, want) {
			t.Errorf("router %d: got quiet routers %v, want %v: those with odd numbers", i, got, want)
		}
		if got := digest.Pools[0].SecondsPerToken; got < n/2-5 || got > n/2+5 {
			t.Errorf("router %d: got a median of %v, want about %d", i, got, n/2)
		}
		if got := digest.ReservedShare; got != float32(n-1)/100 {
			t.Errorf("router %d: got a reserved share of %v, want the largest", i, got)
		}
	}
}

// TestPartsAreForwardedOnce announces shared parts in two reports before one Aggregate.
func TestPartsAreForwardedOnce(t *testing.T) {
	var c Collector
	c.Receive(epoch, "r1", testLoad(1), true)
	second := testLoad(1)
	second.Upstreams[0].Parts = []messenger.PartID{50}
	c.Receive(epoch, "r1", second, true)
	got := c.Aggregate(testLoad(0)).Partial()
	slices.Sort(got.Upstreams[0].Parts)
	if want := []messenger.PartID{0, 1, 50}; !slices.Equal(got.Upstreams[0].Parts, want) {
		t.Errorf("got parts %v, want those of both reports: %v", got.Upstreams[0].Parts, want)
	}
	own := messenger.PeerLoad{From: routerID(0)}
	for _, u := range c.Aggregate(own).Partial().Upstreams {
		if len(u.Parts) > 0 {
			t.Errorf("got parts %v again, want none", u.Parts)
		}
	}
}

// TestSilentRouterExpires has one of two reporters stop sending and the other move to
// another collector.
func TestSilentRouterExpires(t *testing.T) {
	var c Collector
	c.Receive(epoch, "r1", testLoad(1), true)
	c.Receive(epoch.Add(time.Second), "r2", testLoad(2), true)
	c.Expire(epoch.Add(time.Millisecond))
	if got := c.Reporters(); !slices.Equal(got, []messenger.RouterID{"r2"}) {
		t.Errorf("got reporters %v, want r2 alone", got)
	}
	c.Drop("r2")
	if got := runningOn(c.Aggregate(messenger.PeerLoad{}).Partial(), 1); got != 0 {
		t.Errorf("got %d requests of removed routers, want none", got)
	}
}
