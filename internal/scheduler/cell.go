package scheduler

import (
	"slices"
	"strconv"

	"lentilwood.example/lentilwood/internal/messenger"
)

// A cell is a group of upstreams of a pool that have one owner and are used by the same
// routers.
const (
	// minCellsPerRouter is the least number of cells of a pool that a router uses.
	minCellsPerRouter = 3
	// minRoutersPerCell is the least number of routers that use a cell.
	minRoutersPerCell = 8
)

// cell is a group of upstreams with one owner.
type cell struct {
	owner     messenger.RouterID
	users     []messenger.RouterID
	upstreams []messenger.UpstreamID
}

// groupCells groups the upstreams of a pool into cells of a mean size. All routers that know
// the same upstreams and routers calculate the same cells.
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

// chooseOwner returns the router with the highest rank for a key among those that own fewer
// cells than the limit, and adds the cell to its load.
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

// highestRankedCell returns the index of the cell with the highest rank for an upstream.
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

// assignUsers sets the users of each cell: every cell gets its minRoutersPerCell highest
// ranked routers, and every router its minCellsPerRouter highest ranked cells.
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

// ranked is the index of a router or cell, with its rank.
type ranked struct {
	index int
	rank  uint64
}

// highest returns the n entries with the highest ranks.
func highest(all []ranked, n int) []ranked {
	slices.SortFunc(all, func(a, b ranked) int {
		if a.rank > b.rank {
			return -1
		}
		return 1
	})
	return all[:min(n, len(all))]
}
