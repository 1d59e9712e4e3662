package screener

import (
	"strconv"
	"testing"
	"time"
)

var epoch = time.Unix(1_700_000_000, 0)

// caller opens connections at a steady rate.
type caller struct {
	name            string
	perSecond       int
	opened, takenIn int
	// owed is the part of a connection that is due.
	owed float64
}

func newCaller(name string, perSecond int) *caller {
	return &caller{name: name, perSecond: perSecond}
}

// play has callers open connections for some seconds, of which the first does not count.
func play(s *Screener, seconds int, callers ...*caller) {
	const step = 5 * time.Millisecond
	now := epoch
	for i := range seconds * int(time.Second/step) {
		now = now.Add(step)
		for _, c := range callers {
			for c.owed += float64(c.perSecond) * step.Seconds(); c.owed >= 1; c.owed-- {
				taken := s.Admit(now, c.name)
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

// TestFloodPaysForItself has one caller open two thousand connections a second, and two
// others few, at a router that can take in a tenth.
func TestFloodPaysForItself(t *testing.T) {
	var s Screener
	s.SetAdmittedShare(epoch, 0.1)
	flood, few, fewer := newCaller("a", 2000), newCaller("b", 40), newCaller("c", 3)
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

// TestEqualCallersAreTurnedAwayAlike has twenty callers ask for the same.
func TestEqualCallersAreTurnedAwayAlike(t *testing.T) {
	var s Screener
	s.SetAdmittedShare(epoch, 0.25)
	var callers []*caller
	for i := range 20 {
		callers = append(callers, newCaller(strconv.Itoa(i), 50))
	}
	play(&s, 11, callers...)
	for _, c := range callers {
		if got := c.part(); got < 0.15 || got > 0.35 {
			t.Errorf("got %.2f of the connections of %v taken in, want about a quarter", got, c.name)
		}
	}
}

func TestAllAreTakenInAgain(t *testing.T) {
	var s Screener
	c := newCaller("a", 500)
	play(&s, 2, c)
	if c.takenIn != c.opened {
		t.Errorf("got %d of %d taken in without a bound, want all", c.takenIn, c.opened)
	}
	s.SetAdmittedShare(epoch, 0)
	if s.Admit(epoch, c.name) {
		t.Error("got a connection taken in at a share of nothing")
	}
	s.SetAdmittedShare(epoch, 1)
	if !s.Admit(epoch, c.name) {
		t.Error("got a connection turned away at a share of all")
	}
}

// TestCallersAreForgotten has more callers than are told apart, once.
func TestCallersAreForgotten(t *testing.T) {
	var s Screener
	for i := range 2 * mostCallers {
		s.Admit(epoch, strconv.Itoa(i))
	}
	if got, _ := s.LargestShare(); got > mostCallers+1 {
		t.Errorf("got %d callers told apart, want at most %d", got, mostCallers+1)
	}
	s.SetAdmittedShare(epoch.Add(time.Minute), 1)
	if got, _ := s.LargestShare(); got != 0 {
		t.Errorf("got %d callers known after a minute, want none", got)
	}
}

// TestWhoeverCrowdsOutOthersIsKnown has a flood take the place of a caller that asks for
// less, and then alone be turned away.
func TestWhoeverCrowdsOutOthersIsKnown(t *testing.T) {
	var s Screener
	s.SetAdmittedShare(epoch, 0.01)
	play(&s, 3, newCaller("flood", 1000), newCaller("few", 50), newCaller("", 200))
	if !s.IsDominant("flood") || s.IsDominant("few") || s.IsDominant("") {
		t.Errorf("got crowding %v, %v, %v, want that of the flood alone", s.IsDominant("flood"), s.IsDominant("few"), s.IsDominant(""))
	}
	s.SetAdmittedShare(epoch.Add(3*time.Second), 0.3)
	if s.IsDominant("flood") {
		t.Error("got a flood that crowds out others while these are taken in")
	}
}
