// Package collector aggregates the loads of the routers of a large fleet, so that each
// router receives the loads of all others in one message.
//
// If every router of a fleet of hundreds sent its load to every other, the traffic would
// grow with the square of the fleet; routers would have to send seldom and decide by loads
// that are seconds old. Instead, a few routers are collectors: every other router reports
// to one of them, the collectors exchange the aggregates of the reports that they received, and
// each reporter receives the aggregate of all other routers. A router thus sends and
// receives one message per round, however large the fleet is.
//
// A Collector does no I/O and reads no clock.
//
// # Usage
//
//	var c collector.Collector
//	c.Receive(now, "r7", load, true)           // a report
//	c.Receive(now, "r2", partial, false)       // the partial aggregate of another collector
//	c.Expire(now.Add(-time.Second))
//	aggregate := c.Aggregate(own)
//	partial := aggregate.Partial()             // for the other collectors
//	digest := aggregate.Without("r7")          // for the reporter r7
package collector

import (
	"slices"
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
)

// Collector stores the last load of each other router. The zero value is empty and ready to
// use. It is not safe for concurrent use.
type Collector struct {
	sources map[messenger.RouterID]*source
}

// source is another router that sends loads.
type source struct {
	receivedAt time.Time
	load       messenger.PeerLoad
	// isReporter is true if the router reports to this one; otherwise it is a collector.
	isReporter bool
	// newParts holds, for each upstream, the shared prompt parts that the router announced
	// since the last Aggregate.
	newParts map[messenger.NameHash][]messenger.PartID
}

// Receive stores the load of another router: a report of its own load, or the partial
// aggregate of another collector.
func (c *Collector) Receive(now time.Time, from messenger.RouterID, load messenger.PeerLoad, isReporter bool) {
	if c.sources == nil {
		c.sources = make(map[messenger.RouterID]*source)
	}
	s, ok := c.sources[from]
	if !ok {
		s = &source{newParts: make(map[messenger.NameHash][]messenger.PartID)}
		c.sources[from] = s
	}
	for _, u := range load.Upstreams {
		if len(u.Parts) > 0 {
			s.newParts[u.Upstream] = append(s.newParts[u.Upstream], u.Parts...)
		}
	}
	s.receivedAt, s.load, s.isReporter = now, load, isReporter
}

// Drop removes a router.
func (c *Collector) Drop(from messenger.RouterID) { delete(c.sources, from) }

// Expire removes the routers whose last load was received before the cutoff.
func (c *Collector) Expire(cutoff time.Time) {
	for id, s := range c.sources {
		if s.receivedAt.Before(cutoff) {
			delete(c.sources, id)
		}
	}
}

// Reporters returns the routers that report to this one, sorted.
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

// Aggregate is the aggregate of all loads at one time.
type Aggregate struct {
	// reporterLoads are the loads of the routers that report to this one.
	reporterLoads map[messenger.RouterID]messenger.PeerLoad
	routerCount   int
	partial       messenger.PeerLoad
	// total is the load of all routers. upstreamIndex and accountIndex map a name to its index
	// in total.Upstreams and total.Accounts.
	total                       messenger.PeerLoad
	upstreamIndex, accountIndex map[messenger.NameHash]int
}

// Aggregate aggregates the stored loads and the load of the collector itself. Prompt parts that
// a router announced are included in the next Aggregate only.
func (c *Collector) Aggregate(own messenger.PeerLoad) *Aggregate {
	agg := &Aggregate{reporterLoads: make(map[messenger.RouterID]messenger.PeerLoad), routerCount: 1, partial: own}
	for id, s := range c.sources {
		agg.routerCount += max(1, len(s.load.Routers))
		if s.isReporter {
			agg.reporterLoads[id] = s.load
		}
	}
	if len(agg.reporterLoads) > 0 {
		c.computeSums(agg, own)
	}
	for _, s := range c.sources {
		s.newParts = make(map[messenger.NameHash][]messenger.PartID)
	}
	return agg
}

// computeSums computes the partial aggregate and the total.
func (c *Collector) computeSums(agg *Aggregate, own messenger.PeerLoad) {
	partial, total := newSum(), newSum()
	partial.add(own, nil)
	total.add(own, nil)
	for _, s := range c.sources {
		if s.isReporter {
			partial.add(s.load, s.newParts)
		}
		total.add(s.load, s.newParts)
	}
	agg.partial, agg.total = partial.toPeerLoad(own.From), total.toPeerLoad(own.From)
	agg.upstreamIndex, agg.accountIndex = total.upstreamIndex, total.accountIndex
}

// RouterCount returns the number of known routers, the collector included.
func (agg *Aggregate) RouterCount() int { return agg.routerCount }

// Partial returns the load of the collector and of the routers that report to it. Without
// reporters, it is the collector's own load.
func (agg *Aggregate) Partial() messenger.PeerLoad { return agg.partial }

// Without returns the load of all routers except one reporter.
func (agg *Aggregate) Without(id messenger.RouterID) messenger.PeerLoad {
	out := agg.total
	out.Upstreams, out.Accounts = slices.Clone(out.Upstreams), slices.Clone(out.Accounts)
	load := agg.reporterLoads[id]
	for _, u := range load.Upstreams {
		remaining := &out.Upstreams[agg.upstreamIndex[u.Upstream]]
		remaining.Running -= u.Running
		remaining.UnreadTokens -= u.UnreadTokens
		remaining.Pace = remaining.Pace.Minus(u.Pace)
	}
	for _, a := range load.Accounts {
		remaining := &out.Accounts[agg.accountIndex[a.Account]]
		remaining.Rate -= a.Rate
		remaining.Served -= a.Served
	}
	excluded := messenger.HashName(id)
	out.Routers, out.Quiet = make([]messenger.NameHash, 0, len(agg.total.Routers)), nil
	for i, router := range agg.total.Routers {
		if router == excluded {
			continue
		}
		if agg.total.IsQuiet(i) {
			out.SetQuiet(len(out.Routers))
		}
		out.Routers = append(out.Routers, router)
	}
	return out
}
