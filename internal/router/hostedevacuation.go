package router

import (
	"cmp"
	"encoding/json"
	"slices"

	"github.com/sirupsen/logrus"

	"lentilwood.example/lentilwood/internal/follower"
	"lentilwood.example/lentilwood/internal/listener"
	"lentilwood.example/lentilwood/internal/operator"
)

// The functions in this file report which failure domains the operator has emptied.

// logEvacuations logs the failure domains that were emptied or reinstated between two snapshots;
// before may be nil.
func (h *Hosted) logEvacuations(before, after *follower.Snapshot, source string) {
	if before == nil {
		before = &follower.Snapshot{}
	}
	for domain := range after.Evacuated {
		if _, ok := before.Evacuated[domain]; !ok {
			h.logEvacuation(after, domain, true, source)
		}
	}
	for domain := range before.Evacuated {
		if _, ok := after.Evacuated[domain]; !ok {
			h.logEvacuation(after, domain, false, source)
		}
	}
}

func (h *Hosted) logEvacuation(s *follower.Snapshot, domain string, emptied bool, source string) {
	h.log.WithFields(logrus.Fields{
		eventField: "evacuation", "domain": domain, "emptied": emptied, "upstreams": upstreamsIn(s, domain),
		rowVersionField: h.follower.EvacuationVersion(domain), "from": source,
	}).Info("failure domain emptied or reinstated")
}

// upstreamsIn returns the number of upstreams in a failure domain.
func upstreamsIn(s *follower.Snapshot, domain string) int {
	n := 0
	for _, u := range s.Policy.Upstreams {
		if u.Domain == domain {
			n++
		}
	}
	return n
}

// evacuatedDomains returns the number of emptied failure domains.
func (h *Hosted) evacuatedDomains() int {
	if s := h.snapshot.Load(); s != nil {
		return len(s.Evacuated)
	}
	return 0
}

// writeStatus writes the state of this router, with the emptied failure domains and the requests
// that it still has there.
func (h *Hosted) writeStatus(c *listener.Caller) {
	ready, _ := h.Ready()
	status := operator.Status{
		Router: string(h.self), FailureDomain: h.settings.FailureDomain, Ready: ready, Started: h.startedAt,
		Version: h.version(), StoreReachable: h.unreachableTables.Load() == 0,
	}
	if s := h.snapshot.Load(); s != nil {
		status.Evacuated = h.evacuationStatus(s)
	}
	c.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(c).Encode(status) // the client has gone if this fails
}

func (h *Hosted) evacuationStatus(s *follower.Snapshot) []operator.EvacuatedDomain {
	var domains []operator.EvacuatedDomain
	for domain, version := range s.Evacuated {
		d := operator.EvacuatedDomain{FailureDomain: domain, RowVersion: version, Upstreams: upstreamsIn(s, domain)}
		h.control.call(func() { d.Running = h.admitter.RunningIn(domain) })
		domains = append(domains, d)
	}
	slices.SortFunc(domains, func(x, y operator.EvacuatedDomain) int { return cmp.Compare(x.FailureDomain, y.FailureDomain) })
	return domains
}
