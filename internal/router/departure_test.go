package router

import (
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"lentilwood.example/lentilwood/internal/exchanger"
	"lentilwood.example/lentilwood/internal/follower"
	"lentilwood.example/lentilwood/internal/loader"
	"lentilwood.example/lentilwood/internal/matcher"
	"lentilwood.example/lentilwood/internal/messenger"
	"lentilwood.example/lentilwood/internal/timekeeper"
)

// What follows has news of a leaving upstream travel from a router that follows the store
// to one that leaves the store to it, while other news come all the time.

const (
	// newsStep is the time between two messages of the routers, and changeEvery the
	// number of steps between two changes at the store.
	newsStep    = 100 * time.Millisecond
	changeEvery = 3
	// leavingBound is within what time each router has to know of a leaving upstream;
	// the platform allows two to four seconds.
	leavingBound = 2 * time.Second
)

// poolDecoder reads "ready" and "leaving" as registrations for one pool.
type poolDecoder struct{}

func (poolDecoder) Configuration([]byte) (*follower.Configuration, error) {
	return &follower.Configuration{
		Table: matcher.New(1, nil, nil), Pools: map[messenger.PoolID]messenger.PoolPolicy{"p": {}},
	}, nil
}

func (poolDecoder) Registration(_ string, value []byte) (messenger.UpstreamPolicy, error) {
	return messenger.UpstreamPolicy{Pool: "p", Leaving: string(value) == "leaving"}, nil
}

// newsFleet is a router that follows the store and one that reports to it.
type newsFleet struct {
	t       *testing.T
	clock   *timekeeper.Manual
	version uint64
	teller  *Hosted
	told    *Hosted
	// lost is true while messages get lost on their way.
	lost bool
}

func newNewsFleet(t *testing.T) *newsFleet {
	t.Helper()
	n := &newsFleet{t: t, clock: timekeeper.NewManual(time.Unix(1_700_000_000, 0))}
	n.teller, n.told = n.router("teller"), n.router("told")
	n.teller.collecting.Store(true)
	p := n.teller.upsertPeer(Member{Name: "told"})
	p.live, p.reports = true, true
	n.told.upsertPeer(Member{Name: "teller"}).live = true
	n.version = 10
	n.teller.merge(follower.Batch{Table: follower.ConfigurationTable, Whole: true, Version: 1, Rows: []follower.Row{{Key: "c", Version: 1}}}, sourceStore)
	n.teller.merge(follower.Batch{Table: follower.RegistrationTable, Whole: true, Version: 10, Rows: []follower.Row{
		{Key: "u1", Value: []byte("ready"), Version: 2}, {Key: "u2", Value: []byte("ready"), Version: 3},
	}}, sourceStore)
	n.pass(time.Second)
	if !n.believes(n.told, "u1") {
		t.Fatal("the router was not told of the upstreams at the start")
	}
	return n
}

func (n *newsFleet) router(name string) *Hosted {
	log := logrus.New()
	log.SetOutput(io.Discard)
	h := NewHosted(HostedConfig{Settings: loader.Router{Name: name}, Decoder: poolDecoder{}, Clock: n.clock, Log: log})
	h.exchanger = exchanger.New(exchanger.Config[hostedEnvelope]{Name: name})
	return h
}

// change writes a row at the store, of which the teller learns at once.
func (n *newsFleet) change(row follower.Row, catchUp bool) {
	since := n.version
	n.version++
	row.Version = n.version
	n.teller.merge(follower.Batch{
		Table: follower.RegistrationTable, Rows: []follower.Row{row}, Since: since, Version: n.version, CatchUp: catchUp,
	}, sourceStore)
}

// exchange lets the routers speak once: the one says what it has, the other sends what
// is lacking.
func (n *newsFleet) exchange() {
	p := n.teller.peers["told"]
	for _, table := range follower.Tables {
		p.versions[table] = n.told.follower.Version(table)
	}
	if news := n.teller.missingRows(n.clock.Now(), p); len(news) > 0 {
		if !n.lost {
			n.told.mergePeerRows(n.told.peers["teller"], news)
		}
	}
	n.teller.expireDroppedRegistrations()
	n.told.expireDroppedRegistrations()
}

// pass lets time pass in which other upstreams come.
func (n *newsFleet) pass(d time.Duration) {
	for i := range int(d / newsStep) {
		n.clock.Advance(newsStep)
		if i%changeEvery == 0 {
			n.change(follower.Row{Key: fmt.Sprint("v", n.version), Value: []byte("ready")}, false)
		}
		n.exchange()
	}
}

func (n *newsFleet) believes(h *Hosted, id messenger.UpstreamID) bool {
	s := h.snapshot.Load()
	if s == nil {
		return false
	}
	u, ok := s.Policy.Upstreams[id]
	return ok && !u.Leaving
}

func (n *newsFleet) checkGone(id messenger.UpstreamID) {
	n.t.Helper()
	if n.believes(n.told, id) {
		n.t.Errorf("a router believes in %s, of whose leaving another one told it or should have", id)
	}
}

// TestLostNewsOfALeavingUpstreamComeAgain loses the message that says so, and no other.
func TestLostNewsOfALeavingUpstreamComeAgain(t *testing.T) {
	n := newNewsFleet(t)
	n.change(follower.Row{Key: "u1", Value: []byte("leaving")}, false)
	n.lost = true
	n.exchange()
	n.lost = false
	n.pass(leavingBound)
	n.checkGone("u1")
}

// TestHeldBackLeavingReachesOthers has the store drop an upstream while it was away, which
// counts only after a while; newer changes are told of meanwhile.
func TestHeldBackLeavingReachesOthers(t *testing.T) {
	n := newNewsFleet(t)
	n.change(follower.Row{Key: "u1", Deleted: true}, true)
	n.pass(leavingBound)
	n.pass(leavingBound)
	n.checkGone("u1")
}

// TestReaderOfTheWholeTableTellsOfWhatItNeverKnew has an upstream come and go of which the
// told router knows, and the one that tells it what is new does not, since it started later.
func TestReaderOfTheWholeTableTellsOfWhatItNeverKnew(t *testing.T) {
	n := newNewsFleet(t)
	n.change(follower.Row{Key: "brief", Value: []byte("ready")}, false)
	n.exchange()
	versions := n.teller.peers["told"].versions
	n.teller = n.router("teller")
	n.teller.collecting.Store(true)
	p := n.teller.upsertPeer(Member{Name: "told"})
	p.live, p.reports, p.versions = true, true, versions
	n.version += 2
	n.teller.merge(follower.Batch{Table: follower.ConfigurationTable, Whole: true, Version: 1, Rows: []follower.Row{{Key: "c", Version: 1}}}, sourceStore)
	n.teller.merge(follower.Batch{Table: follower.RegistrationTable, Whole: true, Version: n.version, Rows: []follower.Row{
		{Key: "u2", Value: []byte("ready"), Version: 3},
	}}, sourceStore)
	n.pass(leavingBound)
	n.checkGone("brief")
	n.checkGone("u1")
	if !n.believes(n.told, "u2") {
		t.Error("a router lost an upstream that is still there")
	}
}

// TestRestartedRouterIsToldAll has a router start again right after it was sent something.
func TestRestartedRouterIsToldAll(t *testing.T) {
	n := newNewsFleet(t)
	n.change(follower.Row{Key: "u1", Value: []byte("leaving")}, false)
	n.exchange()
	n.told = n.router("told")
	n.told.upsertPeer(Member{Name: "teller"}).live = true
	n.teller.receive(hostedEnvelope{From: Member{Name: "told", Incarnation: 2}, Kind: kindReport, Load: &messenger.PeerLoad{}})
	n.pass(leavingBound)
	if !n.believes(n.told, "u2") || n.believes(n.told, "u1") {
		t.Error("a router that was started again does not have what was sent to it before")
	}
}

// TestDoubtfulCollectorPassesOnWhatAnotherOneIsSureOf has a router that collects doubt that
// an upstream is gone, and one that followed the store all the while tell it that it is.
func TestDoubtfulCollectorPassesOnWhatAnotherOneIsSureOf(t *testing.T) {
	n := newNewsFleet(t)
	n.change(follower.Row{Key: "u1", Deleted: true}, true)
	drop := follower.Row{Table: follower.RegistrationTable, Key: "u1", Deleted: true, Version: n.version}
	n.teller.mergePeerRows(n.teller.upsertPeer(Member{Name: "sure"}), []follower.Batch{
		{Table: follower.RegistrationTable, Rows: []follower.Row{drop}, Since: n.version - 1, Version: n.version},
	})
	n.exchange()
	n.checkGone("u1")
	if n.believes(n.teller, "u1") {
		t.Error("the router goes on to doubt what another one is sure of")
	}
}
