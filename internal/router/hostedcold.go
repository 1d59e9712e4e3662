package router

import (
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"lentilwood.example/lentilwood/internal/admitter"
	"lentilwood.example/lentilwood/internal/dispatcher"
	"lentilwood.example/lentilwood/internal/messenger"
	"lentilwood.example/lentilwood/internal/meter"
)

// coldCounts holds the admitter's counts about cold upstreams for other goroutines. The zero value
// has none.
type coldCounts struct {
	latest atomic.Pointer[admitter.ColdStats]
}

// update stores the counts. It runs on the control goroutine.
func (c *coldCounts) update(s admitter.ColdStats) {
	if before := c.latest.Load(); before == nil || *before != s {
		c.latest.Store(&s)
	}
}

// load returns the counts.
func (c *coldCounts) load() admitter.ColdStats {
	if s := c.latest.Load(); s != nil {
		return *s
	}
	return admitter.ColdStats{}
}

// registerGauges adds the numbers of cold upstreams to the metrics.
func (c *coldCounts) registerGauges(m *meter.Meter) {
	m.Gauge("lentilwood_cold_upstreams", func() float64 { return float64(c.load().Upstreams) })
	m.Gauge("lentilwood_cold_upstreams_shared", func() float64 { return float64(c.load().Shared) })
}

// copyCounters copies the counts of requests to a meter.
func (c *coldCounts) copyCounters(m *meter.Meter) {
	s := c.load()
	m.Counter("lentilwood_cold_permits_used_total").Set(s.Permits)
	m.Counter("lentilwood_cold_permits_denied_total").Set(s.Refused)
	m.Counter("lentilwood_cold_refusals_total").Set(s.OnlyCold)
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
		eventField: "cold", upstreamField: id, "cause": cause, "saidMs": n.Cold.Milliseconds(), rowVersionField: h.registrationVersion(id),
	}).Info("time in which an upstream is cold has changed")
	h.publishSnapshot(sourceUpstream)
}

// applyEndedProcesses records the processes that another router knows to have ended, and which of
// their upstreams answer again: this router may have had no request there. It would take the next
// process for a warm one, or leave it unused while the store is unavailable.
func (h *Hosted) applyEndedProcesses(e hostedEnvelope) {
	changed := false
	for _, p := range e.Ended {
		if h.follower.RecordPeerEnd(h.clock.Now(), p) {
			h.log.WithFields(logrus.Fields{
				eventField: "cold", upstreamField: p.Upstream, "cause": "process ended", "peer": e.From.Name, "ageMs": p.AgeMs, "returned": p.HasReturned,
			}).Info("time in which an upstream is cold has changed")
			changed = true
		}
	}
	if changed {
		h.publishSnapshot(e.From.Name)
	}
}
