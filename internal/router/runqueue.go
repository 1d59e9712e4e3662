package router

import (
	"math"
	"runtime/metrics"
	"time"
)

const (
	// schedulingMetric is the runtime's histogram of how long goroutines that
	// could run waited for a processor, in seconds.
	schedulingMetric = "/sched/latencies:seconds"
	// waitQuantile is the part of these waits that are no longer than the one
	// that counts: single long ones are bursts.
	waitQuantile = 0.9
)

// runQueue measures how long goroutines wait for processor time. The zero value
// is ready to use.
type runQueue struct {
	sample [1]metrics.Sample
	counts []uint64
}

// wait returns the wait that most goroutines did not pass since the last call.
func (q *runQueue) recentWait() time.Duration {
	q.sample[0].Name = schedulingMetric
	metrics.Read(q.sample[:])
	if q.sample[0].Value.Kind() != metrics.KindFloat64Histogram {
		return 0 // a runtime that does not measure it
	}
	h := q.sample[0].Value.Float64Histogram()
	recent := make([]uint64, len(h.Counts))
	for i, n := range h.Counts {
		recent[i] = n
		if i < len(q.counts) {
			recent[i] -= q.counts[i]
		}
	}
	q.counts = append(q.counts[:0], h.Counts...)
	return quantile(h.Buckets, recent, waitQuantile)
}

// quantile returns the upper bound of the bucket that holds a quantile, or zero
// for no counts. Counts[i] lies between bounds[i] and bounds[i+1], in seconds.
func quantile(bounds []float64, counts []uint64, part float64) time.Duration {
	var total, cumulative uint64
	for _, n := range counts {
		total += n
	}
	if total == 0 {
		return 0
	}
	for i, n := range counts {
		cumulative += n
		if float64(cumulative) < part*float64(total) {
			continue
		}
		bound := bounds[i+1]
		if math.IsInf(bound, 0) {
			bound = bounds[i]
		}
		return time.Duration(bound * float64(time.Second))
	}
	return 0
}
