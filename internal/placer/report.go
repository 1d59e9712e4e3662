package placer

import (
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
)

const (
	// historySize is how many changes of the number of this router's requests are kept.
	historySize = 16
	// reportTTL is how long a load report is used.
	reportTTL = 2 * time.Second
)

// report is the last load report of an upstream. A report arrives late, so the recent history
// of this router's number of requests there is kept to subtract those that the report counted.
type report struct {
	// othersRunning is the number of requests of other routers.
	othersRunning int
	measuredAt    time.Time
	history       [historySize]runningChange
	nextIndex     int
}

// runningChange is a change of the number of this router's requests at an upstream: from since
// on, the number is running.
type runningChange struct {
	since   time.Time
	running int
}

// recordRunning records the number of this router's requests.
func (r *report) recordRunning(now time.Time, running int) {
	r.history[r.nextIndex] = runningChange{since: now, running: running}
	r.nextIndex = (r.nextIndex + 1) % historySize
}

// runningAt returns the number of this router's requests at a time. For a time before the
// history it returns the oldest number in it, or 0 if fewer than historySize changes were made.
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

// requestCount estimates how many requests of all routers run or wait at u.
func (u *upstream) requestCount(now time.Time) int {
	if now.Sub(u.report.measuredAt) > reportTTL {
		return u.running
	}
	return u.running + u.report.othersRunning
}

// windowUse returns the used fraction of the configured window; see UpstreamPolicy.Window.
func (u *upstream) windowUse(now time.Time) float64 {
	return float64(u.requestCount(now)) / float64(max(1, u.policy.Window))
}

// expectedCost returns a measure of the expected latency at u, to compare upstreams by.
func (p *Placer) expectedCost(now time.Time, u *upstream) float64 {
	return p.slowness(u) * (1 + u.windowUse(now) + float64(u.running)/float64(max(1, u.slots)))
}
