package placer

import (
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
)

const (
	// historySize is how many changes of the own running requests are kept.
	historySize = 16
	// reportTTL is how long a load report is believed.
	reportTTL = 2 * time.Second
)

// report is what an upstream last said of its load, with what this router ran
// there of late, so that a late report can be corrected.
type report struct {
	// others is the load that is not this router's.
	othersRunning int
	measuredAt    time.Time
	history       [historySize]runningChange
	nextIndex     int
}

// change is the number of own requests from a time on.
type runningChange struct {
	since   time.Time
	running int
}

// note keeps the number of own requests.
func (r *report) recordRunning(now time.Time, running int) {
	r.history[r.nextIndex] = runningChange{since: now, running: running}
	r.nextIndex = (r.nextIndex + 1) % historySize
}

// runningAt returns the number of own requests at a time, as far as is known.
func (r *report) runningAt(at time.Time) int {
	running := 0
	for i := range historySize {
		c := r.history[(r.nextIndex+i)%historySize]
		if c.since.IsZero() || c.since.After(at) && i > 0 {
			continue
		}
		running = c.running
	}
	return running
}

// ReportLoad takes in what an upstream said of its load some time ago. What this
// router has sent since then is not part of it.
func (p *Placer) ReportLoad(m messenger.LoadReport) {
	u, ok := p.upstreams[m.Upstream]
	if !ok || m.Measured.Before(u.report.measuredAt) {
		return
	}
	u.report.measuredAt = m.Measured
	u.report.othersRunning = max(0, m.Running+m.Waiting-u.report.runningAt(m.Measured))
}

// busy estimates how many requests are inside u.
func (u *upstream) requestCount(now time.Time) int {
	if now.Sub(u.report.measuredAt) > reportTTL {
		return u.running
	}
	return u.running + u.report.othersRunning
}

// load is the part of the window in use.
func (u *upstream) windowUse(now time.Time) float64 {
	return float64(u.requestCount(now)) / float64(max(1, u.policy.Window))
}

// expected is the latency to expect of u, relative to other upstreams.
func (p *Placer) expectedCost(now time.Time, u *upstream) float64 {
	return p.slowness(u) * (1 + u.windowUse(now) + float64(u.running)/float64(max(1, u.slots)))
}
