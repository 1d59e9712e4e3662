package scheduler

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
)

// arrivals submits jobs at random at a rate per second, from all accounts through all routers,
// and collects the finished ones.
type arrivals struct {
	f            *fleet
	s            shape
	rate         float64
	longFraction float64
	end          time.Duration
	finished     []*job
	refusalTimes []time.Duration
}

func (a *arrivals) start() {
	var next func()
	next = func() {
		if a.f.now >= a.end {
			return
		}
		a.submit()
		a.f.schedule(time.Duration(a.f.arrivalRand.ExpFloat64()/a.rate*float64(time.Second)), next)
	}
	a.f.schedule(0, next)
}

func (a *arrivals) submit() {
	i := a.f.arrivalRand.IntN(a.s.accounts)
	if a.f.arrivalRand.IntN(3) == 0 {
		i -= i % 8
	}
	j := &job{router: a.f.nodes[a.f.arrivalRand.IntN(a.s.routers)], account: accountName(i), class: "chat", pool: "assistant"}
	j.cost, j.hint = a.f.drawCost(a.longFraction)
	if j.cost >= 3000 && a.longFraction > 0 {
		j.class = "series"
	}
	j.onEnd = func(j *job, r *messenger.Refuse) {
		if r != nil {
			a.refusalTimes = append(a.refusalTimes, a.f.now-j.arrived)
			return
		}
		// From here on, started is the wait until dispatch and arrived the total time.
		j.started -= j.arrived
		j.arrived = a.f.now - j.arrived
		a.finished = append(a.finished, j)
	}
	a.f.submit(j)
}

// capacity returns the number of jobs per second that the fleet can finish if each produces a
// number of tokens.
func (f *fleet) capacity(tokens float64) float64 {
	secondsPerJob := f.prefillTime.Seconds() + tokens*f.timePerToken.Seconds()
	return float64(f.slots) / secondsPerJob
}

// quantile returns the quantile q of durations, in milliseconds.
func quantile(all []time.Duration, q float64) float64 {
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return float64(all[int(q*float64(len(all)-1))]) / float64(time.Millisecond)
}

// times returns the times of the finished short jobs, from arrival until dispatch and until
// the end.
func (a *arrivals) times() (waits, totals []time.Duration) {
	for _, j := range a.finished {
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
				for _, longFraction := range []float64{0, 0.05} {
					f := newFleet(riga.routers, loadPolicy(riga), Config{Seed: 3, Mode: m.mode})
					mean := 60*(1-longFraction) + 3000*longFraction
					a := &arrivals{f: f, s: riga, rate: 0.9 * f.capacity(mean), longFraction: longFraction, end: 2 * time.Minute}
					a.start()
					f.run(a.end)
					waits, _ := a.times()
					p99[longFraction] = quantile(waits, 0.99)
					b.ReportMetric(quantile(waits, 0.5), fmt.Sprintf("p50-ms-long%.0f%%", 100*longFraction))
					b.ReportMetric(p99[longFraction], fmt.Sprintf("p99-ms-long%.0f%%", 100*longFraction))
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
					a := &arrivals{f: f, s: riga, rate: 0.6 * f.capacity(60), end: 2 * time.Minute}
					if slowed == 1 {
						f.slowPeriodically(riga)
					}
					a.start()
					f.run(a.end)
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

// slowPeriodically makes a random fifth of the upstreams five times slower for 3 s in every
// 10 s.
func (f *fleet) slowPeriodically(s shape) {
	var next func()
	next = func() {
		for _, i := range f.arrivalRand.Perm(s.upstreams)[:s.upstreams/5] {
			e := f.engines[messenger.UpstreamID(fmt.Sprintf("worker-%d", i))]
			e.slowFactor = 5
			f.schedule(3*time.Second, func() { e.slowFactor = 1 })
		}
		f.schedule(10*time.Second, next)
	}
	f.schedule(10*time.Second, next)
}

// jainIndex returns Jain's fairness index of the normalised service since the gauge was
// created.
func (g *serviceGauge) jainIndex(s shape) float64 {
	var sum, squares float64
	for i := range s.accounts {
		id := accountName(i)
		n := (g.f.servedTokens[id] - g.baseline[id]) / weightOf(g.f.policy, id)
		sum += n
		squares += n * n
	}
	return sum * sum / (float64(s.accounts) * squares)
}

func BenchmarkCrest(b *testing.B) {
	for _, m := range modes {
		b.Run(hungary.name+"/"+m.name, func(b *testing.B) {
			for b.Loop() {
				benchmarkPeakLoad(b, m.mode)
			}
		})
	}
}

// benchmarkPeakLoad raises the load to three times the capacity within two seconds, for 20 s.
func benchmarkPeakLoad(b *testing.B, mode Mode) {
	s := hungary
	policy := loadPolicy(s)
	for i := range s.accounts {
		a := policy.Accounts[accountName(i)]
		a.QueueLength = int(20 * weightOf(policy, accountName(i)))
		policy.Accounts[accountName(i)] = a
	}
	f := newFleet(s.routers, policy, Config{Seed: 5, Mode: mode})
	capacity := f.capacity(60)
	a := &arrivals{f: f, s: s, rate: 0.5 * capacity, end: 90 * time.Second}
	a.start()
	f.run(20 * time.Second)
	a.rate = 1.5 * capacity
	f.run(21 * time.Second)
	a.rate = 3 * capacity
	f.run(22 * time.Second)
	f.measuring = true
	lowest, sum := 1.0, 0.0
	for f.now < 41*time.Second {
		g := f.startGauge()
		f.run(f.now + time.Second)
		lowest = min(lowest, g.jainIndex(s))
		sum += g.jainIndex(s)
	}
	f.measuring = false
	a.rate = 0.5 * capacity
	end := f.now
	for f.waiting > 0 && f.now < 90*time.Second {
		f.run(f.now + 10*time.Millisecond)
	}
	b.ReportMetric(100*float64(f.busySlotTime)/float64(f.totalSlotTime), "useful-%")
	b.ReportMetric(lowest, "jain-lowest")
	b.ReportMetric(sum/19, "jain-mean")
	b.ReportMetric(quantile(a.refusalTimes, 0.9), "refusal-p90-ms")
	b.ReportMetric(quantile(a.refusalTimes, 0.99), "refusal-p99-ms")
	b.ReportMetric((f.now - end).Seconds(), "recovery-s")
}

func BenchmarkRejoin(b *testing.B) {
	for _, m := range modes {
		b.Run(riga.name+"/"+m.name, func(b *testing.B) {
			for b.Loop() {
				benchmarkPartition(b, m.mode)
			}
		})
	}
}

// benchmarkPartition splits the routers into halves for 30 s and measures the recovery.
func benchmarkPartition(b *testing.B, mode Mode) {
	s := riga
	f := newFleet(s.routers, policyOf(s), Config{Seed: 1, Mode: mode})
	f.addSkewedLoad(s, 0.01)
	f.run(20 * time.Second)
	for _, e := range f.engines {
		e.maxRunning = 0
	}
	f.disconnected = func(a, b int) bool { return (a < s.routers/2) != (b < s.routers/2) }
	g := f.startGauge()
	f.run(50 * time.Second)
	b.ReportMetric(g.serviceGap(s), "gap-cut-tokens")
	over := 0
	for _, e := range f.engines {
		over = max(over, e.maxRunning-e.window)
	}
	b.ReportMetric(float64(over), "margin-slots")
	f.disconnected = nil
	// The fleet has settled once no account gets more than two large requests ahead of another
	// within five seconds.
	settledSeconds := math.Inf(1)
	var gauges []*serviceGauge
	for start := -4; start < 25; start++ {
		gauges = append(gauges, f.startGauge())
		f.run(f.now + time.Second)
		if start < 0 {
			continue
		}
		if gauges[start].serviceGap(s) > 2*3000 {
			settledSeconds = math.Inf(1)
		} else if math.IsInf(settledSeconds, 1) {
			settledSeconds = float64(start)
		}
	}
	b.ReportMetric(settledSeconds, "settled-s")
	after := f.startGauge()
	f.run(f.now + 20*time.Second)
	b.ReportMetric(after.serviceGap(s), "gap-after-tokens")
}
