//go:build red

package router

import (
	"slices"
	"testing"
	"time"
)

// run simulates the given time with rate requests per second.
func (v *smallVM) run(d time.Duration, rate float64) {
	for end := v.now + d; v.now < end; {
		v.poisson(rate, func() { v.handleRequest(v.rng.IntN(simClients), false) })
		v.step(false)
	}
}

// TestFloodedRouterAnswersWhatItTakesIn has an account flood a small VM for several seconds,
// after a quiet period in which its callers opened many connections. In each second the VM
// must complete most of the requests that it has CPU time for, and the goroutines of admitted
// requests must not wait so long for the CPU that the latency objective of 300 ms is missed.
func TestFloodedRouterAnswersWhatItTakesIn(t *testing.T) {
	const (
		baseRate, floodRate = 250, 1000
		// A request waits about a dozen times for the CPU; the latency objective is 300 ms.
		maxWait = 300 * time.Millisecond / 12
	)
	v := newSmallVM()
	v.run(5*time.Second, baseRate)
	for second := range 12 {
		finished, rejected := v.finished, v.rejected
		v.allWaits = v.allWaits[:0]
		v.run(time.Second, floodRate)
		if second < 2 {
			continue // the flood has just begun
		}
		cpuLeft := simCPUShare*float64(time.Second) - float64(v.rejected-rejected)*float64(simRejectCost)
		capacity := cpuLeft / float64(simRequestCost)
		slices.Sort(v.allWaits)
		if got := float64(v.finished - finished); got < capacity*2/3 {
			t.Errorf("second %d of the flood: %.0f requests completed, want two thirds of the %.0f that the CPU time allows", second, got, capacity)
		}
		if got := v.allWaits[len(v.allWaits)*9/10]; got > maxWait {
			t.Errorf("second %d of the flood: the 90th percentile of the waits for the CPU is %v, want at most %v", second, got, maxWait)
		}
	}
}
