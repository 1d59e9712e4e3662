package scheduler

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
	"lentilwood.example/lentilwood/internal/sloper"
)

// busyScheduler is a Scheduler that owns every slot and is kept busy.
type busyScheduler struct {
	sched       *Scheduler
	now         time.Time
	lastRequest messenger.RequestID
	running     []messenger.Dispatch
}

func newBusyScheduler(s shape) *busyScheduler {
	bs := &busyScheduler{sched: New(Config{Self: "router-0", Seed: 1}), now: epoch}
	bs.handle(messenger.PolicyChange{Policy: policyOf(s)})
	return bs
}

func (bs *busyScheduler) handle(e messenger.Event) {
	for _, a := range bs.sched.Handle(bs.now, e) {
		if d, ok := a.(messenger.Dispatch); ok {
			bs.running = append(bs.running, d)
		}
	}
}

func (bs *busyScheduler) arrive(account int) {
	bs.lastRequest++
	bs.handle(messenger.Arrive{Request: bs.lastRequest, Account: accountName(account), Class: "chat", Pool: "assistant", Idempotent: true})
}

// fill submits requests until every slot is busy and perAccount requests of each account wait.
func (bs *busyScheduler) fill(s shape, perAccount int) {
	for range s.upstreams*s.window/s.accounts + 1 + perAccount {
		for a := range s.accounts {
			bs.arrive(a)
		}
	}
}

// runRequest reports tokens of the oldest running request, ends it and submits a new one.
func (bs *busyScheduler) runRequest(s shape, i int) {
	d := bs.running[0]
	bs.running = bs.running[1:]
	bs.handle(messenger.Progress{Request: d.Request, Tokens: 8, First: true})
	bs.handle(messenger.Finish{Request: d.Request, Upstream: d.Upstream, Tokens: 60})
	bs.arrive(i % s.accounts)
	bs.now = bs.now.Add(time.Millisecond)
}

const slopeCycles = 5000

func benchmarkHandle(b *testing.B, s shape) {
	for b.Loop() {
		before := sloper.Heap()
		bs := newBusyScheduler(s)
		empty := sloper.Heap()
		bs.fill(s, 2)
		filled := sloper.Heap()
		begin := sloper.CPU()
		for i := range slopeCycles {
			bs.runRequest(s, i)
		}
		b.ReportMetric(float64((sloper.CPU()-begin).Nanoseconds())/slopeCycles, "cpu-ns/request")
		runtime.KeepAlive(bs)
		b.ReportMetric(empty-before, "empty-B")
		b.ReportMetric(filled-before, "B")
		b.ReportMetric((filled-empty)/float64(s.upstreams*s.window/s.accounts+3)/float64(s.accounts), "B/request")
	}
}

// BenchmarkSlopeHandle measures the CPU time and memory of one request (arrival, progress,
// end) by the number of accounts with waiting requests and of upstreams.
func BenchmarkSlopeHandle(b *testing.B) {
	for _, n := range []int{16, 64, 256, 1024} {
		b.Run(fmt.Sprintf("backlogged=%d", n), func(b *testing.B) {
			benchmarkHandle(b, shape{routers: 1, upstreams: 20, window: 16, accounts: n})
		})
	}
	for _, n := range []int{10, 40, 160, 640} {
		b.Run(fmt.Sprintf("upstreams=%d", n), func(b *testing.B) {
			benchmarkHandle(b, shape{routers: 1, upstreams: n, window: 4, accounts: 16})
		})
	}
}

// BenchmarkSlopeProgress measures the CPU time of one report of new tokens.
func BenchmarkSlopeProgress(b *testing.B) {
	s := shape{routers: 1, upstreams: 20, window: 16, accounts: 16}
	for _, n := range []int{16, 64, 256, 1024} {
		b.Run(fmt.Sprintf("backlogged=%d", n), func(b *testing.B) {
			s.accounts = n
			bs := newBusyScheduler(s)
			bs.fill(s, 2)
			for b.Loop() {
				begin := sloper.CPU()
				for i := range 20 * slopeCycles {
					bs.handle(messenger.Progress{Request: bs.running[i%len(bs.running)].Request, Tokens: 1})
				}
				b.ReportMetric(float64((sloper.CPU()-begin).Nanoseconds())/(20*slopeCycles), "cpu-ns/event")
			}
		})
	}
}

// BenchmarkSlopePeers measures the memory and the CPU time for ticks of an idle Scheduler by
// the number of peers, which send nothing.
func BenchmarkSlopePeers(b *testing.B) {
	for _, n := range []int{8, 40, 160, 400} {
		b.Run(fmt.Sprintf("peers=%d", n), func(b *testing.B) {
			for b.Loop() {
				before := sloper.Heap()
				bs := newBusyScheduler(shape{routers: n, upstreams: 20, window: 16, accounts: 16})
				var names []messenger.RouterID
				for i := range n {
					names = append(names, messenger.RouterID(fmt.Sprintf("router-%d", i)))
				}
				bs.handle(messenger.PeersChange{Routers: names})
				begin := sloper.CPU()
				for range slopeCycles {
					bs.handle(messenger.Tick{})
					bs.now = bs.now.Add(messenger.TickInterval)
				}
				seconds := (slopeCycles * messenger.TickInterval).Seconds()
				b.ReportMetric(float64((sloper.CPU()-begin).Microseconds())/seconds, "cpu-µs/s")
				b.ReportMetric(sloper.Heap()-before, "B")
				runtime.KeepAlive(bs)
			}
		})
	}
}

// BenchmarkSlopeFleet grows the fleet with 1.8 upstreams and 3.5 backlogged accounts per
// router, and all slots contended.
func BenchmarkSlopeFleet(b *testing.B) {
	for _, n := range []int{8, 32, 128, 400} {
		b.Run(fmt.Sprintf("routers=%d", n), func(b *testing.B) {
			s := shape{routers: n, upstreams: n * 730 / 400, window: 16, accounts: n * 7 / 2}
			for b.Loop() {
				benchmarkFleet(b, s)
			}
		})
	}
}

func benchmarkFleet(b *testing.B, s shape) {
	const warmUp, length = 5 * time.Second, 10 * time.Second
	f := newFleet(s.routers, policyOf(s), Config{Seed: 1})
	f.addSkewedLoad(s, 0.01)
	f.run(warmUp)
	f.measuring = true
	g, bytesBefore, messagesBefore := f.startGauge(), f.bytesSentByNode(), f.messagesSent()
	g.sampleUntil(s, warmUp+length)
	mean, maxRate := f.controlRate(bytesBefore, length)
	b.ReportMetric(g.maxGap, "gap-tokens")
	b.ReportMetric(100*float64(f.busySlotTime)/float64(f.totalSlotTime), "util-%")
	b.ReportMetric(mean, "ctl-B/s")
	b.ReportMetric(maxRate, "ctl-max-B/s")
	b.ReportMetric(float64(f.messagesSent()-messagesBefore)/length.Seconds()/float64(s.routers), "ctl-msg/s")
}

func (f *fleet) messagesSent() int {
	sum := 0
	for _, n := range f.nodes {
		sum += n.sentMessages
	}
	return sum
}
