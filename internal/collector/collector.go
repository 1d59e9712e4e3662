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
	receivedAt time.Time
	load       messenger.PeerLoad
	// reports is true if the router reports here; otherwise it collects itself.
	isReporter bool
	// parts are the shared parts of prompts that it told of since the last round.
	newParts map[messenger.Key][]messenger.PartID
}

// Receive takes in what another router said: a report of its own load, or the sum of a
// router that collects.
func (c *Collector) Receive(now time.Time, from messenger.RouterID, load messenger.PeerLoad, isReporter bool) {
	if c.sources == nil {
		c.sources = make(map[messenger.RouterID]*source)
	}
	s, ok := c.sources[from]
	if !ok {
		s = &source{newParts: make(map[messenger.Key][]messenger.PartID)}
		c.sources[from] = s
	}
	for _, u := range load.Upstreams {
		if len(u.Parts) > 0 {
			s.newParts[u.Upstream] = append(s.newParts[u.Upstream], u.Parts...)
		}
	}
	s.receivedAt, s.load, s.isReporter = now, load, isReporter
}

// Drop forgets a router.
func (c *Collector) Drop(from messenger.RouterID) { delete(c.sources, from) }

// Expire forgets the routers that were last heard before a moment.
func (c *Collector) Expire(cutoff time.Time) {
	for id, s := range c.sources {
		if s.receivedAt.Before(cutoff) {
			delete(c.sources, id)
		}
	}
}

// Reporters returns the routers that report here, in order.
func (c *Collector) Reporters() []messenger.RouterID {
	var ids []messenger.RouterID
	for id, s := range c.sources {
		if s.isReporter {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Aggregate is what is known at one moment.
type Aggregate struct {
	// reports are the loads of the routers that report here.
	reporterLoads map[messenger.RouterID]messenger.PeerLoad
	routerCount   int
	partial       messenger.PeerLoad
	// total is the load of all, in which upstreamAt and accountAt say what stands where.
	total                       messenger.PeerLoad
	upstreamIndex, accountIndex map[messenger.Key]int
}

// Aggregate sums up what is known, with the load of the collecting router itself. Shared
// parts of prompts are in one round only.
func (c *Collector) Aggregate(own messenger.PeerLoad) *Aggregate {
	r := &Aggregate{reporterLoads: make(map[messenger.RouterID]messenger.PeerLoad), routerCount: 1, partial: own}
	for id, s := range c.sources {
		r.routerCount += max(1, len(s.load.Routers))
		if s.isReporter {
			r.reporterLoads[id] = s.load
		}
	}
	if len(r.reporterLoads) > 0 {
		c.computeSums(r, own)
	}
	for _, s := range c.sources {
		s.newParts = make(map[messenger.Key][]messenger.PartID)
	}
	return r
}

// sumUp adds up what is known for the routers that report here.
func (c *Collector) computeSums(r *Aggregate, own messenger.PeerLoad) {
	partial, total := newSum(), newSum()
	partial.add(own, nil)
	total.add(own, nil)
	for _, s := range c.sources {
		if s.isReporter {
			partial.add(s.load, s.newParts)
		}
		total.add(s.load, s.newParts)
	}
	r.partial, r.total = partial.toPeerLoad(own.From), total.toPeerLoad(own.From)
	r.upstreamIndex, r.accountIndex = total.upstreamIndex, total.accountIndex
}

// RouterCount returns how many routers are known, the collecting one included.
func (r *Aggregate) RouterCount() int { return r.routerCount }

// Partial returns the load of the collecting router and of those that report to it. It
// is the router's own load if nobody does.
func (r *Aggregate) Partial() messenger.PeerLoad { return r.partial }

// Without returns the load of all routers but one that reports here.
func (r *Aggregate) Without(id messenger.RouterID) messenger.PeerLoad {
	out := r.total
	out.Upstreams, out.Accounts = slices.Clone(out.Upstreams), slices.Clone(out.Accounts)
	load := r.reporterLoads[id]
	for _, u := range load.Upstreams {
		remaining := &out.Upstreams[r.upstreamIndex[u.Upstream]]
		remaining.Running -= u.Running
		remaining.Reading -= u.Reading
	}
	for _, a := range load.Accounts {
		remaining := &out.Accounts[r.accountIndex[a.Account]]
		remaining.Rate -= a.Rate
		remaining.Served -= a.Served
	}
	ownKey := messenger.KeyOf(id)
	out.Routers = slices.DeleteFunc(slices.Clone(out.Routers), func(k messenger.Key) bool { return k == ownKey })
	return out
}
