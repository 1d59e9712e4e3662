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
//	p.Lease("worker-1", 4)
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
	longShare float64
	upstreams map[messenger.UpstreamID]*upstream
	// free lists the upstreams with a free slot, in no order.
	free []*upstream
}

// upstream is what one router knows of one upstream.
type upstream struct {
	id      messenger.UpstreamID
	policy  messenger.UpstreamPolicy
	lease   int
	running int
	long    int
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

// SetLongShare bounds the share of each lease that long work may hold; zero
// means no bound.
func (p *Placer) SetLongShare(share float64) { p.longShare = share }

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
	p.unlist(u)
	delete(p.upstreams, id)
}

// Lease sets how many requests this router may run on an upstream.
func (p *Placer) Lease(id messenger.UpstreamID, slots int) {
	if u, ok := p.upstreams[id]; ok {
		u.lease = slots
		p.refresh(u)
	}
}

// Len returns how many upstreams are known.
func (p *Placer) Len() int { return len(p.upstreams) }

// Usable reports whether any upstream may get new work.
func (p *Placer) Usable() bool {
	for _, u := range p.upstreams {
		if !u.policy.Leaving {
			return true
		}
	}
	return false
}

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
	return !q.Long || u.long < p.longSlots(u)
}

// longSlots returns how many slots of u long work may hold, at least one.
func (p *Placer) longSlots(u *upstream) int {
	if p.longShare <= 0 {
		return u.lease
	}
	return max(1, int(p.longShare*float64(u.lease)))
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
	return float64(u.running) / float64(max(1, u.lease))
}

// refresh keeps the list of upstreams with a free slot in step with u.
func (p *Placer) refresh(u *upstream) {
	if u.running < u.lease && !u.policy.Leaving {
		p.list(u)
		return
	}
	p.unlist(u)
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
