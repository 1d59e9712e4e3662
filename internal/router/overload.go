package router

import (
	"runtime/debug"
	"time"

	"github.com/sirupsen/logrus"

	"lentilwood.example/lentilwood/internal/messenger"
)

const (
	// overloadLag is the mean lag of the control goroutine's ticks above which the VM counts
	// as overloaded, recoveryLag the one below which it no longer does.
	overloadLag = 30 * time.Millisecond
	recoveryLag = 10 * time.Millisecond
	// lagWeight is the weight in the mean lag of a tick planned TickInterval after the previous
	// one; it is scaled for other intervals. Lags above maxLag count as maxLag, or not at all if
	// the VM was frozen.
	lagWeight = 0.05
	maxLag    = 300 * time.Millisecond
	// minOverloadTime is the minimum time that an overloaded VM stays out of the rotation,
	// minRecoveryTime the minimum time that it then stays in.
	minOverloadTime = 1500 * time.Millisecond
	minRecoveryTime = 4 * time.Second
	// highLag is the mean tick lag above which the CPU is saturated, lowLag the one below which
	// there is CPU time left for more connections.
	highLag = 4 * time.Millisecond
	lowLag  = 2500 * time.Microsecond
	// highWait and lowWait are the corresponding limits for the time that goroutines wait for
	// the CPU. A request waits about a dozen times for the CPU while it is served; ticks are
	// scheduled ahead of other work.
	highWait = 8 * time.Millisecond
	lowWait  = 4 * time.Millisecond
	// waitWeight is the weight of one measurement in the mean waiting time.
	waitWeight = 0.5
	// admissionInterval is the time between two changes of the admitted share of new
	// connections. The share is multiplied by admissionDecrease, by admissionIncrease or, if
	// there is hardly any waiting, by admissionFastIncrease.
	admissionInterval     = 100 * time.Millisecond
	admissionDecrease     = 0.75
	admissionIncrease     = 1.1
	admissionFastIncrease = 1.3
	// minAdmission is the minimum share of new connections to admit. Some are always admitted,
	// because their load shows when more can be. The share is small, because callers may
	// demand fifty times the VM's capacity.
	minAdmission = 0.05
	// A VM that has rejected at least fullRejectShare of the new connections for fullDelay has
	// as many callers as it can serve. New callers are then directed to other VMs for at least
	// minFullTime.
	fullRejectShare = 0.5
	fullDelay       = 300 * time.Millisecond
	minFullTime     = 3 * time.Second
	// saturatedGCPercent is the GC target percentage while the CPU is saturated, which trades
	// memory for CPU time; defaultGCPercent applies otherwise. The memory limit holds in both
	// cases.
	saturatedGCPercent = 400
	defaultGCPercent   = 100
	// outOfRotationDivisor is the divisor of the number of routers that gives how many may be
	// out of the rotation because of overload at a time.
	outOfRotationDivisor = 8
)

// overload detects from the lag of ticks and from how long goroutines wait that a VM has too
// little CPU time for its load. It is designed for a small VM to which many busy callers
// happen to be connected: a share of the new connections is rejected before anything is read,
// so that the requests on admitted ones are read in time. As a last resort the VM leaves the
// rotation.
type overload struct {
	lag        time.Duration
	changedAt  time.Time
	overloaded bool
	// frozen is true if the lag of the last tick exceeded maxLag, as it does after the VM was
	// frozen.
	frozen bool
	// runQueue measures how long goroutines wait for the CPU, wait is the mean of that time.
	runQueue interface{ recentWait() time.Duration }
	wait     time.Duration
	// rejectShare is the share of new connections to reject, 0 to 1.
	rejectShare float64
	adjustedAt  time.Time
	// full is true, since fullSince, while new callers should go to other VMs because this one
	// has as many as it can serve. rejectingMostSince is when the VM began to reject most new
	// connections, or zero.
	full                          bool
	fullSince, rejectingMostSince time.Time
}

// observeTick records the timing of a tick and reports whether the VM is overloaded.
// mayLeave says whether the VM may leave the rotation; while it is false, an overload does not
// begin.
func (o *overload) observeTick(now time.Time, t tickTiming, mayLeave bool) bool {
	o.recordLag(t)
	o.adjustAdmission(now)
	o.updateFull(now, mayLeave)
	switch {
	case !o.overloaded && o.lag > overloadLag && mayLeave && now.Sub(o.changedAt) >= minRecoveryTime:
		o.overloaded, o.changedAt = true, now
	case o.overloaded && o.lag < recoveryLag && now.Sub(o.changedAt) >= minOverloadTime:
		o.overloaded, o.changedAt = false, now
	}
	return o.overloaded
}

// recordLag updates the mean lag with that of a tick. A single very late tick is ignored: it
// means that the VM was frozen, not that it has too much work.
func (o *overload) recordLag(t tickTiming) {
	frozen := t.lag > maxLag
	firstFreeze := frozen && !o.frozen
	o.frozen = frozen
	if firstFreeze {
		return
	}
	weight := lagWeight * float64(t.interval) / float64(messenger.TickInterval)
	o.lag += time.Duration(weight * float64(min(t.lag, maxLag)-o.lag))
}

// adjustAdmission moves the rejected share of new connections towards the one at which
// goroutines do not wait long for the CPU.
func (o *overload) adjustAdmission(now time.Time) {
	if now.Sub(o.adjustedAt) < admissionInterval {
		return
	}
	o.adjustedAt = now
	if o.runQueue != nil {
		o.wait += time.Duration(waitWeight * float64(o.runQueue.recentWait()-o.wait))
	}
	admitted := 1 - o.rejectShare
	switch {
	case o.lag > highLag || o.wait > highWait:
		admitted = max(minAdmission, admitted*admissionDecrease)
	case o.lag < lowLag && o.wait < lowWait/2:
		admitted = min(1, admitted*admissionFastIncrease)
	case o.lag < lowLag && o.wait < lowWait:
		admitted = min(1, admitted*admissionIncrease)
	}
	o.rejectShare = 1 - admitted
}

// updateFull decides whether new callers should go to other VMs. A load balancer may direct a
// flood to a single VM as long as it is in the rotation: once this VM is full it keeps the
// callers that it has, and the rest of the flood is distributed among the next VMs.
func (o *overload) updateFull(now time.Time, mayLeave bool) {
	switch {
	case o.rejectShare < fullRejectShare:
		o.rejectingMostSince = time.Time{}
	case o.rejectingMostSince.IsZero():
		o.rejectingMostSince = now
	}
	switch {
	case !o.full && mayLeave && !o.rejectingMostSince.IsZero() && now.Sub(o.rejectingMostSince) >= fullDelay:
		o.full, o.fullSince = true, now
	case o.full && now.Sub(o.fullSince) >= minFullTime && !o.saturated():
		o.full = false
	}
}

// atMinAdmission reports whether the admitted share of new connections is at its minimum. If
// the VM is still overloaded then, the load comes from open connections.
func (o *overload) atMinAdmission() bool { return o.rejectShare >= 1-minAdmission }

// saturated reports whether the VM has no CPU time left.
func (o *overload) saturated() bool { return o.rejectShare > 0 || o.lag > highLag || o.wait > highWait }

// updateOverload evaluates a tick. An overloaded router rejects new connections and leaves the
// rotation, unless too many other routers are already out of it.
func (h *Hosted) updateOverload(t tickTiming) {
	mayLeave := h.peersOutOfRotation < int(h.peerCount.Load())/outOfRotationDivisor
	oldShare := h.overload.rejectShare
	overloaded := h.overload.observeTick(h.clock.Now(), t, mayLeave)
	h.setRejectShare(oldShare, h.overload.rejectShare)
	h.logWorkload()
	h.setOutOfRotation(overloaded || h.overload.full)
	if overloaded == h.overloaded {
		return
	}
	h.overloaded = overloaded
	if !h.draining.Load() {
		h.callers.SetKeepAliveDisabled(overloaded)
	}
	h.log.WithFields(logrus.Fields{
		eventField: "overload", "on": overloaded, "lag": h.overload.lag, "inProgress": h.inProgress.Load(),
	}).Warn("overload state changed; while it is on, connections are closed so that callers connect to other routers")
}

// setOutOfRotation takes the router out of the rotation or returns it.
func (h *Hosted) setOutOfRotation(out bool) {
	if h.outOfRotation.Swap(out) == out {
		return
	}
	h.log.WithFields(logrus.Fields{
		eventField: "rotation", "out": out, "lag": h.overload.lag, "wait": h.overload.wait, "inProgress": h.inProgress.Load(),
		"connectionsOpen": h.callers.OpenConns(), "takenIn": roundTo2Digits(1 - h.overload.rejectShare), "othersOut": h.peersOutOfRotation,
	}).Warn("rotation state changed; while it is out, the load balancer sends new callers to other routers")
}

// setRejectShare passes the share of new connections to reject to the listener, and logs when
// rejecting starts and stops.
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
	}).Warn("CPU saturation changed; while it is on, a share of new connections is rejected")
}

// setGCPercent sets the GC target percentage: while the CPU is saturated, memory is traded for
// CPU time.
func setGCPercent(saturated bool) {
	if saturated {
		debug.SetGCPercent(saturatedGCPercent)
		return
	}
	debug.SetGCPercent(defaultGCPercent)
}
