package scheduler

import "time"

// Bounds of what a refused caller is told.
const (
	minRetryAfter = time.Second
	maxRetryAfter = 5 * time.Minute
)

// clampRetryAfter rounds d up to whole seconds within the bounds.
func clampRetryAfter(d time.Duration) time.Duration {
	d = (d + time.Second - 1).Truncate(time.Second)
	return min(max(d, minRetryAfter), maxRetryAfter)
}

// cadence is a moving average of the time between events.
type intervalAverage struct {
	lastEvent time.Time
	average   time.Duration
	samples   int
}

// minSamples is how many times between events it takes to expect the next.
const minIntervalSamples = 2

// smoothing is the weight of the past in moving averages.
const averageDecay = 0.9

// begin notes that events are waited for from now on.
func (c *intervalAverage) startWaiting(now time.Time) {
	if c.lastEvent.IsZero() {
		c.lastEvent = now
	}
}

// note takes in an event at now. One that did not have to be waited for says
// nothing about the time between events.
func (c *intervalAverage) recordEvent(now time.Time) {
	if !c.lastEvent.IsZero() && now.After(c.lastEvent) {
		c.average = c.averageWith(now.Sub(c.lastEvent))
		c.samples++
	}
	c.lastEvent = now
}

// after returns the average with gap as its next sample. The first ones count
// alike, so that a slow start is soon outweighed.
func (c *intervalAverage) averageWith(interval time.Duration) time.Duration {
	weight := max(1-averageDecay, 1/float64(c.samples+1))
	return c.average + time.Duration(weight*float64(interval-c.average))
}

// expected returns the time to expect between events. A pause that still lasts
// counts like any other sample: it may end at once, so the events behind it are
// not each as late. The result is zero while too little was seen.
func (c *intervalAverage) expectedInterval(now time.Time) time.Duration {
	if c.samples < minIntervalSamples {
		return 0
	}
	if c.lastEvent.IsZero() {
		return c.average
	}
	return max(c.average, c.averageWith(now.Sub(c.lastEvent)))
}

// pause forgets the last event, so that an idle time counts for nothing.
func (c *intervalAverage) pause() { c.lastEvent = time.Time{} }

// waitFor estimates how long a request at the end of q waits for its turn.
func (p *pool) estimatedWait(q *queue) time.Duration {
	ahead := q.flow.waiting
	if ahead == 0 {
		return 0
	}
	interval := q.flow.dispatchInterval.expectedInterval(p.sched.now)
	if interval == 0 {
		interval = p.dispatchInterval.expectedInterval(p.sched.now) * time.Duration(max(1, p.backloggedAccounts))
	}
	return time.Duration(ahead) * interval
}
