package router

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"lentilwood.example/lentilwood/internal/configurer"
	"lentilwood.example/lentilwood/internal/dispatcher"
	"lentilwood.example/lentilwood/internal/listener"
	"lentilwood.example/lentilwood/internal/messenger"
	"lentilwood.example/lentilwood/internal/meter"
	"lentilwood.example/lentilwood/internal/timekeeper"
)

// Limits of the values that a caller may send in headers.
const (
	maxKeyBytes = 255
	// maxDeadline is the longest deadline a caller may set.
	maxDeadline = 24 * time.Hour
	// maxCostHint is the highest cost hint a caller may send, in tokens.
	maxCostHint = 1e7
)

// activeConfig is the configuration by which requests are served.
type activeConfig struct {
	document *configurer.Document
	policy   *messenger.Policy
}

// Upstream returns the settings of an upstream.
func (r *Router) Upstream(id messenger.UpstreamID) (messenger.UpstreamPolicy, bool) {
	cfg := r.active.Load()
	if cfg == nil {
		return messenger.UpstreamPolicy{}, false
	}
	u, ok := cfg.policy.Upstreams[id]
	return u, ok
}

// serveCaller serves one request of a caller.
func (r *Router) serveCaller(c *listener.Caller, req *http.Request) {
	r.inProgress.Add(1)
	defer r.inProgress.Add(-1)
	id := messenger.RequestID(r.lastRequestID.Add(1))
	wireID := r.wireID(id)
	out, refusal := r.accept(id, wireID, req, c.Body())
	if refusal != nil {
		refusal.write(c, wireID, req.Header.Get(messenger.RequestIDHeader))
		r.meter.Counter(refusal.metric()).Inc()
		return
	}
	r.serveRequest(c, out, req.Header.Get(messenger.RequestIDHeader))
}

// serveRequest serves an accepted request until it ends.
func (r *Router) serveRequest(c *listener.Caller, out *dispatcher.Request, callerID string) {
	series := r.meter.Series(out.Arrive.Account, out.Arrive.Class)
	series.Accept()
	arrived := r.clock.Now()
	q := &meteredQueue{requestQueue: r.control.openQueue(out.ID), series: series, clock: r.clock}
	result := r.dispatcher.Serve(r.requestsCtx, out, q, &callerWithIDs{Caller: c, wireID: out.WireID, callerID: callerID})
	r.control.closeQueue(out.ID)
	r.recordResult(series, arrived, result)
	r.logResult(out, callerID, arrived, result)
	if result.Aborted {
		panic(http.ErrAbortHandler)
	}
}

// logResult writes the log line of an ended request.
func (r *Router) logResult(out *dispatcher.Request, callerID string, arrived time.Time, result dispatcher.Result) {
	if !r.log.IsLevelEnabled(logrus.InfoLevel) {
		return
	}
	r.log.WithFields(logrus.Fields{
		eventField: "request", "request": out.WireID, "callerRequest": callerID,
		"account": out.Arrive.Account, "class": out.Arrive.Class, "pool": out.Arrive.Pool,
		"upstream": result.Upstream, "status": result.Status, "run": result.Run,
		"problem": result.Problem, "tokens": result.Tokens, "attempts": result.Attempts,
		"resumes": result.Resumes, "callerGone": result.CallerGone,
		"ms": result.FinishedAt.Sub(arrived).Milliseconds(),
	}).Info("request ended")
}

// accept identifies the client account and classifies the request. It returns a refusal if the
// request can't be served.
func (r *Router) accept(id messenger.RequestID, wireID string, req *http.Request, body []byte) (*dispatcher.Request, *refusal) {
	cfg := r.active.Load()
	if cfg == nil {
		return nil, refuseNotReady
	}
	account, ok := r.accounts.Identify(req.Header)
	if !ok {
		return nil, refuseToken
	}
	route, ok := cfg.document.RouteOf(req.Method, req.URL.Path)
	if !ok {
		return nil, refuseRoute
	}
	class, problem := classify(route, req.Header)
	if problem != nil {
		return nil, problem
	}
	arrive, problem := r.newArrival(id, req.Header)
	if problem != nil {
		return nil, problem
	}
	arrive.Account, arrive.Class, arrive.Pool, arrive.Idempotent = messenger.AccountID(account), class, route.Pool, route.Idempotent
	key := req.Header.Get(messenger.IdempotencyKeyHeader)
	if len(key) > maxKeyBytes {
		return nil, refuseKey
	}
	if route.Idempotent {
		key = ""
	}
	return &dispatcher.Request{
		ID: id, WireID: wireID, Arrive: arrive, Method: req.Method, URI: req.URL.RequestURI(),
		Header: req.Header, Body: body, Class: cfg.policy.Classes[class],
		Streaming: route.Engine, Key: key,
	}, nil
}

// classify returns the class chosen by the caller, or else the route's default.
func classify(route configurer.Route, h http.Header) (messenger.ClassID, *refusal) {
	class := messenger.ClassID(h.Get(messenger.ClassHeader))
	if class == "" {
		return route.Class, nil
	}
	if !route.Allows(class) {
		return "", refuseClass
	}
	return class, nil
}

// newArrival reads cost hint, deadline and prefix from the caller's headers.
func (r *Router) newArrival(id messenger.RequestID, h http.Header) (messenger.Arrive, *refusal) {
	a := messenger.Arrive{Request: id}
	if text := h.Get(messenger.CostHintHeader); text != "" {
		hint, err := strconv.ParseFloat(text, 64)
		if err != nil || !(hint >= 0 && hint <= maxCostHint) {
			return a, refuseHint
		}
		a.CostHint = hint
	}
	if text := h.Get(messenger.DeadlineHeader); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms <= 0 || ms > maxDeadline.Milliseconds() {
			return a, refuseDeadline
		}
		a.Deadline = r.clock.Now().Add(time.Duration(ms) * time.Millisecond)
	}
	if prefix := h.Get(messenger.PrefixHeader); prefix != "" {
		a.Prefix = xxhash.Sum64String(prefix)
	}
	return a, nil
}

// wireID returns the id of a request sent to upstreams, unique within the fleet.
func (r *Router) wireID(id messenger.RequestID) string {
	return strings.Join([]string{string(r.self), strconv.FormatUint(r.incarnation, 36), strconv.FormatUint(uint64(id), 36)}, "-")
}

// recordResult updates the metrics for an ended request.
func (r *Router) recordResult(s meter.Series, arrived time.Time, result dispatcher.Result) {
	if result.DispatchedAt.IsZero() {
		s.Refuse(messenger.RefuseReason(result.Problem))
		return
	}
	s.Wait(result.DispatchedAt.Sub(arrived))
	if !result.FirstOutputAt.IsZero() {
		s.FirstToken(result.FirstOutputAt.Sub(arrived))
	}
	s.Total(result.FinishedAt.Sub(arrived))
	s.Tokens(int(result.Tokens))
}

// meteredQueue is a requestQueue that measures the time between the outputs of an answer.
type meteredQueue struct {
	*requestQueue
	series       meter.Series
	clock        timekeeper.Clock
	lastProgress time.Time
}

// Notify passes an event about the request to the scheduler.
func (q *meteredQueue) Notify(e messenger.Event) {
	if p, ok := e.(messenger.Progress); ok {
		now := q.clock.Now()
		if !p.First && !q.lastProgress.IsZero() && p.Tokens > 0 {
			q.series.BetweenTokens(now.Sub(q.lastProgress) / time.Duration(max(1, p.Tokens)))
		}
		q.lastProgress = now
	}
	q.requestQueue.Notify(e)
}

// callerWithIDs adds the caller's own request id and the fleet's id to the answer.
type callerWithIDs struct {
	*listener.Caller
	wireID, callerID string
}

// WriteHeader sets the status and the request ids of the answer.
func (c *callerWithIDs) WriteHeader(status int) {
	setRequestIDs(c.Header(), c.wireID, c.callerID)
	c.Caller.WriteHeader(status)
}

func setRequestIDs(h http.Header, wireID, callerID string) {
	h.Set(messenger.FleetRequestIDHeader, wireID)
	h.Set(messenger.RequestIDHeader, wireID)
	if callerID != "" {
		h.Set(messenger.RequestIDHeader, callerID)
	}
}
