package admitter

import (
	"cmp"
	"slices"
	"time"

	"lentilwood.example/lentilwood/internal/averager"
	"lentilwood.example/lentilwood/internal/messenger"
)

const (
	// farPenalty is what another failure domain counts for in choosing an
	// upstream, as time: bytes between domains cost money.
	remoteDomainPenalty = 5 * time.Millisecond
	// readPenalty is how often the time to read shared parts of a prompt counts
	// again in choosing an upstream: reading them twice is waste, and delays
	// everyone else there.
	rereadPenalty = 3
	// fetchPenalty is what moving memory between engines counts for, and
	// fetchShare the part of the time to read what is moved that counts too: a
	// part that stays at its home is found by every router.
	fetchPenalty     = 8 * time.Millisecond
	fetchedReadShare = 0.5
	// failurePenalty is what an upstream that fails every request counts for.
	failurePenalty = time.Second
	// homeCached is how much of a shared prompt is expected at the upstream
	// that all routers prefer for it, though this one has not sent it there.
	homeCachedShare = 0.8
	// mostHomes is how many homes of shared parts are remembered.
	maxHomes = 4096
	// noUpstreamDelay is when a caller may come back that met a pool without
	// any upstream.
	noUpstreamRetryAfter = time.Second
)

// pool is the upstreams that can serve the same work.
type pool struct {
	id      messenger.PoolID
	engine  bool
	policy  messenger.PoolPolicy
	members []*upstream
	waiting []*request
	model   model
	// speed is how fast most routers find the engines: one that is short of
	// processor time finds each of them slow.
	readSpeed readSpeed
	// commonError is by how much forecasts are off at most upstreams, 1 or more.
	medianError float64
	// part is this router's part of the fleet's demand, 0 to 1.
	demandShare float64
	// contested is the part of the slots, 0 to 1, that no router takes beyond its
	// own part: they may be taken though they were free when the others spoke.
	// learnt is what this router's requests say of it; the fleet's mean counts if
	// it is more.
	contestedShare, ownContestedShare float64
	// brief is true if requests hold a slot for less time than passes between two
	// messages of the routers.
	shortRequests bool
	// reserve is the part of the slots that requests beyond a share leave free.
	reservedShare float64
	// holders knows where shared parts were last sent.
	holders holderIndex
	// homes are the homes of shared parts, if nothing speaks against them.
	homes map[messenger.PartID]*upstream
	// shortlist is used if there are many members; worth is room for what is weighed.
	shortlist    shortlist
	candidateBuf []*upstream
}

func newPool(id messenger.PoolID) *pool {
	m := newModel()
	return &pool{
		id: id, model: m, readSpeed: readSpeed{baseSeconds: m.base, secondsPerToken: m.perToken}, medianError: 1,
		demandShare: 1, contestedShare: minContestedShare, ownContestedShare: minContestedShare,
	}
}

func (p *pool) setPolicy(policy messenger.PoolPolicy) {
	p.policy = policy
	p.engine = policy.Engine != nil
}

// sortMembers puts the upstreams in an order that is the same after each
// change.
func (p *pool) sortMembers() {
	slices.SortFunc(p.members, func(a, b *upstream) int { return cmp.Compare(a.id, b.id) })
}

// order puts what waits in the order in which it is served: requests within
// their account's share before others, then by precedence and by arrival.
func (p *pool) sortWaiting(a *Admitter) {
	for _, r := range p.waiting {
		if p.engine && r.overShare {
			r.overShare = !a.shares.moveWithinShare(r.arrive.Account, r.cost)
		}
	}
	slices.SortStableFunc(p.waiting, func(x, y *request) int {
		if x.overShare != y.overShare {
			if y.overShare {
				return -1
			}
			return 1
		}
		if x.arrive.Precedence != y.arrive.Precedence {
			return cmp.Compare(y.arrive.Precedence, x.arrive.Precedence)
		}
		return x.arrivedAt.Compare(y.arrivedAt)
	})
}

// noteFirst learns from whether a request's first output came too late. If many
// do, the routers send to the same slots, and each is to keep to its own.
func (p *pool) adjustContested(missedObjective bool) {
	change := -toleratedMissShare
	if missedObjective {
		change = 1 - toleratedMissShare
	}
	p.ownContestedShare = clamp(p.ownContestedShare+contestedStep*change, minContestedShare, maxContestedShare)
}

// demand returns what other routers should know of the pool.
func (p *pool) poolDemand(id messenger.PoolID) messenger.PoolDemand {
	d := messenger.PoolDemand{Pool: messenger.KeyOf(id), Contested: float32(p.ownContestedShare)}
	if p.model.trained() {
		d.Base, d.PerRead = float32(p.model.base), float32(p.model.perToken)
	}
	return d
}

// learnFromPeers works out how much of the slots the routers divide, and takes
// over how fast the fleet finds engines.
func (p *pool) mergePeerStats(peers map[messenger.RouterID]*peer) {
	key := messenger.KeyOf(p.id)
	contested, n := p.ownContestedShare, 1.0
	var bases, perReads []averager.Value
	addSample := func(baseSeconds, secondsPerToken float64, routers int) {
		bases = append(bases, averager.Value{Value: baseSeconds, Weight: routers})
		perReads = append(perReads, averager.Value{Value: secondsPerToken, Weight: routers})
	}
	if p.model.trained() {
		addSample(p.model.base, p.model.perToken, 1)
	}
	for _, other := range peers {
		d, ok := other.pools[key]
		if !ok {
			continue
		}
		routers := len(other.routers)
		contested += float64(routers) * clamp(float64(d.Contested), minContestedShare, maxContestedShare)
		n += float64(routers)
		if d.PerRead > 0 {
			addSample(float64(d.Base), float64(d.PerRead), routers)
		}
	}
	p.contestedShare = max(p.ownContestedShare, contested/n)
	p.readSpeed = readSpeed{baseSeconds: p.model.base, secondsPerToken: p.model.perToken}
	if len(bases) > 0 {
		p.readSpeed.baseSeconds = max(minBaseSeconds, averager.Median(bases))
		p.readSpeed.secondsPerToken = clamp(averager.Median(perReads), minSecondsPerToken, maxSecondsPerToken)
	}
}

// learnErrors works out how far off the forecasts for most upstreams are. If they
// are late at all of them, this router is, and no engine is to be taken for slow.
func (p *pool) updateMedianError() {
	errors := make([]averager.Value, 0, len(p.members))
	for _, u := range p.members {
		errors = append(errors, averager.Value{Value: u.forecastError, Weight: 1})
	}
	p.medianError = max(1, averager.Median(errors))
}

// pausedFor returns how long it is until the first upstream may be sent something
// again, or zero if one may be now.
func (p *pool) pauseRemaining(now time.Time) time.Duration {
	var shortest time.Duration
	for _, u := range p.members {
		if !u.acceptsWork {
			continue
		}
		remaining := u.pausedUntil.Sub(now)
		if remaining <= 0 {
			return 0
		}
		if shortest == 0 || remaining < shortest {
			shortest = remaining
		}
	}
	return shortest
}

func (p *pool) removeWaiting(r *request) {
	p.waiting = slices.DeleteFunc(p.waiting, func(other *request) bool { return other == r })
}

// forecast is what is expected of a request at one upstream.
type forecast struct {
	// first is the time to the first output, own the part of it that the
	// request takes with nothing ahead.
	firstOutput, ownTime time.Duration
	// reads is what has to be read of the prompt, in tokens, and again the part
	// of it that other requests share.
	unreadTokens, unreadSharedTokens int
	// fetched is what comes from source instead, in tokens.
	fetchedTokens int
	// source is where parts of the prompt are to be fetched from, or nil.
	fetchFrom *upstream
	// clear is true if nothing is ahead of the request.
	nothingAhead bool
	// roomless is true if the slots that are left are kept for accounts that
	// have not used up their share.
	onlyReservedSlots bool
}

// ahead returns how long the request waits for others.
func (f forecast) queueingTime() time.Duration { return f.firstOutput - f.ownTime }

// source is where the shared parts of a prompt are.
type partSource struct {
	// holders are the upstreams that were sent them of late.
	holders partHolders
	// at is the upstream to fetch them from, or nil, and kept the share of them
	// that it is expected to keep.
	fetchFrom *upstream
	keptShare float64
}

// holds reports whether u is expected to keep all of them.
func (s partSource) holds(u *upstream) bool {
	return s.holders.contains(u)
}

// pick returns the upstream where a request costs least, all told, or nil if
// there is none. One that failed of late is taken only if there is no other.
func (p *pool) pick(a *Admitter, r *request) (*upstream, forecast) {
	best, f := p.pickUsable(a, r)
	if best == nil {
		home := p.home(a, r)
		best, f = p.cheapest(a, r, p.members, p.findParts(a, r, home), home, true)
	}
	return best, f
}

// pickUsable is pick without the upstreams that failed of late and the one to avoid.
func (p *pool) pickUsable(a *Admitter, r *request) (*upstream, forecast) {
	home := p.home(a, r)
	src := p.findParts(a, r, home)
	best, f := p.cheapest(a, r, p.candidates(a, home, src), src, home, false)
	if best == nil {
		best, f = p.cheapest(a, r, p.members, src, home, false)
	}
	return best, f
}

// cheapest returns the one of some upstreams where a request costs least, or nil. With
// desperate, those that failed of late may be taken as well.
func (p *pool) cheapest(a *Admitter, r *request, candidates []*upstream, src partSource, home *upstream, allowFailed bool) (*upstream, forecast) {
	var best *upstream
	var bestForecast forecast
	var lowestCost time.Duration
	for _, u := range candidates {
		if !u.usable(a.now, allowFailed) || u.id == r.avoid && !allowFailed {
			continue
		}
		f := u.forecast(a, r, u == home, src)
		if cost := p.cost(u, f); best == nil || cost < lowestCost {
			best, bestForecast, lowestCost = u, f, cost
		}
	}
	return best, bestForecast
}

// source returns where the shared parts of a prompt are: where some router sent
// them of late, or else at their home for the most part.
func (p *pool) findParts(a *Admitter, r *request, home *upstream) partSource {
	s := partSource{holders: p.holders.find(a.now, r.arrive.Work.Prompt)}
	for _, h := range s.holders {
		if h.upstream != nil && h.upstream.pool == p && h.upstream.healthy(a.now) {
			s.fetchFrom, s.keptShare = h.upstream, 1
			return s
		}
	}
	s.fetchFrom, s.keptShare = home, homeCachedShare
	return s
}

// cost is what a request at u takes from its caller and from everyone else.
func (p *pool) cost(u *upstream, f forecast) time.Duration {
	cost := f.firstOutput + u.penalty()
	cost += time.Duration(rereadPenalty * float64(f.unreadSharedTokens) * p.readSpeed.secondsPerToken * float64(time.Second))
	if f.fetchFrom != nil {
		cost += fetchPenalty + time.Duration(fetchedReadShare*float64(f.fetchedTokens)*p.readSpeed.secondsPerToken*float64(time.Second))
	}
	return cost
}

// home returns the upstream that every router prefers for the shared part of a
// prompt, by rendezvous hashing; nil if nothing is shared.
func (p *pool) home(a *Admitter, r *request) *upstream {
	shared, ok := sharedPart(r.arrive.Work.Prompt)
	if !ok {
		return nil
	}
	home, known := p.homes[shared]
	if !known {
		home = p.highestRanked(shared, func(*upstream) bool { return true })
		p.cacheHome(shared, home)
	}
	if home != nil && home.healthy(a.now) {
		return home
	}
	return p.highestRanked(shared, func(u *upstream) bool { return u.healthy(a.now) })
}

// preferred returns the first of those upstreams, in the order that is the same at every
// router, that may be taken; nil if none may.
func (p *pool) highestRanked(shared messenger.PartID, eligible func(*upstream) bool) *upstream {
	var home *upstream
	var highest uint64
	for _, u := range p.members {
		if !eligible(u) {
			continue
		}
		if score := mixBits(uint64(shared) ^ u.hash); home == nil || score > highest {
			home, highest = u, score
		}
	}
	return home
}

// noteHome remembers the home of a shared part, of so many at a time.
func (p *pool) cacheHome(shared messenger.PartID, home *upstream) {
	if len(p.homes) >= maxHomes {
		clear(p.homes)
	}
	if p.homes == nil {
		p.homes = make(map[messenger.PartID]*upstream)
	}
	p.homes[shared] = home
}

// changed forgets what was worked out from the members that a pool had.
func (p *pool) membersChanged() {
	p.sortMembers()
	p.shortlist = shortlist{}
	clear(p.homes)
}

// mix spreads the bits of a number.
func mixBits(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
