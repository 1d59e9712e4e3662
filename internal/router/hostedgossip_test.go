package router

import (
	"slices"
	"testing"
	"time"

	"lentilwood.example/lentilwood/internal/follower"
	"lentilwood.example/lentilwood/internal/gossiper"
	"lentilwood.example/lentilwood/internal/messenger"
)

// reporting makes a router of a large fleet report to one of its failure domain, which
// has told it of the others.
func reporting(t *testing.T) (h *Hosted, to *hostedPeer, tell func(e hostedEnvelope)) {
	t.Helper()
	h, clock := largeFleet(t, "self", 40, 1)
	h.collecting.Store(false)
	for _, p := range h.peers {
		p.collects = false
	}
	for _, name := range []string{"near1", "near2", "near3", "near4"} {
		h.upsertPeer(Member{Name: name, Domain: "a", Weight: 800, Incarnation: 1})
	}
	h.updateCollecting()
	sequence := uint64(0)
	tell = func(e hostedEnvelope) {
		sequence++
		e.From, e.Kind, e.Sequence = to.member, kindDigest, sequence
		if e.Load == nil {
			e.Load = &messenger.PeerLoad{Routers: make([]messenger.Key, 40)}
		}
		h.receive(e)
	}
	h.sendReport(clock.Now(), messenger.PeerLoad{})
	if got := h.reporter.Current(); got.Domain != "a" {
		t.Fatalf("got %+v reported to, want a router of the own failure domain", got)
	}
	to = h.peers[h.reporter.Current().Name]
	tell(hostedEnvelope{})
	return h, to, tell
}

func knows(h *Hosted, name string) bool {
	h.updateCollecting()
	return slices.ContainsFunc(h.collectorCandidates, func(m gossiper.Member) bool { return m.Name == name })
}

// TestRestartedRouterMayCollectAgain has the router that collects leave, and others say
// later that it collects once more, as another process.
func TestRestartedRouterMayCollectAgain(t *testing.T) {
	h, to, tell := reporting(t)
	tell(hostedEnvelope{Leaving: true})
	if knows(h, to.member.Name) {
		t.Error("a router that is about to stop is still thought of as one that could collect")
	}
	again := to.member
	h.recordCollectors([]Member{again})
	if knows(h, to.member.Name) {
		t.Error("an old list brought back the process that leaves")
	}
	again.Incarnation++
	h.recordCollectors([]Member{again})
	if !knows(h, to.member.Name) {
		t.Error("a router that was started again is no longer thought of")
	}
}

// TestStoreIsLeftToThoseThatReachIt has the router that collects lose the store, and
// then fall silent.
func TestStoreIsLeftToThoseThatReachIt(t *testing.T) {
	h, to, tell := reporting(t)
	h.assignStoreFollowers()
	if !h.storeDelegated.Load() {
		t.Fatal("the store is not left to the routers that collect")
	}
	tell(hostedEnvelope{StoreLost: true})
	h.assignStoreFollowers()
	if h.storeDelegated.Load() {
		t.Error("the store is left to routers that have lost it")
	}
	tell(hostedEnvelope{})
	h.assignStoreFollowers()
	if !h.storeDelegated.Load() {
		t.Error("the store is not left to the routers that have it again")
	}
	h.reporter.MarkFailed(h.clock.Now(), to.member.Name)
	h.sendReport(h.clock.Now(), messenger.PeerLoad{})
	h.assignStoreFollowers()
	if h.storeDelegated.Load() {
		t.Error("the store is left to others before any of them was heard")
	}
}

// TestReporterSendsNoRows has a router that reports know more than the one it reports to.
func TestReporterSendsNoRows(t *testing.T) {
	h, to, _ := reporting(t)
	h.follower.Merge(h.clock.Now(), follower.Batch{Table: follower.RegistrationTable, Version: 5, Rows: []follower.Row{
		{Table: follower.RegistrationTable, Key: "k", Version: 5},
	}})
	h.sendRows()
	if !to.behindSince.IsZero() {
		t.Error("rows went to the router that collects")
	}
}

// TestFleetSumReplacesWhatRoutersSaid has a router begin to report after it heard some of
// the others itself.
func TestFleetSumReplacesWhatRoutersSaid(t *testing.T) {
	h, to, tell := reporting(t)
	running := func(n uint32) *messenger.PeerLoad {
		return &messenger.PeerLoad{
			Routers:   []messenger.Key{messenger.KeyOf(messenger.RouterID("near1")), messenger.KeyOf(messenger.RouterID("p1"))},
			Upstreams: []messenger.UpstreamLoad{{Upstream: 1, Running: n}},
		}
	}
	tell(hostedEnvelope{Load: running(7)})
	if got, want := h.peerCount.Load(), int64(len(h.peers)); got != want {
		t.Errorf("got %d other routers, want the %d that are known by name", got, want)
	}
	tell(hostedEnvelope{Load: running(9)})
	if got := h.lastPeerMessageMicros.Load(); got != h.clock.Now().UnixMicro() {
		t.Errorf("got news of %v, want now", time.UnixMicro(got))
	}
	if to.collects {
		t.Error("the router that is reported to counts as one that tells this one of itself alone")
	}
}
