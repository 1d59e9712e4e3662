package placer

import (
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
)

const (
	// affinitySize is how many prefixes are remembered at least.
	affinitySize = 4096
	// affinitySlack is how far above the pool's mean load an upstream may be
	// and still be preferred for its prefix.
	affinitySlack = 0.25
)

// affinity remembers which upstream holds a prompt prefix. It is a hint: what
// was sent and what the upstreams report may both be out of date. Its zero
// value is ready to use.
type affinity struct {
	// recent takes the new entries; older is dropped when recent is full.
	recent, older map[uint64]messenger.UpstreamID
}

// put remembers that an upstream holds a prefix.
func (a *affinity) put(prefix uint64, id messenger.UpstreamID) {
	if len(a.recent) >= affinitySize {
		a.older, a.recent = a.recent, nil
	}
	if a.recent == nil {
		a.recent = make(map[uint64]messenger.UpstreamID)
	}
	a.recent[prefix] = id
}

// get returns the upstream that holds a prefix.
func (a *affinity) get(prefix uint64) (messenger.UpstreamID, bool) {
	if id, ok := a.recent[prefix]; ok {
		return id, true
	}
	id, ok := a.older[prefix]
	if ok {
		a.put(prefix, id)
	}
	return id, ok
}

// remove forgets a prefix if the upstream was thought to hold it.
func (a *affinity) remove(prefix uint64, id messenger.UpstreamID) {
	if a.recent[prefix] == id {
		delete(a.recent, prefix)
	}
	if a.older[prefix] == id {
		delete(a.older, prefix)
	}
}

// ReportCache takes in that an upstream gained or dropped a prefix.
func (p *Placer) ReportCache(id messenger.UpstreamID, prefix uint64, cached bool) {
	if prefix == 0 {
		return
	}
	if cached {
		p.cache.put(prefix, id)
		return
	}
	p.cache.remove(prefix, id)
}

// holder returns the upstream that holds the prefix, if it can take the request
// and is not loaded much more than the others; otherwise nil.
func (p *Placer) holder(now time.Time, q Query) *upstream {
	if q.Prefix == 0 {
		return nil
	}
	id, ok := p.cache.get(q.Prefix)
	if !ok {
		return nil
	}
	u, ok := p.upstreams[id]
	if !ok || u.freeAt < 0 || !p.fits(u, q) || u.pace.health < 1 {
		return nil
	}
	mean := float64(p.running) / float64(max(1, len(p.list)))
	if float64(u.running) > mean*(1+affinitySlack)+1 {
		return nil
	}
	return u
}
