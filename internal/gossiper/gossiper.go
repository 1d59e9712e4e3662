// Package gossiper chooses the routers over which messages and rows are distributed in a
// fleet.
//
// If each router sent its state to every other one, the bytes between failure domains would
// grow with the square of the fleet size. Therefore a message is sent to each router of the
// sender's failure domain and to one relay in every other domain, which passes it on there. A
// different relay is chosen each time, so that a relay that is down loses few messages.
//
// The routers that follow the platform's store closely are the feeders. If another router lags
// behind, one feeder sends it the missing rows. The other feeders wait, and send rows only if
// the router still lags behind.
//
// In a large fleet, routers report their load only to a few collectors, which exchange the
// loads and return digests of them. A Reporter chooses the collector of one router.
//
// The package performs no I/O and reads no clock.
//
// # Usage
//
//	sameDomain, relays := gossiper.Targets(self, members, round)
//	sameDomain = gossiper.SameDomain(self, members) // for a message that is relayed
//	feeders := gossiper.Followers(members, 10)
//	rank := gossiper.Rank(feeders, self, to)
package gossiper

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Member describes a router of the fleet to the other routers.
type Member struct {
	Name string
	// Domain is the router's failure domain.
	Domain string
	// Weight is the CPU time that the router has, in thousandths of a core; zero means
	// unknown.
	Weight int
}

// Targets returns the routers to which self sends a message: all routers of its failure domain,
// and one relay in each other domain, which passes the message on there. The sequence number
// of the message selects the relays.
func Targets(self Member, others []Member, sequence uint64) (sameDomain, relays []Member) {
	domains := make(map[string][]Member)
	for _, m := range others {
		if m.Domain != self.Domain {
			domains[m.Domain] = append(domains[m.Domain], m)
		}
	}
	ownHash := nameHash(self)
	for _, members := range domains {
		slices.SortFunc(members, byName)
		relays = append(relays, members[(ownHash+sequence)%uint64(len(members))])
	}
	slices.SortFunc(relays, byName)
	return SameDomain(self, others), relays
}

// SameDomain returns the routers of self's failure domain. A relay passes messages on to them.
func SameDomain(self Member, others []Member) []Member {
	var sameDomain []Member
	for _, m := range others {
		if m.Domain == self.Domain {
			sameDomain = append(sameDomain, m)
		}
	}
	return sameDomain
}

// Followers returns the n routers that follow the platform's store closely: those whose names
// have the lowest hashes. It returns all members if there are fewer than n.
func Followers(members []Member, n int) []Member {
	sorted := slices.Clone(members)
	slices.SortFunc(sorted, func(a, b Member) int {
		return cmp.Or(cmp.Compare(nameHash(a), nameHash(b)), byName(a, b))
	})
	return sorted[:min(n, len(sorted))]
}

// Rank returns how many of the feeders send rows to a router before self does. The feeders of
// that router's failure domain come first, then the others, in an order that differs between
// receivers.
func Rank(feeders []Member, self, to Member) int {
	rank := 0
	for _, f := range feeders {
		if f.Name != self.Name && f.Name != to.Name && precedes(f, self, to) {
			rank++
		}
	}
	return rank
}

// precedes reports whether feeder a comes before feeder b in sending rows to a router.
func precedes(a, b, to Member) bool {
	if (a.Domain == to.Domain) != (b.Domain == to.Domain) {
		return a.Domain == to.Domain
	}
	return pairHash(a, to) < pairHash(b, to)
}

func byName(a, b Member) int { return cmp.Compare(a.Name, b.Name) }

func nameHash(m Member) uint64 { return xxhash.Sum64String(m.Name) }

func pairHash(a, b Member) uint64 { return xxhash.Sum64String(a.Name + "\x00" + b.Name) }
