package router

import (
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"lentilwood.example/lentilwood/internal/assigner"
	"lentilwood.example/lentilwood/internal/dispatcher"
	"lentilwood.example/lentilwood/internal/matcher"
	"lentilwood.example/lentilwood/internal/messenger"
)

// The functions in this file keep each stream at upstreams with one software version.

// refuseStreamVersion refuses to resume a stream of which it is not known at which version it began.
var refuseStreamVersion = &refusal{name: "version-unknown", title: "It is not known which software version began the stream", status: http.StatusServiceUnavailable}

// originOf returns the id of the attempt that began the stream which a request begins or resumes, or "" if
// a request that resumes a stream does not say.
func originOf(in *CallerHeaders) string {
	if in.Resumes == "" && !in.HasLastEvent {
		return in.RequestID
	}
	return in.Resumes
}

// resumes reports whether a request resumes a stream.
func (in *CallerHeaders) resumes() bool { return in.HasLastEvent || in.Resumes != "" }

// poolOf returns the pool of a request. A stream is resumed in the pool in which it began.
func poolOf(route *matcher.Route, in *CallerHeaders) messenger.PoolID {
	return route.Pool(xxhash.Sum64String(originOf(in)))
}

// bindStream binds a request whose stream may be resumed to a software version; timeout is that of its
// route. It returns a refusal if no version may serve it.
func (h *Hosted) bindStream(out *dispatcher.Request, in *CallerHeaders, timeout time.Duration) *refusal {
	origin := originOf(in)
	if !out.Resumable || origin == "" && !in.resumes() { // without an id, a stream can't be named to resume it
		return nil
	}
	h.streams.recordPatience(out.Arrive.Pool, max(in.Deadline, timeout))
	var known bool
	if !in.resumes() {
		if out.Arrive.SoftwareVersion, known = h.streams.begin(h.requestsCtx, out.Arrive.Pool, assigner.HashStream(origin)); !known {
			return refuseNotReady
		}
		return nil
	}
	if out.Arrive.SoftwareVersion, known = h.streams.find(h.requestsCtx, streamQuery{pool: out.Arrive.Pool, origin: origin, left: in.Deadline}); !known {
		return refuseStreamVersion
	}
	if origin == "" {
		return nil
	}
	h.streams.Resume(out.Arrive.Pool, assigner.HashStream(origin), out.Arrive.SoftwareVersion)
	return nil
}

// endStream records that a request that bindStream has bound has ended.
func (h *Hosted) endStream(out *dispatcher.Request, in *CallerHeaders, result dispatcher.Result) {
	if !out.Resumable || originOf(in) == "" {
		return
	}
	until := h.clock.Now().Add(h.streams.longestWait(out.Arrive.Pool))
	h.streams.End(out.Arrive.Pool, assigner.HashStream(originOf(in)), !result.FirstOutputAt.IsZero(), until)
}

// updateFleetView tells the keeper of streams what is known of the other routers. It runs on the control
// goroutine.
func (h *Hosted) updateFleetView() {
	v := fleetView{names: []string{string(h.self)}, joined: h.joined}
	now, own := h.clock.Now(), xxhash.Sum64String(string(h.self))
	for name, p := range h.peers {
		v.names = append(v.names, name)
		if !p.member.AssignsVersions && now.Sub(p.lastKnown()) < assigner.Lifetime {
			v.unassigned = true
		}
		if (p.live || p.lastReceived.IsZero()) && xxhash.Sum64String(name) < own {
			v.turn++
		}
		v.epochs = max(v.epochs, p.planEpochs)
	}
	h.streams.setFleet(v)
}

// lastKnown returns when the router may last have begun streams: it need not have been heard of yet.
func (p *hostedPeer) lastKnown() time.Time {
	if p.lastReceived.IsZero() {
		return p.addedAt
	}
	return p.lastReceived
}

// attachPlans adds this router's plans to a message if one of the receivers lacks some.
func (h *Hosted) attachPlans(e *hostedEnvelope, receivers ...*hostedPeer) {
	e.PlansAsOfMs = h.streams.asOf() // first: the plans may only become more
	e.PlanEpochs, e.PlansChecksum, e.Plans = h.streams.Epochs(), h.streams.Checksum(), nil
	for _, p := range receivers {
		if p.planEpochs < e.PlanEpochs {
			e.Plans = h.streams.Histories()
			return
		}
	}
}

// receivePlans takes over the plans in a message of another router.
func (h *Hosted) receivePlans(p *hostedPeer, e hostedEnvelope) {
	p.planEpochs = e.PlanEpochs
	h.streams.mergeAll(e.Plans, e.From.Name)
	if len(e.Plans) > 0 || e.PlansChecksum == h.streams.Checksum() {
		h.streams.confirm(e.PlansAsOfMs)
	}
	h.updateFleetView()
}
