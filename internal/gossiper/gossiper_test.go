package gossiper

import (
	"fmt"
	"testing"
)

// fleet returns n routers in each of some failure domains.
func fleet(n int, domains ...string) []Member {
	var members []Member
	for _, d := range domains {
		for i := range n {
			members = append(members, Member{Name: fmt.Sprint(d, "-", i), Domain: d})
		}
	}
	return members
}

func without(members []Member, self Member) []Member {
	var others []Member
	for _, m := range members {
		if m != self {
			others = append(others, m)
		}
	}
	return others
}

// TestMessagesReachEachRouterOnce passes a message of each router of a large fleet
// on as the receivers would.
func TestMessagesReachEachRouterOnce(t *testing.T) {
	all := fleet(100, "a", "b", "c")
	for round := range uint64(3) {
		between := 0
		for _, self := range all {
			got := make(map[Member]int)
			near, relays := Targets(self, without(all, self), round)
			for _, m := range near {
				got[m]++
			}
			for _, relay := range relays {
				between++
				got[relay]++
				mates, _ := Targets(relay, without(all, relay), 0)
				for _, m := range mates {
					got[m]++
				}
			}
			for _, m := range without(all, self) {
				if got[m] != 1 {
					t.Fatalf("round %d: %s got the message of %s %d times, want once", round, m.Name, self.Name, got[m])
				}
			}
		}
		if want := 2 * len(all); between != want {
			t.Errorf("round %d: %d messages between domains, want %d: two for each router", round, between, want)
		}
	}
}

// TestRelayIsAnotherOneEachTime has a relay that is down: it must not lose all
// messages of anybody, and nobody may relay for all.
func TestRelayIsAnotherOneEachTime(t *testing.T) {
	all := fleet(4, "a", "b")
	load := make(map[string]int)
	for _, self := range all {
		seen := make(map[string]bool)
		for round := range uint64(4) {
			_, relays := Targets(self, without(all, self), round)
			seen[relays[0].Name] = true
			load[relays[0].Name]++
		}
		if len(seen) != 4 {
			t.Errorf("%s used %d relays in 4 rounds, want 4", self.Name, len(seen))
		}
	}
	for name, n := range load {
		if n != 4 {
			t.Errorf("%s relayed %d messages, want 4 like each", name, n)
		}
	}
}

func TestOneFeederOfTheOwnDomainComesFirst(t *testing.T) {
	all := fleet(20, "a", "b", "c")
	feeders := Followers(all, 10)
	if len(feeders) != 10 {
		t.Fatalf("got %d followers, want 10", len(feeders))
	}
	local := make(map[string]bool)
	for _, f := range feeders {
		local[f.Domain] = true
	}
	for _, to := range all {
		ranks := make(map[int]Member)
		for _, f := range feeders {
			if f != to {
				ranks[Rank(feeders, f, to)] = f
			}
		}
		first, ok := ranks[0]
		if !ok || len(ranks) < 9 {
			t.Fatalf("%s: got ranks %v, want each once", to.Name, ranks)
		}
		if local[to.Domain] && first.Domain != to.Domain && !onlyFeeder(feeders, to) {
			t.Errorf("%s is fed first from %s, want one of its own domain", to.Name, first.Name)
		}
	}
	if got := Followers(all[:3], 10); len(got) != 3 {
		t.Errorf("got %d followers of 3 routers, want all", len(got))
	}
}

// onlyFeeder reports whether a router is the only feeder of its domain.
func onlyFeeder(feeders []Member, m Member) bool {
	n, self := 0, false
	for _, f := range feeders {
		if f.Domain == m.Domain {
			n++
		}
		self = self || f == m
	}
	return self && n == 1
}
