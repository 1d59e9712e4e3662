package admitter

import (
	"testing"
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
)

// TestFailedAttemptsAreNotCountedAsServed has all attempts of one request fail before any
// output: its account must count as not served.
func TestFailedAttemptsAreNotCountedAsServed(t *testing.T) {
	s := newCPUStarvedRouter(t, 0)
	u, ok := s.arrive()
	if !ok {
		t.Fatal("got a request refused with idle engines")
	}
	for range 3 {
		s.now = s.now.Add(2 * time.Millisecond)
		for _, action := range s.a.Handle(s.now, messenger.Finish{Request: s.lastID, Upstream: u, Failed: true, Retry: true}) {
			if d, ok := action.(messenger.Dispatch); ok {
				u = d.Upstream
			}
		}
	}
	s.a.Handle(s.now, messenger.Finish{Request: s.lastID, Upstream: u, Failed: true})
	served, _ := s.a.shares.localServedAndShare("clinic")
	if tolerance := rateIncrement(1); served > tolerance || served < -tolerance {
		t.Errorf("got a served rate of %.0f per second after four attempts without output, want 0", served)
	}
}

// TestEngineLossDoesNotRaiseShares makes a third of the engines refuse connections, which
// takes no time, during an overload. The attempts that fail there must not raise the
// shares, and an account at one router must be served at least half as much as each other
// account.
func TestEngineLossDoesNotRaiseShares(t *testing.T) {
	// Reading a prompt takes 74 ms, so 24 engines start 320 requests per second.
	s := newSim(t, 60, 24, 24, 320*9000)
	s.useCollectors()
	offer := func(router int, account messenger.AccountID) {
		s.offerAt(router, account, simObjective, s.sessionPrompt(s.rng.IntN(160), 3000, 6000), 100)
	}
	load := func() {
		s.poisson(300, func() { offer(1, "lone") })
		for _, account := range otherAccounts {
			s.poisson(100, func() { offer(s.rng.IntN(len(s.routers)), account) })
		}
	}
	s.run(3*time.Second, load)
	shareBefore := s.routers[1].shares.fairShare
	for _, e := range s.engineList[:8] {
		s.crash(e)
	}
	firstAfterCrash := len(s.all)
	highestShare := 0.0
	s.run(3*time.Second, func() {
		load()
		highestShare = max(highestShare, s.routers[1].shares.fairShare)
		if s.routers[1].shares.fairShare == 0 {
			t.Fatalf("got no limit on shares at %v, want one: a third of the engines are lost during an overload", s.now.Sub(epoch))
		}
	})
	if maxShare := 1.25 * shareBefore; highestShare > maxShare {
		t.Errorf("got an account's share of up to %.0f per second after the loss of a third of the engines, want at most %.0f: a quarter above the %.0f before", highestShare, maxShare, shareBefore)
	}
	started := countByAccount(s.all[firstAfterCrash:], func(r *simRequest) bool { return !r.firstOutputAt.IsZero() })
	for _, account := range otherAccounts {
		if started["lone"] < started[account]/2 {
			t.Errorf("got %v started, want at least half of each other account's count for the lone account", started)
		}
	}
}
