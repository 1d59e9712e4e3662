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
	overloadLag = 30 * time.Millisecond
	recoveryLag = 10 * time.Millisecond
	// strainWeight is the weight in the average of a tick after TickInterval, within a
	// bound for a VM that was frozen.
	lagWeight = 0.05
	maxLag    = 300 * time.Millisecond
	// strainHold is how long a VM stays out of rotation at least, and
	// strainPause how long it stays in before it may leave again.
	minOverloadTime = 1500 * time.Millisecond
	minRecoveryTime = 4 * time.Second
	// busyLag is how late ticks come on average once the processor has no time
	// left, calmLag how late when it has.
	highLag = 4 * time.Millisecond
	lowLag  = 2500 * time.Microsecond
	// busyWait and calmWait are the same of the time that goroutines wait for the
	// processor. A request waits for it a dozen times on its way, ticks go before.
	highWait = 8 * time.Millisecond
	lowWait  = 4 * time.Millisecond
	// waitWeight is the weight of one measurement of these waits in their mean.
	waitWeight = 0.5
	// intakeEvery is the time between two changes of the share of connections
	// taken in, which shrinks by the factor intakeCut and grows by intakeGrowth, or by
	// intakeLeap if hardly anything waits.
	admissionInterval     = 100 * time.Millisecond
	admissionDecrease     = 0.75
	admissionIncrease     = 1.1
	admissionFastIncrease = 1.3
	// leastTakenIn leaves some new connections, by whose load the router notices
	// that it may take more: callers may ask for fifty times what a VM can do.
	minAdmission = 0.05
	// fullShare is the share of new connections turned away from which on, for fullAfter, a VM
	// has as many callers as it can serve, and fullHold how long new ones go elsewhere at
	// least.
	fullRejectShare = 0.5
	fullDelay       = 300 * time.Millisecond
	minFullTime     = 3 * time.Second
	// starvedGarbage is how much garbage, in percent of what is in use, a VM short of
	// processor time lets lie before it is collected, and usualGarbage how much otherwise.
	// The bound on its memory holds for both.
	saturatedGCPercent = 400
	defaultGCPercent   = 100
	// strainedShare is the part of the fleet, as a divisor, that may send its
	// callers elsewhere at a time.
	outOfRotationDivisor = 8
)

// strain tells from late ticks, and from how long goroutines wait, that a VM has
// too little processor time for what its callers ask. It answers the load of a
// small VM that many busy callers happen to be connected to: a share of the new
// connections is turned away before anything is read, so that what is taken in
// is read in time. At the worst the VM leaves the rotation.
type overload struct {
	lag        time.Duration
	changedAt  time.Time
	overloaded bool
	// stoodStill is true if the last tick came so late that the VM stood still before.
	frozen bool
	// queue measures how long goroutines wait for the processor, and wait is the
	// mean of that.
	runQueue interface{ recentWait() time.Duration }
	wait     time.Duration
	// turnedAway is the share of new connections to turn away, 0 to 1.
	rejectShare float64
	adjustedAt  time.Time
	// full is true while new callers are to go elsewhere, as those that are here are
	// enough, since fullSince; binding is since when most new connections are turned
	// away, or zero.
	full                          bool
	fullSince, rejectingMostSince time.Time
}

// note takes in a tick and reports whether the VM is overloaded. With allowed
// false it does not begin to be.
func (s *overload) observeTick(now time.Time, b tickTiming, allowed bool) bool {
	s.recordLag(b)
	s.adjustAdmission(now)
	s.updateFull(now, allowed)
	switch {
	case !s.overloaded && s.lag > overloadLag && allowed && now.Sub(s.changedAt) >= minRecoveryTime:
		s.overloaded, s.changedAt = true, now
	case s.overloaded && s.lag < recoveryLag && now.Sub(s.changedAt) >= minOverloadTime:
		s.overloaded, s.changedAt = false, now
	}
	return s.overloaded
}

// measure enters a tick into the average. A single tick that comes very late says that the
// VM stood still, not that it has too much to do.
func (s *overload) recordLag(b tickTiming) {
	frozen := b.lag > maxLag
	firstFreeze := frozen && !s.frozen
	s.frozen = frozen
	if firstFreeze {
		return
	}
	weight := lagWeight * float64(b.interval) / float64(messenger.TickInterval)
	s.lag += time.Duration(weight * float64(min(b.lag, maxLag)-s.lag))
}

// adjust moves the share of new connections to turn away towards the one at
// which nothing waits long for the processor.
func (s *overload) adjustAdmission(now time.Time) {
	if now.Sub(s.adjustedAt) < admissionInterval {
		return
	}
	s.adjustedAt = now
	if s.runQueue != nil {
		s.wait += time.Duration(waitWeight * float64(s.runQueue.recentWait()-s.wait))
	}
	admitted := 1 - s.rejectShare
	switch {
	case s.lag > highLag || s.wait > highWait:
		admitted = max(minAdmission, admitted*admissionDecrease)
	case s.lag < lowLag && s.wait < lowWait/2:
		admitted = min(1, admitted*admissionFastIncrease)
	case s.lag < lowLag && s.wait < lowWait:
		admitted = min(1, admitted*admissionIncrease)
	}
	s.rejectShare = 1 - admitted
}

// fill decides whether new callers go elsewhere. It answers a flood that a balancer leads to
// one VM for as long as it is in the rotation: what it carries stays with it, and the rest of
// the flood spreads over the next ones.
func (s *overload) updateFull(now time.Time, allowed bool) {
	switch {
	case s.rejectShare < fullRejectShare:
		s.rejectingMostSince = time.Time{}
	case s.rejectingMostSince.IsZero():
		s.rejectingMostSince = now
	}
	switch {
	case !s.full && allowed && !s.rejectingMostSince.IsZero() && now.Sub(s.rejectingMostSince) >= fullDelay:
		s.full, s.fullSince = true, now
	case s.full && now.Sub(s.fullSince) >= minFullTime && !s.saturated():
		s.full = false
	}
}

// shut reports whether hardly any new connection is taken in: if that is not enough, what
// comes on open ones is too much.
func (s *overload) atMinAdmission() bool { return s.rejectShare >= 1-minAdmission }

// starved reports whether the VM has no processor time left.
func (s *overload) saturated() bool { return s.rejectShare > 0 || s.lag > highLag || s.wait > highWait }

// watchStrain lets an overloaded router turn away callers or, while only a few
// routers do so, leave the rotation.
func (h *Hosted) updateOverload(b tickTiming) {
	allowed := h.peersOutOfRotation < int(h.peerCount.Load())/outOfRotationDivisor
	oldShare := h.overload.rejectShare
	on := h.overload.observeTick(h.clock.Now(), b, allowed)
	h.setRejectShare(oldShare, h.overload.rejectShare)
	h.logWorkload()
	h.setOutOfRotation(on || h.overload.full)
	if on == h.overloaded {
		return
	}
	h.overloaded = on
	if !h.draining.Load() {
		h.callers.SetKeepAliveDisabled(on)
	}
	h.log.WithFields(logrus.Fields{
		eventField: "overload", "on": on, "lag": h.overload.lag, "inProgress": h.inProgress.Load(),
	}).Warn("overload changed: connections are closed while it is on, so that callers go elsewhere")
}

// sendElsewhere takes the router out of the rotation, or back into it.
func (h *Hosted) setOutOfRotation(on bool) {
	if h.outOfRotation.Swap(on) == on {
		return
	}
	h.log.WithFields(logrus.Fields{
		eventField: "rotation", "out": on, "lag": h.overload.lag, "wait": h.overload.wait, "inProgress": h.inProgress.Load(),
		"connectionsOpen": h.callers.OpenConns(), "takenIn": roundTo2Digits(1 - h.overload.rejectShare), "othersOut": h.peersOutOfRotation,
	}).Warn("whether new callers are sent elsewhere changed")
}

// setTurnedAway tells the listener which share of new connections to turn away,
// and logs when it begins and ends.
func (h *Hosted) setRejectShare(oldShare, share float64) {
	if oldShare == share {
		return
	}
	h.callers.SetShedShare(share)
	h.rejectingConns.Store(share > 0)
	h.atMinAdmission.Store(h.overload.atMinAdmission())
	if oldShare > 0 && share > 0 {
		return
	}
	setGCPercent(share > 0)
	h.log.WithFields(logrus.Fields{
		eventField: "turnAway", "on": share > 0, "lag": h.overload.lag, "wait": h.overload.wait, "inProgress": h.inProgress.Load(),
		"refusedUnread": h.refusedUnread.Swap(0),
	}).Warn("short of processor time: a share of new connections is turned away while it is on")
}

// collectGarbage sets how much garbage is let lie: a VM short of processor time spends
// memory in its place.
func setGCPercent(saturated bool) {
	if saturated {
		debug.SetGCPercent(saturatedGCPercent)
		return
	}
	debug.SetGCPercent(defaultGCPercent)
}
