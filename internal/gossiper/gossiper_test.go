package gossiper

import (
	"fmt"
	"testing"
)

// newMembers returns n routers in each of the failure domains.
func newMembers(n int, domains ...string) []Member {
	var members []Member
	for _, d := range domains {
		for i := range n {
			members = append(members, Member{Name: fmt.Sprint(d, "-", i), Domain: d})
		}
	}
	return members
}

func membersWithout(members []Member, self Member) []Member {
	var rest []Member
	for _, m := range members {
		if m != self {
			rest = append(rest, m)
		}
	}
	return rest
}

// TestMessagesReachEachRouterOnce sends a message from each router of a large fleet and passes
// it on as the relays do.
func TestMessagesReachEachRouterOnce(t *testing.T) {
	all := newMembers(100, "a", "b", "c")
	for round := range uint64(3) {
		crossDomain := 0
		for _, self := range all {
			got := make(map[Member]int)
			sameDomain, relays := Targets(self, membersWithout(all, self), round)
			for _, m := range sameDomain {
				got[m]++
			}
			for _, relay := range relays {
				crossDomain++
				got[relay]++
				relayed, _ := Targets(relay, membersWithout(all, relay), 0)
				for _, m := range relayed {
					got[m]++
				}
			}
			for _, m := range membersWithout(all, self) {
				if got[m] != 1 {
					t.Fatalf("round %d: %s received the message of %s %d times, want once", round, m.Name, self.Name, got[m])
				}
			}
		}
		if want := 2 * len(all); crossDomain != want {
			t.Errorf("round %d: got %d messages between domains, want %d: two per router", round, crossDomain, want)
		}
	}
}

// TestRelayChangesWithEachMessage guards against a fixed relay: if it were down, it would lose
// all messages of a router, and it could be the relay of all routers.
func TestRelayChangesWithEachMessage(t *testing.T) {
	all := newMembers(4, "a", "b")
	relayedMessages := make(map[string]int)
	for _, self := range all {
		usedRelays := make(map[string]bool)
		for round := range uint64(4) {
			_, relays := Targets(self, membersWithout(all, self), round)
			usedRelays[relays[0].Name] = true
			relayedMessages[relays[0].Name]++
		}
		if len(usedRelays) != 4 {
			t.Errorf("%s used %d relays for 4 messages, want 4", self.Name, len(usedRelays))
		}
	}
	for name, n := range relayedMessages {
		if n != 4 {
			t.Errorf("%s relayed %d messages, want 4 like all others", name, n)
		}
	}
}

func TestFeederOfOwnDomainRanksFirst(t *testing.T) {
	all := newMembers(20, "a", "b", "c")
	feeders := Followers(all, 10)
	if len(feeders) != 10 {
		t.Fatalf("got %d followers, want 10", len(feeders))
	}
	domainsWithFeeder := make(map[string]bool)
	for _, f := range feeders {
		domainsWithFeeder[f.Domain] = true
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
			t.Fatalf("%s: got ranks %v, want every rank once", to.Name, ranks)
		}
		if domainsWithFeeder[to.Domain] && first.Domain != to.Domain && !onlyFeeder(feeders, to) {
			t.Errorf("%s gets rows first from %s, want a feeder of its own domain", to.Name, first.Name)
		}
	}
	if got := Followers(all[:3], 10); len(got) != 3 {
		t.Errorf("got %d followers of 3 routers, want 3", len(got))
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
