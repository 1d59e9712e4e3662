// Package placer chooses the upstream of a pool that runs the next request.
//
// A Placer keeps, for each upstream, the slots that this router may use, the
// requests that it runs there, and what was observed of its speed. It decides
// from observation first: load reports and cache reports come late and only
// correct the picture.
//
// # Usage
//
//	p := placer.New(seed)
//	p.Set("worker-1", messenger.UpstreamPolicy{Pool: "assistant", Window: 16})
//	p.Lease("worker-1", 4, 1)
//	if u, ok := p.Pick(now, placer.Query{Prefix: prefix}); ok {
//		p.Start(now, u, false)
//	}
package placer

import (
	"math/rand/v2"
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
)

// candidates is how many upstreams with a free slot are compared.
const candidates = 4

// Query is what a request needs of an upstream.
type Query struct {
	// Prefix is a hash of the prompt prefix; zero means none.
	Prefix uint64
	// Long is true for work that may hold a slot for long.
	Long bool
	// Avoid names an upstream that must not be chosen; empty means none.
	Avoid messenger.UpstreamID
}

// Placer places the requests of one pool. It is not safe for concurrent use.
type Placer struct {
	rand      *rand.Rand
	upstreams map[messenger.UpstreamID]*upstream
	// free lists the upstreams with a free slot, in no order.
	free []*upstream
	// longFree counts the slots that long work may still take; usable counts
	// the upstreams that may get new work.
	longFree, usable int
}

// upstream is what one router knows of one upstream.
type upstream struct {
	id     messenger.UpstreamID
	policy messenger.UpstreamPolicy
	// slots and longSlots are what this router may use; running and long are
	// what it uses.
	slots, longSlots int
	running, long    int
	// longFree is the upstream's part of Placer.longFree.
	longFree int
	usable   bool
	// freeAt is the index in Placer.free, or -1.
	freeAt int
}

// New returns a Placer whose choices follow from seed.
func New(seed uint64) *Placer {
	return &Placer{
		rand:      rand.New(rand.NewPCG(seed, seed)),
		upstreams: make(map[messenger.UpstreamID]*upstream),
	}
}

// Set adds an upstream or changes its policy.
func (p *Placer) Set(id messenger.UpstreamID, policy messenger.UpstreamPolicy) {
	u, ok := p.upstreams[id]
	if !ok {
		u = &upstream{id: id, freeAt: -1}
		p.upstreams[id] = u
	}
	u.policy = policy
	p.refresh(u)
}

// Remove forgets an upstream.
func (p *Placer) Remove(id messenger.UpstreamID) {
	u, ok := p.upstreams[id]
	if !ok {
		return
	}
	u.slots, u.longSlots = 0, 0
	u.policy.Leaving = true
	p.refresh(u)
	delete(p.upstreams, id)
}

// Lease sets how many requests this router may run on an upstream, and how
// many of them may be long.
func (p *Placer) Lease(id messenger.UpstreamID, slots, long int) {
	if u, ok := p.upstreams[id]; ok {
		u.slots, u.longSlots = slots, long
		p.refresh(u)
	}
}

// Running returns how many requests run on an upstream, and how many of them
// are long.
func (p *Placer) Running(id messenger.UpstreamID) (running, long int) {
	if u, ok := p.upstreams[id]; ok {
		return u.running, u.long
	}
	return 0, 0
}

// LongFree returns how many slots long work may still take.
func (p *Placer) LongFree() int { return p.longFree }

// Len returns how many upstreams are known.
func (p *Placer) Len() int { return len(p.upstreams) }

// Usable reports whether any upstream may get new work.
func (p *Placer) Usable() bool { return p.usable > 0 }

// Pick returns the best of a few upstreams that can take the request now.
func (p *Placer) Pick(_ time.Time, q Query) (messenger.UpstreamID, bool) {
	var best *upstream
	n := len(p.free)
	if n == 0 {
		return "", false
	}
	start := p.rand.IntN(n)
	found := 0
	for i := 0; i < n && found < candidates; i++ {
		u := p.free[(start+i)%n]
		if !p.fits(u, q) {
			continue
		}
		found++
		if best == nil || u.load() < best.load() {
			best = u
		}
	}
	if best == nil {
		return "", false
	}
	return best.id, true
}

// fits reports whether u has a slot for the request.
func (p *Placer) fits(u *upstream, q Query) bool {
	if u.id == q.Avoid {
		return false
	}
	return !q.Long || u.long < u.longSlots
}

// Start notes that a request was sent to an upstream.
func (p *Placer) Start(_ time.Time, id messenger.UpstreamID, long bool) {
	u, ok := p.upstreams[id]
	if !ok {
		return
	}
	u.running++
	if long {
		u.long++
	}
	p.refresh(u)
}

// Outgrow notes that a running request counts as long from now on.
func (p *Placer) Outgrow(id messenger.UpstreamID) {
	if u, ok := p.upstreams[id]; ok {
		u.long++
		p.refresh(u)
	}
}

// End notes that a request has left an upstream.
func (p *Placer) End(_ time.Time, id messenger.UpstreamID, long bool) {
	u, ok := p.upstreams[id]
	if !ok {
		return
	}
	u.running--
	if long {
		u.long--
	}
	p.refresh(u)
}

// load is the fraction of the lease in use.
func (u *upstream) load() float64 {
	return float64(u.running) / float64(max(1, u.slots))
}

// refresh keeps the list of upstreams with a free slot and the sums in step
// with u.
func (p *Placer) refresh(u *upstream) {
	open := !u.policy.Leaving
	if open != u.usable {
		u.usable = open
		p.usable += sign(open)
	}
	longFree := 0
	if open {
		longFree = max(0, min(u.longSlots-u.long, u.slots-u.running))
	}
	p.longFree += longFree - u.longFree
	u.longFree = longFree
	if u.running < u.slots && open {
		p.list(u)
		return
	}
	p.unlist(u)
}

// sign returns 1 for true and -1 for false.
func sign(b bool) int {
	if b {
		return 1
	}
	return -1
}

func (p *Placer) list(u *upstream) {
	if u.freeAt >= 0 {
		return
	}
	u.freeAt = len(p.free)
	p.free = append(p.free, u)
}

func (p *Placer) unlist(u *upstream) {
	if u.freeAt < 0 {
		return
	}
	last := p.free[len(p.free)-1]
	p.free[u.freeAt] = last
	last.freeAt = u.freeAt
	p.free = p.free[:len(p.free)-1]
	u.freeAt = -1
}
