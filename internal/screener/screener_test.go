package screener

import (
	"net/netip"
	"testing"
	"time"
)

var epoch = time.Unix(1_700_000_000, 0)

// caller opens connections at a steady rate.
type caller struct {
	address         netip.Addr
	perSecond       int
	opened, takenIn int
	// owed is the part of a connection that is due.
	owed float64
}

func newCaller(address string, perSecond int) *caller {
	return &caller{address: netip.MustParseAddr(address), perSecond: perSecond}
}

// play has callers open connections for some seconds, of which the first does not count.
func play(s *Screener, seconds int, callers ...*caller) {
	const step = 5 * time.Millisecond
	now := epoch
	for i := range seconds * int(time.Second/step) {
		now = now.Add(step)
		for _, c := range callers {
			for c.owed += float64(c.perSecond) * step.Seconds(); c.owed >= 1; c.owed-- {
				taken := s.Take(now, c.address)
				if i < int(time.Second/step) {
					continue
				}
				c.opened++
				if taken {
					c.takenIn++
				}
			}
		}
	}
}

func (c *caller) part() float64 { return float64(c.takenIn) / float64(c.opened) }

// TestFloodPaysForItself has one address open two thousand connections a second, and two
// others few, at a router that can take in a tenth.
func TestFloodPaysForItself(t *testing.T) {
	var s Screener
	s.SetShare(epoch, 0.1)
	flood, few, fewer := newCaller("10.0.0.1", 2000), newCaller("10.0.0.2", 40), newCaller("10.0.0.3", 3)
	play(&s, 6, flood, few, fewer)
	for _, c := range []*caller{few, fewer} {
		if got := c.part(); got < 0.9 {
			t.Errorf("got %.2f of the connections of a caller with %d a second taken in, want nine tenths", got, c.perSecond)
		}
	}
	taken := float64(flood.takenIn + few.takenIn + fewer.takenIn)
	opened := float64(flood.opened + few.opened + fewer.opened)
	if got := taken / opened; got < 0.08 || got > 0.12 {
		t.Errorf("got %.3f of all taken in, want a tenth", got)
	}
}

// TestEqualCallersAreTurnedAwayAlike has twenty addresses ask for the same.
func TestEqualCallersAreTurnedAwayAlike(t *testing.T) {
	var s Screener
	s.SetShare(epoch, 0.25)
	var callers []*caller
	for i := range 20 {
		c := newCaller("10.0.0.1", 50)
		for range i {
			c.address = c.address.Next()
		}
		callers = append(callers, c)
	}
	play(&s, 11, callers...)
	for _, c := range callers {
		if got := c.part(); got < 0.15 || got > 0.35 {
			t.Errorf("got %.2f of the connections of %v taken in, want about a quarter", got, c.address)
		}
	}
}

func TestAllAreTakenInAgain(t *testing.T) {
	var s Screener
	c := newCaller("10.0.0.1", 500)
	play(&s, 2, c)
	if c.takenIn != c.opened {
		t.Errorf("got %d of %d taken in without a bound, want all", c.takenIn, c.opened)
	}
	s.SetShare(epoch, 0)
	if s.Take(epoch, c.address) {
		t.Error("got a connection taken in at a share of nothing")
	}
	s.SetShare(epoch, 1)
	if !s.Take(epoch, c.address) {
		t.Error("got a connection turned away at a share of all")
	}
}

// TestAddressesAreForgotten has more addresses than are told apart, once.
func TestAddressesAreForgotten(t *testing.T) {
	var s Screener
	address := netip.MustParseAddr("10.0.0.1")
	for range 2 * mostAddresses {
		s.Take(epoch, address)
		address = address.Next()
	}
	if got, _ := s.Largest(); got > mostAddresses+1 {
		t.Errorf("got %d addresses told apart, want at most %d", got, mostAddresses+1)
	}
	s.SetShare(epoch.Add(time.Minute), 1)
	if got, _ := s.Largest(); got != 0 {
		t.Errorf("got %d addresses known after a minute, want none", got)
	}
}
