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

// emptyDecoder decodes every row to a zero value.
type emptyDecoder struct{}

func (emptyDecoder) Configuration([]byte) (*follower.Configuration, error) {
	return &follower.Configuration{}, nil
}

func (emptyDecoder) Evacuation(string) (string, bool, error) { return "", false, nil }

func (emptyDecoder) Registration(string, []byte) (messenger.UpstreamPolicy, error) {
	return messenger.UpstreamPolicy{}, nil
}

// newLargeFleetRouter returns a collector that is not started and knows n other live
// collectors. All have the given version of the registration table.
func newLargeFleetRouter(t *testing.T, name string, n int, version uint64) (*Hosted, *timekeeper.Manual) {
	t.Helper()
	clock := timekeeper.NewManual(time.Unix(1_700_000_000, 0))
	h := NewHosted(HostedConfig{Settings: loader.Router{Name: name, FailureDomain: "a"}, Decoder: emptyDecoder{}, Clock: clock})
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

// TestFollowersAreReplacedWhenTheyLoseTheStore checks that store followers that can't follow
// the store any more are replaced, and that no router is relied on once all have lost it.
func TestFollowersAreReplacedWhenTheyLoseTheStore(t *testing.T) {
	// The names of the routers determine which of them follow the store.
	var h *Hosted
	for i := 0; h == nil || !h.storeDelegated.Load(); i++ {
		h, _ = newLargeFleetRouter(t, fmt.Sprint("self", i), 40, 1)
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
				t.Errorf("%s is assigned to follow the store, which it lost", f.Name)
			}
		}
	}
	for _, p := range h.peers {
		p.storeLost = true
	}
	h.assignStoreFollowers()
	if h.storeDelegated.Load() {
		t.Error("the store is delegated to routers that have lost it")
	}
}

// TestRoutersTakeTurnsSendingRows checks which routers send rows to a store follower that is
// missing some: one router after the follower had time to read them itself, and the next one
// only after the first had time to send them.
func TestRoutersTakeTurnsSendingRows(t *testing.T) {
	sent := make(map[int]int)
	const fleet = 9
	for i := range fleet {
		h, clock := newLargeFleetRouter(t, fmt.Sprint("self", i), 1, 1)
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
			t.Errorf("got rows sent at %d00 ms, want every router to have tried by 1500 ms", step)
		}
	}
	if total != fleet {
		t.Errorf("got %d routers that would send rows, want all %d in the end", total, fleet)
	}
}

// TestReportersGetRowsAtOnce checks that a collector sends each change at once to the routers
// that report to it, and again if it is not confirmed, but not with every message.
func TestReportersGetRowsAtOnce(t *testing.T) {
	h, clock := newLargeFleetRouter(t, "self", 1, 1)
	p := h.peers["p0"]
	p.collects, p.reports = false, true
	for version := uint64(2); version < 8; version++ {
		h.follower.Merge(clock.Now(), follower.Batch{Table: follower.RegistrationTable, Version: version, Rows: []follower.Row{
			{Table: follower.RegistrationTable, Key: fmt.Sprint("k", version), Version: version},
		}})
		rows := h.missingRows(clock.Now(), p)
		if len(rows) != 1 || len(rows[0].Rows) != 1 || rows[0].Rows[0].Version != version {
			t.Fatalf("got rows %+v, want only the one of version %d", rows, version)
		}
		clock.Advance(100 * time.Millisecond)
		if rows := h.missingRows(clock.Now(), p); len(rows) != 0 {
			t.Fatalf("rows %+v sent again after 100 ms", rows)
		}
	}
	clock.Advance(minRowResend)
	resent := h.missingRows(clock.Now(), p)
	if len(resent) != 1 {
		t.Fatalf("got %d batches after a second without confirmation, want one", len(resent))
	}
	if got := len(resent[0].Rows); got != 6 {
		t.Errorf("got %d rows after a second without confirmation, want all 6 missing ones", got)
	}
}

// TestRouterPullsRowsThatNobodySends checks that a router reads a table from the store if
// another router has had a newer version for pullDelay and nobody sent it.
func TestRouterPullsRowsThatNobodySends(t *testing.T) {
	h, clock := newLargeFleetRouter(t, "self", 40, 1)
	h.storeDelegated.Store(true)
	wake := make(chan struct{}, 1)
	h.pulls[follower.RegistrationTable] = &pull{wake: wake}
	h.pullOverdueTables()
	h.peers["p3"].versions[follower.RegistrationTable] = 2
	for step := range 13 {
		h.pullOverdueTables()
		if pulled := len(wake) > 0; pulled != (step >= 10) {
			t.Fatalf("after %d00 ms: pull triggered is %v, want it from %v on", step, pulled, pullDelay)
		}
		clock.Advance(100 * time.Millisecond)
	}
}

// TestRestartedReporterTriggersNoPulls checks that a router does not read a table because of
// the version of a reporter. A restarted reporter reads the whole table, whose version may be
// newer than that of any row, so the other routers are missing nothing.
func TestRestartedReporterTriggersNoPulls(t *testing.T) {
	h, clock := newLargeFleetRouter(t, "self", 40, 1)
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
		t.Error("pulled a version from the store that only a reporter has")
	}
}
