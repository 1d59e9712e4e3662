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
type cadence struct {
	last     time.Time
	interval time.Duration
	samples  int
}

// minSamples is how many times between events it takes to expect the next.
const minSamples = 2

// smoothing is the weight of the past in moving averages.
const smoothing = 0.9

// begin notes that events are waited for from now on.
func (c *cadence) begin(now time.Time) {
	if c.last.IsZero() {
		c.last = now
	}
}

// note takes in an event at now. One that did not have to be waited for says
// nothing about the time between events.
func (c *cadence) note(now time.Time) {
	if !c.last.IsZero() && now.After(c.last) {
		c.interval = c.after(now.Sub(c.last))
		c.samples++
	}
	c.last = now
}

// after returns the average with gap as its next sample. The first ones count
// alike, so that a slow start is soon outweighed.
func (c *cadence) after(gap time.Duration) time.Duration {
	weight := max(1-smoothing, 1/float64(c.samples+1))
	return c.interval + time.Duration(weight*float64(gap-c.interval))
}

// expected returns the time to expect between events. A pause that still lasts
// counts like any other sample: it may end at once, so the events behind it are
// not each as late. The result is zero while too little was seen.
func (c *cadence) expected(now time.Time) time.Duration {
	if c.samples < minSamples {
		return 0
	}
	if c.last.IsZero() {
		return c.interval
	}
	return max(c.interval, c.after(now.Sub(c.last)))
}

// pause forgets the last event, so that an idle time counts for nothing.
func (c *cadence) pause() { c.last = time.Time{} }

// waitFor estimates how long a request at the end of q waits for its turn.
func (p *pool) waitFor(q *queue) time.Duration {
	ahead := q.flow.waiting
	if ahead == 0 {
		return 0
	}
	interval := q.flow.turns.expected(p.sched.now)
	if interval == 0 {
		interval = p.turns.expected(p.sched.now) * time.Duration(max(1, p.backlogged))
	}
	return time.Duration(ahead) * interval
}
