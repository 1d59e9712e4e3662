package scheduler

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
)

// BenchmarkDecide measures the time per event of a router under contention: arrivals,
// progress, finishes and ticks in turn, while about a tenth of the accounts have waiting
// requests.
func BenchmarkDecide(b *testing.B) {
	for _, accounts := range []int{16, 1400, 14000} {
		for _, upstreams := range []int{20, 730} {
			for _, routers := range []int{8, 400} {
				b.Run(fmt.Sprintf("accounts%d/upstreams%d/routers%d", accounts, upstreams, routers), func(b *testing.B) {
					benchmarkDecide(b, shape{"", routers, upstreams, 16, accounts})
				})
			}
		}
	}
}

func benchmarkDecide(b *testing.B, s shape) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	sched := New(Config{Self: "router-0", Seed: 1})
	names := make([]messenger.RouterID, s.routers)
	for i := range names {
		names[i] = messenger.RouterID(fmt.Sprintf("router-%d", i))
	}
	now := epoch
	sched.Handle(now, messenger.PolicyChange{Policy: policyOf(s)})
	sched.Handle(now, messenger.PeersChange{Routers: names})
	type attempt struct {
		id messenger.RequestID
		u  messenger.UpstreamID
	}
	var running []attempt
	var next messenger.RequestID
	events := 0
	handle := func(e messenger.Event) {
		events++
		for _, a := range sched.Handle(now, e) {
			if d, ok := a.(messenger.Dispatch); ok {
				running = append(running, attempt{d.Request, d.Upstream})
			}
		}
	}
	arrive := func() {
		next++
		handle(messenger.Arrive{Request: next, Account: accountName(int(next) * 7919 % s.accounts), Class: "chat", Pool: "assistant"})
	}
	for range s.accounts + 4*s.upstreams {
		arrive()
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportAllocs()
	b.ResetTimer()
	events = 0
	for i := 0; events < max(b.N, 20000); i++ {
		now = now.Add(200 * time.Microsecond)
		if len(running) > 0 {
			x := running[i%len(running)]
			handle(messenger.Progress{Request: x.id, Tokens: 8, First: true})
			running[i%len(running)] = running[len(running)-1]
			running = running[:len(running)-1]
			handle(messenger.Finish{Request: x.id, Upstream: x.u, Tokens: 60})
			arrive()
		}
		if i%50 == 0 {
			handle(messenger.Tick{})
		}
	}
	b.ReportMetric(float64(b.Elapsed())/float64(events), "ns/event")
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "state-B")
}
