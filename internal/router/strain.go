package router

import (
	"time"

	"github.com/sirupsen/logrus"

	"lentilwood.example/lentilwood/internal/messenger"
)

const (
	// strainLag is how late the control goroutine's ticks may come on average
	// before the VM counts as overloaded, easeLag when it no longer does.
	strainLag = 30 * time.Millisecond
	easeLag   = 10 * time.Millisecond
	// strainWeight is the weight of one tick in the average, within a bound for
	// a VM that was frozen.
	strainWeight = 0.05
	longestLag   = 300 * time.Millisecond
	// strainHold is how long a VM stays out of rotation at least, and
	// strainPause how long it stays in before it may leave again.
	strainHold  = 1500 * time.Millisecond
	strainPause = 4 * time.Second
	// strainedShare is the part of the fleet, as a divisor, that may send its
	// callers elsewhere at a time.
	strainedShare = 8
)

// strain tells from late ticks that a VM has too little processor time for
// what its callers ask. It answers the load of a small VM that many busy
// callers happen to be connected to.
type strain struct {
	lag     time.Duration
	last    time.Time
	changed time.Time
	on      bool
}

// note takes in a tick and reports whether the VM is overloaded. With allowed
// false it does not begin to be.
func (s *strain) note(now time.Time, allowed bool) bool {
	if !s.last.IsZero() {
		late := min(max(0, now.Sub(s.last)-messenger.TickInterval), longestLag)
		s.lag += time.Duration(strainWeight * float64(late-s.lag))
	}
	s.last = now
	switch {
	case !s.on && s.lag > strainLag && allowed && now.Sub(s.changed) >= strainPause:
		s.on, s.changed = true, now
	case s.on && s.lag < easeLag && now.Sub(s.changed) >= strainHold:
		s.on, s.changed = false, now
	}
	return s.on
}

// watchStrain takes an overloaded router out of rotation, so that its callers
// connect to others, while only a few routers do so.
func (h *Hosted) watchStrain() {
	others := 0
	for _, p := range h.peers {
		if p.live && p.strained {
			others++
		}
	}
	allowed := others < len(h.peers)/strainedShare
	on := h.strain.note(h.clock.Now(), allowed)
	if on == h.strained.Load() {
		return
	}
	h.strained.Store(on)
	if !h.draining.Load() {
		h.callers.SetClosing(on)
	}
	h.log.WithFields(logrus.Fields{
		eventField: "overload", "on": on, "lag": h.strain.lag, "inProgress": h.inProgress.Load(),
	}).Warn("overload changed: callers are sent elsewhere while it is on")
}
