package scheduler

import (
	"github.com/cespare/xxhash/v2"

	"lentilwood.example/lentilwood/internal/messenger"
)

// rank returns the rendezvous hash of a router for a key. The highest rank wins.
func rank(key string, router messenger.RouterID) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(string(router))
	return d.Sum64()
}

// highestRankedRouter returns the router with the highest rank for a key.
func highestRankedRouter(key string, routers []messenger.RouterID) messenger.RouterID {
	var best messenger.RouterID
	var bestRank uint64
	for _, r := range routers {
		if h := rank(key, r); best == "" || h > bestRank {
			best, bestRank = r, h
		}
	}
	return best
}

// staticShare returns the number of slots of self if the routers divide n slots evenly. The
// shares of all routers add up to n: the remainder goes to the routers with the highest ranks.
func staticShare(key string, n int, self messenger.RouterID, routers []messenger.RouterID) int {
	count := max(1, len(routers))
	share, remainder := n/count, n%count
	if remainder == 0 {
		return share
	}
	ownRank := rank(key, self)
	higher := 0
	for _, r := range routers {
		if r != self && rank(key, r) > ownRank {
			higher++
		}
	}
	if higher < remainder {
		share++
	}
	return share
}
