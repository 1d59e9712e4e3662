// Package averager finds the middle of what many routers found, so that a few that are
// far off, as those short of processor time are, do not count.
//
// # Usage
//
//	speed := averager.Median([]averager.Sample{{Value: 0.02, Weight: 1}, {Value: 0.03, Weight: 17}})
package averager

import (
	"cmp"
	"slices"
)

// Sample is a value that counts as often as its weight says.
type Sample struct {
	Value  float64
	Weight int
}

// Median returns the middle of some values, the upper one of two, or 0 if there is none.
// It changes their order.
func Median(values []Sample) float64 {
	slices.SortFunc(values, func(a, b Sample) int { return cmp.Compare(a.Value, b.Value) })
	all := 0
	for _, v := range values {
		all += v.Weight
	}
	seen := 0
	for _, v := range values {
		seen += v.Weight
		if 2*seen > all {
			return v.Value
		}
	}
	return 0
}
