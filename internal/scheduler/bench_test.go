package scheduler

import (
	"fmt"
	"math"
	"testing"
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
)

var modes = []struct {
	name string
	mode Mode
}{{"alone", Standalone}, {"fleet", Fleet}}

// drawCost draws the true cost of a job and a hint, in tokens. The cost is 60 on average, or
// 3000 for a fraction longFraction of the jobs. The hint is wrong by up to a factor of 10
// either way.
func (f *fleet) drawCost(longFraction float64) (cost, hint float64) {
	cost = max(1, math.Round(60*f.arrivalRand.ExpFloat64()))
	if f.arrivalRand.Float64() < longFraction {
		cost = 3000
	}
	return cost, cost * math.Pow(10, 2*f.arrivalRand.Float64()-1)
}

// keepBacklog keeps n requests of an account open, spread over some routers: a job that ends
// or is refused is followed by another one.
func (f *fleet) keepBacklog(account messenger.AccountID, routers []int, n int, longFraction float64) {
	var next func(router *node)
	next = func(router *node) {
		j := &job{router: router, account: account, class: "chat", pool: "assistant"}
		j.cost, j.hint = f.drawCost(longFraction)
		j.onEnd = func(_ *job, r *messenger.Refuse) {
			pause := 5 * time.Millisecond
			if r != nil {
				pause = r.RetryAfter
			}
			f.schedule(pause, func() { next(router) })
		}
		f.submit(j)
	}
	for i := range n {
		router := f.nodes[routers[i%len(routers)]]
		f.schedule(time.Duration(f.arrivalRand.Int64N(int64(time.Second))), func() { next(router) })
	}
}

// addSkewedLoad spreads the accounts unevenly over the routers: one account sends to one
// router, one to all, and the others to one to three. Accounts with a weight of 4 have four
// times as many requests.
func (f *fleet) addSkewedLoad(s shape, longFraction float64) {
	perWeight := 3 * f.slots / (s.accounts + 3*(s.accounts+7)/8)
	for i := range s.accounts {
		n := perWeight
		if i%8 == 0 {
			n *= 4
		}
		routers := []int{i % s.routers}
		switch {
		case i == 1:
			routers = f.arrivalRand.Perm(s.routers)
		case i > 1:
			routers = f.arrivalRand.Perm(s.routers)[:1+i%3]
		}
		f.keepBacklog(accountName(i), routers, n, longFraction)
	}
}

// serviceGauge measures the service of accounts since it was created.
type serviceGauge struct {
	f        *fleet
	baseline map[messenger.AccountID]float64
	maxGap   float64
}

func (f *fleet) startGauge() *serviceGauge {
	g := &serviceGauge{f: f, baseline: make(map[messenger.AccountID]float64)}
	for id, n := range f.servedTokens {
		g.baseline[id] = n
	}
	return g
}

// serviceGap returns the largest difference of normalised service between two accounts.
func (g *serviceGauge) serviceGap(s shape) float64 {
	low, high := math.Inf(1), 0.0
	for i := range s.accounts {
		id := accountName(i)
		n := (g.f.servedTokens[id] - g.baseline[id]) / weightOf(g.f.policy, id)
		low, high = min(low, n), max(high, n)
	}
	return high - low
}

// sampleUntil runs the fleet until end and sets maxGap to the largest gap, sampled every half
// second.
func (g *serviceGauge) sampleUntil(s shape, end time.Duration) {
	for g.f.now < end {
		g.f.run(min(end, g.f.now+500*time.Millisecond))
		g.maxGap = max(g.maxGap, g.serviceGap(s))
	}
}

// controlRate returns the bytes per second of control messages over d: the mean over the nodes
// and the largest.
func (f *fleet) controlRate(bytesBefore []int, d time.Duration) (mean, maxRate float64) {
	for i, n := range f.nodes {
		rate := float64(n.sentBytes-bytesBefore[i]) / d.Seconds()
		mean += rate / float64(len(f.nodes))
		maxRate = max(maxRate, rate)
	}
	return mean, maxRate
}

func (f *fleet) bytesSentByNode() []int {
	sums := make([]int, len(f.nodes))
	for i, n := range f.nodes {
		sums[i] = n.sentBytes
	}
	return sums
}

func benchmarkFairness(b *testing.B, s shape, cfg Config, length time.Duration) {
	for b.Loop() {
		f := newFleet(s.routers, policyOf(s), cfg)
		f.addSkewedLoad(s, 0.01)
		warmUp := 10 * time.Second
		f.run(warmUp)
		f.measuring = true
		g, bytesBefore := f.startGauge(), f.bytesSentByNode()
		g.sampleUntil(s, warmUp+length)
		mean, maxRate := f.controlRate(bytesBefore, length)
		b.ReportMetric(g.maxGap, "gap-tokens")
		b.ReportMetric(100*float64(f.busySlotTime)/float64(f.totalSlotTime), "util-%")
		b.ReportMetric(mean, "ctl-B/s")
		b.ReportMetric(maxRate, "ctl-max-B/s")
	}
}

func BenchmarkFairness(b *testing.B) {
	for _, s := range []shape{riga, hungary, routers40} {
		for _, m := range modes {
			b.Run(s.name+"/"+m.name, func(b *testing.B) {
				benchmarkFairness(b, s, Config{Seed: 1, Mode: m.mode}, time.Minute)
			})
		}
	}
	for _, m := range modes {
		b.Run(routers400.name+"/"+m.name, func(b *testing.B) {
			benchmarkFairness(b, routers400, Config{Seed: 1, Mode: m.mode}, 20*time.Second)
		})
	}
	for _, budget := range []int{256, 512, 1024, 2048, 4096} {
		b.Run(fmt.Sprintf("riga/fleet/budget%d", budget), func(b *testing.B) {
			benchmarkFairness(b, riga, Config{Seed: 1, ControlBytesPerSecond: budget}, time.Minute)
		})
	}
}
