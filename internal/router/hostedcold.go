package router

import (
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"lentilwood.example/lentilwood/internal/admitter"
	"lentilwood.example/lentilwood/internal/dispatcher"
	"lentilwood.example/lentilwood/internal/messenger"
	"lentilwood.example/lentilwood/internal/meter"
)

// coldGauges holds the admitter's counts of cold upstreams for other goroutines.
type coldGauges struct {
	upstreams, shared, permits, refused, onlyCold atomic.Int64
}

// register adds the counts to the metrics.
func (g *coldGauges) register(m *meter.Meter) {
	for name, value := range map[string]*atomic.Int64{
		"lentilwood_cold_upstreams":        &g.upstreams,
		"lentilwood_cold_upstreams_shared": &g.shared,
		"lentilwood_cold_permits_used":     &g.permits,
		"lentilwood_cold_permits_denied":   &g.refused,
		"lentilwood_cold_refusals":         &g.onlyCold,
	} {
		m.Gauge(name, func() float64 { return float64(value.Load()) })
	}
}

// update stores the counts.
func (g *coldGauges) update(s admitter.ColdStats) {
	g.upstreams.Store(int64(s.Upstreams))
	g.shared.Store(int64(s.Shared))
	g.permits.Store(int64(s.Permits))   //nolint:gosec // a count of requests
	g.refused.Store(int64(s.Refused))   //nolint:gosec // a count of requests
	g.onlyCold.Store(int64(s.OnlyCold)) //nolint:gosec // a count of requests
}

// dropOldColdNews removes from a notice what changes nothing about an upstream's cold time, so
// that answers of warm upstreams cost the control goroutine nothing.
func (h *Hosted) dropOldColdNews(id messenger.UpstreamID, n *dispatcher.Notice) {
	s := h.snapshot.Load()
	if s == nil {
		n.HasCold, n.Cold, n.Ended, n.Answered = false, 0, false, false
		return
	}
	u := s.Policy.Upstreams[id]
	if s.Policy.Pools[u.Pool].Cold.PerSecond <= 0 {
		n.HasCold, n.Cold, n.Ended, n.Answered = false, 0, false, false
		return
	}
	if n.HasCold && n.Cold <= 0 && !u.IsCold(h.clock.Now()) {
		n.HasCold = false
	}
	n.Ended = n.Ended && !u.ColdAssumed
	n.Answered = n.Answered && u.ColdAssumed
}

// applyColdNews applies what a notice says about an upstream's cold time. It runs on the control
// goroutine.
func (h *Hosted) applyColdNews(id messenger.UpstreamID, address string, n dispatcher.Notice) {
	now := h.clock.Now()
	cause := ""
	if n.Ended && h.follower.RecordEnd(now, id, address) {
		cause = "process ended"
	}
	if n.Answered && h.follower.RecordReturn(now, id, address) {
		cause = "answers again"
	}
	if n.HasCold && h.follower.RecordCold(now, id, address, n.Cold) {
		cause = "answer"
	}
	if cause == "" {
		return
	}
	h.log.WithFields(logrus.Fields{
		eventField: "cold", upstreamField: id, "cause": cause, "saidMs": n.Cold.Milliseconds(), "rowVersion": h.registrationVersion(id),
	}).Info("time in which an upstream is cold has changed")
	h.publishSnapshot(sourceUpstream)
}
