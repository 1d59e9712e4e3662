package admitter

import (
	"cmp"
	"slices"
	"time"

	"lentilwood.example/lentilwood/internal/averager"
	"lentilwood.example/lentilwood/internal/messenger"
)

const (
	// remoteDomainPenalty is added to the cost of an upstream in another failure domain:
	// traffic between domains is charged for.
	remoteDomainPenalty = 5 * time.Millisecond
	// rereadPenalty is the multiple of the time to read shared parts of a prompt that is
	// added to the cost, besides the same time in the forecast. Reading a part on a second
	// engine wastes capacity and delays all other requests there.
	rereadPenalty = 3
	// fetchPenalty is the cost of a transfer of cached memory between engines.
	// fetchedReadShare is the fraction of the time to read the transferred tokens that is
	// added to the cost, so that shared parts stay at their home, where every router looks
	// for them.
	fetchPenalty     = 8 * time.Millisecond
	fetchedReadShare = 0.5
	// failurePenalty is the cost of an upstream that fails every request.
	failurePenalty = time.Second
	// homeCachedShare is the fraction of a shared prompt that is expected to be cached at
	// its home upstream although this router has not sent it there.
	homeCachedShare = 0.8
	// maxHomes is the number of homes of shared parts that are cached.
	maxHomes = 4096
	// noUpstreamRetryAfter is the Retry-After for requests to a pool without any upstream.
	noUpstreamRetryAfter = time.Second
)

// pool is a set of upstreams that can serve the same work.
type pool struct {
	id messenger.PoolID
	// hasEngines is true if the upstreams are model engines, and false if they are servers
	// of a plain service.
	hasEngines bool
	policy     messenger.PoolPolicy
	members    []*upstream
	// evacuated is true if no member accepts work and some are only in emptied failure domains.
	// Requests are then refused at once: no slot becomes free while they wait.
	evacuated bool
	waiting   []*request
	model     model
	// readSpeed is the speed that the median router observes. A CPU-starved router would
	// find every engine slow.
	readSpeed readSpeed
	// medianError is the median forecast error of the upstreams, at least 1.
	medianError float64
	// demandShare is this router's fraction of the fleet's demand, 0 to 1.
	demandShare float64
	// contestedShare is a fraction of an upstream's slots, 0 to 1. If fewer slots are free, a
	// router uses no more than its own part of the upstream's slots, because the slots that
	// were free in the last load messages may be taken by now. ownContestedShare is derived
	// from this router's requests; the mean over the fleet is used if it is larger.
	contestedShare, ownContestedShare float64
	// shortRequests is true if requests hold a slot for less than the interval between two
	// load messages of the routers.
	shortRequests bool
	// reservedShare is the fraction of the slots that requests over their account's share
	// leave free.
	reservedShare float64
	// holders records where shared parts were last sent.
	holders holderIndex
	// pace summarizes the speeds of the members and the pause limits of the requests.
	pace poolPace
	// homes caches the home upstream of each shared part, before health is considered.
	homes map[messenger.PartID]*upstream
	// shortlist is used if there are many members. candidateBuf is the reused buffer of
	// candidates.
	shortlist    shortlist
	candidateBuf []*upstream
	// cold lists the cold upstreams of which this router holds a share of the allowed rate.
	cold []*upstream
}

func newPool(id messenger.PoolID) *pool {
	m := newModel()
	return &pool{
		id: id, model: m, readSpeed: readSpeed{baseSeconds: m.baseSeconds, secondsPerToken: m.secondsPerToken}, medianError: 1,
		demandShare: 1, contestedShare: minContestedShare, ownContestedShare: minContestedShare,
	}
}

func (p *pool) setPolicy(policy messenger.PoolPolicy) {
	p.policy = policy
	p.hasEngines = policy.Engine != nil
}

// sortMembers sorts the upstreams by id, so that the order does not depend on map
// iteration.
func (p *pool) sortMembers() {
	slices.SortFunc(p.members, func(a, b *upstream) int { return cmp.Compare(a.id, b.id) })
}

// sortWaiting sorts the queue in the order of service: requests within their account's
// share first, then those that resume a stream, then by precedence and by arrival.
func (p *pool) sortWaiting(a *Admitter) {
	for _, r := range p.waiting {
		if p.hasEngines && r.overShare {
			r.overShare = !a.shares.moveWithinShare(r.arrive.Account, r.cost, r.arrive.SpentShare)
		}
	}
	slices.SortStableFunc(p.waiting, func(x, y *request) int {
		if x.overShare != y.overShare {
			if y.overShare {
				return -1
			}
			return 1
		}
		if x.arrive.Resumed != y.arrive.Resumed {
			if x.arrive.Resumed {
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

// adjustContestedShare adapts the contested share to whether a first output missed its
// objective. If many first outputs do, several routers send to the same slots, and each
// should keep to its own part.
func (p *pool) adjustContestedShare(missedObjective bool) {
	change := -toleratedMissShare
	if missedObjective {
		change = 1 - toleratedMissShare
	}
	p.ownContestedShare = clamp(p.ownContestedShare+contestedStep*change, minContestedShare, maxContestedShare)
}

// poolDemand returns the part of the load message that describes the pool.
func (p *pool) poolDemand(id messenger.PoolID) messenger.PoolDemand {
	d := messenger.PoolDemand{Pool: messenger.HashName(id), Contested: float32(p.ownContestedShare)}
	if p.model.trained() {
		d.BaseSeconds, d.SecondsPerToken = float32(p.model.baseSeconds), float32(p.model.secondsPerToken)
	}
	return d
}

// mergePeerStats updates the contested share and the engine speed from the other routers.
func (p *pool) mergePeerStats(peers map[messenger.RouterID]*peer) {
	key := messenger.HashName(p.id)
	contested, n := p.ownContestedShare, 1.0
	var baseSamples, perTokenSamples []averager.Sample
	addSpeedSample := func(baseSeconds, secondsPerToken float64, routers int) {
		baseSamples = append(baseSamples, averager.Sample{Value: baseSeconds, Weight: routers})
		perTokenSamples = append(perTokenSamples, averager.Sample{Value: secondsPerToken, Weight: routers})
	}
	if p.model.trained() {
		addSpeedSample(p.model.baseSeconds, p.model.secondsPerToken, 1)
	}
	for _, other := range peers {
		d, ok := other.pools[key]
		if !ok {
			continue
		}
		routers := len(other.routers)
		contested += float64(routers) * clamp(float64(d.Contested), minContestedShare, maxContestedShare)
		n += float64(routers)
		if d.SecondsPerToken > 0 {
			addSpeedSample(float64(d.BaseSeconds), float64(d.SecondsPerToken), routers)
		}
	}
	p.contestedShare = max(p.ownContestedShare, contested/n)
	p.readSpeed = readSpeed{baseSeconds: p.model.baseSeconds, secondsPerToken: p.model.secondsPerToken}
	if len(baseSamples) > 0 {
		p.readSpeed.baseSeconds = max(minBaseSeconds, averager.Median(baseSamples))
		p.readSpeed.secondsPerToken = clamp(averager.Median(perTokenSamples), minSecondsPerToken, maxSecondsPerToken)
	}
}

// updateMedianError updates the median forecast error. If forecasts are too low for most
// upstreams, this router is slow itself, and no engine should be treated as slow.
func (p *pool) updateMedianError() {
	errors := make([]averager.Sample, 0, len(p.members))
	for _, u := range p.members {
		errors = append(errors, averager.Sample{Value: u.forecastError, Weight: 1})
	}
	p.medianError = max(1, averager.Median(errors))
}

// pauseRemaining returns the time until the first upstream accepts requests again, or zero
// if one accepts them now.
func (p *pool) pauseRemaining(now time.Time) time.Duration {
	var shortest time.Duration
	for _, u := range p.members {
		if !u.acceptsWork {
			continue
		}
		remaining := max(u.pausedUntil.Sub(now), u.coldWait(now))
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

// forecast is the expected time and work of a request at one upstream.
type forecast struct {
	// firstOutput is the time to the first output; ownTime is the part of it that the
	// request would take with nothing ahead.
	firstOutput, ownTime time.Duration
	// unreadTokens is the part of the prompt that has to be read, in tokens, and
	// unreadSharedTokens the number of them that other requests share.
	unreadTokens, unreadSharedTokens int
	// fetchedTokens is the number of tokens transferred from fetchFrom instead.
	fetchedTokens int
	// fetchFrom is the upstream to fetch cached parts of the prompt from, or nil.
	fetchFrom *upstream
	// nothingAhead is true if no prompt has to be read before and a slot is free.
	nothingAhead bool
	// onlyReservedSlots is true if the remaining slots are reserved for accounts that have
	// not used up their share.
	onlyReservedSlots bool
	// delaysStreams is true if reading the prompt would delay the streams at the upstream
	// beyond their limit.
	delaysStreams bool
}

// queueingTime returns how long the request waits behind others.
func (f forecast) queueingTime() time.Duration { return f.firstOutput - f.ownTime }

// partSource is where the shared parts of a prompt are cached.
type partSource struct {
	// holders are the upstreams that were recently sent the parts.
	holders partHolders
	// fetchFrom is the upstream to fetch the parts from, or nil, and keptShare the fraction
	// of them that it is expected to have cached.
	fetchFrom *upstream
	keptShare float64
}

// holds reports whether u is expected to have all the parts cached.
func (s partSource) holds(u *upstream) bool {
	return s.holders.contains(u)
}

// pick returns the upstream with the lowest cost for a request, or nil if the pool has
// none. A recently failed upstream is chosen only if there is no other.
func (p *pool) pick(a *Admitter, r *request) (*upstream, forecast) {
	best, f := p.pickUsable(a, r)
	if best == nil {
		home := p.home(a, r)
		best, f = p.cheapest(a, r, p.members, p.findParts(a, r, home), home, true)
	}
	return best, f
}

// pickUsable is pick without recently failed upstreams and without the one to avoid.
func (p *pool) pickUsable(a *Admitter, r *request) (*upstream, forecast) {
	home := p.home(a, r)
	src := p.findParts(a, r, home)
	best, f := p.cheapest(a, r, p.candidates(a, home, src), src, home, false)
	if best == nil {
		best, f = p.cheapest(a, r, p.members, src, home, false)
	}
	return best, f
}

// cheapest returns the candidate with the lowest cost for a request, or nil. With
// allowFailed, recently failed upstreams and the one to avoid are candidates too.
func (p *pool) cheapest(a *Admitter, r *request, candidates []*upstream, src partSource, home *upstream, allowFailed bool) (*upstream, forecast) {
	var best *upstream
	var bestForecast forecast
	var lowestCost time.Duration
	lowestKeptOff := streamDelayPenalty
	for _, u := range candidates {
		if !u.serves(r) || !u.usable(a.now, allowFailed) || u.id == r.avoid && !allowFailed {
			continue
		}
		f := u.forecast(a, r, u == home, src)
		cost := p.cost(u, f) + a.coldCost(u, f)
		if f.delaysStreams {
			lowestKeptOff = min(lowestKeptOff, cost)
			cost += streamDelayPenalty
		}
		if best == nil || cost < lowestCost {
			best, bestForecast, lowestCost = u, f, cost
		}
	}
	if best != nil && lowestKeptOff < lowestCost {
		a.keptOffCount.Add(1)
	}
	return best, bestForecast
}

// findParts returns where the shared parts of a prompt are cached: the upstream that some
// router recently sent them to, otherwise their home, which is expected to have most of
// them.
func (p *pool) findParts(a *Admitter, r *request, home *upstream) partSource {
	s := partSource{holders: p.holders.find(a.now, r.arrive.Work.Prompt)}
	for _, h := range s.holders {
		if h.upstream != nil && h.upstream.pool == p && h.upstream.serves(r) && h.upstream.healthy(a.now) {
			s.fetchFrom, s.keptShare = h.upstream, 1
			return s
		}
	}
	s.fetchFrom, s.keptShare = home, homeCachedShare
	return s
}

// cost returns the cost of a request at u to its caller and to other requests, as a duration.
func (p *pool) cost(u *upstream, f forecast) time.Duration {
	cost := f.firstOutput + u.penalty()
	cost += time.Duration(rereadPenalty * float64(f.unreadSharedTokens) * p.readSpeed.secondsPerToken * float64(time.Second))
	if f.fetchFrom != nil {
		cost += fetchPenalty + time.Duration(fetchedReadShare*float64(f.fetchedTokens)*p.readSpeed.secondsPerToken*float64(time.Second))
	}
	return cost
}

// home returns the upstream that every router prefers for the shared part of a prompt, by
// rendezvous hashing; nil if no part is shared.
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
	if home != nil && home.serves(r) && home.healthy(a.now) {
		return home
	}
	return p.highestRanked(shared, func(u *upstream) bool { return u.serves(r) && u.healthy(a.now) })
}

// highestRanked returns the eligible upstream that ranks highest for a shared part, by an
// order that is the same on every router; nil if none is eligible.
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

// cacheHome caches the home of a shared part. A full cache is cleared.
func (p *pool) cacheHome(shared messenger.PartID, home *upstream) {
	if len(p.homes) >= maxHomes {
		clear(p.homes)
	}
	if p.homes == nil {
		p.homes = make(map[messenger.PartID]*upstream)
	}
	p.homes[shared] = home
}

// membersChanged resets the state that was derived from the previous members.
func (p *pool) membersChanged() {
	p.sortMembers()
	p.evacuated = p.isEvacuated()
	p.shortlist = shortlist{}
	clear(p.homes)
}

// mixBits is a 64-bit hash finalizer: it spreads each input bit over the whole result.
func mixBits(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
