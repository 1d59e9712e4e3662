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
//	p.SetUpstream("worker-1", messenger.UpstreamPolicy{Pool: "assistant", Window: 16})
//	p.SetLease("worker-1", 4, 1)
//	if u, ok := p.Pick(now, placer.Query{Prefix: prefix}); ok {
//		p.Start(now, u, false)
//	}
package placer

import (
	"math/rand/v2"
	"slices"
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
	// Avoid names an upstream that is not chosen unless no other may get new
	// work; empty means none.
	Avoid messenger.UpstreamID
}

// Placer places the requests of one pool. It is not safe for concurrent use.
type Placer struct {
	rand      *rand.Rand
	upstreams map[messenger.UpstreamID]*upstream
	// free lists the upstreams with a free slot, in no order.
	free []*upstream
	// longFree counts the slots that long work may still take, longRoom those
	// it could take but for its bound; usable counts the upstreams that may get
	// new work.
	longFree, longRoom, usable int
	// list holds the upstreams for CheckHealth, which goes on at cursor.
	list   []*upstream
	cursor int
	speed  speed
	cache  affinity
	// seen is the time of the pool's newest event; lively is the time in which
	// its upstreams spoke, without the long pauses of all of them.
	seen   time.Time
	lively time.Duration
	// running counts the requests on all upstreams.
	running int
}

// upstream is what one router knows of one upstream.
type upstream struct {
	id     messenger.UpstreamID
	policy messenger.UpstreamPolicy
	// slots and longSlots are what this router may use; running and long are
	// what it uses.
	slots, longSlots int
	running, long    int
	// longFree and longRoom are the upstream's parts of Placer's sums.
	longFree, longRoom int
	usable             bool
	pace               pace
	report             report
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

// SetUpstream adds an upstream or changes its policy.
func (p *Placer) SetUpstream(id messenger.UpstreamID, policy messenger.UpstreamPolicy) {
	u, ok := p.upstreams[id]
	if !ok {
		u = &upstream{id: id, freeAt: -1}
		u.pace.health = 1
		p.upstreams[id] = u
		p.list = append(p.list, u)
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
	p.list = slices.DeleteFunc(p.list, func(other *upstream) bool { return other == u })
}

// SetLease sets how many requests this router may run on an upstream, and how
// many of them may be long.
func (p *Placer) SetLease(id messenger.UpstreamID, slots, long int) {
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

// FreeLongSlots returns how many slots long work may still take.
func (p *Placer) FreeLongSlots() int { return p.longFree }

// FreeLongSlotsUncapped returns how many slots are free on upstreams that take long work,
// whether or not the bound on long work lets it use them.
func (p *Placer) FreeLongSlotsUncapped() int { return p.longRoom }

// Len returns how many upstreams are known.
func (p *Placer) Len() int { return len(p.upstreams) }

// Usable returns how many upstreams may get new work.
func (p *Placer) Usable() int { return p.usable }

// Pick returns the upstream with the least expected latency out of a few that
// can take the request now. An upstream that holds the prompt prefix goes
// first, unless it is loaded much more than the others.
func (p *Placer) Pick(now time.Time, q Query) (messenger.UpstreamID, bool) {
	if u := p.holder(now, q); u != nil {
		return u.id, true
	}
	var best *upstream
	var least float64
	n := len(p.free)
	if n == 0 {
		return "", false
	}
	if p.usable == 1 {
		q.Avoid = ""
	}
	start := p.rand.IntN(n)
	found := 0
	for i := 0; i < n && found < candidates; i++ {
		u := p.free[(start+i)%n]
		if !p.fits(u, q) {
			continue
		}
		found++
		if cost := p.expected(now, u); best == nil || cost < least {
			best, least = u, cost
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
	return !q.Long || !u.policy.NoLong && u.long < u.longSlots
}

// Start notes that a request was sent to an upstream.
func (p *Placer) Start(now time.Time, id messenger.UpstreamID, long bool) {
	u, ok := p.upstreams[id]
	if !ok {
		return
	}
	if u.running == 0 {
		u.pace.seen = now
		u.pace.lively = p.lively
	}
	u.running++
	p.running++
	u.report.note(now, u.running)
	u.pace.probed = now
	if long {
		u.long++
	}
	p.refresh(u)
}

// MarkLong notes that a running request counts as long from now on.
func (p *Placer) MarkLong(id messenger.UpstreamID) {
	if u, ok := p.upstreams[id]; ok {
		u.long++
		p.refresh(u)
	}
}

// End notes that a request has left an upstream.
func (p *Placer) End(now time.Time, id messenger.UpstreamID, long bool) {
	u, ok := p.upstreams[id]
	if !ok {
		return
	}
	u.running--
	p.running--
	u.report.note(now, u.running)
	if long {
		u.long--
	}
	p.refresh(u)
}

// refresh keeps the list of upstreams with a free slot and the sums in step
// with u.
func (p *Placer) refresh(u *upstream) {
	open := !u.policy.Leaving
	if open != u.usable {
		u.usable = open
		p.usable += sign(open)
	}
	longFree, longRoom := 0, 0
	if open && !u.policy.NoLong {
		longRoom = max(0, u.limit()-u.running)
		longFree = max(0, min(u.longSlots-u.long, longRoom))
	}
	p.longFree += longFree - u.longFree
	p.longRoom += longRoom - u.longRoom
	u.longFree, u.longRoom = longFree, longRoom
	if u.running < u.limit() && open {
		p.enlist(u)
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

func (p *Placer) enlist(u *upstream) {
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
