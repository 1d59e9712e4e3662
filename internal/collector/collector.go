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
//	c.Hear(now, "r7", load, true)          // a report
//	c.Hear(now, "r2", partial, false)      // the sum of another collecting router
//	c.Expire(now.Add(-time.Second))
//	round := c.Round(own)
//	partial := round.Partial()             // for the other collecting routers
//	digest := round.Without("r7")          // for the router that reported
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

// Hear takes in what another router said: a report of its own load, or the sum of a
// router that collects.
func (c *Collector) Hear(now time.Time, from messenger.RouterID, load messenger.PeerLoad, reports bool) {
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

// Round is what is known at one moment.
type Round struct {
	own     messenger.PeerLoad
	sources map[messenger.RouterID]messenger.PeerLoad
	partial *sum
	total   *sum
}

// Round sums up what is known, with the load of the collecting router itself. Shared
// parts of prompts are in one round only.
func (c *Collector) Round(own messenger.PeerLoad) *Round {
	r := &Round{own: own, sources: make(map[messenger.RouterID]messenger.PeerLoad), partial: newSum(), total: newSum()}
	r.partial.add(own, nil)
	r.total.add(own, nil)
	for id, s := range c.sources {
		if s.reports {
			r.partial.add(s.load, s.parts)
			r.sources[id] = s.load
		}
		r.total.add(s.load, s.parts)
		s.parts = make(map[messenger.Key][]messenger.PartID)
	}
	return r
}

// Partial returns the load of the collecting router and of those that report to it. It
// is the router's own load if nobody does.
func (r *Round) Partial() messenger.PeerLoad {
	if len(r.sources) == 0 {
		return r.own
	}
	return r.partial.load(r.own.From)
}

// Without returns the load of all routers but one that reports here.
func (r *Round) Without(id messenger.RouterID) messenger.PeerLoad {
	out := r.total.load(r.own.From)
	load := r.sources[id]
	for _, u := range load.Upstreams {
		if i, ok := r.total.upstreamAt[u.Upstream]; ok {
			out.Upstreams[i].Running -= u.Running
			out.Upstreams[i].Reading -= u.Reading
		}
	}
	for _, a := range load.Accounts {
		if i, ok := r.total.accountAt[a.Account]; ok {
			out.Accounts[i].Rate -= a.Rate
			out.Accounts[i].Served -= a.Served
		}
	}
	self := messenger.KeyOf(id)
	out.Routers = slices.DeleteFunc(out.Routers, func(k messenger.Key) bool { return k == self })
	return out
}
