package router

import (
	"fmt"
	"testing"
	"time"

	"lentilwood.example/lentilwood/internal/exchanger"
	"lentilwood.example/lentilwood/internal/follower"
	"lentilwood.example/lentilwood/internal/gossiper"
	"lentilwood.example/lentilwood/internal/loader"
	"lentilwood.example/lentilwood/internal/messenger"
	"lentilwood.example/lentilwood/internal/timekeeper"
)

// blankDecoder reads every row as nothing in particular.
type blankDecoder struct{}

func (blankDecoder) Configuration([]byte) (*follower.Configuration, error) {
	return &follower.Configuration{}, nil
}

func (blankDecoder) Registration(string, []byte) (messenger.UpstreamPolicy, error) {
	return messenger.UpstreamPolicy{}, nil
}

// largeFleet returns a router, not started, that collects and hears n others that do,
// all at a version.
func largeFleet(t *testing.T, name string, n int, version uint64) (*Hosted, *timekeeper.Manual) {
	t.Helper()
	clock := timekeeper.NewManual(time.Unix(1_700_000_000, 0))
	h := NewHosted(HostedConfig{Settings: loader.Router{Name: name, FailureDomain: "a"}, Decoder: blankDecoder{}, Clock: clock})
	h.exchanger = exchanger.New(exchanger.Config[hostedEnvelope]{Name: name})
	h.collecting.Store(true)
	for i := range n {
		p := h.upsertPeer(Member{Name: fmt.Sprint("p", i), Domain: "b"})
		p.live, p.collects = true, true
		p.versions[follower.RegistrationTable] = version
	}
	h.follower.Merge(clock.Now(), follower.Batch{
		Table: follower.RegistrationTable, Version: version,
		Rows: []follower.Row{{Table: follower.RegistrationTable, Key: "k", Version: version}},
	})
	return h, clock
}

// TestOthersFollowWhenTheFollowersLoseTheStore has the store turn away all routers
// that follow it closely, and then everybody.
func TestOthersFollowWhenTheFollowersLoseTheStore(t *testing.T) {
	// Which routers follow the store depends on their names.
	var h *Hosted
	for i := 0; h == nil || !h.storeDelegated.Load(); i++ {
		h, _ = largeFleet(t, fmt.Sprint("self", i), 40, 1)
		h.assignStoreFollowers()
	}
	first := h.storeFollowers
	for _, f := range first {
		h.peers[f.Name].storeLost = true
	}
	h.assignStoreFollowers()
	for _, f := range h.storeFollowers {
		for _, lost := range first {
			if f == lost {
				t.Errorf("%s is to follow the store, which it lost", f.Name)
			}
		}
	}
	for _, p := range h.peers {
		p.storeLost = true
	}
	h.assignStoreFollowers()
	if h.storeDelegated.Load() {
		t.Error("the router leaves the store to others though they have lost it")
	}
}

// TestOneRouterSendsRows has a router lag behind that follows the store itself: of those
// that could send it rows one does so once it had time to read them, and the next only
// after that one had time to send them.
func TestOneRouterSendsRows(t *testing.T) {
	sent := make(map[int]int)
	const fleet = 9
	for i := range fleet {
		h, clock := largeFleet(t, fmt.Sprint("self", i), 1, 1)
		h.follower.Merge(clock.Now(), follower.Batch{Table: follower.RegistrationTable, Version: 2, Rows: []follower.Row{{Table: follower.RegistrationTable, Key: "k", Version: 2}}})
		p := h.peers["p0"]
		h.storeFollowers = []gossiper.Member{p.member.gossipMember()}
		for j := range fleet {
			h.storeFollowers = append(h.storeFollowers, gossiper.Member{Name: fmt.Sprint("self", j), Domain: "a"})
		}
		for step := range 40 {
			if rows := h.missingRows(clock.Now(), p); len(rows) > 0 {
				sent[step]++
				break
			}
			clock.Advance(100 * time.Millisecond)
		}
	}
	if sent[3] != 1 || sent[7] != 1 {
		t.Errorf("got rows sent at steps of 100 ms %v, want one router at 300 and one at 700 ms", sent)
	}
	total := 0
	for step, n := range sent {
		total += n
		if step > 15 {
			t.Errorf("got rows sent at %d00 ms, want all who could to have tried by 1500 ms", step)
		}
	}
	if total != fleet {
		t.Errorf("got %d routers that would send rows, want all %d in the end", total, fleet)
	}
}

// TestRowsGoOnAtOnce has changes come one after the other to a router that others report
// to, which leave the store to it: each must be on its way at once, and again if nothing
// is heard of it, but not with every message.
func TestRowsGoOnAtOnce(t *testing.T) {
	h, clock := largeFleet(t, "self", 1, 1)
	p := h.peers["p0"]
	p.collects, p.reports = false, true
	for version := uint64(2); version < 8; version++ {
		h.follower.Merge(clock.Now(), follower.Batch{Table: follower.RegistrationTable, Version: version, Rows: []follower.Row{
			{Table: follower.RegistrationTable, Key: fmt.Sprint("k", version), Version: version},
		}})
		rows := h.missingRows(clock.Now(), p)
		if len(rows) != 1 || len(rows[0].Rows) != 1 || rows[0].Rows[0].Version != version {
			t.Fatalf("got rows %+v, want the one of version %d alone", rows, version)
		}
		clock.Advance(100 * time.Millisecond)
		if rows := h.missingRows(clock.Now(), p); len(rows) != 0 {
			t.Fatalf("got rows %+v sent again after 100 ms", rows)
		}
	}
	clock.Advance(minRowResend)
	again := h.missingRows(clock.Now(), p)
	if len(again) != 1 {
		t.Fatalf("got %d batches once nothing was heard for a second, want one", len(again))
	}
	if got := len(again[0].Rows); got != 6 {
		t.Errorf("got %d rows once nothing was heard for a second, want all 6 that it lacks again", got)
	}
}

// TestRouterAsksTheStoreWhenNobodySendsRows has others know a newer version.
func TestRouterAsksTheStoreWhenNobodySendsRows(t *testing.T) {
	h, clock := largeFleet(t, "self", 40, 1)
	h.storeDelegated.Store(true)
	wake := make(chan struct{}, 1)
	h.pulls[follower.RegistrationTable] = &pull{wake: wake}
	h.pullOverdueTables()
	h.peers["p3"].versions[follower.RegistrationTable] = 2
	for step := range 13 {
		h.pullOverdueTables()
		if asked := len(wake) > 0; asked != (step >= 10) {
			t.Fatalf("after %d00 ms: asked is %v, want it from %v on", step, asked, pullDelay)
		}
		clock.Advance(100 * time.Millisecond)
	}
}

// TestStartedReporterSendsNobodyToTheStore has a router that reports start again and read
// the whole table at a version which no row has: the others lack nothing.
func TestStartedReporterSendsNobodyToTheStore(t *testing.T) {
	h, clock := largeFleet(t, "self", 40, 1)
	h.storeDelegated.Store(true)
	wake := make(chan struct{}, 1)
	h.pulls[follower.RegistrationTable] = &pull{wake: wake}
	p := h.peers["p3"]
	p.reports, p.collects = true, false
	p.versions[follower.RegistrationTable] = 5
	for range 30 {
		h.pullOverdueTables()
		clock.Advance(100 * time.Millisecond)
	}
	if len(wake) > 0 {
		t.Error("asked the store for a version that only a router has which tells nobody")
	}
}
