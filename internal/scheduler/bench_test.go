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

// cost draws the true cost of a job: 60 tokens on average, one in a hundred
// 50 times as much, and a hint that is wrong by up to 10 times either way.
func (f *fleet) cost(longPart float64) (cost, hint float64) {
	cost = max(1, math.Round(60*f.load.ExpFloat64()))
	if f.load.Float64() < longPart {
		cost = 3000
	}
	return cost, cost * math.Pow(10, 2*f.load.Float64()-1)
}

// backlog keeps n requests of an account open behind some routers.
func (f *fleet) backlog(account messenger.AccountID, routers []int, n int, longPart float64) {
	var next func(at *node)
	next = func(at *node) {
		j := &job{router: at, account: account, class: "chat", pool: "assistant"}
		j.cost, j.hint = f.cost(longPart)
		j.ended = func(_ *job, r *messenger.Refuse) {
			pause := 5 * time.Millisecond
			if r != nil {
				pause = r.RetryAfter
			}
			f.after(pause, func() { next(at) })
		}
		f.submit(j)
	}
	for i := range n {
		at := f.nodes[routers[i%len(routers)]]
		f.after(time.Duration(f.load.Int64N(int64(time.Second))), func() { next(at) })
	}
}

// skewed spreads accounts over routers as unevenly as can be: one behind one
// router, one behind all, the others behind one to three.
func (f *fleet) skewed(s shape, longPart float64) {
	perWeight := 3 * f.slots / (s.accounts + 3*(s.accounts+7)/8)
	for i := range s.accounts {
		n := perWeight
		if i%8 == 0 {
			n *= 4
		}
		routers := []int{i % s.routers}
		switch {
		case i == 1:
			routers = f.load.Perm(s.routers)
		case i > 1:
			routers = f.load.Perm(s.routers)[:1+i%3]
		}
		f.backlog(accountName(i), routers, n, longPart)
	}
}

// gauge follows the service of accounts from one moment on.
type gauge struct {
	f     *fleet
	start map[messenger.AccountID]float64
	gap   float64
}

func (f *fleet) gauge() *gauge {
	g := &gauge{f: f, start: make(map[messenger.AccountID]float64)}
	for id, n := range f.served {
		g.start[id] = n
	}
	return g
}

// spread returns the largest difference of normalised service so far.
func (g *gauge) spread(s shape) float64 {
	low, high := math.Inf(1), 0.0
	for i := range s.accounts {
		id := accountName(i)
		n := (g.f.served[id] - g.start[id]) / weightOf(g.f.policy, id)
		low, high = min(low, n), max(high, n)
	}
	return high - low
}

// watch samples the spread every half second up to an end.
func (g *gauge) watch(s shape, end time.Duration) {
	for g.f.now < end {
		g.f.run(min(end, g.f.now+500*time.Millisecond))
		g.gap = max(g.gap, g.spread(s))
	}
}

// controlRate returns bytes a second: the mean over nodes and the largest.
func (f *fleet) controlRate(since []int, d time.Duration) (mean, top float64) {
	for i, n := range f.nodes {
		rate := float64(n.bytes-since[i]) / d.Seconds()
		mean += rate / float64(len(f.nodes))
		top = max(top, rate)
	}
	return mean, top
}

func (f *fleet) bytes() []int {
	sums := make([]int, len(f.nodes))
	for i, n := range f.nodes {
		sums[i] = n.bytes
	}
	return sums
}

func fairness(b *testing.B, s shape, cfg Config, length time.Duration) {
	for b.Loop() {
		f := newFleet(s.routers, policyOf(s), cfg)
		f.skewed(s, 0.01)
		warm := 10 * time.Second
		f.run(warm)
		f.measuring = true
		g, since := f.gauge(), f.bytes()
		g.watch(s, warm+length)
		mean, top := f.controlRate(since, length)
		b.ReportMetric(g.gap, "gap-tokens")
		b.ReportMetric(100*float64(f.busy)/float64(f.full), "util-%")
		b.ReportMetric(mean, "ctl-B/s")
		b.ReportMetric(top, "ctl-max-B/s")
	}
}

func BenchmarkFairness(b *testing.B) {
	for _, s := range []shape{riga, hungary, forty} {
		for _, m := range modes {
			b.Run(s.name+"/"+m.name, func(b *testing.B) {
				fairness(b, s, Config{Seed: 1, Mode: m.mode}, time.Minute)
			})
		}
	}
	for _, m := range modes {
		b.Run(large.name+"/"+m.name, func(b *testing.B) {
			fairness(b, large, Config{Seed: 1, Mode: m.mode}, 20*time.Second)
		})
	}
	for _, budget := range []int{256, 512, 1024, 2048, 4096} {
		b.Run(fmt.Sprintf("riga/fleet/budget%d", budget), func(b *testing.B) {
			fairness(b, riga, Config{Seed: 1, ControlBytesPerSecond: budget}, time.Minute)
		})
	}
}
