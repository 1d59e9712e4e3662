package admitter

import (
	"testing"
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
)

// TestInfrequentPeerLoadsStayValid has routers that send load messages every few seconds,
// as in a very large fleet: each must keep its part of the demand. Routers that stop
// sending expire.
func TestInfrequentPeerLoadsStayValid(t *testing.T) {
	s := newSim(t, 16, 4, 8, 0)
	s.gossipInterval = 3 * time.Second
	s.run(11*time.Second, func() {})
	if got, want := s.routers[0].pools[simPool].demandShare, 1.0/16; got > 2*want {
		t.Errorf("got a demand share of %.3f for one of 16 idle routers, want about %.3f", got, want)
	}
	s.gossipInterval = time.Hour
	s.run(12*time.Second, func() {})
	if got := s.routers[0].pools[simPool].demandShare; got != 1 {
		t.Errorf("got a demand share of %.3f after the other routers expired, want 1", got)
	}
}

// TestLoadOfSilentPeerExpires receives two load messages of a router and then none: the
// second must replace the first, and its load must expire.
func TestLoadOfSilentPeerExpires(t *testing.T) {
	s := newSim(t, 2, 1, 8, 0)
	load := messenger.PeerLoad{From: "x", Upstreams: []messenger.UpstreamLoad{{Upstream: messenger.HashName(messenger.UpstreamID("A")), Running: 5, UnreadTokens: 100}}}
	a := s.routers[0]
	a.Handle(epoch, load)
	load.Upstreams[0].Running = 3
	a.Handle(epoch, load)
	if got := a.upstreams["A"].peerLoad; got != newLoad(3, 100) {
		t.Errorf("got a load of %+v for the other router, want that of its last message", got)
	}
	a.Handle(epoch.Add(2*time.Second), messenger.Tick{})
	if got := a.upstreams["A"].peerLoad; got != newLoad(0, 0) {
		t.Errorf("got a load of %+v after the other router expired, want none", got)
	}
}

func newLoad(running, unread int) load { return load{running: running, unreadTokens: unread} }
