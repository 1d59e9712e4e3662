// Package placer chooses the upstream of a pool for the next request.
//
// A Placer stores, for each upstream, the slots that this router may use, the requests that
// it runs there, and the observed speed. Decisions are mainly based on observations: load
// reports and cache reports arrive late and serve as corrections.
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

// maxCandidates is how many upstreams with a free slot are compared for a request.
const maxCandidates = 4

// Query describes the requirements of a request.
type Query struct {
	// Prefix is a hash of the prompt prefix; zero means none.
	Prefix uint64
	// Long is true for a request that may hold a slot for long.
	Long bool
	// Avoid names an upstream that is chosen only if no other accepts new requests; empty
	// means none.
	Avoid messenger.UpstreamID
}

// Placer places the requests of one pool. It is not safe for concurrent use.
type Placer struct {
	rand      *rand.Rand
	upstreams map[messenger.UpstreamID]*upstream
	// freeList lists the upstreams with a free slot, in no order.
	freeList []*upstream
	// freeLong counts the slots that long requests may still use; freeLongUncapped is the
	// same without the limit on long requests; usableCount counts the upstreams that accept
	// new requests.
	freeLong, freeLongUncapped, usableCount int
	// upstreamList lists all upstreams in the order in which they were added. cursor is the
	// index of the upstream that CheckHealth checked last.
	upstreamList []*upstream
	cursor       int
	speed        poolSpeed
	prefixes     prefixCache
	// lastEvent is the time of the pool's latest event. activeTime is the sum of the times
	// between consecutive events of the pool, each counted as at most maxActiveGap.
	lastEvent  time.Time
	activeTime time.Duration
	// running counts the requests on all upstreams.
	running int
}

// upstream is the state of one upstream as known to this router.
type upstream struct {
	id     messenger.UpstreamID
	policy messenger.UpstreamPolicy
	// slots is the number of leased slots, which this router may use, and longSlots the number
	// of them that long requests may use. running and runningLong are the numbers of all and of
	// long requests that this router runs.
	slots, longSlots     int
	running, runningLong int
	// freeLong and freeLongUncapped are the upstream's parts of the totals of the same names in
	// the Placer.
	freeLong, freeLongUncapped int
	usable                     bool
	stats                      speedStats
	report                     report
	// freeIndex is the index in Placer.freeList, or -1.
	freeIndex int
}

// New returns a Placer whose random choices depend on seed only.
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
		u = &upstream{id: id, freeIndex: -1}
		u.stats.health = 1
		p.upstreams[id] = u
		p.upstreamList = append(p.upstreamList, u)
	}
	u.policy = policy
	p.updateTotals(u)
}

// Remove removes an upstream.
func (p *Placer) Remove(id messenger.UpstreamID) {
	u, ok := p.upstreams[id]
	if !ok {
		return
	}
	u.slots, u.longSlots = 0, 0
	u.policy.Leaving = true
	p.updateTotals(u)
	delete(p.upstreams, id)
	p.upstreamList = slices.DeleteFunc(p.upstreamList, func(other *upstream) bool { return other == u })
}

// SetLease sets how many requests this router may run on an upstream, and how many of them
// may be long.
func (p *Placer) SetLease(id messenger.UpstreamID, slots, long int) {
	if u, ok := p.upstreams[id]; ok {
		u.slots, u.longSlots = slots, long
		p.updateTotals(u)
	}
}

// Running returns how many requests this router runs on an upstream, and how many of them
// are long.
func (p *Placer) Running(id messenger.UpstreamID) (running, long int) {
	if u, ok := p.upstreams[id]; ok {
		return u.running, u.runningLong
	}
	return 0, 0
}

// FreeLongSlots returns how many slots long requests may still use.
func (p *Placer) FreeLongSlots() int { return p.freeLong }

// FreeLongSlotsUncapped returns how many slots are free on upstreams that accept long
// requests, regardless of the limit on long requests.
func (p *Placer) FreeLongSlotsUncapped() int { return p.freeLongUncapped }

// Len returns the number of upstreams.
func (p *Placer) Len() int { return len(p.upstreams) }

// Usable returns the number of upstreams that accept new requests.
func (p *Placer) Usable() int { return p.usableCount }

// Pick returns the upstream with the lowest expected latency among a few that can take the
// request now. The holder of the prompt prefix is preferred unless it has a much higher
// load than the others.
func (p *Placer) Pick(now time.Time, q Query) (messenger.UpstreamID, bool) {
	if u := p.prefixHolder(now, q); u != nil {
		return u.id, true
	}
	var best *upstream
	var lowestCost float64
	n := len(p.freeList)
	if n == 0 {
		return "", false
	}
	if p.usableCount == 1 {
		q.Avoid = ""
	}
	offset := p.rand.IntN(n)
	compared := 0
	for i := 0; i < n && compared < maxCandidates; i++ {
		u := p.freeList[(offset+i)%n]
		if !p.hasSlotFor(u, q) {
			continue
		}
		compared++
		if cost := p.expectedCost(now, u); best == nil || cost < lowestCost {
			best, lowestCost = u, cost
		}
	}
	if best == nil {
		return "", false
	}
	return best.id, true
}

// hasSlotFor reports whether u, which has a free slot, can take the request: u is not the
// upstream to avoid, and a long request does not exceed the limit on long requests.
func (p *Placer) hasSlotFor(u *upstream, q Query) bool {
	if u.id == q.Avoid {
		return false
	}
	return !q.Long || !u.policy.NoLong && u.runningLong < u.longSlots
}

// Start records that a request was sent to an upstream.
func (p *Placer) Start(now time.Time, id messenger.UpstreamID, long bool) {
	u, ok := p.upstreams[id]
	if !ok {
		return
	}
	if u.running == 0 {
		u.stats.lastEvent = now
		u.stats.activeAtEvent = p.activeTime
	}
	u.running++
	p.running++
	u.report.recordRunning(now, u.running)
	u.stats.lastStart = now
	if long {
		u.runningLong++
	}
	p.updateTotals(u)
}

// MarkLong records that a running request counts as long from now on.
func (p *Placer) MarkLong(id messenger.UpstreamID) {
	if u, ok := p.upstreams[id]; ok {
		u.runningLong++
		p.updateTotals(u)
	}
}

// End records that a request has ended on an upstream.
func (p *Placer) End(now time.Time, id messenger.UpstreamID, long bool) {
	u, ok := p.upstreams[id]
	if !ok {
		return
	}
	u.running--
	p.running--
	u.report.recordRunning(now, u.running)
	if long {
		u.runningLong--
	}
	p.updateTotals(u)
}

// updateTotals updates the free list and the totals after a change of u.
func (p *Placer) updateTotals(u *upstream) {
	usable := !u.policy.Leaving
	if usable != u.usable {
		u.usable = usable
		p.usableCount += sign(usable)
	}
	freeLong, freeLongUncapped := 0, 0
	if usable && !u.policy.NoLong {
		freeLongUncapped = max(0, u.effectiveWindow()-u.running)
		freeLong = max(0, min(u.longSlots-u.runningLong, freeLongUncapped))
	}
	p.freeLong += freeLong - u.freeLong
	p.freeLongUncapped += freeLongUncapped - u.freeLongUncapped
	u.freeLong, u.freeLongUncapped = freeLong, freeLongUncapped
	if u.running < u.effectiveWindow() && usable {
		p.addFree(u)
		return
	}
	p.removeFree(u)
}

// sign returns 1 for true and -1 for false.
func sign(b bool) int {
	if b {
		return 1
	}
	return -1
}

func (p *Placer) addFree(u *upstream) {
	if u.freeIndex >= 0 {
		return
	}
	u.freeIndex = len(p.freeList)
	p.freeList = append(p.freeList, u)
}

func (p *Placer) removeFree(u *upstream) {
	if u.freeIndex < 0 {
		return
	}
	last := p.freeList[len(p.freeList)-1]
	p.freeList[u.freeIndex] = last
	last.freeIndex = u.freeIndex
	p.freeList = p.freeList[:len(p.freeList)-1]
	u.freeIndex = -1
}
