package admitter

import (
	"testing"
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
)

// TestFailedAttemptsAreNoService has three attempts of one request fail before any output.
// Its account got nothing.
func TestFailedAttemptsAreNotCountedAsServed(t *testing.T) {
	s := newCPUStarvedRouter(t, 0)
	u, ok := s.arrive()
	if !ok {
		t.Fatal("got a request refused before idle engines")
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
	if most := rateIncrement(1); served > most || served < -most {
		t.Errorf("got %.0f a second served after four attempts without an output, want nothing", served)
	}
}

// TestLostEnginesLiftNoShares has a third of the engines refuse connections, which takes
// no time, in the middle of a crest. What is shared out must not grow by what is sent to
// them in vain, and an account at one router gets at least half of what the best served
// one gets.
func TestEngineLossDoesNotRaiseShares(t *testing.T) {
	// Reading takes 74 ms, so 24 engines begin 320 of these a second.
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
	before := s.routers[1].shares.fairShare
	for _, e := range s.engineList[:8] {
		s.crash(e)
	}
	crash := len(s.all)
	highest := 0.0
	s.run(3*time.Second, func() {
		load()
		highest = max(highest, s.routers[1].shares.fairShare)
		if s.routers[1].shares.fairShare == 0 {
			t.Fatalf("got enough for all at %v, a third of the engines lost in a crest", s.now.Sub(epoch))
		}
	})
	if most := 1.25 * before; highest > most {
		t.Errorf("got an account's share of up to %.0f a second once a third of the engines was lost, want at most %.0f: a quarter above the %.0f before", highest, most, before)
	}
	begun := countByAccount(s.all[crash:], func(r *simRequest) bool { return !r.firstOutputAt.IsZero() })
	for _, account := range otherAccounts {
		if begun["lone"] < begun[account]/2 {
			t.Errorf("got %v begun, want the lone account to get at least half of what each other one gets", begun)
		}
	}
}
