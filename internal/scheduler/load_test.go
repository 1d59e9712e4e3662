package scheduler

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
)

// arrivals lets jobs arrive at random at a rate a second, from all accounts
// through all routers, and collects them.
type arrivals struct {
	f        *fleet
	s        shape
	rate     float64
	longPart float64
	until    time.Duration
	ended    []*job
	refused  []time.Duration
}

func (a *arrivals) start() {
	var next func()
	next = func() {
		if a.f.now >= a.until {
			return
		}
		a.submit()
		a.f.after(time.Duration(a.f.load.ExpFloat64()/a.rate*float64(time.Second)), next)
	}
	a.f.after(0, next)
}

func (a *arrivals) submit() {
	i := a.f.load.IntN(a.s.accounts)
	if a.f.load.IntN(3) == 0 {
		i -= i % 8
	}
	j := &job{router: a.f.nodes[a.f.load.IntN(a.s.routers)], account: accountName(i), class: "chat", pool: "assistant"}
	j.cost, j.hint = a.f.cost(a.longPart)
	if j.cost >= 3000 && a.longPart > 0 {
		j.class = "series"
	}
	j.ended = func(j *job, r *messenger.Refuse) {
		if r != nil {
			a.refused = append(a.refused, a.f.now-j.arrived)
			return
		}
		j.started -= j.arrived
		j.arrived = a.f.now - j.arrived
		a.ended = append(a.ended, j)
	}
	a.f.submit(j)
}

// capacity returns how many jobs of a mean cost a fleet finishes a second.
func (f *fleet) capacity(tokens float64) float64 {
	each := f.prefill.Seconds() + tokens*f.perToken.Seconds()
	return float64(f.slots) / each
}

// quantile returns a quantile of durations in milliseconds.
func quantile(all []time.Duration, q float64) float64 {
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return float64(all[int(q*float64(len(all)-1))]) / float64(time.Millisecond)
}

// waits and totals return times of the short jobs that ended: until dispatch
// and until the end.
func (a *arrivals) times() (waits, totals []time.Duration) {
	for _, j := range a.ended {
		if j.cost < 3000 {
			waits = append(waits, j.started)
			totals = append(totals, j.arrived)
		}
	}
	return waits, totals
}

func loadPolicy(s shape) *messenger.Policy {
	policy := policyOf(s)
	policy.Classes["chat"] = messenger.ClassPolicy{ExpectedTokens: 60, Hedge: true, QueueTimeout: 10 * time.Second, Precedence: 1}
	policy.Classes["series"] = messenger.ClassPolicy{ExpectedTokens: 3000, Long: true, Floor: 0.2}
	policy.Pools["assistant"] = messenger.PoolPolicy{LongShare: 0.75, HedgeBudget: 0.05}
	return policy
}

func BenchmarkHeadOfLine(b *testing.B) {
	for _, m := range modes {
		b.Run(riga.name+"/"+m.name, func(b *testing.B) {
			for b.Loop() {
				p99 := make(map[float64]float64)
				for _, longPart := range []float64{0, 0.05} {
					f := newFleet(riga.routers, loadPolicy(riga), Config{Seed: 3, Mode: m.mode})
					mean := 60*(1-longPart) + 3000*longPart
					a := &arrivals{f: f, s: riga, rate: 0.9 * f.capacity(mean), longPart: longPart, until: 2 * time.Minute}
					a.start()
					f.run(a.until)
					waits, _ := a.times()
					p99[longPart] = quantile(waits, 0.99)
					b.ReportMetric(quantile(waits, 0.5), fmt.Sprintf("p50-ms-long%.0f%%", 100*longPart))
					b.ReportMetric(p99[longPart], fmt.Sprintf("p99-ms-long%.0f%%", 100*longPart))
				}
			}
		})
	}
}

func BenchmarkSlowedUpstreams(b *testing.B) {
	for _, m := range modes {
		b.Run(riga.name+"/"+m.name, func(b *testing.B) {
			for b.Loop() {
				var p99 [2]float64
				for slowed := range 2 {
					f := newFleet(riga.routers, loadPolicy(riga), Config{Seed: 3, Mode: m.mode})
					a := &arrivals{f: f, s: riga, rate: 0.6 * f.capacity(60), until: 2 * time.Minute}
					if slowed == 1 {
						f.slowAgainAndAgain(riga)
					}
					a.start()
					f.run(a.until)
					_, totals := a.times()
					p99[slowed] = quantile(totals, 0.99)
				}
				b.ReportMetric(p99[0], "p99-ms")
				b.ReportMetric(p99[1], "p99-ms-slowed")
				b.ReportMetric(p99[1]/p99[0], "ratio")
			}
		})
	}
}

// slowAgainAndAgain makes a fifth of the upstreams five times slower for 3 s in
// every 10 s.
func (f *fleet) slowAgainAndAgain(s shape) {
	var next func()
	next = func() {
		for _, i := range f.load.Perm(s.upstreams)[:s.upstreams/5] {
			e := f.engines[messenger.UpstreamID(fmt.Sprintf("worker-%d", i))]
			e.slow = 5
			f.after(3*time.Second, func() { e.slow = 1 })
		}
		f.after(10*time.Second, next)
	}
	f.after(10*time.Second, next)
}

// jain returns Jain's index of the normalised service since a gauge began.
func (g *gauge) jain(s shape) float64 {
	var sum, squares float64
	for i := range s.accounts {
		id := accountName(i)
		n := (g.f.served[id] - g.start[id]) / weightOf(g.f.policy, id)
		sum += n
		squares += n * n
	}
	return sum * sum / (float64(s.accounts) * squares)
}

func BenchmarkCrest(b *testing.B) {
	for _, m := range modes {
		b.Run(hungary.name+"/"+m.name, func(b *testing.B) {
			for b.Loop() {
				crest(b, m.mode)
			}
		})
	}
}

// crest raises demand to three times the capacity within two seconds, for 20 s.
func crest(b *testing.B, mode Mode) {
	s := hungary
	policy := loadPolicy(s)
	for i := range s.accounts {
		a := policy.Accounts[accountName(i)]
		a.QueueLength = int(20 * weightOf(policy, accountName(i)))
		policy.Accounts[accountName(i)] = a
	}
	f := newFleet(s.routers, policy, Config{Seed: 5, Mode: mode})
	capacity := f.capacity(60)
	a := &arrivals{f: f, s: s, rate: 0.5 * capacity, until: 90 * time.Second}
	a.start()
	f.run(20 * time.Second)
	a.rate = 1.5 * capacity
	f.run(21 * time.Second)
	a.rate = 3 * capacity
	f.run(22 * time.Second)
	f.measuring = true
	lowest, sum := 1.0, 0.0
	for f.now < 41*time.Second {
		g := f.gauge()
		f.run(f.now + time.Second)
		lowest = min(lowest, g.jain(s))
		sum += g.jain(s)
	}
	f.measuring = false
	a.rate = 0.5 * capacity
	end := f.now
	for f.waiting > 0 && f.now < 90*time.Second {
		f.run(f.now + 10*time.Millisecond)
	}
	b.ReportMetric(100*float64(f.busy)/float64(f.full), "useful-%")
	b.ReportMetric(lowest, "jain-lowest")
	b.ReportMetric(sum/19, "jain-mean")
	b.ReportMetric(quantile(a.refused, 0.9), "refusal-p90-ms")
	b.ReportMetric(quantile(a.refused, 0.99), "refusal-p99-ms")
	b.ReportMetric((f.now - end).Seconds(), "recovery-s")
}

func BenchmarkRejoin(b *testing.B) {
	for _, m := range modes {
		b.Run(riga.name+"/"+m.name, func(b *testing.B) {
			for b.Loop() {
				rejoin(b, m.mode)
			}
		})
	}
}

// rejoin cuts the routers into halves for 30 s.
func rejoin(b *testing.B, mode Mode) {
	s := riga
	f := newFleet(s.routers, policyOf(s), Config{Seed: 1, Mode: mode})
	f.skewed(s, 0.01)
	f.run(20 * time.Second)
	for _, e := range f.engines {
		e.peak = 0
	}
	f.cut = func(a, b int) bool { return (a < s.routers/2) != (b < s.routers/2) }
	g := f.gauge()
	f.run(50 * time.Second)
	b.ReportMetric(g.spread(s), "gap-cut-tokens")
	over := 0
	for _, e := range f.engines {
		over = max(over, e.peak-e.window)
	}
	b.ReportMetric(float64(over), "margin-slots")
	f.cut = nil
	// In bound: in five seconds no account gets more ahead of another than two
	// large requests do.
	settled := math.Inf(1)
	var gauges []*gauge
	for start := -4; start < 25; start++ {
		gauges = append(gauges, f.gauge())
		f.run(f.now + time.Second)
		if start < 0 {
			continue
		}
		if gauges[start].spread(s) > 2*3000 {
			settled = math.Inf(1)
		} else if math.IsInf(settled, 1) {
			settled = float64(start)
		}
	}
	b.ReportMetric(settled, "settled-s")
	after := f.gauge()
	f.run(f.now + 20*time.Second)
	b.ReportMetric(after.spread(s), "gap-after-tokens")
}
