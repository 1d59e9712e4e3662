package storer

import (
	"math/rand/v2"
	"time"
)

// Limits of the circuit.
const (
	// openAfter is how many failures in a row open the circuit.
	openAfter = 5
	// firstOpen is how long it stays open at first; it doubles up to longestOpen.
	firstOpen   = time.Second
	longestOpen = 20 * time.Second
)

// circuit holds calls back from a store that keeps failing. While it is open
// one call at a time is let through as a probe, whenever the wait has passed.
type circuit struct {
	failures int
	wait     time.Duration
	until    time.Time
	probing  bool
}

func (c *circuit) open(now time.Time) bool {
	return c.failures >= openAfter && (c.probing || now.Before(c.until))
}

// admit reports whether a call may be sent, and whether it is a probe.
func (c *circuit) admit(now time.Time) (probe, ok bool) {
	if c.failures < openAfter {
		return false, true
	}
	if c.open(now) {
		return false, false
	}
	c.probing = true
	return true, true
}

// record takes in how a call ended. While the circuit is open a failure counts
// if it is the probe's: the others were sent before, and say nothing new.
func (c *circuit) record(now time.Time, failed, probe bool, rng *rand.Rand) {
	if probe {
		c.probing = false
	}
	if !failed {
		c.failures, c.wait, c.probing = 0, 0, false
		return
	}
	if c.failures >= openAfter && !probe {
		return
	}
	c.failures++
	if c.failures < openAfter {
		return
	}
	c.wait = min(longestOpen, max(firstOpen, 2*c.wait))
	c.until = now.Add(c.wait/2 + time.Duration(rng.Int64N(int64(c.wait/2)+1)))
}
