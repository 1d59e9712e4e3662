package placer

import (
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
)

const (
	// affinityEntries is the maximum size of each of the two maps of a prefixCache. Once full,
	// the cache holds at least this many prefixes.
	affinityEntries = 4096
	// affinitySlack is the fraction of the pool's mean number of running requests by which an
	// upstream may exceed the mean, besides one further request, and still be preferred for its
	// prefixes.
	affinitySlack = 0.25
)

// prefixCache records which upstream holds a prompt prefix. The records are hints, since an
// upstream may have evicted the prefix and its cache reports arrive late. The zero value is
// ready to use.
type prefixCache struct {
	// current receives new entries. When it is full, it becomes previous and a new map is
	// started.
	current, previous map[uint64]messenger.UpstreamID
}

// put records that an upstream holds a prefix.
func (c *prefixCache) put(prefix uint64, id messenger.UpstreamID) {
	if len(c.current) >= affinityEntries {
		c.previous, c.current = c.current, nil
	}
	if c.current == nil {
		c.current = make(map[uint64]messenger.UpstreamID)
	}
	c.current[prefix] = id
}

// get returns the upstream that holds a prefix.
func (c *prefixCache) get(prefix uint64) (messenger.UpstreamID, bool) {
	if id, ok := c.current[prefix]; ok {
		return id, true
	}
	id, ok := c.previous[prefix]
	if ok {
		c.put(prefix, id)
	}
	return id, ok
}

// remove removes a prefix if it is recorded for the upstream.
func (c *prefixCache) remove(prefix uint64, id messenger.UpstreamID) {
	if c.current[prefix] == id {
		delete(c.current, prefix)
	}
	if c.previous[prefix] == id {
		delete(c.previous, prefix)
	}
}

// ReportCache records that an upstream has added a prefix to its cache or evicted it.
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

// prefixHolder returns the upstream that holds the prefix. It returns nil if no such upstream
// is known, or if the upstream has no slot for the request, is slow (health below 1) or has a
// much higher load than the others.
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
	meanRunning := float64(p.running) / float64(max(1, len(p.upstreamList)))
	if float64(u.running) > meanRunning*(1+affinitySlack)+1 {
		return nil
	}
	return u
}
