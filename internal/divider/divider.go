// Package divider shares out what there is among several that ask for it, so that nobody
// gets less for others to get more than it (max-min fairness).
//
// # Usage
//
//	level := divider.FairShare([]float64{1, 5, 9}, 10) // 4.5: 1, 4.5 and 4.5
//	got := divider.Allocation(9, level)
package divider

import "slices"

// FairShare returns the most that one may have so that all demands together get no more than
// capacity, or zero if there is enough for all or nothing to share out. Demands and
// capacity have the same unit. It changes the order of demands.
func FairShare(demands []float64, capacity float64) float64 {
	if capacity <= 0 {
		return 0
	}
	slices.Sort(demands)
	left := capacity
	for i, d := range demands {
		even := left / float64(len(demands)-i)
		if d > even {
			return even
		}
		left -= d
	}
	return 0
}

// Allocation returns what a demand gets at a level, of which zero means that there is enough
// for all.
func Allocation(demand, level float64) float64 {
	if level > 0 {
		return min(demand, level)
	}
	return demand
}
