// Package averager computes the weighted median of values measured by many routers, so
// that a few outliers, such as values from CPU-starved routers, have no effect.
//
// # Usage
//
//	speed := averager.Median([]averager.Sample{{Value: 0.02, Weight: 1}, {Value: 0.03, Weight: 17}})
package averager

import (
	"cmp"
	"slices"
)

// Sample is a value that counts Weight times.
type Sample struct {
	Value  float64
	Weight int
}

// Median returns the weighted median of values, or 0 if there are none. If two values are
// in the middle, it returns the greater one. It sorts values in place.
func Median(values []Sample) float64 {
	slices.SortFunc(values, func(a, b Sample) int { return cmp.Compare(a.Value, b.Value) })
	totalWeight := 0
	for _, v := range values {
		totalWeight += v.Weight
	}
	cumulativeWeight := 0
	for _, v := range values {
		cumulativeWeight += v.Weight
		if 2*cumulativeWeight > totalWeight {
			return v.Value
		}
	}
	return 0
}
