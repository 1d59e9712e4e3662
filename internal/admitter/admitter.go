// Package admitter decides, for one router, which requests are sent to an upstream now,
// which are queued for a short time, and which are refused immediately.
//
// It is designed for a fleet whose demand can exceed the capacity of its engines: for
// seconds, a third or more of the requests cannot be served within their objective by any
// schedule. A request that cannot meet its objective would only delay those that can. It is
// therefore refused on arrival, or after a short time in the queue, with a Retry-After.
// Under overload, client accounts that demand more than their max-min fair share of the
// fleet's throughput yield to the others; without overload, no request is held back.
// Engines admit requests in order of arrival, so only few requests are left queued inside
// them.
//
// The decisions do no I/O: the router passes events to an Admitter and carries out the
// actions it returns. The load that other routers put on the same upstreams arrives in
// PeerLoad events; the load of this router is sent to them with NextPeerLoad.
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
	"sync/atomic"
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
	"lentilwood.example/lentilwood/internal/pacer"
)

const (
	// maxQueueingShare is the maximum queueing time of a request, as a fraction of its
	// objective.
	maxQueueingShare = 0.125
	// forecastShare is the fraction of a request's objective that the forecast time to its
	// first output may take. The rest allows for forecast errors and for the transfer of
	// the answer.
	forecastShare = 0.65
	// underservedForecastShare replaces forecastShare for a request of an account that is
	// served nothing of its share, and in part if it is served too little: a late answer is
	// better than none.
	underservedForecastShare = 2
	// resumedForecastShare replaces forecastShare for a request that resumes a stream: its caller waits for
	// the rest of what it has, for about as long as for several first outputs.
	resumedForecastShare = 3
	// minWaitShare is the fraction of its objective that a request may always wait behind
	// others, even if reading its own prompt takes the rest. Without it, requests with large
	// prompts would never be sent.
	minWaitShare = 0.12
	// defaultObjective is the objective of requests whose route sets none.
	defaultObjective = time.Second
	// deadlineShare is the fraction of the time to its deadline that a request to a plain
	// service may be forecast to take.
	deadlineShare = 0.5
)

// Config is the configuration of an Admitter.
type Config struct {
	Self messenger.RouterID
	// Domain is the failure domain of the router.
	Domain string
	// Seed seeds the random retry times of refused requests.
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
	upstreamsByKey map[messenger.NameHash]*upstream
	requests       map[messenger.RequestID]*request
	shares         shares
	pacer          *pacer.Pacer
	coldStats      ColdStats
	// limitsCold is true if some pool has a limit for cold upstreams.
	limitsCold bool
	// quiet is true while this router has little traffic, quietSince since when.
	quiet      bool
	quietSince time.Time
	peers      map[messenger.RouterID]*peer
	// peerLoadSentAt is the time at which the last load message was sent to the other
	// routers, peerLoadInterval the time between the last two.
	peerLoadSentAt   time.Time
	peerLoadInterval time.Duration
	// lastTick is the time of the last Tick event.
	lastTick time.Time
	actions  []messenger.Action
	// forecastCount counts the forecasts made since the start.
	forecastCount uint64
	// keptOffCount counts the requests kept off an upstream because of the streams there.
	keptOffCount atomic.Uint64
	// lateUpstreams counts the upstreams on which reading delays streams beyond their limit.
	lateUpstreams atomic.Int64
	// speedChanges are the changes since the last TakeSpeedChanges.
	speedChanges []SpeedChange
}

// request is a request that is queued or runs on an upstream.
type request struct {
	arrive    messenger.Arrive
	pool      *pool
	arrivedAt time.Time
	// queueDeadline is the time at which the request is refused if it is still queued.
	queueDeadline time.Time
	cost          float64
	// overShare is true if the account had used up its share when the request arrived.
	overShare bool

	// lastDenial describes the last decision not to send the request.
	lastDenial denial

	// upstream is where the request runs; nil while it is queued.
	upstream *upstream
	// avoid is the upstream where the last attempt failed or is silent; empty means none.
	avoid         messenger.UpstreamID
	sentAt        time.Time
	firstOutputAt time.Time
	// unreadTokens is the part of the prompt that the engine has to read, in tokens.
	// expectedFirstOutput is the forecast time to the first output, including the delay that this
	// router adds.
	unreadTokens        int
	expectedFirstOutput time.Duration
	// nothingAhead is true if the upstream had no prompt to read and a free slot when the
	// request was sent.
	nothingAhead bool
	// missedObjective is true once the first output has taken longer than the objective.
	missedObjective bool
	// progressTimedOut is true once the upstream has sent nothing for the progress timeout
	// of the route.
	progressTimedOut bool
	// replaced is the request as it was before it was last relocated, or nil.
	replaced *request
}

// New returns an Admitter without a policy.
func New(cfg Config) *Admitter {
	return &Admitter{
		cfg: cfg, rand: rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)),
		pools:          make(map[messenger.PoolID]*pool),
		upstreams:      make(map[messenger.UpstreamID]*upstream),
		upstreamsByKey: make(map[messenger.NameHash]*upstream),
		requests:       make(map[messenger.RequestID]*request),
		peers:          make(map[messenger.RouterID]*peer),
		pacer:          pacer.New(messenger.HashName(cfg.Self)),
	}
}

// Handle processes one event. The returned actions are valid until the next call.
func (a *Admitter) Handle(now time.Time, e messenger.Event) []messenger.Action {
	a.now = now
	a.pacer.Advance(now)
	a.actions = a.actions[:0]
	switch e := e.(type) {
	case messenger.Arrive:
		a.handleArrive(e)
	case messenger.Progress:
		a.handleProgress(e)
	case messenger.Finish:
		a.handleFinish(e)
	case messenger.UpstreamSilent:
		a.handleSilent(e)
	case messenger.Abandon:
		a.handleAbandon(e)
	case messenger.LoadReport:
		a.handleLoadReport(e)
	case messenger.StreamTimes:
		a.handleStreamTimes(e)
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

// ForecastCount returns the number of forecasts, each of one request at one upstream, made
// since the start. Forecasts account for most of the CPU time of a decision.
func (a *Admitter) ForecastCount() uint64 { return a.forecastCount }

func (a *Admitter) emit(action messenger.Action) { a.actions = append(a.actions, action) }

// handleArrive sends a request, queues it, or refuses it.
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
	if e.Resumed {
		r.cost = e.Work.RestCost(e.ReceivedTokens)
	}
	r.queueDeadline = a.now.Add(r.maxQueueing())
	if p.hasEngines {
		r.overShare = a.addDemand(r)
		p.pace.recordPauseLimit(a.now, e.PauseLimit)
	}
	a.requests[e.Request] = r
	if a.trySend(r) {
		return
	}
	if p.evacuated || !p.hasVersionOf(r) || p.pauseRemaining(a.now) > r.queueDeadline.Sub(a.now) || a.cannotBeServed(r) {
		delete(a.requests, e.Request)
		a.refuse(r)
		return
	}
	p.waiting = append(p.waiting, r)
}

// trySend sends a request to the best upstream if it is forecast to be served in time.
func (a *Admitter) trySend(r *request) bool {
	u, f := r.pool.pick(a, r)
	if u == nil {
		r.lastDenial = denial{}
		return false
	}
	return a.trySendTo(r, u, f) || a.trySendCold(r)
}

// trySendTo sends a request to u if forecast f is within the limits; otherwise it records
// why not.
func (a *Admitter) trySendTo(r *request, u *upstream, f forecast) bool {
	maxWait := a.maxWait(r, f)
	if f.delaysStreams || r.overShare && f.onlyReservedSlots || a.now.Sub(r.arrivedAt)+f.queueingTime() > maxWait {
		r.lastDenial = denial{upstream: u, forecast: f, maxWait: maxWait, decidedAt: a.now}
		return false
	}
	a.send(r, u, f)
	return true
}

// maxWait returns how long a request may wait behind others, counted from its arrival, to
// be sent with forecast f. The limit is lower for a request over its account's share, and
// falls as the reserve grows. It is higher for an account that is served less than its share.
func (a *Admitter) maxWait(r *request, f forecast) time.Duration {
	if !r.pool.hasEngines {
		return a.maxWaitPlain(r, f)
	}
	objective := float64(r.arrive.Objective)
	if r.overShare {
		return time.Duration(forecastShare*objective*(1-r.pool.reservedShare/maxReserve)) - f.ownTime
	}
	limitShare := forecastShare + a.shares.shortfall(r.arrive.Account)*(underservedForecastShare-forecastShare)
	if r.arrive.Resumed {
		limitShare = resumedForecastShare
	}
	return max(time.Duration(limitShare*objective)-f.ownTime, time.Duration(minWaitShare*objective))
}

// maxWaitPlain is maxWait for a request to a plain service. Its caller is served as well by a
// late answer, so only the deadline limits the wait.
func (a *Admitter) maxWaitPlain(r *request, f forecast) time.Duration {
	if r.arrive.Deadline.IsZero() {
		return math.MaxInt64
	}
	remaining := r.arrive.Deadline.Sub(a.now)
	return a.now.Sub(r.arrivedAt) + time.Duration(deadlineShare*float64(remaining)) - f.ownTime
}

func (a *Admitter) send(r *request, u *upstream, f forecast) { a.sendReplacing(r, u, f, "") }

// sendReplacing sends a request to u. The new attempt replaces the one on the upstream
// replaced, if that is not empty.
func (a *Admitter) sendReplacing(r *request, u *upstream, f forecast, replaced messenger.UpstreamID) {
	firstAttempt := r.sentAt.IsZero()
	r.upstream, r.sentAt, r.firstOutputAt, r.missedObjective, r.progressTimedOut = u, a.now, time.Time{}, false, false
	r.unreadTokens, r.nothingAhead = f.unreadTokens, f.nothingAhead
	r.expectedFirstOutput = time.Duration(float64(f.firstOutput) * r.pool.medianError)
	u.addRequest(a.now, r)
	writeBy := a.takePermit(u)
	r.pool.shortlist.sends++
	if r.pool.hasEngines && r.arrive.Work.MaxOutputTokens > 0 {
		a.shares.addServed(a.now, r.arrive.Account, r.cost)
		if firstAttempt && !r.overShare {
			a.shares.recordAdmitted()
		}
		r.pool.recordPrompt(a.now, u, r, f)
	}
	d := messenger.Dispatch{Request: r.arrive.Request, Upstream: u.id, Replaces: replaced, WriteBy: writeBy}
	if f.fetchFrom != nil {
		d.FetchFrom = f.fetchFrom.id
	}
	a.emit(d)
}

// handleProgress records the first output of a request.
func (a *Admitter) handleProgress(e messenger.Progress) {
	r, ok := a.requests[e.Request]
	if !ok || r.upstream == nil || !r.firstOutputAt.IsZero() {
		return
	}
	r.firstOutputAt = a.now
	r.upstream.recordFirstOutput(a.now, r)
}

// handleFinish processes the end of an attempt and reuses the slot that became free.
func (a *Admitter) handleFinish(e messenger.Finish) {
	r, ok := a.requests[e.Request]
	if !ok || r.upstream == nil || r.upstream.id != e.Upstream {
		return
	}
	u := r.upstream
	u.endAttempt(a.now, r, e)
	a.revertServed(r)
	r.upstream = nil
	if a.returnToReplaced(r, e) {
		a.fillFreedSlot(r.pool, u)
		return
	}
	if !e.Retry {
		delete(a.requests, e.Request)
		a.fillFreedSlot(r.pool, u)
		return
	}
	r.avoid = e.Upstream
	r.queueDeadline = a.now.Add(time.Duration(maxQueueingShare * float64(r.arrive.Objective)))
	if a.pools[r.pool.id] != r.pool || r.pool.evacuated || !r.pool.hasVersionOf(r) {
		delete(a.requests, e.Request)
		a.refuse(r)
		return
	}
	if !a.sendRetry(r) {
		r.pool.waiting = append(r.pool.waiting, r)
	}
}

// handleSilent records that an upstream exceeded the progress timeout of a request. The
// request stays there unless another upstream is usable and can resume it.
func (a *Admitter) handleSilent(e messenger.UpstreamSilent) {
	r, ok := a.requests[e.Request]
	if !ok || r.upstream == nil || r.upstream.id != e.Upstream {
		return
	}
	if !r.progressTimedOut {
		r.progressTimedOut = true
		r.upstream.recordOutcome(a.now, true)
	}
	if e.CanMove && a.pools[r.pool.id] == r.pool {
		a.relocate(r)
	}
}

// relocate moves a running request to another upstream if one is usable.
func (a *Admitter) relocate(r *request) {
	before := *r
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
	before.replaced = nil
	r.replaced = &before
}

// revertServed deducts an attempt that ended without output from the served rate of its
// account. Engines that refuse connections end attempts immediately; if many such attempts
// counted as served, the throughput would appear to have grown.
func (a *Admitter) revertServed(r *request) {
	if !r.pool.hasEngines || r.arrive.Work.MaxOutputTokens <= 0 || !r.firstOutputAt.IsZero() {
		return
	}
	a.shares.removeServed(a.now, r.sentAt, r.arrive.Account, r.cost)
}

// sendRetry sends a request whose attempt failed to another upstream, whatever its forecast
// is: a request that was admitted once is not refused because of a forecast.
func (a *Admitter) sendRetry(r *request) bool {
	u, f := r.pool.pick(a, r)
	if u == nil {
		return false
	}
	a.send(r, u, f)
	return true
}

// handleAbandon removes a queued request whose caller has gone.
func (a *Admitter) handleAbandon(e messenger.Abandon) {
	r, ok := a.requests[e.Request]
	if !ok || r.upstream != nil {
		return
	}
	r.pool.removeWaiting(r)
	delete(a.requests, e.Request)
}

// handleTick sends or refuses queued requests and expires outdated state.
func (a *Admitter) handleTick() {
	a.expirePeers()
	if a.shares.update(a.now, a.throughput(), a.peers) {
		a.updatePools()
	}
	previousWeight := decayFactor(min(a.now.Sub(a.lastTick), peerRunningHalfLife), peerRunningHalfLife)
	a.lastTick = a.now
	a.listColdUpstreams()
	for _, u := range a.upstreams {
		u.recordMissedObjectives(a.now)
		u.smoothPeerRunning(previousWeight)
	}
	for _, p := range a.pools {
		p.expireParts(a.now)
		a.sendWaiting(p)
		a.refuseExpired(p)
	}
}

// updatePools updates the pools' shares, statistics and reservations from this router's
// accounts and from the other routers.
func (a *Admitter) updatePools() {
	demandShare := a.shares.demandShare(1 / float64(a.routerCount()))
	reservedShare := a.shares.fleetReserve(a.peers)
	a.updateQuiet(demandShare)
	peerLoadAge := a.maxPeerLoadAge().Seconds()
	late := 0
	for _, p := range a.pools {
		p.demandShare, p.reservedShare = demandShare, reservedShare
		p.mergePeerStats(a.peers)
		p.updateMedianError()
		p.updateSpeeds(a)
		late += p.pace.pausingCount
		p.shortRequests = p.model.heldSeconds < peerLoadAge
	}
	a.lateUpstreams.Store(int64(late))
}

// throughput returns the stated throughput of all engines, in units of Work.Cost per
// second.
func (a *Admitter) throughput() float64 {
	if a.policy == nil {
		return 0
	}
	return a.policy.Throughput
}
