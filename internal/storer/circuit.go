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

func (c *circuit) admit(now time.Time) bool {
	if c.failures < openAfter {
		return true
	}
	if c.open(now) {
		return false
	}
	c.probing = true
	return true
}

func (c *circuit) record(now time.Time, failed bool, rng *rand.Rand) {
	c.probing = false
	if !failed {
		c.failures, c.wait = 0, 0
		return
	}
	c.failures++
	if c.failures < openAfter {
		return
	}
	c.wait = min(longestOpen, max(firstOpen, 2*c.wait))
	c.until = now.Add(c.wait/2 + time.Duration(rng.Int64N(int64(c.wait/2)+1)))
}
