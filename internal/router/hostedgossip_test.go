package router

import (
	"slices"
	"testing"
	"time"

	"lentilwood.example/lentilwood/internal/follower"
	"lentilwood.example/lentilwood/internal/gossiper"
	"lentilwood.example/lentilwood/internal/messenger"
)

// newReporter returns a router of a large fleet that reports to a collector of its failure
// domain, from which it has received a digest.
func newReporter(t *testing.T) (h *Hosted, collector *hostedPeer, receiveDigest func(e hostedEnvelope)) {
	t.Helper()
	h, clock := newLargeFleetRouter(t, "self", 40, 1)
	h.collecting.Store(false)
	for _, p := range h.peers {
		p.collects = false
	}
	for _, name := range []string{"near1", "near2", "near3", "near4"} {
		h.upsertPeer(Member{Name: name, Domain: "a", Weight: 800, Incarnation: 1})
	}
	h.updateCollecting()
	sequence := uint64(0)
	receiveDigest = func(e hostedEnvelope) {
		sequence++
		e.From, e.Kind, e.Sequence = collector.member, kindDigest, sequence
		if e.Load == nil {
			e.Load = &messenger.PeerLoad{Routers: make([]messenger.NameHash, 40)}
		}
		h.receive(e)
	}
	h.sendReport(clock.Now(), messenger.PeerLoad{})
	if got := h.reporter.Current(); got.Domain != "a" {
		t.Fatalf("reporting to %+v, want a router of the same failure domain", got)
	}
	collector = h.peers[h.reporter.Current().Name]
	receiveDigest(hostedEnvelope{})
	return h, collector, receiveDigest
}

func isCandidate(h *Hosted, name string) bool {
	h.updateCollecting()
	return slices.ContainsFunc(h.collectorCandidates, func(m gossiper.Member) bool { return m.Name == name })
}

// TestRestartedRouterMayCollectAgain has a collector leave, and other routers later list it as
// a collector with a new incarnation.
func TestRestartedRouterMayCollectAgain(t *testing.T) {
	h, collector, receiveDigest := newReporter(t)
	receiveDigest(hostedEnvelope{Leaving: true})
	if isCandidate(h, collector.member.Name) {
		t.Error("a router that is shutting down is still a candidate")
	}
	member := collector.member
	h.recordCollectors([]Member{member})
	if isCandidate(h, collector.member.Name) {
		t.Error("an outdated list made the process that is leaving a candidate again")
	}
	member.Incarnation++
	h.recordCollectors([]Member{member})
	if !isCandidate(h, collector.member.Name) {
		t.Error("a restarted router is no candidate")
	}
}

// TestStoreIsDelegatedOnlyToRoutersThatReachIt has the collector lose the store and later
// become silent.
func TestStoreIsDelegatedOnlyToRoutersThatReachIt(t *testing.T) {
	h, collector, receiveDigest := newReporter(t)
	h.assignStoreFollowers()
	if !h.storeDelegated.Load() {
		t.Fatal("the store is not delegated to the collectors")
	}
	receiveDigest(hostedEnvelope{StoreLost: true})
	h.assignStoreFollowers()
	if h.storeDelegated.Load() {
		t.Error("the store is delegated to routers that have lost it")
	}
	receiveDigest(hostedEnvelope{})
	h.assignStoreFollowers()
	if !h.storeDelegated.Load() {
		t.Error("the store is not delegated to routers that reach it again")
	}
	h.reporter.MarkFailed(h.clock.Now(), collector.member.Name)
	h.sendReport(h.clock.Now(), messenger.PeerLoad{})
	h.assignStoreFollowers()
	if h.storeDelegated.Load() {
		t.Error("the store is delegated before the new collector has sent a message")
	}
}

// TestReporterSendsNoRows has a reporter know newer rows than its collector.
func TestReporterSendsNoRows(t *testing.T) {
	h, collector, _ := newReporter(t)
	h.follower.Merge(h.clock.Now(), follower.Batch{Table: follower.RegistrationTable, Version: 5, Rows: []follower.Row{
		{Table: follower.RegistrationTable, Key: "k", Version: 5},
	}})
	h.sendRows()
	if !collector.behindSince.IsZero() {
		t.Error("rows were sent to the collector")
	}
}

// TestDigestUpdatesFleetState has a router that received messages of some others begin to
// report and receive digests.
func TestDigestUpdatesFleetState(t *testing.T) {
	h, collector, receiveDigest := newReporter(t)
	running := func(n uint32) *messenger.PeerLoad {
		return &messenger.PeerLoad{
			Routers:   []messenger.NameHash{messenger.HashName(messenger.RouterID("near1")), messenger.HashName(messenger.RouterID("p1"))},
			Upstreams: []messenger.UpstreamLoad{{Upstream: 1, Running: n}},
		}
	}
	receiveDigest(hostedEnvelope{Load: running(7)})
	if got, want := h.peerCount.Load(), int64(len(h.peers)); got != want {
		t.Errorf("got %d other routers, want the %d that are known by name", got, want)
	}
	receiveDigest(hostedEnvelope{Load: running(9)})
	if got := h.lastPeerMessageMicros.Load(); got != h.clock.Now().UnixMicro() {
		t.Errorf("last peer message at %v, want now", time.UnixMicro(got))
	}
	if collector.collects {
		t.Error("the collector that sends digests counts as one that exchanges its own load")
	}
}
