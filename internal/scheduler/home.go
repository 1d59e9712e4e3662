package scheduler

import (
	"math"
	"slices"
	"time"

	"lentilwood.example/lentilwood/internal/limiter"
	"lentilwood.example/lentilwood/internal/messenger"
)

// idleAccountTTL is how long the state of an account without requests is kept.
const idleAccountTTL = time.Minute

// homeAccount sums up the service that all routers give one account in one pool. It is kept
// by the account's home router.
type homeAccount struct {
	account messenger.AccountID
	// tag is the virtual start tag, in normalised tokens.
	tag               float64
	waiting, running  int
	arrivalsPerMinute int
	// broadcastTag is the tag at the time of the last broadcast to all routers.
	broadcastTag  float64
	contributions map[messenger.RouterID]*contribution
	// contributionList holds the contributions in the order in which they were created.
	contributionList []*contribution
	lastUsedAt       time.Time
}

// contribution is the part of one router in a homeAccount.
type contribution struct {
	account           *homeAccount
	router            messenger.RouterID
	sequence          uint64
	servedTokens      int64
	waiting, running  int
	arrivalsPerMinute int
	// sentTag is the tag that was last sent to the router.
	sentTag  float64
	inOutbox bool
}

// homeRouterOf returns the home router of an account.
func (s *Scheduler) homeRouterOf(id messenger.AccountID) messenger.RouterID {
	return highestRankedRouter(string(id), s.routers)
}

// accountUse returns the report to the home router: the service that the account got from
// this router.
func (f *flow) accountUse(now time.Time) messenger.AccountUse {
	f.reportedServed = f.servedTokens
	f.reportedActive = f.waiting+f.running > 0
	f.reportedAt = now
	return messenger.AccountUse{
		Account: f.account, Served: roundTag(f.servedTokens), Tag: roundTag(f.tag),
		Waiting: f.waiting, Running: f.running, Rate: f.arrivalsPerMinute(now),
	}
}

// accountTag returns the report of the home router to one of the routers.
func (c *contribution) accountTag() messenger.AccountTag {
	h := c.account
	c.sentTag = h.tag
	return messenger.AccountTag{
		Account: h.account, Tag: roundTag(h.tag), Included: c.servedTokens,
		Waiting: h.waiting - c.waiting, Running: h.running - c.running,
		Rate: h.arrivalsPerMinute, Routers: len(h.contributions),
	}
}

// receiveUse processes a router's report on an account whose home router is this one.
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

// removeRouter removes the contribution of a router.
func (h *homeAccount) removeRouter(r messenger.RouterID) {
	if c, ok := h.contributions[r]; ok {
		h.waiting -= c.waiting
		h.running -= c.running
		h.arrivalsPerMinute -= c.arrivalsPerMinute
		delete(h.contributions, r)
		h.contributionList = slices.DeleteFunc(h.contributionList, func(other *contribution) bool { return other == c })
	}
}

// broadcastTag sends the tag of an account to the routers with active requests for which it
// has changed significantly: to the sender of the last report at once, to the others once it
// has changed that much since the last broadcast.
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

// receiveTag processes the report of an account's home router.
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

// updateFleetRatio estimates the service that the account gets from the whole fleet, as a
// multiple of the service from this router. Until the next report of the home router, local
// charges are multiplied by it. Otherwise all routers would at the same time serve the account
// that was last known to be behind.
func (f *flow) updateFleetRatio(t messenger.AccountTag) {
	ownTokens := float64(t.Included - f.lastIncludedTokens)
	fleetTokens := float64(t.Tag-f.lastTag) * f.weight
	if f.lastTag > 0 && ownTokens > 0 && fleetTokens > 0 {
		ratio := min(max(fleetTokens/ownTokens, 1), float64(max(1, t.Routers)))
		f.fleetRatio += fleetRatioSampleWeight * (ratio - f.fleetRatio)
	}
	f.lastTag, f.lastIncludedTokens = t.Tag, t.Included
}

// fleetRatioSampleWeight is the weight of a new sample in the average of a flow's fleetRatio.
const fleetRatioSampleWeight = 0.2

// updateUse reports the use of an account to its home router if it has changed significantly.
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

// fleetUse returns the part of an account's limits that this router may use.
func (p *pool) fleetUse(f *flow, t messenger.AccountTag) limiter.FleetState {
	evenShare := 1 / float64(max(1, t.Routers))
	share := evenShare
	if t.Rate > 0 {
		ownShare := min(1, float64(f.arrivalsPerMinute(p.sched.now))/float64(t.Rate))
		share = demandWeight*ownShare + (1-demandWeight)*evenShare
	}
	return limiter.FleetState{Share: share, Running: t.Running, ExpiresAt: p.sched.now.Add(leaseTTL)}
}

// demandWeight is the part of an account's limits that is divided in proportion to the
// arrivals at each router; the rest is divided evenly among the routers that serve the
// account.
const demandWeight = 0.8

// arrivalsPerMinute returns a moving average of the arrivals per minute.
func (f *flow) arrivalsPerMinute(now time.Time) int {
	age := now.Sub(f.recentArrivalsAt).Seconds() / rateAveragingTime.Seconds()
	return int(f.recentArrivals*math.Exp(-age)*time.Minute.Seconds()/rateAveragingTime.Seconds() + 0.5)
}

// rateAveragingTime is the time constant of the average of arrivals.
const rateAveragingTime = 2 * time.Second

// countArrival counts one request, whether it is admitted or refused.
func (f *flow) countArrival(now time.Time) {
	age := now.Sub(f.recentArrivalsAt).Seconds() / rateAveragingTime.Seconds()
	f.recentArrivals = f.recentArrivals*math.Exp(-age) + 1
	f.recentArrivalsAt = now
}
