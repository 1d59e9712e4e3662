package router

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"lentilwood.example/lentilwood/internal/assigner"
	"lentilwood.example/lentilwood/internal/loader"
	"lentilwood.example/lentilwood/internal/messenger"
)

// begin begins a stream at a keeper's router.
func (f *keeperFleet) begin(k *streamKeeper, origin string) string {
	f.Helper()
	version, ok := k.begin(context.Background(), streamPool, assigner.HashStream(origin))
	if !ok {
		f.Fatalf("%s does not begin", origin)
	}
	return version
}

// release has both routers know a plan for v1, and then the first one a plan for v2, as upstreams of that version
// replace the others.
func (f *keeperFleet) release() {
	for _, k := range f.keepers {
		f.serve(k, "v1")
	}
	f.clock.Advance(5 * time.Second)
	f.serve(f.keepers[0], "v2")
}

// TestRouterOutOfStepResumesAtTheRightVersion guards against streams that are joined from two software versions: a
// router stood still while a version was released, and messages that waited for it arrive as it wakes. It resumes a
// stream that began at the new version elsewhere.
func TestRouterOutOfStepResumesAtTheRightVersion(t *testing.T) {
	f := newKeeperFleet(t)
	for _, k := range f.keepers {
		f.serve(k, "v1")
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	woken := NewHosted(HostedConfig{Settings: loader.Router{Name: "r2"}, Streams: f.store, Clock: f.clock, Log: log, Decoder: emptyDecoder{}})
	f.serve(woken.streams, "v1")
	waiting := hostedEnvelope{From: Member{Name: "r1", AssignsVersions: true}, PlanEpochs: f.keepers[0].Epochs()}
	f.clock.Advance(5 * time.Second)
	f.serve(f.keepers[0], "v2")
	version := f.begin(f.keepers[0], "stream")
	woken.receive(waiting)
	if got, ok := f.find(woken.streams, "stream"); ok && got != version {
		t.Errorf("got version %s for a stream that began at %s", got, version)
	}
}

// TestRouterOutOfStepBeginsByPlansInUse guards against the same, the other way round: the router that stood still,
// or whose VM was suspended, begins a stream, and another one resumes it.
func TestRouterOutOfStepBeginsByPlansInUse(t *testing.T) {
	for name, pass := range map[string]func(*keeperFleet){
		"stood still": func(f *keeperFleet) { f.clock.Advance(2 * assigner.Lifetime) },
		"suspended":   func(f *keeperFleet) { f.clock.Suspend(2 * assigner.Lifetime) },
	} {
		t.Run(name, func(t *testing.T) {
			f := newKeeperFleet(t)
			f.release()
			near, woken := f.keepers[0], f.keepers[1]
			pass(f)
			f.serve(near, "v2")
			version := f.begin(woken, "stream")
			if got, ok := f.find(near, "stream"); !ok || got != version {
				t.Errorf("got %q, %t for a stream that began at %s", got, ok, version)
			}
		})
	}
}

// TestRouterOfEarlierReleaseCountsBeforeItIsHeard guards against the same with a router of a release before plans: the
// directory names it, and no message of it has arrived yet.
func TestRouterOfEarlierReleaseCountsBeforeItIsHeard(t *testing.T) {
	f := newKeeperFleet(t)
	log := logrus.New()
	log.SetOutput(io.Discard)
	h := NewHosted(HostedConfig{Settings: loader.Router{Name: "r2"}, Streams: f.store, Clock: f.clock, Log: log, Decoder: emptyDecoder{}})
	h.upsertPeer(Member{Name: "r1", Incarnation: 1})
	h.updateFleetView()
	f.serve(h.streams, "v1", "v2")
	if got, ok := f.find(h.streams, "elsewhere"); ok {
		t.Errorf("got version %s, want the version not known", got)
	}
}

// TestCompleteStreamIsRememberedWhileItsCallerWaits guards against the same after the end of a stream was sent: the
// connection broke before, and its caller notices seconds later.
func TestCompleteStreamIsRememberedWhileItsCallerWaits(t *testing.T) {
	f := newKeeperFleet(t)
	for _, k := range f.keepers {
		f.serve(k, "v1")
	}
	k, id := f.keepers[0], assigner.HashStream("stream")
	f.clock.Advance(5 * time.Second)
	version := f.begin(k, "stream")
	k.End(streamPool, id, true, f.clock.Now().Add(assigner.Lifetime))
	f.clock.Advance(3 * time.Second)
	k.Expire(f.clock.Now())
	f.serve(k, "v2")
	f.serve(f.keepers[1], "v2")
	f.clock.Advance(5 * time.Second)
	if got, ok := f.find(k, "stream"); ok && got != version {
		t.Errorf("got version %s for a stream that began at %s", got, version)
	}
}

// exchange has each of two routers receive the other's message.
func exchange(a, b *streamKeeper) {
	asOf, checksum := [2]int64{a.asOf(), b.asOf()}, [2]uint32{a.Checksum(), b.Checksum()}
	for i, k := range []*streamKeeper{b, a} {
		if checksum[i] == k.Checksum() {
			k.confirm(asOf[i])
		}
	}
}

// TestRoutersCutOffTogetherDontRenewEachOther guards against two routers that vouch for plans which neither has read.
func TestRoutersCutOffTogetherDontRenewEachOther(t *testing.T) {
	f := newKeeperFleet(t)
	a, b := f.keepers[0], f.keepers[1]
	f.serve(a, "v1")
	f.serve(b, "v1")
	isLeased := func(k *streamKeeper) bool {
		leased, _ := k.leaseState(f.clock.Uptime())
		return leased
	}
	for range 6 { // a second between two messages
		f.clock.Advance(time.Second)
		exchange(a, b)
	}
	if isLeased(a) || isLeased(b) {
		t.Error("got a lease without a read of the store for its whole time")
	}
	if err := a.read(context.Background(), planKeyPrefix); err != nil {
		t.Fatal(err)
	}
	exchange(a, b)
	if !isLeased(a) || !isLeased(b) {
		t.Error("got no lease after one of the routers has read the store and told the other")
	}
}

// TestStreamsBeginWithoutTheStore guards against callers who aren't served, or wait one after another, while the
// store is away for longer than a lease.
func TestStreamsBeginWithoutTheStore(t *testing.T) {
	f := newKeeperFleet(t)
	k := f.keepers[0]
	f.serve(k, "v1")
	f.store.down = true
	f.clock.Advance(2 * assigner.Lease)
	before := f.store.reads
	for range 10 {
		if got := f.begin(k, "stream"); got != "v1" {
			t.Errorf("got version %s, want v1", got)
		}
	}
	if got := f.store.reads - before; got != 1 {
		t.Errorf("got %d reads for ten callers, want 1", got)
	}
	f.store.down = false
	f.clock.Advance(failureTTL)
	f.begin(k, "after")
	if leased, _ := k.leaseState(f.clock.Uptime()); !leased {
		t.Error("got no lease once the store is back")
	}
}

// TestStreamWaitsForTheFirstPlan guards against refusing a stream whose upstreams are known and whose plan is being
// made, and against holding one that no plan will come for.
func TestStreamWaitsForTheFirstPlan(t *testing.T) {
	f := newKeeperFleet(t)
	k := f.keepers[0]
	began := time.Now()
	if _, ok := k.begin(context.Background(), streamPool, 1); ok || time.Since(began) > findTimeout/2 {
		t.Errorf("without upstreams: got a version %t after %v, want none at once", ok, time.Since(began))
	}
	k.mu.Lock()
	k.capacities = map[messenger.PoolID]map[string]int{streamPool: {"v1": 8}}
	k.mu.Unlock()
	go func() { _, _ = k.step(context.Background()) }()
	if got := f.begin(k, "stream"); got != "v1" {
		t.Errorf("got version %s, want v1", got)
	}
}
