// Package gossiper decides over which routers of a fleet messages and rows go.
//
// It answers the load of a large fleet that talks to itself: were each router to
// send its state to every other, the bytes between failure domains would grow with
// the square of the fleet. So a message goes to each router of the own domain, and
// once into every other domain, where the router that it reaches passes it on.
// Another one is picked each time, so that one that is down loses few of them. Rows
// of the platform's store go to a router that lags behind from one of those that
// follow the store closely; the others wait whether that was enough.
//
// The decisions do no I/O and read no clock.
//
// # Usage
//
//	near, relays := gossiper.Targets(self, members, round)
//	near = gossiper.SameDomain(self, members) // for a message that is relayed
//	feeders := gossiper.Followers(members, 10)
//	rank := gossiper.Rank(feeders, self, to)
package gossiper

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Member is a router as the others know it.
type Member struct {
	Name string
	// Domain is the failure domain that it stands in.
	Domain string
	// Weight is its processor time, in thousandths of a core; zero means that it does
	// not say.
	Weight int
}

// Targets returns the routers that are sent a message: near are those of the own
// failure domain, relays one of each other domain, which passes it on. Round is the
// number of the message.
func Targets(self Member, others []Member, sequence uint64) (near, relays []Member) {
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

// SameDomain returns the routers of the own failure domain, to which a message is passed
// on that another router relays.
func SameDomain(self Member, others []Member) []Member {
	var near []Member
	for _, m := range others {
		if m.Domain == self.Domain {
			near = append(near, m)
		}
	}
	return near
}

// Followers returns the n routers that follow the platform's store closely, or all
// if there are no more: those whose names have the lowest hashes.
func Followers(members []Member, n int) []Member {
	sorted := slices.Clone(members)
	slices.SortFunc(sorted, func(a, b Member) int {
		return cmp.Or(cmp.Compare(nameHash(a), nameHash(b)), byName(a, b))
	})
	return sorted[:min(n, len(sorted))]
}

// Rank returns how many of the feeders come before self in sending rows to a router:
// those of its failure domain first, then in an order that differs between routers.
func Rank(feeders []Member, self, to Member) int {
	rank := 0
	for _, f := range feeders {
		if f.Name != self.Name && f.Name != to.Name && precedes(f, self, to) {
			rank++
		}
	}
	return rank
}

// before reports whether a sends rows to a router rather than b.
func precedes(a, b, to Member) bool {
	if (a.Domain == to.Domain) != (b.Domain == to.Domain) {
		return a.Domain == to.Domain
	}
	return pairHash(a, to) < pairHash(b, to)
}

func byName(a, b Member) int { return cmp.Compare(a.Name, b.Name) }

func nameHash(m Member) uint64 { return xxhash.Sum64String(m.Name) }

func pairHash(a, b Member) uint64 { return xxhash.Sum64String(a.Name + "\x00" + b.Name) }
