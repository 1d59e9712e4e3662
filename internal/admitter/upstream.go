package admitter

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"lentilwood.example/lentilwood/internal/messenger"
	"lentilwood.example/lentilwood/internal/pacer"
)

const (
	// reportTTL is how long the load that an upstream reported is used.
	reportTTL = 400 * time.Millisecond
	// slowdownTTL is how long the slowdown that an upstream reported is used.
	slowdownTTL = 300 * time.Millisecond
	// failureWeight is the weight of one outcome in the failure share.
	failureWeight = 0.15
	// failureHalfLife is the time in which the failure share halves without new outcomes.
	failureHalfLife = 3 * time.Second
	// firstBackoff and longestBackoff bound the time without new requests after consecutive
	// failures.
	firstBackoff   = 100 * time.Millisecond
	longestBackoff = 2 * time.Second
	// backoffFailures is the number of consecutive failures that starts the backoff.
	backoffFailures = 2
	// minFetchTokens is the length of shared parts, in tokens, from which on a fetch from
	// another engine pays off, and fetchTime the time it takes.
	minFetchTokens = 128
	fetchTime      = 12 * time.Millisecond
	// minContestedShare and maxContestedShare bound the contested share. contestedStep scales
	// its change with the outcome of each request, so that in equilibrium toleratedMissShare
	// of the requests miss their objective.
	minContestedShare  = 0.16
	maxContestedShare  = 0.8
	contestedStep      = 0.1
	toleratedMissShare = 0.05
	// peerRunningHalfLife is the half-life of the moving average of the number of requests
	// of other routers.
	peerRunningHalfLife = time.Second
	// roundingSlack keeps rounding errors from reducing a sum of parts below a whole slot.
	roundingSlack = 1e-6
	// slotWaitFactor multiplies the mean wait for a slot: a request that queues inside an
	// engine cannot be moved to another.
	slotWaitFactor = 4
	// defaultSlots is the number of slots of upstreams that do not state theirs.
	defaultSlots = 8
)

// upstream is the state of one upstream as known to this router.
type upstream struct {
	id   messenger.UpstreamID
	hash uint64
	// precedingShare is the fraction of the other routers, 0 to 1, that precede this one in
	// the order in which they divide the slots.
	precedingShare float64
	pool           *pool
	policy         messenger.UpstreamPolicy
	// policySet is true once the policy was set.
	policySet   bool
	acceptsWork bool
	otherDomain bool
	// gate limits the requests to the upstream while it is cold; nil if its pool has no limit.
	gate *pacer.Gate

	// running counts this router's requests. unreadTokens is the number of tokens that the
	// engine has to read for those requests that have no output yet.
	running, unreadTokens int
	// pending holds this router's requests without output, in the order of sending.
	pending []*request
	cache   cache
	// unannounced lists the shared parts sent here that other routers were not yet notified
	// of.
	unannounced []messenger.PartID

	report     messenger.LoadReport
	reportedAt time.Time
	// runningAtReport is the number of this router's requests when the report arrived.
	runningAtReport int

	// peerLoad is the load of the other routers; meanPeerRunning is the moving average of the
	// number of their requests.
	peerLoad        load
	meanPeerRunning float64

	// forecastError is the ratio of observed to forecast times to the first output.
	forecastError       float64
	failureShare        float64
	failuresDecayedAt   time.Time
	consecutiveFailures int
	backoffUntil        time.Time
	// pausedUntil is the end of the pause that the upstream asked for.
	pausedUntil time.Time
	// pace holds the observations of the upstream's speed.
	pace upstreamPace
}

// load is the load of one or more routers on an upstream: the number of their requests, and
// the tokens that the engine has to read for them.
type load struct {
	running, unreadTokens int
}

func newUpstream(id messenger.UpstreamID, p *pool) *upstream {
	return &upstream{id: id, hash: xxhash.Sum64String(string(id)), pool: p, forecastError: 1}
}

func (u *upstream) setPolicy(policy messenger.UpstreamPolicy, p *pool, domain string) {
	if u.policySet && !policy.Started.Equal(u.policy.Started) {
		u.reset()
	}
	u.policy, u.pool, u.policySet = policy, p, true
	u.acceptsWork = policy.AcceptsWork()
	u.otherDomain = policy.Domain != domain
	if p.policy.Engine != nil {
		u.cache.resize(p.policy.Engine.MemoryTokens)
	}
}

// reset discards the state of an upstream whose process was restarted.
func (u *upstream) reset() {
	u.cache = cache{}
	u.unannounced = nil
	if u.pool != nil {
		u.pool.holders.removeUpstream(u)
	}
	u.report, u.reportedAt = messenger.LoadReport{}, time.Time{}
	u.forecastError, u.failureShare, u.consecutiveFailures = 1, 0, 0
	u.backoffUntil, u.pausedUntil = time.Time{}, time.Time{}
	u.pace.reset()
}

// usable reports whether the upstream accepts new requests. With allowFailed, it may be in
// backoff. A cold upstream is usable only with a permit.
func (u *upstream) usable(now time.Time, allowFailed bool) bool {
	return u.acceptsWork && !now.Before(u.pausedUntil) && (allowFailed || !now.Before(u.backoffUntil)) && u.gate.Open(now)
}

// healthy reports whether the upstream is usable and warm, its last attempt did not fail, and none of
// its pending requests is overdue.
func (u *upstream) healthy(now time.Time) bool {
	return u.acceptsWork && !now.Before(u.pausedUntil) && u.consecutiveFailures == 0 && u.overdue(now) == 0 && !u.gate.IsCold(now)
}

func (u *upstream) slots() int {
	if u.policy.Window > 0 {
		return u.policy.Window
	}
	return defaultSlots
}

// requestCount estimates the number of requests of all routers in the upstream.
func (u *upstream) requestCount(now time.Time) int {
	n := u.running + u.expectedPeerRunning()
	if now.Sub(u.reportedAt) < reportTTL {
		n = max(n, u.report.Running+u.report.Waiting+u.running-u.runningAtReport)
	}
	return n
}

// expectedPeerRunning returns the expected number of requests of the other routers. If
// requests end before the next load message, the last reported number is outdated, and all
// routers would follow it to the same upstream; the mean is used instead.
func (u *upstream) expectedPeerRunning() int {
	if u.pool.shortRequests {
		return int(math.Round(u.meanPeerRunning))
	}
	return u.peerLoad.running
}

// smoothPeerRunning moves the mean of the other routers' requests towards the reported
// number. weight is the weight of the previous mean.
func (u *upstream) smoothPeerRunning(weight float64) {
	u.meanPeerRunning += (1 - weight) * (float64(u.peerLoad.running) - u.meanPeerRunning)
}

// contestedCount returns the number of requests to assume in an upstream that is nearly
// full. Several routers see the same free slot, and are notified late of the requests that
// the others sent there. So each router keeps to its own part of the slots, and sends its
// next request when one of its own ends.
func (u *upstream) contestedCount(count int) int {
	if !u.nearlyFull(count, u.pool.contestedShare) {
		return count
	}
	slots := u.slots()
	slotShare := u.pool.demandShare * float64(slots)
	if u.running < u.ownSlots() {
		return count
	}
	excess := float64(u.running+1) - slotShare
	return max(count, slots+int(excess/u.pool.demandShare))
}

// ownSlots returns the number of slots of a contested upstream that belong to this
// router. The routers divide the slots in an order that differs between upstreams. A
// fraction of a slot is thus a whole slot at some upstreams, and all routers together never
// have more slots than the upstream.
func (u *upstream) ownSlots() int {
	slots := float64(u.slots())
	preceding := u.precedingShare * (1 - u.pool.demandShare)
	return int(slots*(preceding+u.pool.demandShare)+roundingSlack) - int(slots*preceding+roundingSlack)
}

// nearlyFull reports whether one more request would leave less than freeShare of the slots
// free.
func (u *upstream) nearlyFull(count int, freeShare float64) bool {
	return count+1+int(freeShare*float64(u.slots())) > u.slots()
}

// slowdown returns the factor by which work currently takes longer than usual.
func (u *upstream) slowdown(now time.Time) float64 {
	if u.report.Slowdown > 0 && now.Sub(u.reportedAt) < slowdownTTL {
		return u.report.Slowdown
	}
	return 1
}

// forecast estimates the first output of a request from the work ahead of it: prompts to
// read and, once all slots are taken, requests that have to end.
func (u *upstream) forecast(a *Admitter, r *request, isHome bool, src partSource) forecast {
	a.forecastCount++
	speed := u.pool.readSpeed
	errorFactor := u.correction()
	var f forecast
	if src.holds(u) {
		f.unreadTokens = unsharedTokens(r.arrive.Work.Prompt)
	} else {
		f.unreadTokens, f.unreadSharedTokens = u.cache.uncached(a.now, u.pool.holders.retention, r.arrive.Work.Prompt, isHome)
	}
	fetchSeconds := 0.0
	if src.fetchFrom != nil && src.fetchFrom != u && f.unreadSharedTokens >= minFetchTokens &&
		src.fetchFrom.policy.SoftwareVersion == u.policy.SoftwareVersion {
		f.fetchFrom = src.fetchFrom
		f.fetchedTokens = int(src.keptShare * float64(f.unreadSharedTokens))
		f.unreadTokens -= f.fetchedTokens
		f.unreadSharedTokens -= f.fetchedTokens
		fetchSeconds = fetchTime.Seconds()
	}
	q := u.estimateQueue(a.now)
	f.onlyReservedSlots, f.nothingAhead = q.onlyReservedSlots, q.nothingAhead
	ownSeconds := (fetchSeconds + speed.baseSeconds + float64(f.unreadTokens)*speed.secondsPerToken) * errorFactor * u.slowdown(a.now)
	f.ownTime = time.Duration(ownSeconds * float64(time.Second))
	f.firstOutput = max(f.ownTime+q.wait, u.overdue(a.now))
	f.delaysStreams = u.delaysStreams(a.now, f.unreadTokens)
	return f
}

// queue is the work ahead of any request that is sent to an upstream now.
type queue struct {
	// wait is the time that a request waits behind others.
	wait time.Duration
	// nothingAhead is true if no work is ahead. onlyReservedSlots is true if the remaining
	// slots are reserved for accounts that have not used up their share.
	nothingAhead, onlyReservedSlots bool
}

// estimateQueue estimates the work ahead of a request: prompts to read and, once all slots
// are taken, requests that have to end.
func (u *upstream) estimateQueue(now time.Time) queue {
	count := u.requestCount(now)
	q := queue{onlyReservedSlots: u.nearlyFull(count, u.pool.reservedShare)}
	// Only the few holders of shares send to a cold upstream, so its slots are not contested.
	if u.pool.hasEngines && !u.gate.IsCold(now) {
		count = u.contestedCount(count)
	}
	tokensAhead := float64(u.unreadTokens + u.peerLoad.unreadTokens)
	slotWaitSeconds := 0.0
	if excess := count + 1 - u.slots(); excess > 0 {
		slotWaitSeconds = slotWaitFactor * float64(excess) * u.pool.model.heldSeconds / float64(u.slots())
	}
	q.nothingAhead = tokensAhead == 0 && slotWaitSeconds == 0
	waitSeconds := (tokensAhead*u.pool.readSpeed.secondsPerToken*u.correction() + slotWaitSeconds) * u.slowdown(now)
	q.wait = time.Duration(waitSeconds * float64(time.Second))
	return q
}

// baseCost returns the cost of an upstream for a request without a prompt.
func (u *upstream) baseCost(now time.Time) time.Duration {
	ownSeconds := u.pool.readSpeed.baseSeconds * u.correction() * u.slowdown(now)
	firstOutput := max(time.Duration(ownSeconds*float64(time.Second))+u.estimateQueue(now).wait, u.overdue(now))
	return firstOutput + u.penalty()
}

// correction returns the factor by which forecasts for the upstream are corrected: its speed,
// as all routers observe it, and the error that remains at this router.
func (u *upstream) correction() float64 {
	return u.forecastError / u.pool.medianError * u.pace.timeFactor()
}

// penalty returns the part of an upstream's cost that does not depend on its speed.
func (u *upstream) penalty() time.Duration {
	cost := time.Duration(u.failureShare * float64(failurePenalty))
	if u.otherDomain {
		cost += remoteDomainPenalty
	}
	return cost
}

// overdue returns how long the oldest pending request has waited, or zero if that is within
// its forecast. A request sent now gets its output later than that one.
func (u *upstream) overdue(now time.Time) time.Duration {
	if len(u.pending) == 0 {
		return 0
	}
	oldest := u.pending[0]
	waited := now.Sub(oldest.sentAt)
	if waited <= oldest.expectedFirstOutput {
		return 0
	}
	return waited
}

// recordMissedObjectives records pending requests that have just missed their objective.
func (u *upstream) recordMissedObjectives(now time.Time) {
	for _, r := range u.pending {
		if !r.missedObjective && now.Sub(r.sentAt) > r.arrive.Objective {
			r.missedObjective = true
			u.pool.adjustContestedShare(true)
		}
	}
}

func (u *upstream) addRequest(now time.Time, r *request) {
	u.running++
	u.unreadTokens += r.unreadTokens
	u.pending = append(u.pending, r)
}

// removePending removes a request from those without output.
func (u *upstream) removePending(r *request) {
	for i, other := range u.pending {
		if other == r {
			u.pending = append(u.pending[:i], u.pending[i+1:]...)
			u.unreadTokens -= r.unreadTokens
			return
		}
	}
}

// recordFirstOutput updates the estimates with the first output of a request.
func (u *upstream) recordFirstOutput(now time.Time, r *request) {
	u.removePending(r)
	if !r.missedObjective {
		u.pool.adjustContestedShare(false)
	}
	seconds := now.Sub(r.sentAt).Seconds()
	slowdown := u.slowdown(now)
	if r.nothingAhead {
		u.pool.model.addFirstOutput(float64(r.unreadTokens), seconds/slowdown)
	}
	if r.expectedFirstOutput > 0 {
		ratio := seconds / r.expectedFirstOutput.Seconds()
		u.forecastError = clamp(u.forecastError*(1+forecastErrorWeight*(ratio-1)), minForecastError, maxForecastError)
	}
}

// removeRequest releases the slot of a request.
func (u *upstream) removeRequest(r *request) {
	u.running--
	u.removePending(r)
}

// endAttempt updates the estimates with the end of an attempt.
func (u *upstream) endAttempt(now time.Time, r *request, e messenger.Finish) {
	u.removeRequest(r)
	u.recordOutcome(now, e.Failed)
	if e.Failed || r.firstOutputAt.IsZero() {
		return
	}
	u.pool.model.addHeldTime(now.Sub(r.sentAt).Seconds())
}

// recordOutcome records a failed or successful attempt.
func (u *upstream) recordOutcome(now time.Time, failed bool) {
	u.failureShare *= decayFactor(now.Sub(u.failuresDecayedAt), failureHalfLife)
	u.failuresDecayedAt = now
	u.failureShare *= 1 - failureWeight
	if !failed {
		u.consecutiveFailures = 0
		return
	}
	u.failureShare += failureWeight
	u.consecutiveFailures++
	if u.consecutiveFailures >= backoffFailures {
		backoff := min(firstBackoff<<min(u.consecutiveFailures-backoffFailures, 6), longestBackoff)
		u.backoffUntil = now.Add(backoff)
	}
}

// handlePause stops sending to an upstream for the time it asked for.
func (a *Admitter) handlePause(e messenger.Pause) {
	u, ok := a.upstreams[e.Upstream]
	if !ok {
		return
	}
	if until := a.now.Add(e.Duration); until.After(u.pausedUntil) {
		u.pausedUntil = until
	}
}

// handleLoadReport stores the load that an upstream reported with an answer.
func (a *Admitter) handleLoadReport(e messenger.LoadReport) {
	u, ok := a.upstreams[e.Upstream]
	if !ok {
		return
	}
	u.report, u.reportedAt, u.runningAtReport = e, a.now, u.running
}
