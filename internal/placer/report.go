package placer

import (
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
)

const (
	// historySize is how many changes of the number of own requests are kept.
	historySize = 16
	// reportTTL is how long a load report is used.
	reportTTL = 2 * time.Second
)

// report is the last load report of an upstream, with the recent history of this router's
// requests there, by which a late report is corrected.
type report struct {
	// othersRunning is the number of requests of other routers.
	othersRunning int
	measuredAt    time.Time
	history       [historySize]runningChange
	nextIndex     int
}

// runningChange is the number of own requests since a time.
type runningChange struct {
	since   time.Time
	running int
}

// recordRunning records the number of own requests.
func (r *report) recordRunning(now time.Time, running int) {
	r.history[r.nextIndex] = runningChange{since: now, running: running}
	r.nextIndex = (r.nextIndex + 1) % historySize
}

// runningAt returns the number of own requests at a time, as far as the history reaches.
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

// ReportLoad processes a load report. Requests that this router has sent since the report
// was measured are not included in it.
func (p *Placer) ReportLoad(m messenger.LoadReport) {
	u, ok := p.upstreams[m.Upstream]
	if !ok || m.Measured.Before(u.report.measuredAt) {
		return
	}
	u.report.measuredAt = m.Measured
	u.report.othersRunning = max(0, m.Running+m.Waiting-u.report.runningAt(m.Measured))
}

// requestCount estimates how many requests are inside u.
func (u *upstream) requestCount(now time.Time) int {
	if now.Sub(u.report.measuredAt) > reportTTL {
		return u.running
	}
	return u.running + u.report.othersRunning
}

// windowUse returns the used fraction of the window.
func (u *upstream) windowUse(now time.Time) float64 {
	return float64(u.requestCount(now)) / float64(max(1, u.policy.Window))
}

// expectedCost returns the expected latency at u, relative to other upstreams.
func (p *Placer) expectedCost(now time.Time, u *upstream) float64 {
	return p.slowness(u) * (1 + u.windowUse(now) + float64(u.running)/float64(max(1, u.slots)))
}
