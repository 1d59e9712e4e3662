package placer

import (
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
)

const (
	// affinitySize is how many prefixes are remembered at least.
	affinityEntries = 4096
	// affinitySlack is how far above the pool's mean load an upstream may be
	// and still be preferred for its prefix.
	affinitySlack = 0.25
)

// affinity remembers which upstream holds a prompt prefix. It is a hint: what
// was sent and what the upstreams report may both be out of date. Its zero
// value is ready to use.
type prefixCache struct {
	// recent takes the new entries; older is dropped when recent is full.
	current, previous map[uint64]messenger.UpstreamID
}

// put remembers that an upstream holds a prefix.
func (a *prefixCache) put(prefix uint64, id messenger.UpstreamID) {
	if len(a.current) >= affinityEntries {
		a.previous, a.current = a.current, nil
	}
	if a.current == nil {
		a.current = make(map[uint64]messenger.UpstreamID)
	}
	a.current[prefix] = id
}

// get returns the upstream that holds a prefix.
func (a *prefixCache) get(prefix uint64) (messenger.UpstreamID, bool) {
	if id, ok := a.current[prefix]; ok {
		return id, true
	}
	id, ok := a.previous[prefix]
	if ok {
		a.put(prefix, id)
	}
	return id, ok
}

// remove forgets a prefix if the upstream was thought to hold it.
func (a *prefixCache) remove(prefix uint64, id messenger.UpstreamID) {
	if a.current[prefix] == id {
		delete(a.current, prefix)
	}
	if a.previous[prefix] == id {
		delete(a.previous, prefix)
	}
}

// ReportCache takes in that an upstream gained or dropped a prefix.
func (p *Placer) ReportCache(id messenger.UpstreamID, prefix uint64, cached bool) {
	if prefix == 0 {
		return
	}
	if cached {
		p.prefixes.put(prefix, id)
		return
	}
	p.prefixes.remove(prefix, id)
}

// holder returns the upstream that holds the prefix, if it can take the request
// and is not loaded much more than the others; otherwise nil.
func (p *Placer) prefixHolder(now time.Time, q Query) *upstream {
	if q.Prefix == 0 {
		return nil
	}
	id, ok := p.prefixes.get(q.Prefix)
	if !ok {
		return nil
	}
	u, ok := p.upstreams[id]
	if !ok || u.freeIndex < 0 || !p.hasSlotFor(u, q) || u.stats.health < 1 {
		return nil
	}
	meanRunning := float64(p.running) / float64(max(1, len(p.all)))
	if float64(u.running) > meanRunning*(1+affinitySlack)+1 {
		return nil
	}
	return u
}
