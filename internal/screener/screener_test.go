package screener

import (
	"strconv"
	"testing"
	"time"
)

var epoch = time.Unix(1_700_000_000, 0)

// caller simulates a caller that opens connections at a steady rate.
type caller struct {
	name             string
	connsPerSecond   int
	opened, admitted int
	// due is the number of connections, with fractions, still to be opened.
	due float64
}

func newCaller(name string, connsPerSecond int) *caller {
	return &caller{name: name, connsPerSecond: connsPerSecond}
}

// simulate has callers open connections for some seconds. Those of the first second are not
// counted.
func simulate(s *Screener, seconds int, callers ...*caller) {
	const step = 5 * time.Millisecond
	now := epoch
	for i := range seconds * int(time.Second/step) {
		now = now.Add(step)
		for _, c := range callers {
			for c.due += float64(c.connsPerSecond) * step.Seconds(); c.due >= 1; c.due-- {
				admitted := s.Admit(now, c.name)
				if i < int(time.Second/step) {
					continue
				}
				c.opened++
				if admitted {
					c.admitted++
				}
			}
		}
	}
}

func (c *caller) admittedShare() float64 { return float64(c.admitted) / float64(c.opened) }

// TestFloodIsRejectedFirst has one caller open two thousand connections per second and two
// others a few, at a router that can admit a tenth. The flood must not reduce what is admitted
// of the small callers.
func TestFloodIsRejectedFirst(t *testing.T) {
	var s Screener
	s.SetAdmittedShare(epoch, 0.1)
	flood, few, fewer := newCaller("a", 2000), newCaller("b", 40), newCaller("c", 3)
	simulate(&s, 6, flood, few, fewer)
	for _, c := range []*caller{few, fewer} {
		if got := c.admittedShare(); got < 0.9 {
			t.Errorf("got %.2f of the connections of a caller with %d per second admitted, want at least 0.9", got, c.connsPerSecond)
		}
	}
	admitted := float64(flood.admitted + few.admitted + fewer.admitted)
	opened := float64(flood.opened + few.opened + fewer.opened)
	if got := admitted / opened; got < 0.08 || got > 0.12 {
		t.Errorf("got %.3f of all connections admitted, want about 0.1", got)
	}
}

// TestEqualCallersAreRejectedAlike has twenty callers with the same rate.
func TestEqualCallersAreRejectedAlike(t *testing.T) {
	var s Screener
	s.SetAdmittedShare(epoch, 0.25)
	var callers []*caller
	for i := range 20 {
		callers = append(callers, newCaller(strconv.Itoa(i), 50))
	}
	simulate(&s, 11, callers...)
	for _, c := range callers {
		if got := c.admittedShare(); got < 0.15 || got > 0.35 {
			t.Errorf("got %.2f of the connections of %v admitted, want about 0.25", got, c.name)
		}
	}
}

func TestShareLimits(t *testing.T) {
	var s Screener
	c := newCaller("a", 500)
	simulate(&s, 2, c)
	if c.admitted != c.opened {
		t.Errorf("got %d of %d connections admitted without a limit, want all", c.admitted, c.opened)
	}
	s.SetAdmittedShare(epoch, 0)
	if s.Admit(epoch, c.name) {
		t.Error("connection admitted at a share of 0")
	}
	s.SetAdmittedShare(epoch, 1)
	if !s.Admit(epoch, c.name) {
		t.Error("connection rejected at a share of 1")
	}
}

// TestIdleCallersAreRemoved has each of more than maxCallers callers open one connection.
func TestIdleCallersAreRemoved(t *testing.T) {
	var s Screener
	for i := range 2 * maxCallers {
		s.Admit(epoch, strconv.Itoa(i))
	}
	if got, _ := s.LargestShare(); got > maxCallers+1 {
		t.Errorf("got %d callers, want at most %d", got, maxCallers+1)
	}
	s.SetAdmittedShare(epoch.Add(time.Minute), 1)
	if got, _ := s.LargestShare(); got != 0 {
		t.Errorf("got %d callers after a minute, want none", got)
	}
}

// TestDominantCaller has a flood displace a caller that opens fewer connections, and then be
// the only caller with rejected connections.
func TestDominantCaller(t *testing.T) {
	var s Screener
	s.SetAdmittedShare(epoch, 0.01)
	simulate(&s, 3, newCaller("flood", 1000), newCaller("few", 50), newCaller("", 200))
	if !s.IsDominant("flood") || s.IsDominant("few") || s.IsDominant("") {
		t.Errorf("got dominant %v, %v, %v, want only the flood", s.IsDominant("flood"), s.IsDominant("few"), s.IsDominant(""))
	}
	s.SetAdmittedShare(epoch.Add(3*time.Second), 0.3)
	if s.IsDominant("flood") {
		t.Error("flood is dominant while no connection of the others is rejected")
	}
}
