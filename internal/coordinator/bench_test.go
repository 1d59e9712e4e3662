package coordinator

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// BenchmarkChange measures, in virtual time, how long it takes until all running
// routers use an accepted configuration change, over 200 changes while routers
// restart, and the control traffic. ms/s/router is the real time per router and
// second of virtual time; it includes the simulation itself.
func BenchmarkChange(b *testing.B) {
	for _, routers := range []int{8, 40, 400} {
		b.Run(fmt.Sprint(routers), func(b *testing.B) {
			for range b.N {
				benchmarkChange(b, routers, 200)
			}
		})
	}
}

func benchmarkChange(b *testing.B, routers, changes int) {
	f := newFleet(b, routers, 1)
	f.runUntil(2*time.Minute, f.allReady)
	f.run(30 * time.Second)
	f.measureTraffic = true
	wallStart := time.Now()
	startTime := f.clock.Now()
	clear(f.storeCalls)
	var durations []time.Duration
	for i := range changes {
		if i%2 == 0 {
			f.start(f.names[f.rng.IntN(len(f.names))])
		}
		f.run(time.Duration(f.rng.Int64N(int64(2 * time.Second))))
		v := f.changeWeight(float64(i + 2))
		durations = append(durations, f.runUntil(time.Minute, f.allUse(v)))
	}
	slices.Sort(durations)
	seconds := f.clock.Now().Sub(startTime).Seconds()
	b.ReportMetric(1000*time.Since(wallStart).Seconds()/seconds/float64(routers), "ms/s/router")
	b.ReportMetric(durations[len(durations)/2].Seconds(), "p50-s")
	b.ReportMetric(durations[len(durations)-1].Seconds(), "max-s")
	b.ReportMetric(float64(f.sentBytes)/seconds/float64(routers), "B/s/router")
	b.ReportMetric(float64(f.sentMessages)/seconds/float64(routers), "msg/s/router")
	for purpose, n := range f.storeCalls {
		b.ReportMetric(float64(n)/seconds, purpose+"/s")
	}
}

// BenchmarkDrain measures, in virtual time, how long it takes until all routers
// know that an upstream reported that it is leaving, while the store is down.
func BenchmarkDrain(b *testing.B) {
	for _, size := range []struct{ routers, drains int }{{8, 50}, {40, 50}, {400, 10}} {
		b.Run(fmt.Sprint(size.routers), func(b *testing.B) {
			for range b.N {
				benchmarkDrain(b, size.routers, size.drains)
			}
		})
	}
}

func benchmarkDrain(b *testing.B, routers, drains int) {
	f := newFleet(b, routers, 1)
	f.runUntil(2*time.Minute, f.allReady)
	f.run(30 * time.Second)
	f.setStoreDown(true)
	var durations []time.Duration
	for i := range 2 * drains {
		// The upstream leaves and returns in turn; only leaving is measured.
		f.run(time.Duration(f.rng.Int64N(int64(time.Second))))
		reporter := f.nodes[f.names[f.rng.IntN(len(f.names))]]
		leaving := i%2 == 0
		f.handleEvent(reporter, LoadReport{"w1", leaving})
		if !leaving {
			f.run(11 * time.Second)
			f.handleEvent(reporter, LoadReport{"w1", false})
		}
		d := f.runUntil(time.Minute, f.allSeeLeaving(leaving))
		if leaving {
			durations = append(durations, d)
		}
	}
	slices.Sort(durations)
	b.ReportMetric(durations[len(durations)/2].Seconds(), "p50-s")
	b.ReportMetric(durations[len(durations)-1].Seconds(), "max-s")
}
