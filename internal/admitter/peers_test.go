package admitter

import (
	"testing"
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
)

// TestRarePeersStillCount has a fleet so large that routers speak every few
// seconds: they go on dividing the demand between them.
func TestInfrequentPeerLoadsStayValid(t *testing.T) {
	s := newSim(t, 16, 4, 8, 0)
	s.gossipInterval = 3 * time.Second
	s.run(11*time.Second, func() {})
	if got, want := s.routers[0].pools[simPool].demandShare, 1.0/16; got > 2*want {
		t.Errorf("got %.3f of the fleet's demand for one of 16 idle routers, want about %.3f", got, want)
	}
	s.gossipInterval = time.Hour
	s.run(12*time.Second, func() {})
	if got := s.routers[0].pools[simPool].demandShare; got != 1 {
		t.Errorf("got a part of %.3f after the others fell silent, want all", got)
	}
}

// TestPeerThatStopsCountsNoMore looks at the sums over the other routers.
func TestLoadOfSilentPeerExpires(t *testing.T) {
	s := newSim(t, 2, 1, 8, 0)
	load := messenger.PeerLoad{From: "x", Upstreams: []messenger.UpstreamLoad{{Upstream: messenger.KeyOf(messenger.UpstreamID("A")), Running: 5, Reading: 100}}}
	a := s.routers[0]
	a.Handle(epoch, load)
	load.Upstreams[0].Running = 3
	a.Handle(epoch, load)
	if got := a.upstreams["A"].peerLoad; got != newLoad(3, 100) {
		t.Errorf("got %+v of the other router, want its last message", got)
	}
	a.Handle(epoch.Add(2*time.Second), messenger.Tick{})
	if got := a.upstreams["A"].peerLoad; got != newLoad(0, 0) {
		t.Errorf("got %+v after it fell silent, want nothing", got)
	}
}

func newLoad(running, reading int) load { return load{running: running, unreadTokens: reading} }
