package scheduler

import (
	"slices"
	"strconv"

	"lentilwood.example/lentilwood/internal/messenger"
)

// The sizes of cells. A cell is a group of upstreams of a pool that have one
// owner and are used by the same routers.
const (
	// cellsPerRouter is how many cells of a pool a router uses at least.
	minCellsPerRouter = 3
	// routersPerCell is how many routers use a cell at least.
	minRoutersPerCell = 8
)

// cell is a group of upstreams with one owner.
type cell struct {
	owner     messenger.RouterID
	users     []messenger.RouterID
	upstreams []messenger.UpstreamID
}

// cellsOf groups the upstreams of a pool. Every router that knows the same
// upstreams and routers gets the same cells.
func groupCells(id messenger.PoolID, upstreams []messenger.UpstreamID, routers []messenger.RouterID, size int) []cell {
	n := (len(upstreams) + size - 1) / size
	cells := make([]cell, n)
	load := make(map[messenger.RouterID]int)
	keys := make([]string, n)
	for i := range cells {
		keys[i] = string(id) + "/" + strconv.Itoa(i)
		cells[i].owner = chooseOwner(keys[i], routers, load, (n+len(routers)-1)/len(routers))
	}
	for _, u := range upstreams {
		i := highestRankedCell(u, keys)
		cells[i].upstreams = append(cells[i].upstreams, u)
	}
	assignUsers(cells, keys, routers)
	return cells
}

// leastLoaded returns the router with the highest rank for a key among those
// that own fewer cells than a limit, and counts the cell as its own.
func chooseOwner(key string, routers []messenger.RouterID, load map[messenger.RouterID]int, limit int) messenger.RouterID {
	var best messenger.RouterID
	var bestRank uint64
	for _, r := range routers {
		if h := rank(key, r); load[r] < limit && (best == "" || h > bestRank) {
			best, bestRank = r, h
		}
	}
	load[best]++
	return best
}

// cellOf returns the index of the cell with the highest rank for an upstream.
func highestRankedCell(u messenger.UpstreamID, keys []string) int {
	best := 0
	var bestRank uint64
	for i, key := range keys {
		if h := rank(key, messenger.RouterID(u)); i == 0 || h > bestRank {
			best, bestRank = i, h
		}
	}
	return best
}

// chooseUsers names the routers that use each cell: each cell has its
// routersPerCell highest ranked routers, and each router its cellsPerRouter
// highest ranked cells.
func assignUsers(cells []cell, keys []string, routers []messenger.RouterID) {
	if len(cells) <= minCellsPerRouter {
		for i := range cells {
			cells[i].users = routers
		}
		return
	}
	byRouter := make([][]ranked, len(routers))
	for i, key := range keys {
		byCell := make([]ranked, len(routers))
		for j, r := range routers {
			h := rank(key, r)
			byCell[j] = ranked{index: j, rank: h}
			byRouter[j] = append(byRouter[j], ranked{index: i, rank: h})
		}
		for _, x := range highest(byCell, minRoutersPerCell) {
			cells[i].users = append(cells[i].users, routers[x.index])
		}
	}
	for j, r := range routers {
		for _, x := range highest(byRouter[j], minCellsPerRouter) {
			cells[x.index].users = append(cells[x.index].users, r)
		}
	}
	for i := range cells {
		slices.Sort(cells[i].users)
		cells[i].users = slices.Compact(cells[i].users)
	}
}

// ranked is an index with its rank.
type ranked struct {
	index int
	rank  uint64
}

// highest returns the n entries of the highest rank.
func highest(all []ranked, n int) []ranked {
	slices.SortFunc(all, func(a, b ranked) int {
		if a.rank > b.rank {
			return -1
		}
		return 1
	})
	return all[:min(n, len(all))]
}
