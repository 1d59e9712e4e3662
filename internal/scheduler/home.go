package scheduler

import (
	"math"
	"slices"
	"time"

	"lentilwood.example/lentilwood/internal/limiter"
	"lentilwood.example/lentilwood/internal/messenger"
)

// idleTTL is how long an account without requests is remembered.
const idleTTL = time.Minute

// home sums up the service that all routers give one account in one pool.
type home struct {
	account messenger.AccountID
	// tag is the virtual start tag, in normalised tokens.
	tag              float64
	waiting, running int
	rate             int
	// spread is the tag at which the routers were last looked through.
	spread   float64
	contribs map[messenger.RouterID]*contribution
	// order holds the contributions in the order in which they came.
	order  []*contribution
	usedAt time.Time
}

// contribution is the part of one router in a home.
type contribution struct {
	home             *home
	router           messenger.RouterID
	sequence         uint64
	served           int64
	waiting, running int
	rate             int
	// told is the tag that the router was told last.
	told   float64
	queued bool
}

// homeOf returns the router that sums up the service of an account.
func (s *Scheduler) homeOf(id messenger.AccountID) messenger.RouterID {
	return winner(string(id), s.peers)
}

// use states what this router gave an account.
func (f *flow) use(now time.Time) messenger.AccountUse {
	f.told = f.served
	f.toldActive = f.waiting+f.running > 0
	f.toldAt = now
	return messenger.AccountUse{
		Account: f.account, Served: round(f.served), Tag: round(f.tag),
		Waiting: f.waiting, Running: f.running, Rate: f.offered(now),
	}
}

// tag states what the home knows.
func (c *contribution) tag() messenger.AccountTag {
	h := c.home
	c.told = h.tag
	return messenger.AccountTag{
		Account: h.account, Tag: round(h.tag), Included: c.served,
		Waiting: h.waiting - c.waiting, Running: h.running - c.running,
		Rate: h.rate, Routers: len(h.contribs),
	}
}

// takeUse takes in what a router gave an account whose home this router is.
func (p *pool) takeUse(k *link, sequence uint64, u messenger.AccountUse) {
	h, ok := p.homes[u.Account]
	if !ok {
		h = &home{account: u.Account, contribs: make(map[messenger.RouterID]*contribution)}
		p.homes[u.Account] = h
	}
	c, ok := h.contribs[k.router]
	if !ok {
		c = &contribution{home: h, router: k.router, served: u.Served, told: math.Inf(-1)}
		h.contribs[k.router] = c
		h.order = append(h.order, c)
		h.tag = max(h.tag, float64(u.Tag))
	}
	if sequence <= c.sequence {
		return
	}
	c.sequence = sequence
	h.usedAt = p.sched.now
	if h.waiting == 0 && u.Waiting > 0 {
		h.tag = max(h.tag, p.vtime)
	}
	h.tag = max(h.tag, p.oldest())
	if p.sched.now.Sub(p.rejoinedAt) < rejoinTime {
		h.tag = min(h.tag, p.newest())
	}
	h.tag += float64(u.Served-c.served) / weightOf(p.sched.policy, u.Account)
	h.waiting += u.Waiting - c.waiting
	h.running += u.Running - c.running
	h.rate += u.Rate - c.rate
	c.served, c.waiting, c.running, c.rate = u.Served, u.Waiting, u.Running, u.Rate
	p.spread(h, c)
}

// drop forgets the part of a router.
func (h *home) drop(r messenger.RouterID) {
	if c, ok := h.contribs[r]; ok {
		h.waiting -= c.waiting
		h.running -= c.running
		h.rate -= c.rate
		delete(h.contribs, r)
		h.order = slices.DeleteFunc(h.order, func(other *contribution) bool { return other == c })
	}
}

// spread has the routers that need it told the tag of an account.
func (p *pool) spread(h *home, from *contribution) {
	step := p.quantum() / weightOf(p.sched.policy, h.account)
	if from.waiting+from.running > 0 && math.Abs(h.tag-from.told) >= step {
		p.tellTag(from)
	}
	if math.Abs(h.tag-h.spread) < step {
		return
	}
	h.spread = h.tag
	for _, c := range h.order {
		if c.waiting+c.running > 0 && math.Abs(h.tag-c.told) >= step {
			p.tellTag(c)
		}
	}
}

// takeTag takes in what the home of an account knows.
func (p *pool) takeTag(k *link, sequence uint64, t messenger.AccountTag) {
	f, ok := p.flows[t.Account]
	if !ok || f.home != k.router || sequence <= f.heard {
		return
	}
	f.heard = sequence
	f.elsewhere, f.elsewhereAt = t.Waiting, p.sched.now
	f.learnSpread(t)
	f.tag = float64(t.Tag) + f.spread*(f.served-float64(t.Included))/f.weight
	f.reorder()
	p.sched.limits.SetFleetState(t.Account, p.fleetUse(f, t))
}

// learnSpread estimates how many times its own service an account gets from the
// whole fleet. Until the next word of the home, own charges stand for as much
// service elsewhere; otherwise all routers would serve the account that was
// last known to be behind, at the same time.
func (f *flow) learnSpread(t messenger.AccountTag) {
	own := float64(t.Included - f.lastIncluded)
	all := float64(t.Tag-f.lastTag) * f.weight
	if f.lastTag > 0 && own > 0 && all > 0 {
		ratio := min(max(all/own, 1), float64(max(1, t.Routers)))
		f.spread += spreadWeight * (ratio - f.spread)
	}
	f.lastTag, f.lastIncluded = t.Tag, t.Included
}

// spreadWeight is the weight of a sample in a flow's spread.
const spreadWeight = 0.2

// updateUse has the use of an account told once it is worth it.
func (p *pool) updateUse(f *flow) {
	if p.sched.cfg.Mode == Standalone || f.queued {
		return
	}
	active := f.waiting+f.running > 0
	if active == f.toldActive && math.Abs(f.served-f.told) < p.quantum() {
		return
	}
	p.tellUse(f)
}

// fleetUse works out what part of an account's limits this router may use.
func (p *pool) fleetUse(f *flow, t messenger.AccountTag) limiter.FleetState {
	even := 1 / float64(max(1, t.Routers))
	share := even
	if t.Rate > 0 {
		own := min(1, float64(f.offered(p.sched.now))/float64(t.Rate))
		share = demandPart*own + (1-demandPart)*even
	}
	return limiter.FleetState{Share: share, Running: t.Running, ExpiresAt: p.sched.now.Add(leaseTTL)}
}

// demandPart is the part of an account's limits that is divided by demand; the
// rest is divided evenly among the routers that serve it.
const demandPart = 0.8

// offered returns the requests offered per minute, as a moving average.
func (f *flow) offered(now time.Time) int {
	age := now.Sub(f.rateAt).Seconds() / rateMemory.Seconds()
	return int(f.rate*math.Exp(-age)*time.Minute.Seconds()/rateMemory.Seconds() + 0.5)
}

// rateMemory is the time over which the rate of requests is averaged.
const rateMemory = 2 * time.Second

// offer counts one request.
func (f *flow) offer(now time.Time) {
	age := now.Sub(f.rateAt).Seconds() / rateMemory.Seconds()
	f.rate = f.rate*math.Exp(-age) + 1
	f.rateAt = now
}
