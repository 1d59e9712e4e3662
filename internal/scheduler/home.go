package scheduler

import (
	"math"
	"slices"
	"time"

	"lentilwood.example/lentilwood/internal/limiter"
	"lentilwood.example/lentilwood/internal/messenger"
)

// idleTTL is how long an account without requests is remembered.
const idleAccountTTL = time.Minute

// home sums up the service that all routers give one account in one pool.
type homeAccount struct {
	account messenger.AccountID
	// tag is the virtual start tag, in normalised tokens.
	tag               float64
	waiting, running  int
	arrivalsPerMinute int
	// spread is the tag at which the routers were last looked through.
	broadcastTag  float64
	contributions map[messenger.RouterID]*contribution
	// order holds the contributions in the order in which they came.
	contributionList []*contribution
	lastUsedAt       time.Time
}

// contribution is the part of one router in a home.
type contribution struct {
	account           *homeAccount
	router            messenger.RouterID
	sequence          uint64
	servedTokens      int64
	waiting, running  int
	arrivalsPerMinute int
	// told is the tag that the router was told last.
	sentTag  float64
	inOutbox bool
}

// homeOf returns the router that sums up the service of an account.
func (s *Scheduler) homeRouterOf(id messenger.AccountID) messenger.RouterID {
	return highestRankedRouter(string(id), s.routers)
}

// use states what this router gave an account.
func (f *flow) accountUse(now time.Time) messenger.AccountUse {
	f.reportedServed = f.servedTokens
	f.reportedActive = f.waiting+f.running > 0
	f.reportedAt = now
	return messenger.AccountUse{
		Account: f.account, Served: roundTag(f.servedTokens), Tag: roundTag(f.tag),
		Waiting: f.waiting, Running: f.running, Rate: f.arrivalsPerMinute(now),
	}
}

// tag states what the home knows.
func (c *contribution) accountTag() messenger.AccountTag {
	h := c.account
	c.sentTag = h.tag
	return messenger.AccountTag{
		Account: h.account, Tag: roundTag(h.tag), Included: c.servedTokens,
		Waiting: h.waiting - c.waiting, Running: h.running - c.running,
		Rate: h.arrivalsPerMinute, Routers: len(h.contributions),
	}
}

// takeUse takes in what a router gave an account whose home this router is.
func (p *pool) receiveUse(peer *peerState, sequence uint64, u messenger.AccountUse) {
	h, ok := p.homeAccounts[u.Account]
	if !ok {
		h = &homeAccount{account: u.Account, contributions: make(map[messenger.RouterID]*contribution)}
		p.homeAccounts[u.Account] = h
	}
	c, ok := h.contributions[peer.router]
	if !ok {
		c = &contribution{account: h, router: peer.router, servedTokens: u.Served, sentTag: math.Inf(-1)}
		h.contributions[peer.router] = c
		h.contributionList = append(h.contributionList, c)
		h.tag = max(h.tag, float64(u.Tag))
	}
	if sequence <= c.sequence {
		return
	}
	c.sequence = sequence
	h.lastUsedAt = p.sched.now
	if h.waiting == 0 && u.Waiting > 0 {
		h.tag = max(h.tag, p.virtualTime)
	}
	h.tag = max(h.tag, p.minTag())
	if p.sched.now.Sub(p.peerRecoveredAt) < recoveryPeriod {
		h.tag = min(h.tag, p.maxTag())
	}
	h.tag += float64(u.Served-c.servedTokens) / weightOf(p.sched.policy, u.Account)
	h.waiting += u.Waiting - c.waiting
	h.running += u.Running - c.running
	h.arrivalsPerMinute += u.Rate - c.arrivalsPerMinute
	c.servedTokens, c.waiting, c.running, c.arrivalsPerMinute = u.Served, u.Waiting, u.Running, u.Rate
	p.broadcastTag(h, c)
}

// drop forgets the part of a router.
func (h *homeAccount) removeRouter(r messenger.RouterID) {
	if c, ok := h.contributions[r]; ok {
		h.waiting -= c.waiting
		h.running -= c.running
		h.arrivalsPerMinute -= c.arrivalsPerMinute
		delete(h.contributions, r)
		h.contributionList = slices.DeleteFunc(h.contributionList, func(other *contribution) bool { return other == c })
	}
}

// spread has the routers that need it told the tag of an account.
func (p *pool) broadcastTag(h *homeAccount, from *contribution) {
	threshold := p.reportThreshold() / weightOf(p.sched.policy, h.account)
	if from.waiting+from.running > 0 && math.Abs(h.tag-from.sentTag) >= threshold {
		p.reportTag(from)
	}
	if math.Abs(h.tag-h.broadcastTag) < threshold {
		return
	}
	h.broadcastTag = h.tag
	for _, c := range h.contributionList {
		if c.waiting+c.running > 0 && math.Abs(h.tag-c.sentTag) >= threshold {
			p.reportTag(c)
		}
	}
}

// takeTag takes in what the home of an account knows.
func (p *pool) receiveTag(peer *peerState, sequence uint64, t messenger.AccountTag) {
	f, ok := p.flows[t.Account]
	if !ok || f.homeRouter != peer.router || sequence <= f.tagSequence {
		return
	}
	f.tagSequence = sequence
	f.waitingElsewhere, f.waitingElsewhereAt = t.Waiting, p.sched.now
	f.updateFleetRatio(t)
	f.tag = float64(t.Tag) + f.fleetRatio*(f.servedTokens-float64(t.Included))/f.weight
	f.reorder()
	p.sched.limits.SetFleetState(t.Account, p.fleetUse(f, t))
}

// learnSpread estimates how many times its own service an account gets from the
// whole fleet. Until the next word of the home, own charges stand for as much
// service elsewhere; otherwise all routers would serve the account that was
// last known to be behind, at the same time.
func (f *flow) updateFleetRatio(t messenger.AccountTag) {
	ownTokens := float64(t.Included - f.lastIncluded)
	fleetTokens := float64(t.Tag-f.lastTag) * f.weight
	if f.lastTag > 0 && ownTokens > 0 && fleetTokens > 0 {
		ratio := min(max(fleetTokens/ownTokens, 1), float64(max(1, t.Routers)))
		f.fleetRatio += fleetRatioSampleWeight * (ratio - f.fleetRatio)
	}
	f.lastTag, f.lastIncluded = t.Tag, t.Included
}

// spreadWeight is the weight of a sample in a flow's spread.
const fleetRatioSampleWeight = 0.2

// updateUse has the use of an account told once it is worth it.
func (p *pool) updateUse(f *flow) {
	if p.sched.cfg.Mode == Standalone || f.inOutbox {
		return
	}
	active := f.waiting+f.running > 0
	if active == f.reportedActive && math.Abs(f.servedTokens-f.reportedServed) < p.reportThreshold() {
		return
	}
	p.reportUse(f)
}

// fleetUse works out what part of an account's limits this router may use.
func (p *pool) fleetUse(f *flow, t messenger.AccountTag) limiter.FleetState {
	evenShare := 1 / float64(max(1, t.Routers))
	share := evenShare
	if t.Rate > 0 {
		ownShare := min(1, float64(f.arrivalsPerMinute(p.sched.now))/float64(t.Rate))
		share = demandWeight*ownShare + (1-demandWeight)*evenShare
	}
	return limiter.FleetState{Share: share, Running: t.Running, ExpiresAt: p.sched.now.Add(leaseTTL)}
}

// demandPart is the part of an account's limits that is divided by demand; the
// rest is divided evenly among the routers that serve it.
const demandWeight = 0.8

// offered returns the requests offered per minute, as a moving average.
func (f *flow) arrivalsPerMinute(now time.Time) int {
	age := now.Sub(f.recentArrivalsAt).Seconds() / rateAveragingTime.Seconds()
	return int(f.recentArrivals*math.Exp(-age)*time.Minute.Seconds()/rateAveragingTime.Seconds() + 0.5)
}

// rateMemory is the time over which the rate of requests is averaged.
const rateAveragingTime = 2 * time.Second

// offer counts one request.
func (f *flow) countArrival(now time.Time) {
	age := now.Sub(f.recentArrivalsAt).Seconds() / rateAveragingTime.Seconds()
	f.recentArrivals = f.recentArrivals*math.Exp(-age) + 1
	f.recentArrivalsAt = now
}
