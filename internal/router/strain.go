package router

import (
	"runtime/debug"
	"time"

	"github.com/sirupsen/logrus"

	"lentilwood.example/lentilwood/internal/messenger"
)

const (
	// strainLag is how late the control goroutine's ticks may come on average
	// before the VM counts as overloaded, easeLag when it no longer does.
	strainLag = 30 * time.Millisecond
	easeLag   = 10 * time.Millisecond
	// strainWeight is the weight in the average of a tick after TickInterval, within a
	// bound for a VM that was frozen.
	strainWeight = 0.05
	longestLag   = 300 * time.Millisecond
	// strainHold is how long a VM stays out of rotation at least, and
	// strainPause how long it stays in before it may leave again.
	strainHold  = 1500 * time.Millisecond
	strainPause = 4 * time.Second
	// busyLag is how late ticks come on average once the processor has no time
	// left, calmLag how late when it has.
	busyLag = 4 * time.Millisecond
	calmLag = 2500 * time.Microsecond
	// busyWait and calmWait are the same of the time that goroutines wait for the
	// processor. A request waits for it a dozen times on its way, ticks go before.
	busyWait = 8 * time.Millisecond
	calmWait = 4 * time.Millisecond
	// waitWeight is the weight of one measurement of these waits in their mean.
	waitWeight = 0.5
	// intakeEvery is the time between two changes of the share of connections
	// taken in, which shrinks by the factor intakeCut and grows by intakeGrowth, or by
	// intakeLeap if hardly anything waits.
	intakeEvery  = 100 * time.Millisecond
	intakeCut    = 0.75
	intakeGrowth = 1.1
	intakeLeap   = 1.3
	// leastTakenIn leaves some new connections, by whose load the router notices
	// that it may take more: callers may ask for fifty times what a VM can do.
	leastTakenIn = 0.05
	// fullShare is the share of new connections turned away from which on, for fullAfter, a VM
	// has as many callers as it can serve, and fullHold how long new ones go elsewhere at
	// least.
	fullShare = 0.5
	fullAfter = 300 * time.Millisecond
	fullHold  = 3 * time.Second
	// starvedGarbage is how much garbage, in percent of what is in use, a VM short of
	// processor time lets lie before it is collected, and usualGarbage how much otherwise.
	// The bound on its memory holds for both.
	starvedGarbage = 400
	usualGarbage   = 100
	// strainedShare is the part of the fleet, as a divisor, that may send its
	// callers elsewhere at a time.
	strainedShare = 8
)

// strain tells from late ticks, and from how long goroutines wait, that a VM has
// too little processor time for what its callers ask. It answers the load of a
// small VM that many busy callers happen to be connected to: a share of the new
// connections is turned away before anything is read, so that what is taken in
// is read in time. At the worst the VM leaves the rotation.
type strain struct {
	lag     time.Duration
	changed time.Time
	on      bool
	// stoodStill is true if the last tick came so late that the VM stood still before.
	stoodStill bool
	// queue measures how long goroutines wait for the processor, and wait is the
	// mean of that.
	queue interface{ wait() time.Duration }
	wait  time.Duration
	// turnedAway is the share of new connections to turn away, 0 to 1.
	turnedAway float64
	adjusted   time.Time
	// full is true while new callers are to go elsewhere, as those that are here are
	// enough, since fullSince; binding is since when most new connections are turned
	// away, or zero.
	full               bool
	fullSince, binding time.Time
}

// note takes in a tick and reports whether the VM is overloaded. With allowed
// false it does not begin to be.
func (s *strain) note(now time.Time, b beat, allowed bool) bool {
	s.measure(b)
	s.adjust(now)
	s.fill(now, allowed)
	switch {
	case !s.on && s.lag > strainLag && allowed && now.Sub(s.changed) >= strainPause:
		s.on, s.changed = true, now
	case s.on && s.lag < easeLag && now.Sub(s.changed) >= strainHold:
		s.on, s.changed = false, now
	}
	return s.on
}

// measure enters a tick into the average. A single tick that comes very late says that the
// VM stood still, not that it has too much to do.
func (s *strain) measure(b beat) {
	stoodStill := b.late > longestLag
	pause := stoodStill && !s.stoodStill
	s.stoodStill = stoodStill
	if pause {
		return
	}
	weight := strainWeight * float64(b.planned) / float64(messenger.TickInterval)
	s.lag += time.Duration(weight * float64(min(b.late, longestLag)-s.lag))
}

// adjust moves the share of new connections to turn away towards the one at
// which nothing waits long for the processor.
func (s *strain) adjust(now time.Time) {
	if now.Sub(s.adjusted) < intakeEvery {
		return
	}
	s.adjusted = now
	if s.queue != nil {
		s.wait += time.Duration(waitWeight * float64(s.queue.wait()-s.wait))
	}
	takenIn := 1 - s.turnedAway
	switch {
	case s.lag > busyLag || s.wait > busyWait:
		takenIn = max(leastTakenIn, takenIn*intakeCut)
	case s.lag < calmLag && s.wait < calmWait/2:
		takenIn = min(1, takenIn*intakeLeap)
	case s.lag < calmLag && s.wait < calmWait:
		takenIn = min(1, takenIn*intakeGrowth)
	}
	s.turnedAway = 1 - takenIn
}

// fill decides whether new callers go elsewhere. It answers a flood that a balancer leads to
// one VM for as long as it is in the rotation: what it carries stays with it, and the rest of
// the flood spreads over the next ones.
func (s *strain) fill(now time.Time, allowed bool) {
	switch {
	case s.turnedAway < fullShare:
		s.binding = time.Time{}
	case s.binding.IsZero():
		s.binding = now
	}
	switch {
	case !s.full && allowed && !s.binding.IsZero() && now.Sub(s.binding) >= fullAfter:
		s.full, s.fullSince = true, now
	case s.full && now.Sub(s.fullSince) >= fullHold && !s.starved():
		s.full = false
	}
}

// shut reports whether hardly any new connection is taken in: if that is not enough, what
// comes on open ones is too much.
func (s *strain) shut() bool { return s.turnedAway >= 1-leastTakenIn }

// starved reports whether the VM has no processor time left.
func (s *strain) starved() bool { return s.turnedAway > 0 || s.lag > busyLag || s.wait > busyWait }

// watchStrain lets an overloaded router turn away callers or, while only a few
// routers do so, leave the rotation.
func (h *Hosted) watchStrain(b beat) {
	allowed := h.strainedOthers < int(h.peerCount.Load())/strainedShare
	before := h.strain.turnedAway
	on := h.strain.note(h.clock.Now(), b, allowed)
	h.setTurnedAway(before, h.strain.turnedAway)
	h.logWorkload()
	h.sendElsewhere(on || h.strain.full)
	if on == h.overloaded {
		return
	}
	h.overloaded = on
	if !h.draining.Load() {
		h.callers.SetKeepAliveDisabled(on)
	}
	h.log.WithFields(logrus.Fields{
		eventField: "overload", "on": on, "lag": h.strain.lag, "inProgress": h.inProgress.Load(),
	}).Warn("overload changed: connections are closed while it is on, so that callers go elsewhere")
}

// sendElsewhere takes the router out of the rotation, or back into it.
func (h *Hosted) sendElsewhere(on bool) {
	if h.strained.Swap(on) == on {
		return
	}
	h.log.WithFields(logrus.Fields{
		eventField: "rotation", "out": on, "lag": h.strain.lag, "wait": h.strain.wait, "inProgress": h.inProgress.Load(),
		"connectionsOpen": h.callers.OpenConns(), "takenIn": rounded(1 - h.strain.turnedAway), "othersOut": h.strainedOthers,
	}).Warn("whether new callers are sent elsewhere changed")
}

// setTurnedAway tells the listener which share of new connections to turn away,
// and logs when it begins and ends.
func (h *Hosted) setTurnedAway(before, share float64) {
	if before == share {
		return
	}
	h.callers.SetShedShare(share)
	h.turningAway.Store(share > 0)
	h.shut.Store(h.strain.shut())
	if before > 0 && share > 0 {
		return
	}
	collectGarbage(share > 0)
	h.log.WithFields(logrus.Fields{
		eventField: "turnAway", "on": share > 0, "lag": h.strain.lag, "wait": h.strain.wait, "inProgress": h.inProgress.Load(),
		"refusedUnread": h.refusedUnread.Swap(0),
	}).Warn("short of processor time: a share of new connections is turned away while it is on")
}

// collectGarbage sets how much garbage is let lie: a VM short of processor time spends
// memory in its place.
func collectGarbage(starved bool) {
	if starved {
		debug.SetGCPercent(starvedGarbage)
		return
	}
	debug.SetGCPercent(usualGarbage)
}
