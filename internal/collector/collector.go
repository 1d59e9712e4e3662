// Package collector sums up what the routers of a large fleet run and are asked for,
// so that each of them learns of all others with one message.
//
// It answers the load of a fleet of hundreds of routers that talk to themselves. If
// every router tells every other what it does, messages grow with the square of the
// fleet, so routers speak seldom and decide by what is seconds old. Instead a few
// routers collect: each of the others reports to one of them, the collecting routers
// tell one another the sum of what was reported to them, and each reporter gets the
// sum over all others back. A router then sends and receives one message a round,
// however large the fleet is.
//
// A Collector does no I/O and reads no clock.
//
// # Usage
//
//	var c collector.Collector
//	c.Receive(now, "r7", load, true)          // a report
//	c.Receive(now, "r2", partial, false)      // the sum of another collecting router
//	c.Expire(now.Add(-time.Second))
//	aggregate := c.Aggregate(own)
//	partial := aggregate.Partial()             // for the other collecting routers
//	digest := aggregate.Without("r7")          // for the router that reported
package collector

import (
	"slices"
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
)

// Collector keeps what other routers last said. The zero value knows nobody. It is not
// safe for concurrent use.
type Collector struct {
	sources map[messenger.RouterID]*source
}

// source is another router.
type source struct {
	heard time.Time
	load  messenger.PeerLoad
	// reports is true if the router reports here; otherwise it collects itself.
	reports bool
	// parts are the shared parts of prompts that it told of since the last round.
	parts map[messenger.Key][]messenger.PartID
}

// Receive takes in what another router said: a report of its own load, or the sum of a
// router that collects.
func (c *Collector) Receive(now time.Time, from messenger.RouterID, load messenger.PeerLoad, reports bool) {
	if c.sources == nil {
		c.sources = make(map[messenger.RouterID]*source)
	}
	s, ok := c.sources[from]
	if !ok {
		s = &source{parts: make(map[messenger.Key][]messenger.PartID)}
		c.sources[from] = s
	}
	for _, u := range load.Upstreams {
		if len(u.Parts) > 0 {
			s.parts[u.Upstream] = append(s.parts[u.Upstream], u.Parts...)
		}
	}
	s.heard, s.load, s.reports = now, load, reports
}

// Drop forgets a router.
func (c *Collector) Drop(from messenger.RouterID) { delete(c.sources, from) }

// Expire forgets the routers that were last heard before a moment.
func (c *Collector) Expire(before time.Time) {
	for id, s := range c.sources {
		if s.heard.Before(before) {
			delete(c.sources, id)
		}
	}
}

// Reporters returns the routers that report here, in order.
func (c *Collector) Reporters() []messenger.RouterID {
	var ids []messenger.RouterID
	for id, s := range c.sources {
		if s.reports {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Aggregate is what is known at one moment.
type Aggregate struct {
	// reports are the loads of the routers that report here.
	reports map[messenger.RouterID]messenger.PeerLoad
	size    int
	partial messenger.PeerLoad
	// total is the load of all, in which upstreamAt and accountAt say what stands where.
	total                 messenger.PeerLoad
	upstreamAt, accountAt map[messenger.Key]int
}

// Aggregate sums up what is known, with the load of the collecting router itself. Shared
// parts of prompts are in one round only.
func (c *Collector) Aggregate(own messenger.PeerLoad) *Aggregate {
	r := &Aggregate{reports: make(map[messenger.RouterID]messenger.PeerLoad), size: 1, partial: own}
	for id, s := range c.sources {
		r.size += max(1, len(s.load.Routers))
		if s.reports {
			r.reports[id] = s.load
		}
	}
	if len(r.reports) > 0 {
		c.sumUp(r, own)
	}
	for _, s := range c.sources {
		s.parts = make(map[messenger.Key][]messenger.PartID)
	}
	return r
}

// sumUp adds up what is known for the routers that report here.
func (c *Collector) sumUp(r *Aggregate, own messenger.PeerLoad) {
	partial, total := newSum(), newSum()
	partial.add(own, nil)
	total.add(own, nil)
	for _, s := range c.sources {
		if s.reports {
			partial.add(s.load, s.parts)
		}
		total.add(s.load, s.parts)
	}
	r.partial, r.total = partial.load(own.From), total.load(own.From)
	r.upstreamAt, r.accountAt = total.upstreamAt, total.accountAt
}

// RouterCount returns how many routers are known, the collecting one included.
func (r *Aggregate) RouterCount() int { return r.size }

// Partial returns the load of the collecting router and of those that report to it. It
// is the router's own load if nobody does.
func (r *Aggregate) Partial() messenger.PeerLoad { return r.partial }

// Without returns the load of all routers but one that reports here.
func (r *Aggregate) Without(id messenger.RouterID) messenger.PeerLoad {
	out := r.total
	out.Upstreams, out.Accounts = slices.Clone(out.Upstreams), slices.Clone(out.Accounts)
	load := r.reports[id]
	for _, u := range load.Upstreams {
		to := &out.Upstreams[r.upstreamAt[u.Upstream]]
		to.Running -= u.Running
		to.Reading -= u.Reading
	}
	for _, a := range load.Accounts {
		to := &out.Accounts[r.accountAt[a.Account]]
		to.Rate -= a.Rate
		to.Served -= a.Served
	}
	self := messenger.KeyOf(id)
	out.Routers = slices.DeleteFunc(slices.Clone(out.Routers), func(k messenger.Key) bool { return k == self })
	return out
}
