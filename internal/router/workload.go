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
	reusedConns atomic.Int64
	// beyondShare and late count those refused because their account had used up its
	// share, and because they would have been late; otherwise counts the rest.
	overShare, pastDeadline, other atomic.Int64
	// held is the longest time, since the last line, for which a request was held between
	// the choice of its upstream and its writing.
	longestHold atomic.Int64

	// The control goroutine owns the rest: the time of the last line, and the
	// connections taken in and the processor time used until then.
	loggedAt time.Time
	// turnedAway counts the connections that were turned away until the last line.
	acceptedConns, rejectedConns uint64

	cpuTime time.Duration
	// deciding is the time that went to decisions about requests since the last line,
	// and decisions how many there were.
	decisionTime time.Duration
	decisions    int
	// weighed is how many upstreams were weighed until the last line.
	weighedUpstreams uint64
}

// note counts a request that has ended.
func (w *workload) record(result dispatcher.Result) {
	w.recordHold(result.MaxWriteDelay)
	switch {
	case !result.DispatchedAt.IsZero():
		w.sent.Add(1)
	case result.Problem == string(messenger.RefuseTokens):
		w.overShare.Add(1)
	case result.Problem == string(messenger.RefuseDeadline):
		w.pastDeadline.Add(1)
	default:
		w.other.Add(1)
	}
}

func (w *workload) recordHold(held time.Duration) {
	for {
		longest := w.longestHold.Load()
		if int64(held) <= longest || w.longestHold.CompareAndSwap(longest, int64(held)) {
			return
		}
	}
}

// noteDecision counts a decision about a request.
func (w *workload) recordDecision(took time.Duration) {
	w.decisionTime += took
	w.decisions++
}

// processorTime returns the processor time that this process has used, or zero if the
// system does not say.
func processCPUTime() time.Duration {
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
	if now.Sub(w.loggedAt) < workloadInterval {
		return
	}
	callers, largestShare := h.callers.LargestCaller()
	cpuTime := processCPUTime()
	fields := logrus.Fields{
		eventField: "workload", "ms": now.Sub(w.loggedAt).Milliseconds(),
		"takenIn": roundTo2Digits(1 - h.overload.rejectShare), "connectionsTaken": h.callers.AcceptedConns() - w.acceptedConns,
		"connectionsOpen": h.callers.OpenConns(), "refusedUnread": h.callers.ShedConns() - w.rejectedConns,
		"askedAgain": w.reusedConns.Swap(0), "sent": w.sent.Swap(0), "refusedBeyondShare": w.overShare.Swap(0), "refusedLate": w.pastDeadline.Swap(0),
		"endedOtherwise": w.other.Swap(0), "inProgress": h.inProgress.Load(),
		"callers": callers, "largestCaller": roundTo2Digits(largestShare),
		"lag": h.overload.lag, "wait": h.overload.wait,
		"processorMs": (cpuTime - w.cpuTime).Milliseconds(), "decidingMs": w.decisionTime.Milliseconds(), "decisions": w.decisions,
		"weighed": h.admitter.ForecastCount() - w.weighedUpstreams, "backlog": h.control.resetMaxBacklog(),
		"longestHeldMs": time.Duration(w.longestHold.Swap(0)).Milliseconds(),
	}
	w.loggedAt, w.acceptedConns, w.cpuTime = now, h.callers.AcceptedConns(), cpuTime
	w.rejectedConns = h.callers.ShedConns()
	w.decisionTime, w.decisions, w.weighedUpstreams = 0, 0, h.admitter.ForecastCount()
	if h.overload.saturated() {
		h.log.WithFields(fields).Warn("short of processor time: what it went to")
	}
}
