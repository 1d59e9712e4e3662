package coordinator

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"lentilwood.example/lentilwood/internal/configurer"
	"lentilwood.example/lentilwood/internal/keeper"
	"lentilwood.example/lentilwood/internal/storer"
)

// forEachSeed runs do as parallel subtests with the seeds 0 to n-1.
func forEachSeed(t *testing.T, n uint64, do func(t *testing.T, seed uint64)) {
	for seed := range n {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			t.Parallel()
			do(t, seed)
		})
	}
}

func TestChangeReachesAllRoutersWithinSeconds(t *testing.T) {
	t.Parallel()
	tests := []struct {
		routers int
		limit   time.Duration
	}{{1, 3 * time.Second}, {8, 3 * time.Second}, {60, 14 * time.Second}}
	for _, tt := range tests {
		f := newFleet(t, tt.routers, 1)
		f.waitReady()
		f.waitAllLive()
		for i := range 10 {
			v := f.changeWeight(float64(i + 2))
			if got := f.runUntil(time.Minute, f.allUse(v)); got > tt.limit {
				t.Errorf("%d routers: all use the change after %v, want at most %v", tt.routers, got, tt.limit)
			}
		}
	}
}

// TestHoldersCountsReachableRouters makes a change while two routers are isolated
// from the others and from the store. They must not be counted as holders of the
// version: a change counts as safe from a store outage once most routers hold it.
func TestHoldersCountsReachableRouters(t *testing.T) {
	f := newFleet(t, 8, 1)
	f.waitReady()
	f.waitAllLive()
	isolated := func(a string) bool { return a >= "r006" }
	f.linkDown = func(a, b string) bool { return isolated(a) != isolated(b) }
	f.storeUnreachable = isolated
	v := f.changeWeight(2)
	holders := func() int { return f.nodes["r000"].c.Configurer().CountRoutersWith(v) }
	f.runUntil(time.Minute, func() bool { return holders() == 6 })
	f.run(20 * time.Second)
	if got := holders(); got != 6 {
		t.Errorf("got %d holders, want the 6 reachable routers", got)
	}
}

// TestCorruptRevisionDoesNotOverloadStore modifies a stored revision so that it can
// no longer be applied. Routers must not repeat the read at a high rate, and must
// stay ready with the previous version.
func TestCorruptRevisionDoesNotOverloadStore(t *testing.T) {
	f := newFleet(t, 8, 1)
	f.waitReady()
	v := f.changeWeight(2)
	key := fmt.Sprintf("revision/%012d", v)
	row, err := f.keeper.Read(t.Context(), configurer.Table, key)
	if err != nil {
		t.Fatal(err)
	}
	damaged := bytes.Replace(row.Value, []byte(`"weight":2`), []byte(`"weight":3`), 1)
	op := storer.Op{Table: configurer.Table, Key: key, Value: damaged, Always: true}
	if err := f.keeper.Commit(t.Context(), []storer.Op{op}); err != nil {
		t.Fatal(err)
	}
	before := f.keeper.Counts().Reads
	f.run(10 * time.Minute)
	if f.rejectedUpdates == 0 {
		t.Error("no router reported that the version cannot be applied")
	}
	if got, most := f.keeper.Counts().Reads-before, 4000; got > most {
		t.Errorf("reads in ten minutes: got %d, want at most %d", got, most)
	}
	if !f.allReady() {
		t.Error("a router is not ready because of a revision that it cannot apply")
	}
}

// TestChangeReachesRoutersWithoutStore makes a change while only one router of eight
// reaches the store; the others must receive it from their peers and stay ready.
func TestChangeReachesRoutersWithoutStore(t *testing.T) {
	f := newFleet(t, 8, 1)
	f.waitReady()
	f.storeUnreachable = func(name string) bool { return name != "r000" }
	f.run(time.Minute)
	v := f.changeWeight(2)
	if got := f.runUntil(time.Minute, f.allUse(v)); got > 5*time.Second {
		t.Errorf("all routers use the change after %v, want at most 5s", got)
	}
	if !f.allReady() {
		t.Error("a router that reaches its peers is not ready")
	}
}

// TestLongStoreOutage keeps the store down for two hours: all routers must stay ready,
// and a change made just before the outage must reach all of them.
func TestLongStoreOutage(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 8, 1)
	f.waitReady()
	f.waitAllLive()
	v := f.changeWeight(2)
	f.runUntil(time.Minute, func() bool { return f.nodes["r003"].policy.Version == v })
	f.setStoreDown(true)
	if got := f.runUntil(time.Minute, f.allUse(v)); got > 3*time.Second {
		t.Errorf("all routers use the change after %v, want at most 3s", got)
	}
	for range 12 {
		f.run(10 * time.Minute)
		if !f.allReady() {
			t.Fatalf("a router is not ready %v after the start", f.clock.Now().Sub(start))
		}
	}
	f.setStoreDown(false)
	f.run(time.Minute)
	v = f.changeWeight(3)
	if got := f.runUntil(time.Minute, f.allUse(v)); got > 3*time.Second {
		t.Errorf("after the outage: all routers use the change after %v, want at most 3s", got)
	}
}

// TestRestartDuringStoreOutage restarts every router in turn, twice, while the store is
// down. No router may become ready with an older version than it used before.
func TestRestartDuringStoreOutage(t *testing.T) {
	forEachSeed(t, 5, func(t *testing.T, seed uint64) {
		f := newFleet(t, 8, seed)
		f.waitReady()
		f.waitAllLive()
		v := f.changeWeight(2)
		f.runUntil(time.Minute, f.allUse(v))
		f.setStoreDown(true)
		for range 2 {
			for _, name := range f.names {
				f.start(name)
				f.runUntil(time.Minute, f.allReady)
				if n := f.nodes[name]; !n.ready || n.policy.Version != v {
					t.Fatalf("%s: ready %v (%s), version %d, want %d", name, n.ready, n.reason, n.highestVersion, v)
				}
				f.run(2 * time.Second)
			}
		}
	})
}

// TestRestartDuringPartitionDoesNotRevertVersion guards against a router that goes back
// to an older configuration. It restarts during a store outage and reaches only the
// minority of routers that missed the last change, so it must not become ready with
// their version.
func TestRestartDuringPartitionDoesNotRevertVersion(t *testing.T) {
	t.Parallel()
	forEachSeed(t, 5, func(t *testing.T, seed uint64) {
		f := newFleet(t, 8, seed)
		f.waitReady()
		f.waitAllLive()
		partition := map[string]bool{"r005": true, "r006": true, "r007": true}
		f.linkDown = func(a, b string) bool { return partition[a] != partition[b] }
		f.storeUnreachable = func(a string) bool { return partition[a] }
		v := f.changeWeight(2)
		f.run(10 * time.Second)
		f.setStoreDown(true)
		f.storeUnreachable = func(string) bool { return false }
		partition["r000"] = true
		f.start("r000")
		for range 120 {
			f.run(time.Second)
			if n := f.nodes["r000"]; n.ready && n.policy.Version < v {
				t.Fatalf("ready with version %d, used version %d before the restart", n.policy.Version, v)
			}
		}
		f.linkDown = func(string, string) bool { return false }
		f.runUntil(time.Minute, f.allUse(v))
		f.runUntil(time.Minute, f.allReady)
		if n := f.nodes["r000"]; !n.ready || n.policy.Version != v {
			t.Errorf("after the partition: ready %v, version %d, want ready with version %d", n.ready, n.highestVersion, v)
		}
	})
}

// TestRouterWithoutConfigurationIsNotReady starts a fleet while the store is down; no
// router may become ready until one has read a configuration.
func TestRouterWithoutConfigurationIsNotReady(t *testing.T) {
	f := newFleet(t, 3, 1)
	f.setStoreDown(true)
	f.run(time.Minute)
	for _, n := range f.nodes {
		if n.ready || n.reason != configurer.NoConfiguration {
			t.Errorf("%s: ready %v, reason %q, want no-configuration", n.name, n.ready, n.reason)
		}
	}
	f.setStoreDown(false)
	f.waitReady()
}

// TestIsolatedRouterIsNotReady isolates a router from the store and from its peers. It
// must become not ready, keep its policy and count all routers as live; the others must
// stay ready and take over its roles.
func TestIsolatedRouterIsNotReady(t *testing.T) {
	f := newFleet(t, 8, 1)
	f.waitReady()
	f.waitAllLive()
	f.linkDown = func(a, b string) bool { return a == "r002" || b == "r002" }
	f.storeUnreachable = func(a string) bool { return a == "r002" }
	f.run(configurer.StaleLimit + 10*time.Second)
	n := f.nodes["r002"]
	if n.ready || n.reason != configurer.CutOff || n.policy == nil {
		t.Errorf("r002: ready %v, reason %q, policy %v, want cut-off with its policy", n.ready, n.reason, n.policy)
	}
	if len(n.liveRouters) != 8 {
		t.Errorf("r002 counts %d live routers, want 8: an isolated router cannot tell which ones are down", len(n.liveRouters))
	}
	for _, other := range f.names {
		if o := f.nodes[other]; other != "r002" && (!o.ready || len(o.liveRouters) != 7) {
			t.Errorf("%s: ready %v, live %v, want ready and 7 live", other, o.ready, o.liveRouters)
		}
	}
	v := f.changeWeight(2)
	f.linkDown = func(string, string) bool { return false }
	if got := f.runUntil(time.Minute, f.allUse(v)); got > maxRejoinTime {
		t.Errorf("after the partition: all routers use the change after %v, want at most %v", got, maxRejoinTime)
	}
	f.waitReady()
	f.waitAllLive()
}

// maxRejoinTime is the maximum time until an isolated router has rejoined. Routers
// contact dead members one after the other, so the rejoin takes several attempts.
const maxRejoinTime = 10 * time.Second

// TestMinorityPartitionIsNotReady separates three routers of eight from the store and
// from the others. The three must become not ready and take over no roles.
func TestMinorityPartitionIsNotReady(t *testing.T) {
	f := newFleet(t, 8, 1)
	f.waitReady()
	f.waitAllLive()
	minority := map[string]bool{"r001": true, "r004": true, "r006": true}
	f.linkDown = func(a, b string) bool { return minority[a] != minority[b] }
	f.storeUnreachable = func(a string) bool { return minority[a] }
	f.run(time.Minute)
	for _, name := range f.names {
		n := f.nodes[name]
		if n.ready == minority[name] {
			t.Errorf("%s: unexpected ready state %v (%s)", name, n.ready, n.reason)
		}
		want := 5
		if minority[name] {
			want = 8
		}
		if len(n.liveRouters) != want {
			t.Errorf("%s: got live routers %v, want %d", name, n.liveRouters, want)
		}
	}
	f.linkDown = func(string, string) bool { return false }
	f.storeUnreachable = func(string) bool { return false }
	f.waitReady()
	f.waitAllLive()
}

// TestFrozenRouterKeepsPeersLive suspends a router's process for a minute. Afterwards
// the router must not take the time without heartbeats for failures of its peers.
func TestFrozenRouterKeepsPeersLive(t *testing.T) {
	f := newFleet(t, 8, 1)
	f.waitReady()
	f.waitAllLive()
	f.nodes["r003"].frozenUntil = f.clock.Now().Add(time.Minute)
	f.run(30 * time.Second)
	if got := len(f.nodes["r000"].liveRouters); got != 7 {
		t.Errorf("got %d live routers while one is frozen, want 7", got)
	}
	v := f.changeWeight(2)
	f.run(30*time.Second + time.Millisecond)
	for range 50 {
		f.run(100 * time.Millisecond)
		if got := len(f.nodes["r003"].liveRouters); got != 8 {
			t.Fatalf("the router that was frozen counts %d live routers, want 8", got)
		}
	}
	f.runUntil(time.Minute, f.allUse(v))
	f.waitAllLive()
}

// TestRandomFaults combines random partitions, store faults, restarts, frozen processes
// and delayed messages. checkVersion fails the test if a router goes back to an older
// version; at the end all routers must use the latest one.
func TestRandomFaults(t *testing.T) {
	t.Parallel()
	forEachSeed(t, 10, func(t *testing.T, seed uint64) {
		f := newFleet(t, 8, seed)
		f.waitReady()
		f.delayedShare, f.maxExtraDelay = 0.05, 20*time.Second
		var v uint64
		for step := range 40 {
			for range 1 + f.rng.IntN(3) {
				f.randomFault()
			}
			f.run(time.Duration(f.rng.IntN(8)) * time.Second)
			f.keeper.SetFaults(keeper.Faults{})
			v = f.changeWeight(float64(step + 2))
		}
		f.linkDown = func(string, string) bool { return false }
		f.storeUnreachable = func(string) bool { return false }
		for _, name := range f.names {
			if !f.nodes[name].up {
				f.start(name)
			}
		}
		f.runUntil(time.Minute, f.allUse(v))
		f.waitReady()
		f.waitAllLive()
		if !f.allUse(v)() {
			t.Errorf("not all routers use version %d", v)
		}
	})
}

func (f *fleet) randomFault() {
	name := f.names[f.rng.IntN(len(f.names))]
	mask := f.rng.Uint64()
	side := func(a string) bool { return mask>>f.nodes[a].index&1 == 1 }
	switch f.rng.IntN(7) {
	case 0:
		f.linkDown = func(a, b string) bool { return side(a) != side(b) }
	case 1:
		f.linkDown = func(string, string) bool { return false }
	case 2:
		f.storeUnreachable = side
	case 3:
		f.keeper.SetFaults(keeper.RandomFaults(mask))
	case 4:
		f.start(name)
	case 5:
		f.stop(name)
	case 6:
		f.nodes[name].frozenUntil = f.clock.Now().Add(time.Duration(f.rng.IntN(20)) * time.Second)
	}
}

// TestRolesOfCrashedRouterMove stops a router without a leave message; its peers must
// stop counting it as live within 15 s, also while the store is down.
func TestRolesOfCrashedRouterMove(t *testing.T) {
	for _, storeDown := range []bool{false, true} {
		f := newFleet(t, 8, 1)
		f.waitReady()
		f.waitAllLive()
		f.setStoreDown(storeDown)
		f.stop("r002")
		moved := func() bool {
			for _, n := range f.nodes {
				if n.up && len(n.liveRouters) != 7 {
					return false
				}
			}
			return true
		}
		if got := f.runUntil(time.Minute, moved); got > 15*time.Second {
			t.Errorf("store down %v: roles moved after %v, want at most 15s", storeDown, got)
		}
	}
}

// TestOrderlyLeave checks that a leaving router loses its roles at once, but is removed
// from the fleet only after it has stopped.
func TestOrderlyLeave(t *testing.T) {
	f := newFleet(t, 8, 1)
	f.waitReady()
	f.waitAllLive()
	f.handleEvent(f.nodes["r002"], Leave{})
	f.run(3 * time.Second)
	for _, n := range f.nodes {
		if len(n.liveRouters) != 7 || n.knownRouters != 8 {
			t.Errorf("%s: got live %v, known %d while r002 leaves, want 7 and 8", n.name, n.liveRouters, n.knownRouters)
		}
	}
	f.handleEvent(f.nodes["r002"], Stop{})
	f.stop("r002")
	f.run(10 * time.Second)
	for _, n := range f.nodes {
		if n.up && n.knownRouters != 7 {
			t.Errorf("%s: got known %d after r002 has left, want 7", n.name, n.knownRouters)
		}
	}
}
