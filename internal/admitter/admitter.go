// Package admitter decides for one router which requests are sent to an
// upstream now, which wait a moment, and which are refused at once.
//
// It answers the load pattern of a fleet whose demand swings above what its
// engines can do: for seconds a third or more of the requests cannot be served
// in time, whatever is done. A request that cannot meet its objective would
// only delay those that can, so it is refused on arrival, or after a short
// wait for room, and told when to come back. While there is not enough for
// all, client accounts that ask for more than their max-min share of the
// fleet's throughput give way to the others; while there is enough, nobody
// waits. Engines admit in order of arrival, so little is left waiting inside
// them.
//
// The decisions do no I/O: a router feeds an Admitter events and carries out
// its actions. What other routers do with the same upstreams comes in with
// PeerLoad and goes out with NextPeerLoad.
//
// # Usage
//
//	a := admitter.New(admitter.Config{Self: "r1", Domain: "riga-a", Seed: 1})
//	a.Handle(now, messenger.PolicyChange{Policy: policy})
//	for _, action := range a.Handle(now, messenger.Arrive{...}) { ... }
package admitter

import (
	"math"
	"math/rand/v2"
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
)

const (
	// holdShare is the part of its objective that a request may wait for room
	// before it is refused.
	maxQueueingShare = 0.125
	// inTime is the part of a request's objective that the expected time to its
	// first output may take: forecasts err, and the answer has to travel.
	forecastShare = 0.65
	// latestReach is the part of its objective that the first output of a request
	// may take whose account gets next to nothing of its share: late is better
	// than never.
	underservedForecastShare = 2
	// patience is the part of its objective that a request may wait for others
	// even if its own prompt takes the rest: what is large is not to starve.
	minWaitShare = 0.12
	// defaultObjective serves requests whose route has none.
	defaultObjective = time.Second
	// lateShare is the part of the time to the deadline that a request for a
	// plain service may be expected to take.
	deadlineShare = 0.5
)

// Config is the settings of an Admitter.
type Config struct {
	Self messenger.RouterID
	// Domain is the failure domain that the router stands in.
	Domain string
	// Seed seeds the spread of the times at which refused callers come back.
	Seed uint64
}

// Admitter decides for one router. It is not safe for concurrent use.
type Admitter struct {
	cfg            Config
	rand           *rand.Rand
	now            time.Time
	policy         *messenger.Policy
	pools          map[messenger.PoolID]*pool
	upstreams      map[messenger.UpstreamID]*upstream
	upstreamsByKey map[messenger.Key]*upstream
	requests       map[messenger.RequestID]*request
	shares         shares
	peers          map[messenger.RouterID]*peer
	// shared is when the other routers were last told of this one, shareEvery
	// the time between two such messages.
	lastPeerLoad     time.Time
	peerLoadInterval time.Duration
	// ticked is when the last tick was.
	lastTick time.Time
	actions  []messenger.Action
	// weighed counts the forecasts that were made.
	forecastCount uint64
}

// request is one request that waits or runs.
type request struct {
	arrive    messenger.Arrive
	pool      *pool
	arrivedAt time.Time
	// holdUntil is when a waiting request is refused.
	queueDeadline time.Time
	cost          float64
	// beyond is true if the account had used up its share at the arrival.
	overShare bool

	// tried is what was expected when it was last looked at and not sent.
	denied denial

	// at is where the request runs; nil while it waits.
	upstream      *upstream
	avoid         messenger.UpstreamID
	sentAt        time.Time
	firstOutputAt time.Time
	// reads is what the engine has to read of the prompt, in tokens, and expected
	// the time to the first output that was forecast, with what this router adds.
	unreadTokens        int
	expectedFirstOutput time.Duration
	// clear is true if nothing was ahead of the request when it was sent.
	nothingAhead bool
	// late is true once the first output has taken longer than the objective.
	missedObjective bool
	// silent is true once the upstream was silent for as long as the route allows.
	progressTimedOut bool
}

// New returns an Admitter without a policy.
func New(cfg Config) *Admitter {
	return &Admitter{
		cfg: cfg, rand: rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)),
		pools:          make(map[messenger.PoolID]*pool),
		upstreams:      make(map[messenger.UpstreamID]*upstream),
		upstreamsByKey: make(map[messenger.Key]*upstream),
		requests:       make(map[messenger.RequestID]*request),
		peers:          make(map[messenger.RouterID]*peer),
	}
}

// Handle decides about one event. The returned actions are valid until the
// next call.
func (a *Admitter) Handle(now time.Time, e messenger.Event) []messenger.Action {
	a.now = now
	a.actions = a.actions[:0]
	switch e := e.(type) {
	case messenger.Arrive:
		a.handleArrive(e)
	case messenger.Progress:
		a.handleProgress(e)
	case messenger.Finish:
		a.handleFinish(e)
	case messenger.Silent:
		a.handleSilent(e)
	case messenger.Abandon:
		a.handleAbandon(e)
	case messenger.LoadReport:
		a.handleLoadReport(e)
	case messenger.Pause:
		a.handlePause(e)
	case messenger.PeerLoad:
		a.handlePeerLoad(e)
	case messenger.PeerLost:
		a.removePeer(e.Router)
		a.rankRouters()
	case messenger.PolicyChange:
		a.setPolicy(e.Policy)
	case messenger.Tick:
		a.handleTick()
	}
	return a.actions
}

// ForecastCount returns how many upstreams were weighed for requests since the start: most of
// what decisions cost.
func (a *Admitter) ForecastCount() uint64 { return a.forecastCount }

func (a *Admitter) emit(action messenger.Action) { a.actions = append(a.actions, action) }

// arrive sends a request, lets it wait, or refuses it.
func (a *Admitter) handleArrive(e messenger.Arrive) {
	p, ok := a.pools[e.Pool]
	if !ok {
		a.emit(messenger.Refuse{Request: e.Request, Reason: messenger.RefuseNoUpstream, RetryAfter: noUpstreamRetryAfter})
		return
	}
	if e.Objective <= 0 {
		e.Objective = defaultObjective
	}
	r := &request{arrive: e, pool: p, arrivedAt: a.now, cost: e.Work.Cost()}
	r.queueDeadline = a.now.Add(time.Duration(maxQueueingShare * float64(e.Objective)))
	if p.engine {
		r.overShare = a.shares.addDemand(a.now, e.Account, r.cost)
	}
	a.requests[e.Request] = r
	if a.trySend(r) {
		return
	}
	if p.pauseRemaining(a.now) > r.queueDeadline.Sub(a.now) || a.cannotBeServed(r) {
		delete(a.requests, e.Request)
		a.refuse(r)
		return
	}
	p.waiting = append(p.waiting, r)
}

// place sends a request to the best upstream if it can be served in time.
func (a *Admitter) trySend(r *request) bool {
	u, f := r.pool.pick(a, r)
	if u == nil {
		r.denied = denial{}
		return false
	}
	return a.trySendTo(r, u, f)
}

// placeAt sends a request to an upstream if what is expected of it there is in time.
func (a *Admitter) trySendTo(r *request, u *upstream, f forecast) bool {
	maxWait := a.maxWait(r, f)
	if r.overShare && f.onlyReservedSlots || a.now.Sub(r.arrivedAt)+f.queueingTime() > maxWait {
		r.denied = denial{upstream: u, forecast: f, maxWait: maxWait, decidedAt: a.now}
		return false
	}
	a.send(r, u, f)
	return true
}

// limit returns how long a request may wait for others, from its arrival on, to
// be worth sending where f is expected of it.
func (a *Admitter) maxWait(r *request, f forecast) time.Duration {
	if !r.pool.engine {
		return a.maxWaitPlain(r, f)
	}
	objective := float64(r.arrive.Objective)
	if r.overShare {
		return time.Duration(forecastShare*objective*(1-r.pool.reservedShare/maxReserve)) - f.ownTime
	}
	limitShare := forecastShare + a.shares.shortfall(r.arrive.Account)*(underservedForecastShare-forecastShare)
	return max(time.Duration(limitShare*objective)-f.ownTime, time.Duration(minWaitShare*objective))
}

// plainLimit is the limit of a request for a plain service, whose caller is
// served as well if the answer comes late.
func (a *Admitter) maxWaitPlain(r *request, f forecast) time.Duration {
	if r.arrive.Deadline.IsZero() {
		return math.MaxInt64
	}
	remaining := r.arrive.Deadline.Sub(a.now)
	return a.now.Sub(r.arrivedAt) + time.Duration(deadlineShare*float64(remaining)) - f.ownTime
}

func (a *Admitter) send(r *request, u *upstream, f forecast) { a.sendReplacing(r, u, f, "") }

// sendInstead sends a request to u, whose attempt takes the place of that at another
// upstream if instead names one.
func (a *Admitter) sendReplacing(r *request, u *upstream, f forecast, replaced messenger.UpstreamID) {
	firstAttempt := r.sentAt.IsZero()
	r.upstream, r.sentAt, r.firstOutputAt, r.missedObjective, r.progressTimedOut = u, a.now, time.Time{}, false, false
	r.unreadTokens, r.nothingAhead = f.unreadTokens, f.nothingAhead
	r.expectedFirstOutput = time.Duration(float64(f.firstOutput) * r.pool.medianError)
	u.addRequest(a.now, r)
	r.pool.shortlist.sends++
	if r.pool.engine && r.arrive.Work.Output > 0 {
		a.shares.addServed(a.now, r.arrive.Account, r.cost)
		if firstAttempt && !r.overShare {
			a.shares.recordAdmitted()
		}
		r.pool.recordPrompt(a.now, u, r, f)
	}
	d := messenger.Dispatch{Request: r.arrive.Request, Upstream: u.id, Instead: replaced}
	if f.fetchFrom != nil {
		d.FetchFrom = f.fetchFrom.id
	}
	a.emit(d)
}

// progress notes the first output of a request.
func (a *Admitter) handleProgress(e messenger.Progress) {
	r, ok := a.requests[e.Request]
	if !ok || r.upstream == nil || !r.firstOutputAt.IsZero() {
		return
	}
	r.firstOutputAt = a.now
	r.upstream.recordFirstOutput(a.now, r)
}

// finish takes in the end of an attempt and uses the room that it leaves.
func (a *Admitter) handleFinish(e messenger.Finish) {
	r, ok := a.requests[e.Request]
	if !ok || r.upstream == nil || r.upstream.id != e.Upstream {
		return
	}
	u := r.upstream
	u.endAttempt(a.now, r, e)
	a.revertServed(r)
	r.upstream = nil
	if !e.Retry {
		delete(a.requests, e.Request)
		a.fillFreedSlot(r.pool, u)
		return
	}
	r.avoid = e.Upstream
	r.queueDeadline = a.now.Add(time.Duration(maxQueueingShare * float64(r.arrive.Objective)))
	if a.pools[r.pool.id] != r.pool {
		delete(a.requests, e.Request)
		a.refuse(r)
		return
	}
	if !a.sendRetry(r) {
		r.pool.waiting = append(r.pool.waiting, r)
	}
}

// silent notes that an upstream is silent with a request, which it keeps unless another one
// can go on with it.
func (a *Admitter) handleSilent(e messenger.Silent) {
	r, ok := a.requests[e.Request]
	if !ok || r.upstream == nil || r.upstream.id != e.Upstream {
		return
	}
	if !r.progressTimedOut {
		r.progressTimedOut = true
		r.upstream.recordOutcome(a.now, true)
	}
	if e.Elsewhere && a.pools[r.pool.id] == r.pool {
		a.relocate(r)
	}
}

// relocate sends a request that runs to another upstream, if one is usable.
func (a *Admitter) relocate(r *request) {
	previous, previousAvoid := r.upstream, r.avoid
	r.avoid = previous.id
	u, f := r.pool.pickUsable(a, r)
	if u == nil {
		r.avoid = previousAvoid
		return
	}
	previous.removeRequest(r)
	a.revertServed(r)
	a.sendReplacing(r, u, f, previous.id)
}

// settleService takes back what was noted as served with an attempt that has ended without
// an output. It answers the loss of engines that refuse connections: attempts at them
// take no time, and many of them would pass for engines that do more than before.
func (a *Admitter) revertServed(r *request) {
	if !r.pool.engine || r.arrive.Work.Output <= 0 || !r.firstOutputAt.IsZero() {
		return
	}
	a.shares.removeServed(a.now, r.sentAt, r.arrive.Account, r.cost)
}

// placeAgain sends a request that failed at an upstream to another. What was
// begun for a caller is not given up for a forecast.
func (a *Admitter) sendRetry(r *request) bool {
	u, f := r.pool.pick(a, r)
	if u == nil {
		return false
	}
	a.send(r, u, f)
	return true
}

// abandon forgets a request that waits.
func (a *Admitter) handleAbandon(e messenger.Abandon) {
	r, ok := a.requests[e.Request]
	if !ok || r.upstream != nil {
		return
	}
	r.pool.removeWaiting(r)
	delete(a.requests, e.Request)
}

// tick serves and refuses what waits, and forgets what is out of date.
func (a *Admitter) handleTick() {
	a.expirePeers()
	if a.shares.update(a.now, a.throughput(), a.peers) {
		a.updatePools()
	}
	meanWeight := decayFactor(min(a.now.Sub(a.lastTick), peerRunningHalfLife), peerRunningHalfLife)
	a.lastTick = a.now
	for _, u := range a.upstreams {
		u.recordMissedObjectives(a.now)
		u.smoothPeerRunning(meanWeight)
	}
	for _, p := range a.pools {
		p.expireParts(a.now)
		a.sendWaiting(p)
		a.refuseExpired(p)
	}
}

// divide works out this router's part of the demand.
func (a *Admitter) updatePools() {
	demandShare := a.shares.demandShare(1 / float64(a.routerCount()))
	reservedShare := a.shares.fleetReserve(a.peers)
	peerLoadAge := a.maxPeerLoadAge().Seconds()
	for _, p := range a.pools {
		p.demandShare, p.reservedShare = demandShare, reservedShare
		p.mergePeerStats(a.peers)
		p.updateMedianError()
		p.shortRequests = p.model.held < peerLoadAge
	}
}

// throughput returns what the engines do in a second, as Work.Cost counts it.
func (a *Admitter) throughput() float64 {
	if a.policy == nil {
		return 0
	}
	return a.policy.Throughput
}

// change puts a policy in force.
func (a *Admitter) setPolicy(policy *messenger.Policy) {
	a.policy = policy
	for id, poolPolicy := range policy.Pools {
		p, ok := a.pools[id]
		if !ok {
			p = newPool(id)
			a.pools[id] = p
		}
		p.setPolicy(poolPolicy)
	}
	for id := range a.pools {
		if _, ok := policy.Pools[id]; !ok {
			a.removePool(id)
		}
	}
	a.setUpstreams(policy)
}

// removePool refuses what waits for a pool that no route uses.
func (a *Admitter) removePool(id messenger.PoolID) {
	for _, r := range a.pools[id].waiting {
		delete(a.requests, r.arrive.Request)
		a.refuse(r)
	}
	delete(a.pools, id)
}

func (a *Admitter) setUpstreams(policy *messenger.Policy) {
	for _, p := range a.pools {
		clear(p.members)
		p.members = p.members[:0]
	}
	for id, up := range policy.Upstreams {
		p, ok := a.pools[up.Pool]
		if !ok {
			continue
		}
		u, known := a.upstreams[id]
		if !known {
			u = newUpstream(id, p)
			a.upstreams[id] = u
			a.upstreamsByKey[messenger.KeyOf(id)] = u
		}
		u.setPolicy(up, p, a.cfg.Domain)
		p.members = append(p.members, u)
	}
	for id, u := range a.upstreams {
		if _, ok := policy.Upstreams[id]; ok {
			continue
		}
		u.acceptsWork = false
		if u.running == 0 {
			delete(a.upstreams, id)
			delete(a.upstreamsByKey, messenger.KeyOf(id))
		}
	}
	for _, p := range a.pools {
		p.membersChanged()
	}
	a.rankRouters()
}
