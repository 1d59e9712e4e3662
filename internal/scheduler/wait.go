package scheduler

import "time"

// Bounds of the retry-after time of a refusal.
const (
	minRetryAfter = time.Second
	maxRetryAfter = 5 * time.Minute
)

// clampRetryAfter rounds d up to whole seconds within the bounds.
func clampRetryAfter(d time.Duration) time.Duration {
	d = (d + time.Second - 1).Truncate(time.Second)
	return min(max(d, minRetryAfter), maxRetryAfter)
}

// intervalAverage is a moving average of the time between events.
type intervalAverage struct {
	lastEvent time.Time
	average   time.Duration
	samples   int
}

// minIntervalSamples is the number of intervals needed before an average is used.
const minIntervalSamples = 2

// averageDecay is the weight of the previous value in moving averages.
const averageDecay = 0.9

// startInterval starts an interval at now, unless one has been started.
func (c *intervalAverage) startInterval(now time.Time) {
	if c.lastEvent.IsZero() {
		c.lastEvent = now
	}
}

// recordEvent records an event at now, which ends an interval and starts the next. An event
// without a started interval adds no sample.
func (c *intervalAverage) recordEvent(now time.Time) {
	if !c.lastEvent.IsZero() && now.After(c.lastEvent) {
		c.average = c.averageWith(now.Sub(c.lastEvent))
		c.samples++
	}
	c.lastEvent = now
}

// averageWith returns the average with interval as its next sample. The first samples have
// equal weights, so that an unusually long first one is soon outweighed.
func (c *intervalAverage) averageWith(interval time.Duration) time.Duration {
	weight := max(1-averageDecay, 1/float64(c.samples+1))
	return c.average + time.Duration(weight*float64(interval-c.average))
}

// expectedInterval returns the expected time between events, or zero while there are too few
// samples. A long interval that has not ended counts as one sample only: it may end at any
// moment, and the intervals that follow need not be as long.
func (c *intervalAverage) expectedInterval(now time.Time) time.Duration {
	if c.samples < minIntervalSamples {
		return 0
	}
	if c.lastEvent.IsZero() {
		return c.average
	}
	return max(c.average, c.averageWith(now.Sub(c.lastEvent)))
}

// pause discards the started interval, so that idle time adds no sample.
func (c *intervalAverage) pause() { c.lastEvent = time.Time{} }

// estimatedWait estimates how long a new request at the end of q waits for its dispatch: the
// account's waiting requests times the interval between its dispatches. Without enough samples
// of the account, the interval of the pool times the accounts with waiting requests is used.
func (p *pool) estimatedWait(q *queue) time.Duration {
	requestsAhead := q.flow.waiting
	if requestsAhead == 0 {
		return 0
	}
	interval := q.flow.dispatchInterval.expectedInterval(p.sched.now)
	if interval == 0 {
		interval = p.dispatchInterval.expectedInterval(p.sched.now) * time.Duration(max(1, p.backloggedAccounts))
	}
	return time.Duration(requestsAhead) * interval
}
