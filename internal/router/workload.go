package router

import (
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"

	"lentilwood.example/lentilwood/internal/dispatcher"
	"lentilwood.example/lentilwood/internal/messenger"
)

// workloadInterval is the time between two lines about the workload of a router that
// is short of processor time.
const workloadInterval = time.Second

// workload counts how requests end at this router, so that a line can tell what it
// spends its processor time on. The zero value is ready to use; the counts are safe for
// concurrent use.
type workload struct {
	// sent counts requests that an upstream was given.
	sent atomic.Int64
	// again counts requests on connections that had brought one before.
	again atomic.Int64
	// beyondShare and late count those refused because their account had used up its
	// share, and because they would have been late; otherwise counts the rest.
	beyondShare, late, otherwise atomic.Int64
	// held is the longest time, since the last line, for which a request was held between
	// the choice of its upstream and its writing.
	held atomic.Int64

	// The control goroutine owns the rest: the time of the last line, and the
	// connections taken in and the processor time used until then.
	logged time.Time
	// turnedAway counts the connections that were turned away until the last line.
	taken, turnedAway uint64

	processor time.Duration
	// deciding is the time that went to decisions about requests since the last line,
	// and decisions how many there were.
	deciding  time.Duration
	decisions int
	// weighed is how many upstreams were weighed until the last line.
	weighed uint64
}

// note counts a request that has ended.
func (w *workload) note(result dispatcher.Result) {
	w.noteHeld(result.MaxWriteDelay)
	switch {
	case !result.DispatchedAt.IsZero():
		w.sent.Add(1)
	case result.Problem == string(messenger.RefuseTokens):
		w.beyondShare.Add(1)
	case result.Problem == string(messenger.RefuseDeadline):
		w.late.Add(1)
	default:
		w.otherwise.Add(1)
	}
}

func (w *workload) noteHeld(held time.Duration) {
	for {
		longest := w.held.Load()
		if int64(held) <= longest || w.held.CompareAndSwap(longest, int64(held)) {
			return
		}
	}
}

// noteDecision counts a decision about a request.
func (w *workload) noteDecision(took time.Duration) {
	w.deciding += took
	w.decisions++
}

// processorTime returns the processor time that this process has used, or zero if the
// system does not say.
func processorTime() time.Duration {
	var usage unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// logWorkload writes from time to time what the router did since the last such line,
// while it is short of processor time.
func (h *Hosted) logWorkload() {
	now := h.clock.Now()
	w := &h.workload
	if now.Sub(w.logged) < workloadInterval {
		return
	}
	callers, largest := h.callers.LargestCaller()
	used := processorTime()
	fields := logrus.Fields{
		eventField: "workload", "ms": now.Sub(w.logged).Milliseconds(),
		"takenIn": rounded(1 - h.strain.turnedAway), "connectionsTaken": h.callers.AcceptedConns() - w.taken,
		"connectionsOpen": h.callers.OpenConns(), "refusedUnread": h.callers.ShedConns() - w.turnedAway,
		"askedAgain": w.again.Swap(0), "sent": w.sent.Swap(0), "refusedBeyondShare": w.beyondShare.Swap(0), "refusedLate": w.late.Swap(0),
		"endedOtherwise": w.otherwise.Swap(0), "inProgress": h.inProgress.Load(),
		"callers": callers, "largestCaller": rounded(largest),
		"lag": h.strain.lag, "wait": h.strain.wait,
		"processorMs": (used - w.processor).Milliseconds(), "decidingMs": w.deciding.Milliseconds(), "decisions": w.decisions,
		"weighed": h.admitter.ForecastCount() - w.weighed, "backlog": h.control.takeBacklog(),
		"longestHeldMs": time.Duration(w.held.Swap(0)).Milliseconds(),
	}
	w.logged, w.taken, w.processor = now, h.callers.AcceptedConns(), used
	w.turnedAway = h.callers.ShedConns()
	w.deciding, w.decisions, w.weighed = 0, 0, h.admitter.ForecastCount()
	if h.strain.starved() {
		h.log.WithFields(fields).Warn("short of processor time: what it went to")
	}
}
