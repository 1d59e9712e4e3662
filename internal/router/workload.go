package router

import (
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"

	"lentilwood.example/lentilwood/internal/dispatcher"
	"lentilwood.example/lentilwood/internal/messenger"
)

// workloadInterval is the minimum time between two workload log lines of a router whose CPU
// is saturated.
const workloadInterval = time.Second

// workload counts how requests end at this router, so that a log line can show how its CPU
// time is used. It counts in intervals of about workloadInterval. The zero value is ready to
// use; the atomic counts are safe for concurrent use.
type workload struct {
	// sent counts requests that were sent to an upstream.
	sent atomic.Int64
	// reusedConnRequests counts requests on connections that had carried an earlier one.
	reusedConnRequests atomic.Int64
	// refusedOverShare counts requests refused because their account had used up its share,
	// refusedPastDeadline those refused because they would have been answered after their
	// deadline, endedOtherwise all other requests that were not sent.
	refusedOverShare, refusedPastDeadline, endedOtherwise atomic.Int64
	// maxWriteDelay is the longest time in nanoseconds between the choice of an upstream and
	// the writing of the request in the current interval.
	maxWriteDelay atomic.Int64

	// The fields below belong to the control goroutine. intervalStart is the start of the
	// current interval; acceptedConns, rejectedConns and cpuTime are the totals at that time.
	intervalStart                time.Time
	acceptedConns, rejectedConns uint64

	cpuTime time.Duration
	// decisionTime is the time spent on decisions about requests in the current interval,
	// decisions their number.
	decisionTime time.Duration
	decisions    int
	// forecasts is the admitter's total number of forecasts at intervalStart.
	forecasts uint64
}

// record counts an ended request.
func (w *workload) record(result dispatcher.Result) {
	w.recordWriteDelay(result.MaxWriteDelay)
	switch {
	case !result.DispatchedAt.IsZero():
		w.sent.Add(1)
	case result.Problem == string(messenger.RefuseTokens):
		w.refusedOverShare.Add(1)
	case result.Problem == string(messenger.RefuseDeadline):
		w.refusedPastDeadline.Add(1)
	default:
		w.endedOtherwise.Add(1)
	}
}

func (w *workload) recordWriteDelay(delay time.Duration) {
	for {
		maxDelay := w.maxWriteDelay.Load()
		if int64(delay) <= maxDelay || w.maxWriteDelay.CompareAndSwap(maxDelay, int64(delay)) {
			return
		}
	}
}

// recordDecision counts a decision about a request and its duration.
func (w *workload) recordDecision(took time.Duration) {
	w.decisionTime += took
	w.decisions++
}

// processCPUTime returns the CPU time used by this process, or zero if the system call fails.
func processCPUTime() time.Duration {
	var usage unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// logWorkload ends a measuring interval once workloadInterval has passed. If the CPU is
// saturated, it logs the work done in the interval.
func (h *Hosted) logWorkload() {
	now := h.clock.Now()
	w := &h.workload
	if now.Sub(w.intervalStart) < workloadInterval {
		return
	}
	callers, largestShare := h.callers.LargestCaller()
	cpuTime := processCPUTime()
	fields := logrus.Fields{
		eventField: "workload", "ms": now.Sub(w.intervalStart).Milliseconds(),
		"takenIn": roundTo2Digits(1 - h.overload.rejectShare), "connectionsTaken": h.callers.AcceptedConns() - w.acceptedConns,
		"connectionsOpen": h.callers.OpenConns(), "refusedUnread": h.callers.ShedConns() - w.rejectedConns,
		"askedAgain": w.reusedConnRequests.Swap(0), "sent": w.sent.Swap(0), "refusedBeyondShare": w.refusedOverShare.Swap(0), "refusedLate": w.refusedPastDeadline.Swap(0),
		"endedOtherwise": w.endedOtherwise.Swap(0), "inProgress": h.inProgress.Load(),
		"callers": callers, "largestCaller": roundTo2Digits(largestShare),
		"lag": h.overload.lag, "wait": h.overload.wait,
		"processorMs": (cpuTime - w.cpuTime).Milliseconds(), "decidingMs": w.decisionTime.Milliseconds(), "decisions": w.decisions,
		"weighed": h.admitter.ForecastCount() - w.forecasts, "backlog": h.control.resetMaxBacklog(),
		"longestHeldMs": time.Duration(w.maxWriteDelay.Swap(0)).Milliseconds(),
	}
	w.intervalStart, w.acceptedConns, w.cpuTime = now, h.callers.AcceptedConns(), cpuTime
	w.rejectedConns = h.callers.ShedConns()
	w.decisionTime, w.decisions, w.forecasts = 0, 0, h.admitter.ForecastCount()
	if h.overload.saturated() {
		h.log.WithFields(fields).Warn("CPU saturated; workload since the last report")
	}
}
