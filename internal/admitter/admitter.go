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
	holdShare = 0.125
	// inTime is the part of a request's objective that the expected time to its
	// first output may take: forecasts err, and the answer has to travel.
	inTime = 0.65
	// latestReach is the part of its objective that the first output of a request
	// may take whose account gets next to nothing of its share: late is better
	// than never.
	latestReach = 2
	// patience is the part of its objective that a request may wait for others
	// even if its own prompt takes the rest: what is large is not to starve.
	patience = 0.12
	// defaultObjective serves requests whose route has none.
	defaultObjective = time.Second
	// lateShare is the part of the time to the deadline that a request for a
	// plain service may be expected to take.
	lateShare = 0.5
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
	cfg       Config
	rand      *rand.Rand
	now       time.Time
	policy    *messenger.Policy
	pools     map[messenger.PoolID]*pool
	upstreams map[messenger.UpstreamID]*upstream
	byKey     map[messenger.Key]*upstream
	requests  map[messenger.RequestID]*request
	shares    shares
	peers     map[messenger.RouterID]*peer
	// shared is when the other routers were last told of this one, shareEvery
	// the time between two such messages.
	shared     time.Time
	shareEvery time.Duration
	// ticked is when the last tick was.
	ticked  time.Time
	actions []messenger.Action
	// weighed counts the forecasts that were made.
	weighed uint64
}

// request is one request that waits or runs.
type request struct {
	arrive  messenger.Arrive
	pool    *pool
	arrived time.Time
	// holdUntil is when a waiting request is refused.
	holdUntil time.Time
	cost      float64
	// beyond is true if the account had used up its share at the arrival.
	beyond bool

	// tried is what was expected when it was last looked at and not sent.
	tried trial

	// at is where the request runs; nil while it waits.
	at      *upstream
	avoid   messenger.UpstreamID
	sent    time.Time
	started time.Time
	// reads is what the engine has to read of the prompt, in tokens, and expected
	// the time to the first output that was forecast, with what this router adds.
	reads    int
	expected time.Duration
	// clear is true if nothing was ahead of the request when it was sent.
	clear bool
	// late is true once the first output has taken longer than the objective.
	late bool
	// silent is true once the upstream was silent for as long as the route allows.
	silent bool
}

// New returns an Admitter without a policy.
func New(cfg Config) *Admitter {
	return &Admitter{
		cfg: cfg, rand: rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)),
		pools:     make(map[messenger.PoolID]*pool),
		upstreams: make(map[messenger.UpstreamID]*upstream),
		byKey:     make(map[messenger.Key]*upstream),
		requests:  make(map[messenger.RequestID]*request),
		peers:     make(map[messenger.RouterID]*peer),
	}
}

// Handle decides about one event. The returned actions are valid until the
// next call.
func (a *Admitter) Handle(now time.Time, e messenger.Event) []messenger.Action {
	a.now = now
	a.actions = a.actions[:0]
	switch e := e.(type) {
	case messenger.Arrive:
		a.arrive(e)
	case messenger.Progress:
		a.progress(e)
	case messenger.Finish:
		a.finish(e)
	case messenger.Silent:
		a.silent(e)
	case messenger.Abandon:
		a.abandon(e)
	case messenger.LoadReport:
		a.report(e)
	case messenger.Pause:
		a.pause(e)
	case messenger.PeerLoad:
		a.hear(e)
	case messenger.PeerLost:
		a.forgetPeer(e.Router)
		a.orderRouters()
	case messenger.PolicyChange:
		a.change(e.Policy)
	case messenger.Tick:
		a.tick()
	}
	return a.actions
}

// ForecastCount returns how many upstreams were weighed for requests since the start: most of
// what decisions cost.
func (a *Admitter) ForecastCount() uint64 { return a.weighed }

func (a *Admitter) act(action messenger.Action) { a.actions = append(a.actions, action) }

// arrive sends a request, lets it wait, or refuses it.
func (a *Admitter) arrive(e messenger.Arrive) {
	p, ok := a.pools[e.Pool]
	if !ok {
		a.act(messenger.Refuse{Request: e.Request, Reason: messenger.RefuseNoUpstream, RetryAfter: noUpstreamDelay})
		return
	}
	if e.Objective <= 0 {
		e.Objective = defaultObjective
	}
	r := &request{arrive: e, pool: p, arrived: a.now, cost: e.Work.Cost()}
	r.holdUntil = a.now.Add(time.Duration(holdShare * float64(e.Objective)))
	if p.engine {
		r.beyond = a.shares.ask(a.now, e.Account, r.cost)
	}
	a.requests[e.Request] = r
	if a.place(r) {
		return
	}
	if p.pausedFor(a.now) > r.holdUntil.Sub(a.now) || a.hopeless(r) {
		delete(a.requests, e.Request)
		a.refuse(r)
		return
	}
	p.waiting = append(p.waiting, r)
}

// place sends a request to the best upstream if it can be served in time.
func (a *Admitter) place(r *request) bool {
	u, f := r.pool.pick(a, r)
	if u == nil {
		r.tried = trial{}
		return false
	}
	return a.placeAt(r, u, f)
}

// placeAt sends a request to an upstream if what is expected of it there is in time.
func (a *Admitter) placeAt(r *request, u *upstream, f forecast) bool {
	limit := a.limit(r, f)
	if r.beyond && f.roomless || a.now.Sub(r.arrived)+f.ahead() > limit {
		r.tried = trial{at: u, forecast: f, limit: limit, on: a.now}
		return false
	}
	a.send(r, u, f)
	return true
}

// limit returns how long a request may wait for others, from its arrival on, to
// be worth sending where f is expected of it.
func (a *Admitter) limit(r *request, f forecast) time.Duration {
	if !r.pool.engine {
		return a.plainLimit(r, f)
	}
	objective := float64(r.arrive.Objective)
	if r.beyond {
		return time.Duration(inTime*objective*(1-r.pool.reserve/mostReserve)) - f.own
	}
	reach := inTime + a.shares.shortfall(r.arrive.Account)*(latestReach-inTime)
	return max(time.Duration(reach*objective)-f.own, time.Duration(patience*objective))
}

// plainLimit is the limit of a request for a plain service, whose caller is
// served as well if the answer comes late.
func (a *Admitter) plainLimit(r *request, f forecast) time.Duration {
	if r.arrive.Deadline.IsZero() {
		return math.MaxInt64
	}
	left := r.arrive.Deadline.Sub(a.now)
	return a.now.Sub(r.arrived) + time.Duration(lateShare*float64(left)) - f.own
}

func (a *Admitter) send(r *request, u *upstream, f forecast) { a.sendInstead(r, u, f, "") }

// sendInstead sends a request to u, whose attempt takes the place of that at another
// upstream if instead names one.
func (a *Admitter) sendInstead(r *request, u *upstream, f forecast, instead messenger.UpstreamID) {
	first := r.sent.IsZero()
	r.at, r.sent, r.started, r.late, r.silent = u, a.now, time.Time{}, false, false
	r.reads, r.clear = f.reads, f.clear
	r.expected = time.Duration(float64(f.first) * r.pool.commonError)
	u.start(a.now, r)
	r.pool.shortlist.sends++
	if r.pool.engine && r.arrive.Work.Output > 0 {
		a.shares.serve(a.now, r.arrive.Account, r.cost)
		if first && !r.beyond {
			a.shares.tookIn()
		}
		r.pool.keep(a.now, u, r, f)
	}
	d := messenger.Dispatch{Request: r.arrive.Request, Upstream: u.id, Instead: instead}
	if f.source != nil {
		d.FetchFrom = f.source.id
	}
	a.act(d)
}

// progress notes the first output of a request.
func (a *Admitter) progress(e messenger.Progress) {
	r, ok := a.requests[e.Request]
	if !ok || r.at == nil || !r.started.IsZero() {
		return
	}
	r.started = a.now
	r.at.began(a.now, r)
}

// finish takes in the end of an attempt and uses the room that it leaves.
func (a *Admitter) finish(e messenger.Finish) {
	r, ok := a.requests[e.Request]
	if !ok || r.at == nil || r.at.id != e.Upstream {
		return
	}
	u := r.at
	u.end(a.now, r, e)
	a.settleService(r)
	r.at = nil
	if !e.Retry {
		delete(a.requests, e.Request)
		a.offerFreed(r.pool, u)
		return
	}
	r.avoid = e.Upstream
	r.holdUntil = a.now.Add(time.Duration(holdShare * float64(r.arrive.Objective)))
	if a.pools[r.pool.id] != r.pool {
		delete(a.requests, e.Request)
		a.refuse(r)
		return
	}
	if !a.placeAgain(r) {
		r.pool.waiting = append(r.pool.waiting, r)
	}
}

// silent notes that an upstream is silent with a request, which it keeps unless another one
// can go on with it.
func (a *Admitter) silent(e messenger.Silent) {
	r, ok := a.requests[e.Request]
	if !ok || r.at == nil || r.at.id != e.Upstream {
		return
	}
	if !r.silent {
		r.silent = true
		r.at.note(a.now, true)
	}
	if e.Elsewhere && a.pools[r.pool.id] == r.pool {
		a.relocate(r)
	}
}

// relocate sends a request that runs to another upstream, if one is usable.
func (a *Admitter) relocate(r *request) {
	before, avoided := r.at, r.avoid
	r.avoid = before.id
	u, f := r.pool.pickUsable(a, r)
	if u == nil {
		r.avoid = avoided
		return
	}
	before.release(r)
	a.settleService(r)
	a.sendInstead(r, u, f, before.id)
}

// settleService takes back what was noted as served with an attempt that has ended without
// an output. It answers the loss of engines that refuse connections: attempts at them
// take no time, and many of them would pass for engines that do more than before.
func (a *Admitter) settleService(r *request) {
	if !r.pool.engine || r.arrive.Work.Output <= 0 || !r.started.IsZero() {
		return
	}
	a.shares.takeBack(a.now, r.sent, r.arrive.Account, r.cost)
}

// placeAgain sends a request that failed at an upstream to another. What was
// begun for a caller is not given up for a forecast.
func (a *Admitter) placeAgain(r *request) bool {
	u, f := r.pool.pick(a, r)
	if u == nil {
		return false
	}
	a.send(r, u, f)
	return true
}

// abandon forgets a request that waits.
func (a *Admitter) abandon(e messenger.Abandon) {
	r, ok := a.requests[e.Request]
	if !ok || r.at != nil {
		return
	}
	r.pool.drop(r)
	delete(a.requests, e.Request)
}

// tick serves and refuses what waits, and forgets what is out of date.
func (a *Admitter) tick() {
	a.forgetSilent()
	if a.shares.settle(a.now, a.throughput(), a.peers) {
		a.divide()
	}
	kept := halved(min(a.now.Sub(a.ticked), othersHalfLife), othersHalfLife)
	a.ticked = a.now
	for _, u := range a.upstreams {
		u.noteLate(a.now)
		u.smooth(kept)
	}
	for _, p := range a.pools {
		p.forget(a.now)
		a.serveWaiting(p)
		a.refuseOverdue(p)
	}
}

// divide works out this router's part of the demand.
func (a *Admitter) divide() {
	part := a.shares.part(1 / float64(a.fleetSize()))
	reserve := a.shares.kept(a.peers)
	newsAge := a.newsAge().Seconds()
	for _, p := range a.pools {
		p.part, p.reserve = part, reserve
		p.learnFromPeers(a.peers)
		p.learnErrors()
		p.brief = p.model.held < newsAge
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
func (a *Admitter) change(policy *messenger.Policy) {
	a.policy = policy
	for id, poolPolicy := range policy.Pools {
		p, ok := a.pools[id]
		if !ok {
			p = newPool(id)
			a.pools[id] = p
		}
		p.set(poolPolicy)
	}
	for id := range a.pools {
		if _, ok := policy.Pools[id]; !ok {
			a.removePool(id)
		}
	}
	a.changeUpstreams(policy)
}

// removePool refuses what waits for a pool that no route uses.
func (a *Admitter) removePool(id messenger.PoolID) {
	for _, r := range a.pools[id].waiting {
		delete(a.requests, r.arrive.Request)
		a.refuse(r)
	}
	delete(a.pools, id)
}

func (a *Admitter) changeUpstreams(policy *messenger.Policy) {
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
			a.byKey[messenger.KeyOf(id)] = u
		}
		u.set(up, p, a.cfg.Domain)
		p.members = append(p.members, u)
	}
	for id, u := range a.upstreams {
		if _, ok := policy.Upstreams[id]; ok {
			continue
		}
		u.open = false
		if u.running == 0 {
			delete(a.upstreams, id)
			delete(a.byKey, messenger.KeyOf(id))
		}
	}
	for _, p := range a.pools {
		p.changed()
	}
	a.orderRouters()
}
