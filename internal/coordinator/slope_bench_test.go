package coordinator

import (
	"fmt"
	"testing"
	"time"

	"lentilwood.example/lentilwood/internal/sloper"
)

// BenchmarkSlopeCoordinator measures an otherwise idle fleet with one configuration
// change every 35 seconds, about 2,500 a day.
func BenchmarkSlopeCoordinator(b *testing.B) {
	for _, routers := range []int{8, 32, 64, 128} {
		b.Run(fmt.Sprintf("routers=%d", routers), func(b *testing.B) {
			for b.Loop() {
				benchmarkCoordinator(b, routers)
			}
		})
	}
}

func benchmarkCoordinator(b *testing.B, routers int) {
	const changes, pause = 4, 35 * time.Second
	before := sloper.Heap()
	f := newFleet(b, routers, 1)
	f.runUntil(2*time.Minute, f.allReady)
	f.run(30 * time.Second)
	b.ReportMetric((sloper.Heap()-before)/float64(routers), "B/router")
	f.measureTraffic = true
	clear(f.storeCalls)
	startTime, slowest := f.clock.Now(), time.Duration(0)
	for i := range changes {
		duration := f.runUntil(time.Minute, f.allUse(f.changeWeight(float64(i+2))))
		slowest = max(slowest, duration)
		f.run(pause)
	}
	seconds := f.clock.Now().Sub(startTime).Seconds()
	b.ReportMetric(slowest.Seconds(), "change-max-s")
	b.ReportMetric(float64(f.sentBytes)/seconds/float64(routers), "ctl-B/s")
	b.ReportMetric(float64(f.sentMessages)/seconds/float64(routers), "ctl-msg/s")
	for _, purpose := range []string{"config-reads", "list-reads", "member-reads", "member-writes"} {
		b.ReportMetric(float64(f.storeCalls[purpose])/seconds, purpose+"/s")
	}
}
