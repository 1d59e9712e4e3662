package router

import (
	"math"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/sirupsen/logrus"

	"lentilwood.example/lentilwood/internal/dispatcher"
	"lentilwood.example/lentilwood/internal/explainer"
	"lentilwood.example/lentilwood/internal/listener"
	"lentilwood.example/lentilwood/internal/matcher"
	"lentilwood.example/lentilwood/internal/messenger"
)

const (
	// streamSilenceTimeout is how long an upstream may send nothing in a stream before the
	// rest is requested from another one, where that is allowed.
	streamSilenceTimeout = 800 * time.Millisecond
	// firstOutputFactor times the objective is the timeout for the first output of a stream.
	// It is above 1 because an engine that exceeds its objective is usually busy, not hung.
	firstOutputFactor = 1.5
	// silenceFactor times the objective is how long an upstream may send nothing for a
	// non-streaming request, which may be retried.
	silenceFactor = 2
	// longWriteDelay is the minimum delay between the choice of an upstream and the writing of
	// the request for which the request is logged at info level.
	longWriteDelay = 250 * time.Millisecond
	// streamTimesInterval is the time between two reports of the times between events.
	streamTimesInterval = 50 * time.Millisecond
	// streamClass and callClass are the metric series of streaming and other requests.
	streamClass messenger.ClassID = "stream"
	callClass   messenger.ClassID = "call"
)

// serveCaller serves one request of a caller.
func (h *Hosted) serveCaller(c *listener.Caller, req *http.Request) {
	h.inProgress.Add(1)
	defer h.inProgress.Add(-1)
	if c.ConnReused() {
		h.workload.reusedConnRequests.Add(1)
	}
	in := h.cfg.HeaderReader.Read(req.Header)
	out, refused := h.accept(&in, req, c.Body())
	if refused != nil {
		h.refuseAtEntry(c, refused, in.RequestID, req)
		return
	}
	h.serveRequest(c, out, &in)
}

// accountName returns the client account of a request from its header, or "" if the account is
// unknown. It returns false if there are no accounts configured.
func (h *Hosted) accountName(header http.Header) (string, bool) {
	s := h.snapshot.Load()
	if s == nil || !s.Table.RequiresKeys() {
		return "", false
	}
	account, ok := s.Table.Account(h.cfg.HeaderReader.Key(header))
	if !ok {
		return "", true
	}
	return string(account.Name), true
}

// refuseAtEntry answers a request that was refused before it was queued.
func (h *Hosted) refuseAtEntry(c *listener.Caller, p *refusal, id string, req *http.Request) {
	d := explainer.New(p.name, p.title, p.status, messenger.StateNotRun)
	if p.status == http.StatusServiceUnavailable {
		d.RetryAfter = notReadyRetryAfter
	}
	h.meter.Counter(p.metric()).Inc()
	h.log.WithFields(logrus.Fields{
		eventField: "refused", "request": id, "reason": p.name, "status": p.status, "version": h.version(),
		"host": req.Host, "path": req.URL.Path,
	}).Info("request refused before it was queued")
	if err := h.cfg.Dialect.WriteProblem(c, &dispatcher.Request{WireID: id}, d); err != nil {
		h.log.WithFields(logrus.Fields{eventField: "callerGone", "request": id}).WithError(err).Debug("refusal not delivered")
	}
}

// version returns the version of the active configuration, or zero if there is none.
func (h *Hosted) version() uint64 {
	if s := h.snapshot.Load(); s != nil {
		return s.Table.Version()
	}
	return 0
}

// accept looks up route, account and pool of a request in one snapshot. It returns a refusal
// if the request can't be served.
func (h *Hosted) accept(in *CallerHeaders, req *http.Request, body []byte) (*dispatcher.Request, *refusal) {
	s := h.snapshot.Load()
	if s == nil {
		return nil, refuseNotReady
	}
	route, ok := s.Table.Route(req.Host, pathOf(req.URL.RequestURI()))
	if !ok {
		return nil, refuseRoute
	}
	account, ok := s.Table.Account(in.Key)
	if !ok && !route.Public && s.Table.RequiresKeys() {
		return nil, refuseToken
	}
	out := &dispatcher.Request{
		ID: messenger.RequestID(h.lastRequestID.Add(1)), WireID: in.RequestID, Route: route.Name, ConfigVersion: s.Table.Version(),
		Host: req.Host, Method: req.Method, URI: req.URL.RequestURI(), Header: req.Header, Body: body,
		Streaming: route.Streaming, Resumable: route.Resumable,
		LastEvent: in.LastEvent, HasLastEvent: in.HasLastEvent, Resumes: in.Resumes, MaxSends: route.MaxSends,
		Class:              messenger.ClassPolicy{ProgressTimeout: silenceTimeout(route)},
		FirstOutputTimeout: firstOutputTimeout(route),
	}
	out.Arrive = h.newArrival(out.ID, in, route)
	if account != nil {
		out.Arrive.Account = account.Name
	}
	if account != nil && account.HasPrecedence {
		out.Arrive.Precedence = account.Precedence
	}
	return out, h.bindStream(out, in, route.Timeout)
}

// silenceTimeout returns how long an upstream may send nothing while it serves a request.
func silenceTimeout(route *matcher.Route) time.Duration {
	if route.Streaming || route.Objective <= 0 {
		return streamSilenceTimeout
	}
	return min(streamSilenceTimeout, silenceFactor*route.Objective)
}

// firstOutputTimeout returns how long an upstream may take to send the first output.
func firstOutputTimeout(route *matcher.Route) time.Duration {
	if !route.Streaming {
		return silenceTimeout(route)
	}
	return max(streamSilenceTimeout, time.Duration(firstOutputFactor*float64(route.Objective)))
}

// reportStreamTimes passes the times between the events of streams to the admitter. It runs on
// the control goroutine.
func (h *Hosted) reportStreamTimes() {
	now := h.clock.Now()
	if now.Sub(h.streamTimesAt) < streamTimesInterval {
		return
	}
	h.streamTimesAt = now
	for _, t := range h.dispatcher.TakeStreamTimes() {
		h.control.handle(t)
	}
	for _, c := range h.admitter.TakeSpeedChanges() {
		h.log.WithFields(logrus.Fields{
			eventField: "speed", upstreamField: c.Upstream, "timeFactor": roundTo2Digits(c.Factor), "usualGapMs": c.UsualGap.Milliseconds(),
			"events": c.Events, "lateEvents": c.LateEvents, "delaysStreams": c.DelaysStreams,
		}).Info("observed speed of an upstream changed")
	}
}

// newArrival returns the event that announces a request to the admitter.
func (h *Hosted) newArrival(id messenger.RequestID, in *CallerHeaders, route *matcher.Route) messenger.Arrive {
	a := messenger.Arrive{
		Request: id, Pool: poolOf(route, in), Class: callClass,
		Idempotent: route.Idempotent, Work: in.Work, Objective: route.Objective, PauseLimit: route.PauseLimit, Precedence: route.Precedence,
	}
	if route.Streaming {
		a.Class = streamClass
	}
	if route.Resumable && in.HasLastEvent {
		a.Resumed, a.ReceivedTokens = true, int(min(in.LastEvent, math.MaxInt32)) // an event has a token or more
	}
	if in.Deadline > 0 && in.Deadline < route.Timeout {
		a.SpentShare = 1 - float64(in.Deadline)/float64(route.Timeout)
	}
	timeout := in.Deadline
	if route.Timeout > 0 && (timeout <= 0 || route.Timeout < timeout) {
		timeout = route.Timeout
	}
	if timeout > 0 {
		a.Deadline = h.clock.Now().Add(timeout)
	}
	return a
}

// serveRequest serves an accepted request until it ends.
func (h *Hosted) serveRequest(c *listener.Caller, out *dispatcher.Request, in *CallerHeaders) {
	arrived := h.clock.Now()
	if h.atMinAdmission.Load() && h.callers.IsDominantCaller(string(out.Arrive.Account)) {
		c.CloseAfterResponse()
	}
	queue := h.control.openQueue(out.ID)
	result := h.dispatcher.Serve(h.requestsCtx, out, queue, c)
	h.control.closeQueue(out.ID)
	h.endStream(out, in, result)
	h.workload.record(result)
	h.recordResult(out, c, arrived, result)
	if result.Aborted {
		panic(http.ErrAbortHandler)
	}
}

// recordResult updates the metrics and writes the log line of an ended request.
func (h *Hosted) recordResult(out *dispatcher.Request, c *listener.Caller, arrived time.Time, result dispatcher.Result) {
	series := h.meter.Series(out.Arrive.Account, out.Arrive.Class)
	series.Accept()
	if result.DispatchedAt.IsZero() {
		series.Refuse(messenger.RefuseReason(result.Problem))
	} else {
		series.Wait(result.DispatchedAt.Sub(arrived))
	}
	if !result.FirstOutputAt.IsZero() {
		series.FirstToken(result.FirstOutputAt.Sub(arrived))
	}
	series.Total(result.FinishedAt.Sub(arrived))
	level := logrus.DebugLevel
	if result.Problem != "" || result.Attempts > 1 || result.CallerGone || result.MaxWriteDelay >= longWriteDelay {
		level = logrus.InfoLevel
	}
	if !h.log.IsLevelEnabled(level) {
		return
	}
	h.log.WithFields(logrus.Fields{
		eventField: "request", "request": out.WireID, "account": out.Arrive.Account, "pool": out.Arrive.Pool,
		upstreamField: result.Upstream, "status": result.Status, "run": result.Run, "problem": result.Problem,
		"attempts": result.Attempts, "callerGone": result.CallerGone, "version": out.ConfigVersion, "route": out.Route,
		"ms": result.FinishedAt.Sub(arrived).Milliseconds(), "heldMs": result.MaxWriteDelay.Milliseconds(),
		"parts": out.Arrive.SharedParts(), "softwareVersion": result.SoftwareVersion,
	}).WithFields(resumeFields(out)).WithFields(refusalFields(result.Grounds)).WithFields(endingFields(c, result)).Log(level, "request ended")
}

// resumeFields returns log fields for a request that resumes a stream.
func resumeFields(out *dispatcher.Request) logrus.Fields {
	if !out.HasLastEvent && out.Resumes == "" {
		return nil
	}
	return logrus.Fields{"resumes": out.Resumes, "lastEvent": out.LastEvent}
}

// endingFields returns log fields for a request whose caller did not receive a complete
// answer: how far the answer got and which side closed the connection.
func endingFields(c *listener.Caller, result dispatcher.Result) logrus.Fields {
	if !result.Aborted && !result.CallerGone {
		return nil
	}
	fields := logrus.Fields{"aborted": result.Aborted, "sends": result.Sends, "begun": result.Status != 0}
	if side, cause, ok := c.CloseReason(); ok {
		fields["endedBy"], fields["endCause"] = side, cause
	}
	return fields
}

// refusalFields returns log fields with the values that a refusal was based on.
func refusalFields(g *messenger.Grounds) logrus.Fields {
	if g == nil {
		return nil
	}
	return logrus.Fields{
		"best": g.Upstream, "aheadMs": g.QueueWait.Milliseconds(), "ownMs": g.OwnLatency.Milliseconds(),
		"waitedMs": g.ElapsedWait.Milliseconds(), "limitMs": g.MaxQueueWait.Milliseconds(),
		"reportAgeMs": g.ReportAge.Milliseconds(), "peerAgeMs": g.PeerAge.Milliseconds(),
		"asked": int(g.FleetDemand), "share": int(g.FleetShare), "servedHere": int(g.LocalServed), "shareHere": int(g.LocalShare),
		"correction": roundTo2Digits(g.Correction), "slotsReserved": roundTo2Digits(g.SlotsReserved), "slotsKept": g.OnlyReservedSlots,
		"delaysStreams": g.DelaysStreams,
	}
}

// roundTo2Digits rounds a value to two decimal places for the log.
func roundTo2Digits(v float64) float64 { return math.Round(v*100) / 100 }

// setMemoryLimit sets the soft memory limit of the Go runtime, in MiB; zero leaves it
// unchanged.
func setMemoryLimit(mb int) {
	if mb > 0 {
		debug.SetMemoryLimit(int64(mb) << 20)
	}
}
