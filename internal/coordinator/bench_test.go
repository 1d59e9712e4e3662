package coordinator

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// BenchmarkChange measures, in virtual time, how long an accepted change takes
// to be in force on every router that is up, over 200 changes while routers
// restart, and what the control traffic costs. The real time for each second
// of a router, in ms/s/router, includes that of the simulation.
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
	f.measure = true
	wall := time.Now()
	begin := f.clock.Now()
	clear(f.calls)
	var took []time.Duration
	for i := range changes {
		if i%2 == 0 {
			f.start(f.names[f.rng.IntN(len(f.names))])
		}
		f.run(time.Duration(f.rng.Int64N(int64(2 * time.Second))))
		v := f.change(float64(i + 2))
		took = append(took, f.runUntil(time.Minute, f.inForce(v)))
	}
	slices.Sort(took)
	seconds := f.clock.Now().Sub(begin).Seconds()
	b.ReportMetric(1000*time.Since(wall).Seconds()/seconds/float64(routers), "ms/s/router")
	b.ReportMetric(took[len(took)/2].Seconds(), "p50-s")
	b.ReportMetric(took[len(took)-1].Seconds(), "max-s")
	b.ReportMetric(float64(f.bytes)/seconds/float64(routers), "B/s/router")
	b.ReportMetric(float64(f.messages)/seconds/float64(routers), "msg/s/router")
	for purpose, n := range f.calls {
		b.ReportMetric(float64(n)/seconds, purpose+"/s")
	}
}

// BenchmarkDrain measures, in virtual time, how long the word of an engine that
// it leaves takes to reach every router while the store is down.
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
	f.storeDown(true)
	var took []time.Duration
	for i := range 2 * drains {
		// Each time one upstream leaves and has come back by the next.
		f.run(time.Duration(f.rng.Int64N(int64(time.Second))))
		who := f.nodes[f.names[f.rng.IntN(len(f.names))]]
		leaving := i%2 == 0
		f.feed(who, LoadReport{"w1", leaving})
		if !leaving {
			f.run(11 * time.Second)
			f.feed(who, LoadReport{"w1", false})
		}
		d := f.runUntil(time.Minute, f.leaving(leaving))
		if leaving {
			took = append(took, d)
		}
	}
	slices.Sort(took)
	b.ReportMetric(took[len(took)/2].Seconds(), "p50-s")
	b.ReportMetric(took[len(took)-1].Seconds(), "max-s")
}
