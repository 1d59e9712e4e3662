package router

import (
	"math"
	"runtime/metrics"
	"time"
)

const (
	// schedulingMetric is the runtime's histogram of the time that runnable goroutines waited
	// for a CPU, in seconds.
	schedulingMetric = "/sched/latencies:seconds"
	// waitQuantile is the quantile of these times that is used: single longer ones are bursts.
	waitQuantile = 0.9
)

// runQueue measures how long goroutines wait for CPU time. The zero value is ready to use.
type runQueue struct {
	sample [1]metrics.Sample
	counts []uint64
}

// recentWait returns the waitQuantile of the waiting times since the last call.
func (q *runQueue) recentWait() time.Duration {
	q.sample[0].Name = schedulingMetric
	metrics.Read(q.sample[:])
	if q.sample[0].Value.Kind() != metrics.KindFloat64Histogram {
		return 0 // not supported by this runtime
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

// quantile returns the upper bound of the bucket that contains a quantile, or zero if there
// are no counts. Counts[i] is the number of values between bounds[i] and bounds[i+1], in
// seconds.
func quantile(bounds []float64, counts []uint64, q float64) time.Duration {
	var total, cumulative uint64
	for _, n := range counts {
		total += n
	}
	if total == 0 {
		return 0
	}
	for i, n := range counts {
		cumulative += n
		if float64(cumulative) < q*float64(total) {
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
