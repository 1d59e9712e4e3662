// Package divider divides a capacity among competing demands with max-min fairness: no
// demand is reduced in favor of one that gets more.
//
// # Usage
//
//	share := divider.FairShare([]float64{1, 5, 9}, 10) // 4.5; allocations are 1, 4.5 and 4.5
//	allocation := divider.Allocation(9, share)         // 4.5
package divider

import "slices"

// FairShare returns the maximum allocation of a demand such that all allocations together
// do not exceed capacity. It returns zero if the capacity is enough for all demands, or if
// there is no capacity. Demands and capacity have the same unit. It sorts demands in place.
func FairShare(demands []float64, capacity float64) float64 {
	if capacity <= 0 {
		return 0
	}
	slices.Sort(demands)
	remaining := capacity
	for i, d := range demands {
		equalShare := remaining / float64(len(demands)-i)
		if d > equalShare {
			return equalShare
		}
		remaining -= d
	}
	return 0
}

// Allocation returns what a demand gets at a fair share. A fair share of zero means that
// the allocation is not limited.
func Allocation(demand, fairShare float64) float64 {
	if fairShare > 0 {
		return min(demand, fairShare)
	}
	return demand
}
