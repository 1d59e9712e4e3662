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

// seeds runs a test with several seeds.
func seeds(t *testing.T, n uint64, do func(t *testing.T, seed uint64)) {
	for seed := range n {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			t.Parallel()
			do(t, seed)
		})
	}
}

func TestChangeIsInForceWithinSeconds(t *testing.T) {
	t.Parallel()
	tests := []struct {
		routers int
		limit   time.Duration
	}{{1, 3 * time.Second}, {8, 3 * time.Second}, {60, 14 * time.Second}}
	for _, tt := range tests {
		f := newFleet(t, tt.routers, 1)
		f.waitReady()
		f.waitMembers()
		for i := range 10 {
			v := f.change(float64(i + 2))
			if got := f.runUntil(time.Minute, f.inForce(v)); got > tt.limit {
				t.Errorf("%d routers: in force after %v, want at most %v", tt.routers, got, tt.limit)
			}
		}
	}
}

// TestHoldersTellWhenChangeIsSafe makes a change through one router while two
// are cut off.
func TestHoldersTellWhenChangeIsSafe(t *testing.T) {
	f := newFleet(t, 8, 1)
	f.waitReady()
	f.waitMembers()
	apart := func(a string) bool { return a >= "r006" }
	f.cut = func(a, b string) bool { return apart(a) != apart(b) }
	f.storeCut = apart
	v := f.change(2)
	holders := func() int { return f.nodes["r000"].c.Configurer().Holders(v) }
	f.runUntil(time.Minute, func() bool { return holders() == 6 })
	f.run(20 * time.Second)
	if got := holders(); got != 6 {
		t.Errorf("holders: got %d, want the 6 that are reached", got)
	}
}

// TestVersionThatCannotBeReadDoesNotHammerStore damages a revision.
func TestVersionThatCannotBeReadDoesNotHammerStore(t *testing.T) {
	f := newFleet(t, 8, 1)
	f.waitReady()
	v := f.change(2)
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
	if f.rejected == 0 {
		t.Error("nobody reports the version that cannot be applied")
	}
	if got, most := f.keeper.Counts().Reads-before, 4000; got > most {
		t.Errorf("reads in ten minutes: got %d, want at most %d", got, most)
	}
	if !f.allReady() {
		t.Error("a router left the balancer over a version that it cannot read")
	}
}

// TestChangeReachesRoutersCutFromStore lets one router of eight reach the
// store.
func TestChangeReachesRoutersCutFromStore(t *testing.T) {
	f := newFleet(t, 8, 1)
	f.waitReady()
	f.storeCut = func(name string) bool { return name != "r000" }
	f.run(time.Minute)
	v := f.change(2)
	if got := f.runUntil(time.Minute, f.inForce(v)); got > 5*time.Second {
		t.Errorf("in force after %v, want it within seconds", got)
	}
	if !f.allReady() {
		t.Error("a router that hears others is not ready")
	}
}

// TestLongOutage keeps the store down for hours: the fleet serves on, and a
// change made just before reaches everybody.
func TestLongOutage(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 8, 1)
	f.waitReady()
	f.waitMembers()
	v := f.change(2)
	f.runUntil(time.Minute, func() bool { return f.nodes["r003"].policy.Version == v })
	f.storeDown(true)
	if got := f.runUntil(time.Minute, f.inForce(v)); got > 3*time.Second {
		t.Errorf("in force after %v, want at most 3s", got)
	}
	for range 12 {
		f.run(10 * time.Minute)
		if !f.allReady() {
			t.Fatalf("after %v of outage a router is not ready", f.clock.Now().Sub(start))
		}
	}
	f.storeDown(false)
	f.run(time.Minute)
	v = f.change(3)
	if got := f.runUntil(time.Minute, f.inForce(v)); got > 3*time.Second {
		t.Errorf("after the outage: in force after %v, want at most 3s", got)
	}
}

// TestRestartInOutage restarts every router in turn, twice, while the store is
// down. None may be ready with an older version than it ran before.
func TestRestartInOutage(t *testing.T) {
	seeds(t, 5, func(t *testing.T, seed uint64) {
		f := newFleet(t, 8, seed)
		f.waitReady()
		f.waitMembers()
		v := f.change(2)
		f.runUntil(time.Minute, f.inForce(v))
		f.storeDown(true)
		for range 2 {
			for _, name := range f.names {
				f.start(name)
				f.runUntil(time.Minute, f.allReady)
				if n := f.nodes[name]; !n.ready || n.policy.Version != v {
					t.Fatalf("%s: ready %v (%s), version %d, want %d", name, n.ready, n.reason, n.highest, v)
				}
				f.run(2 * time.Second)
			}
		}
	})
}

// TestRestartBehindCutDoesNotGoBack restarts a router in an outage where it
// reaches only routers that missed the last change, which most of them hold.
func TestRestartBehindCutDoesNotGoBack(t *testing.T) {
	t.Parallel()
	seeds(t, 5, func(t *testing.T, seed uint64) {
		f := newFleet(t, 8, seed)
		f.waitReady()
		f.waitMembers()
		behind := map[string]bool{"r005": true, "r006": true, "r007": true}
		f.cut = func(a, b string) bool { return behind[a] != behind[b] }
		f.storeCut = func(a string) bool { return behind[a] }
		v := f.change(2)
		f.run(10 * time.Second)
		f.storeDown(true)
		f.storeCut = func(string) bool { return false }
		behind["r000"] = true
		f.start("r000")
		for range 120 {
			f.run(time.Second)
			if n := f.nodes["r000"]; n.ready && n.policy.Version < v {
				t.Fatalf("ready with version %d, ran version %d before it restarted", n.policy.Version, v)
			}
		}
		f.cut = func(string, string) bool { return false }
		f.runUntil(time.Minute, f.inForce(v))
		f.runUntil(time.Minute, f.allReady)
		if n := f.nodes["r000"]; !n.ready || n.policy.Version != v {
			t.Errorf("after the cut: ready %v, version %d, want %d", n.ready, n.highest, v)
		}
	})
}

// TestNoConfigurationIsNotReady starts a fleet while the store is down.
func TestNoConfigurationIsNotReady(t *testing.T) {
	f := newFleet(t, 3, 1)
	f.storeDown(true)
	f.run(time.Minute)
	for _, n := range f.nodes {
		if n.ready || n.reason != configurer.NoConfiguration {
			t.Errorf("%s: ready %v, reason %q, want no-configuration", n.name, n.ready, n.reason)
		}
	}
	f.storeDown(false)
	f.waitReady()
}

// TestCutOffRouterIsNotReady cuts a router from the store and from the others:
// it leaves the balancer, keeps its policy, and the rest go on.
func TestCutOffRouterIsNotReady(t *testing.T) {
	f := newFleet(t, 8, 1)
	f.waitReady()
	f.waitMembers()
	f.cut = func(a, b string) bool { return a == "r002" || b == "r002" }
	f.storeCut = func(a string) bool { return a == "r002" }
	f.run(configurer.StaleLimit + 10*time.Second)
	n := f.nodes["r002"]
	if n.ready || n.reason != configurer.CutOff || n.policy == nil {
		t.Errorf("r002: ready %v, reason %q, policy %v, want cut-off with its policy", n.ready, n.reason, n.policy)
	}
	if len(n.live) != 8 {
		t.Errorf("r002 counts %d routers for roles, want all 8: it cannot tell who is gone", len(n.live))
	}
	for _, other := range f.names {
		if o := f.nodes[other]; other != "r002" && (!o.ready || len(o.live) != 7) {
			t.Errorf("%s: ready %v, live %v, want ready and 7 live", other, o.ready, o.live)
		}
	}
	v := f.change(2)
	f.cut = func(string, string) bool { return false }
	if got := f.runUntil(time.Minute, f.inForce(v)); got > knockLimit {
		t.Errorf("after the cut: in force after %v, want at most %v", got, knockLimit)
	}
	f.waitReady()
	f.waitMembers()
}

// knockLimit is how long a rejoin may take: dead routers are asked in turn.
const knockLimit = 10 * time.Second

// TestMinorityBehindCut cuts three of eight from the store and the rest: they
// leave the balancer and take over no roles.
func TestMinorityBehindCut(t *testing.T) {
	f := newFleet(t, 8, 1)
	f.waitReady()
	f.waitMembers()
	minority := map[string]bool{"r001": true, "r004": true, "r006": true}
	f.cut = func(a, b string) bool { return minority[a] != minority[b] }
	f.storeCut = func(a string) bool { return minority[a] }
	f.run(time.Minute)
	for _, name := range f.names {
		n := f.nodes[name]
		if n.ready == minority[name] {
			t.Errorf("%s: ready %v (%s)", name, n.ready, n.reason)
		}
		want := 5
		if minority[name] {
			want = 8
		}
		if len(n.live) != want {
			t.Errorf("%s: live %v, want %d", name, n.live, want)
		}
	}
	f.cut = func(string, string) bool { return false }
	f.storeCut = func(string) bool { return false }
	f.waitReady()
	f.waitMembers()
}

// TestFrozenRouterDeclaresNobodyDead pauses a router for a minute.
func TestFrozenRouterDeclaresNobodyDead(t *testing.T) {
	f := newFleet(t, 8, 1)
	f.waitReady()
	f.waitMembers()
	f.nodes["r003"].frozen = f.clock.Now().Add(time.Minute)
	f.run(30 * time.Second)
	if got := len(f.nodes["r000"].live); got != 7 {
		t.Errorf("during the pause: %d live, want 7", got)
	}
	v := f.change(2)
	f.run(30*time.Second + time.Millisecond)
	for range 50 {
		f.run(100 * time.Millisecond)
		if got := len(f.nodes["r003"].live); got != 8 {
			t.Fatalf("the router that was paused counts %d live, want 8", got)
		}
	}
	f.runUntil(time.Minute, f.inForce(v))
	f.waitMembers()
}

// TestRandomFaults mixes cuts, outages, restarts, pauses and late messages.
// checkVersion fails on any step back; in the end all agree.
func TestRandomFaults(t *testing.T) {
	t.Parallel()
	seeds(t, 10, func(t *testing.T, seed uint64) {
		f := newFleet(t, 8, seed)
		f.waitReady()
		f.lateShare, f.lateTime = 0.05, 20*time.Second
		var v uint64
		for step := range 40 {
			for range 1 + f.rng.IntN(3) {
				f.randomFault()
			}
			f.run(time.Duration(f.rng.IntN(8)) * time.Second)
			f.keeper.SetFaults(keeper.Faults{})
			v = f.change(float64(step + 2))
		}
		f.cut = func(string, string) bool { return false }
		f.storeCut = func(string) bool { return false }
		for _, name := range f.names {
			if !f.nodes[name].up {
				f.start(name)
			}
		}
		f.runUntil(time.Minute, f.inForce(v))
		f.waitReady()
		f.waitMembers()
		if !f.inForce(v)() {
			t.Errorf("version %d is not in force everywhere", v)
		}
	})
}

func (f *fleet) randomFault() {
	name := f.names[f.rng.IntN(len(f.names))]
	mask := f.rng.Uint64()
	side := func(a string) bool { return mask>>f.nodes[a].index&1 == 1 }
	switch f.rng.IntN(7) {
	case 0:
		f.cut = func(a, b string) bool { return side(a) != side(b) }
	case 1:
		f.cut = func(string, string) bool { return false }
	case 2:
		f.storeCut = side
	case 3:
		f.keeper.SetFaults(keeper.RandomFaults(mask))
	case 4:
		f.start(name)
	case 5:
		f.stop(name)
	case 6:
		f.nodes[name].frozen = f.clock.Now().Add(time.Duration(f.rng.IntN(20)) * time.Second)
	}
}

// TestRolesOfCrashedRouterMove stops a router without a word.
func TestRolesOfCrashedRouterMove(t *testing.T) {
	for _, storeDown := range []bool{false, true} {
		f := newFleet(t, 8, 1)
		f.waitReady()
		f.waitMembers()
		f.storeDown(storeDown)
		f.stop("r002")
		moved := func() bool {
			for _, n := range f.nodes {
				if n.up && len(n.live) != 7 {
					return false
				}
			}
			return true
		}
		if got := f.runUntil(time.Minute, moved); got > 15*time.Second {
			t.Errorf("store down %v: moved after %v, want at most 15s", storeDown, got)
		}
	}
}

func TestOrderlyLeave(t *testing.T) {
	f := newFleet(t, 8, 1)
	f.waitReady()
	f.waitMembers()
	f.feed(f.nodes["r002"], Leave{})
	f.run(3 * time.Second)
	for _, n := range f.nodes {
		if len(n.live) != 7 || n.known != 8 {
			t.Errorf("%s: live %v, known %d, want 7 and 8 while it leaves", n.name, n.live, n.known)
		}
	}
	f.feed(f.nodes["r002"], Stop{})
	f.stop("r002")
	f.run(10 * time.Second)
	for _, n := range f.nodes {
		if n.up && n.known != 7 {
			t.Errorf("%s: known %d, want 7 after it has left", n.name, n.known)
		}
	}
}
