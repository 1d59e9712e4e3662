package router

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"lentilwood.example/lentilwood/internal/dispatcher"
	"lentilwood.example/lentilwood/internal/exchanger"
	"lentilwood.example/lentilwood/internal/meter"
)

// writeMetrics writes all metrics of the router, after copying the counters kept by other
// packages.
func (r *Router) writeMetrics(w io.Writer) {
	copyPeerCounters(r.meter, r.exchanger.Stats())
	r.copyStoreCounters()
	r.copyRequestCounters()
	copyMemoryCounters(r.meter, r.memory)
	r.meter.WritePrometheus(w)
}

// writeMetrics writes all metrics of the router.
func (h *Hosted) writeMetrics(w io.Writer) {
	copyPeerCounters(h.meter, h.exchanger.Stats())
	copyDispatcherCounters(h.meter, h.dispatcher.Counters())
	h.cold.copyCounters(h.meter)
	copyMemoryCounters(h.meter, h.memory)
	h.meter.Counter("lentilwood_prompts_kept_off_total").Set(h.admitter.KeptOffCount())
	h.meter.WritePrometheus(w)
}

// registerGauges registers the metrics that are computed when they are read.
func (h *Hosted) registerGauges() {
	registerMemoryGauges(h.meter, h.memory)
	h.meter.Gauge("lentilwood_ready", func() float64 {
		ready, _ := h.Ready()
		return toFloat(ready)
	})
	h.meter.Gauge("lentilwood_requests_in_progress", func() float64 { return float64(h.inProgress.Load()) })
	h.meter.Gauge("lentilwood_configuration_version", func() float64 { return float64(h.version()) })
	h.meter.Gauge("lentilwood_routers_known", func() float64 { return float64(h.peerCount.Load() + 1) })
	h.meter.Gauge("lentilwood_upstreams_with_late_streams", func() float64 { return float64(h.admitter.LateUpstreamCount()) })
	h.meter.Gauge("lentilwood_collecting", func() float64 { return toFloat(h.collecting.Load()) })
	h.meter.Gauge("lentilwood_store_left_to_others", func() float64 { return toFloat(h.storeDelegated.Load()) })
	h.cold.registerGauges(h.meter)
	h.meter.Gauge("lentilwood_evacuated_domains", func() float64 { return float64(h.evacuatedDomains()) })
	h.meter.Gauge("lentilwood_news_age_seconds", func() float64 {
		return h.clock.Now().Sub(time.UnixMicro(h.lastPeerMessageMicros.Load())).Seconds()
	})
}

// copyPeerCounters copies the exchanger's counters.
func copyPeerCounters(m *meter.Meter, s exchanger.Stats) {
	for kind, traffic := range s.Traffic {
		m.ControlSent(meter.PeerKind(kind)).Set(traffic.SentBytes)
		m.ControlReceived(meter.PeerKind(kind)).Set(traffic.ReceivedBytes)
	}
	m.Counter("lentilwood_peer_messages_total{event=\"sent\"}").Set(s.Sent)
	m.Counter("lentilwood_peer_messages_total{event=\"received\"}").Set(s.Received)
	m.Counter("lentilwood_peer_messages_total{event=\"dropped\"}").Set(s.Dropped)
	m.Counter("lentilwood_peer_messages_total{event=\"lost\"}").Set(s.Lost)
	m.Counter("lentilwood_peer_connections_total{event=\"rejected\"}").Set(s.RejectedConnections)
}

// copyStoreCounters copies the counters of the store guard.
func (r *Router) copyStoreCounters() {
	for purpose, n := range r.store.Counts() {
		set := func(event string, value uint64) {
			name := fmt.Sprintf("lentilwood_store_calls_total{purpose=%q,event=%q}", purpose, event)
			r.meter.Counter(name).Set(value)
		}
		set("read", n.Reads)
		set("write", n.Writes)
		set("failure", n.Failures)
		set("retry", n.Retries)
		set("rejected", n.Rejected)
	}
}

// copyRequestCounters copies the dispatcher's counters.
func (r *Router) copyRequestCounters() {
	copyDispatcherCounters(r.meter, r.dispatcher.Counters())
}

// copyDispatcherCounters copies the counters of a dispatcher to a meter.
func copyDispatcherCounters(m *meter.Meter, c *dispatcher.Counters) {
	counters := map[string]*atomic.Uint64{
		"lentilwood_wrong_answers_total":               &c.WrongAnswers,
		"lentilwood_unproven_ends_total":               &c.UnprovenEnds,
		"lentilwood_retries_total":                     &c.Retries,
		"lentilwood_retries_denied_total":              &c.RetriesDenied,
		"lentilwood_hedges_total":                      &c.Hedges,
		"lentilwood_resumes_total":                     &c.Resumes,
		"lentilwood_moves_total":                       &c.Moves,
		"lentilwood_cancels_total":                     &c.Cancels,
		"lentilwood_silent_upstream_connections_total": &c.SilentConnections,
		"lentilwood_quarantined_requests_total":        &c.Quarantined,
		"lentilwood_cold_permits_expired_total":        &c.PermitsExpired,
		"lentilwood_callers_gone_total":                &c.CallersGone,
		"lentilwood_unknown_outcomes_total":            &c.UnknownOutcomes,
	}
	for name, value := range counters {
		m.Counter(name).Set(value.Load())
	}
}

// registerGauges registers the metrics that are computed when they are read.
func (r *Router) registerGauges() {
	registerMemoryGauges(r.meter, r.memory)
	r.meter.Gauge("lentilwood_ready", func() float64 {
		ready, _ := r.Ready()
		return toFloat(ready)
	})
	r.meter.Gauge("lentilwood_store_circuit_open", func() float64 { return toFloat(r.store.Open()) })
	r.meter.Gauge("lentilwood_requests_in_progress", func() float64 { return float64(r.inProgress.Load()) })
	r.meter.Gauge("lentilwood_configuration_version", func() float64 {
		cfg := r.active.Load()
		if cfg == nil {
			return 0
		}
		return float64(cfg.policy.Version)
	})
}

func toFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
