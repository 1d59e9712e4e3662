// Package pacer limits the rate at which the routers of a fleet together send to an upstream
// that is cold, that is, slow and easily overloaded for some seconds after its start. The
// limit holds without messages about single requests, and also while routers can't reach each
// other.
//
// The allowed rate of each cold upstream is divided into four shares, each the right to send
// a fixed number of requests in each sliding window, which is longer than a second. A share
// belongs to the router that ranks highest for it by rendezvous hashing over the known routers, so
// that all routers with the same list agree on the holders. The numbers are chosen so that the
// fleet stays under the bound even if one share has two holders.
//
// A router gains a share late and gives one up at once: a router that just started or stood
// still has no share at first, and a router that is out of sight keeps its shares for a long
// time. A router that is in touch with less than 60% of the known routers stops using its
// shares before the others take them over.
//
// A Pacer does no I/O and has no clock.
//
// # Usage
//
//	p := pacer.New(messenger.HashName(id))
//	p.Join(now, members, false)                   // once the directory of the fleet is read
//	p.Advance(now)                                // with each event, at least several times a second
//	p.SeeRouters(now, load.Routers, load.IsQuiet) // with each message of other routers
//	gate := p.NewGate(upstreamHash)
//	gate.SetRate(12)
//	gate.SetColdUntil(now, until)
//	if gate.Open(now) {
//		writeBy := gate.Take(now)         // zero if the upstream is warm
//	}
package pacer

import (
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
)

const (
	// joinDelay is how long a router must know the fleet without interruption before it uses
	// shares. By then the former holders of its shares have heard of it: news of a router
	// reaches all others within a second, also through collectors.
	joinDelay = 5 * time.Second
	// quorumTTL is how long another router counts as in touch after it was last seen. With the
	// age of what collectors send, up to two seconds, it is not longer than joinDelay, so that a
	// router that lost touch stops before routers that it can't know of use its shares. The
	// loss of a collector takes up to two seconds to repair.
	quorumTTL = 3 * time.Second
	// quietTTL is the same for a router with little traffic, which takes its shares back joinDelay
	// after it has more.
	quietTTL = 2 * time.Second
	// lostTTL is how long the shares of a router out of sight stay unused. Sightings through
	// collectors may be two seconds old, so it leaves room beyond quorumTTL.
	lostTTL = 10 * time.Second
	// forgetTTL is how long routers out of sight count while too few others are in touch: they
	// may be alive on the other side of a partition.
	forgetTTL = 10 * time.Minute
	// unseenTTL is how long members that were never seen count. The directory may still have the
	// entries of routers that ended long ago, and then a new router would never have a majority.
	unseenTTL = time.Minute
	// quorumShare is the fraction of the known routers with which a router must be in touch. It is
	// more than half, since the two sides of a partition may know different routers, and less
	// than what is left of a fleet that loses one of three failure domains.
	quorumShare = 0.6
	// maxUnseenShare is the largest fraction of members that were never seen with which a router
	// uses shares. It can't tell which members are as new as itself and unknown to those.
	maxUnseenShare = 0.1
	// maxGap is the longest time between two calls of Advance after which the known routers
	// are still used. A router that stood still longer reads outdated messages first.
	maxGap = 1500 * time.Millisecond
	// checkInterval is the time between two checks of which routers are in sight.
	checkInterval = 100 * time.Millisecond
)

// Pacer keeps the list of the routers of the fleet. It is not safe for concurrent use.
type Pacer struct {
	self messenger.NameHash
	// alone is true if there are no other routers.
	alone bool
	// joined is true once the list of members is known.
	joined bool
	others map[messenger.NameHash]*router
	// ranked lists the other routers that hold shares, rebuilt with each change; generation counts the changes.
	ranked     []rankedRouter
	generation uint64
	// quiet is true while this router has little traffic, busySince is when that ended.
	quiet     bool
	busySince time.Time
	// knownSince is since when the fleet is known without interruption; zero if it is not.
	knownSince time.Time
	hasQuorum  bool
	advancedAt time.Time
	checkedAt  time.Time
}

// router is another router.
type router struct {
	// addedAt is when the router was first heard of; zero if it was a member before this one.
	addedAt time.Time
	// seenAt is when the router was last known to be alive, or when it was read from the
	// directory if seen is false.
	seenAt time.Time
	seen   bool
	// quietSince is since when the router has little traffic; zero if it has more. yields is
	// true while it leaves its shares to others.
	quietSince time.Time
	yields     bool
}

// rankedRouter is a router that holds shares, with its ranking key.
type rankedRouter struct {
	key  uint64
	seen bool
}

// New returns the Pacer of the router with the given key. It knows no other router.
func New(self messenger.NameHash) *Pacer {
	return &Pacer{self: self, others: make(map[messenger.NameHash]*router)}
}

// Join records the members of the fleet, as listed in its directory. A router that started while
// others are out of reach learns of these only from there. Without other members, alone tells
// that none are to come; otherwise the router must hear of another one first.
func (p *Pacer) Join(now time.Time, members []messenger.NameHash, alone bool) {
	p.joined, p.alone = true, alone
	for _, key := range members {
		if _, known := p.others[key]; !known && key != p.self {
			p.others[key] = &router{seenAt: now}
		}
	}
	p.listChanged()
	p.check(now)
}

// Advance records the time. A long gap since the last call means that this router stood still.
func (p *Pacer) Advance(now time.Time) {
	if now.Sub(p.advancedAt) > maxGap && !p.knownSince.IsZero() {
		p.knownSince = now
	}
	p.advancedAt = now
	if now.Sub(p.checkedAt) >= checkInterval {
		p.check(now)
	}
}

// SetQuiet sets whether this router has too little traffic to use its shares, so that it leaves
// them to others.
func (p *Pacer) SetQuiet(now time.Time, quiet bool) {
	if p.quiet && !quiet {
		p.busySince = now
	}
	p.quiet = quiet
}

// SeeRouters records that routers are alive; this router may be among them. isQuiet reports
// which of them have little traffic.
func (p *Pacer) SeeRouters(now time.Time, keys []messenger.NameHash, isQuiet func(i int) bool) {
	changed := false
	for i, key := range keys {
		if key == p.self {
			continue
		}
		r, known := p.others[key]
		if !known {
			r = &router{addedAt: now}
			p.others[key] = r
		}
		changed = changed || !r.seen
		r.seenAt, r.seen = now, true
		switch {
		case !isQuiet(i):
			r.quietSince = time.Time{}
			changed = changed || r.yields
		case r.quietSince.IsZero():
			r.quietSince = now
		}
	}
	if p.knownSince.IsZero() && p.joined && len(keys) > 0 {
		p.knownSince = now
	}
	if changed {
		p.check(now)
		p.listChanged()
	}
}

// check updates whether this router is in touch with most of the fleet, and removes routers
// that are out of sight for long. Touch that was lost must last for joinDelay again: others may
// have taken over shares meanwhile.
func (p *Pacer) check(now time.Time) {
	p.checkedAt = now
	p.hasQuorum = p.countQuorum(now)
	if !p.hasQuorum && !p.knownSince.IsZero() {
		p.knownSince = now
	}
	changed := false
	for key, r := range p.others {
		age := now.Sub(r.seenAt)
		yields := !r.quietSince.IsZero() && now.Sub(r.quietSince) >= joinDelay && age <= quietTTL
		changed = changed || yields != r.yields
		r.yields = yields
		if age > forgetTTL || !r.seen && age > unseenTTL || p.hasQuorum && r.seen && age > lostTTL {
			delete(p.others, key)
			changed = true
		}
	}
	if changed {
		p.listChanged()
	}
}

// countQuorum reports whether most routers are in touch, and almost none was never seen. Routers
// that were added after others were lost do not count, since those may not know of them.
func (p *Pacer) countQuorum(now time.Time) bool {
	lostAt := now
	for _, r := range p.others {
		if r.seen && now.Sub(r.seenAt) > quorumTTL && r.seenAt.Before(lostAt) {
			lostAt = r.seenAt
		}
	}
	inTouch, total, unseen := 1, 1, 0
	for _, r := range p.others {
		if r.addedAt.After(lostAt) {
			continue
		}
		total++
		if !r.seen {
			unseen++
		}
		if r.seen && now.Sub(r.seenAt) <= quorumTTL {
			inTouch++
		}
	}
	return float64(inTouch) > quorumShare*float64(total) && float64(unseen) <= maxUnseenShare*float64(total)
}

func (p *Pacer) listChanged() {
	p.generation++
	p.ranked = p.ranked[:0]
	for key, r := range p.others {
		if !r.yields {
			p.ranked = append(p.ranked, rankedRouter{key: widen(key), seen: r.seen})
		}
	}
}

// mayUseShares reports whether this router knows the fleet well enough to use its shares.
func (p *Pacer) mayUseShares(now time.Time) bool {
	if p.alone && len(p.others) == 0 {
		return true
	}
	if p.quiet || now.Sub(p.busySince) < joinDelay {
		return false
	}
	return !p.knownSince.IsZero() && now.Sub(p.knownSince) >= joinDelay && p.hasQuorum
}

// holdsShare reports whether this router holds a share of an upstream. It must rank highest, and
// must have seen the next router, which else may not know of this one and use the share.
func (p *Pacer) holdsShare(upstream uint64, share int) bool {
	seed := mix(upstream + uint64(share)) //nolint:gosec // a small index
	own, highest, seen := mix(seed^widen(p.self)), uint64(0), true
	for _, other := range p.ranked {
		rank := mix(seed ^ other.key)
		if rank > own {
			return false
		}
		if rank >= highest {
			highest, seen = rank, other.seen
		}
	}
	return seen
}

// widen expands a router's key to 64 bits.
func widen(key messenger.NameHash) uint64 { return mix(uint64(key) + 1) }

// mix is a 64-bit hash finalizer: it spreads each input bit over the whole result.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
