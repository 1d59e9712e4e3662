package admitter

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"lentilwood.example/lentilwood/internal/messenger"
)

const (
	// reportTTL is how long what an answer said of its upstream's load counts.
	reportTTL = 400 * time.Millisecond
	// slowdownTTL is how long what it said of its speed counts.
	slowdownTTL = 300 * time.Millisecond
	// failureWeight is the weight of one outcome in the share of failures.
	failureWeight = 0.15
	// failureHalfLife is the time in which the share of failures halves without
	// new outcomes.
	failureHalfLife = 3 * time.Second
	// firstBackoff and longestBackoff bound the time without new work after
	// failures in a row.
	firstBackoff   = 100 * time.Millisecond
	longestBackoff = 2 * time.Second
	// failuresInARow is how many failures in a row start the backoff.
	backoffFailures = 2
	// leastFetch is how many tokens of shared parts are worth fetching from
	// another engine, and fetchTime what that takes.
	minFetchTokens = 128
	fetchTime      = 12 * time.Millisecond
	// leastContested and mostContested bound the part of the slots that no router
	// takes beyond its own part. It grows by contestedStep with each request whose
	// first output came too late, so far that lateTolerated of them do.
	minContestedShare  = 0.16
	maxContestedShare  = 0.8
	contestedStep      = 0.1
	toleratedMissShare = 0.05
	// othersHalfLife is the time in which half of a change in what the other
	// routers run enters its mean.
	peerRunningHalfLife = time.Second
	// roundingSlack keeps sums of parts from falling short of a whole slot.
	roundingSlack = 1e-6
	// slotCaution is how much longer than on average a slot is waited for: who
	// waits inside an engine can be given no other.
	slotWaitFactor = 4
	// defaultSlots serves upstreams that do not say how many requests they work
	// on at a time.
	defaultSlots = 8
)

// upstream is what one router knows of one upstream.
type upstream struct {
	id   messenger.UpstreamID
	hash uint64
	// before is the share of the other routers, 0 to 1, that come before this one
	// in the order in which they divide the slots.
	precedingShare float64
	pool           *pool
	policy         messenger.UpstreamPolicy
	// known is true once its policy was set.
	policySet   bool
	acceptsWork bool
	otherDomain bool

	// running counts the own requests, reading is what the engine has to read for
	// those of them that have no output yet, in tokens.
	running, unreadTokens int
	// pending holds the own requests without an output, by the time of sending.
	pending []*request
	cache   cache
	// untold names the shared parts sent here that other routers were not yet
	// told of.
	unannounced []messenger.PartID

	report     messenger.LoadReport
	reportedAt time.Time
	// ownAtReport is how many own requests ran when the report came.
	runningAtReport int

	// others is what the other routers run here, and meanOthers the mean number
	// of these requests over a while.
	peerLoad        load
	meanPeerRunning float64

	// error is the ratio of observed to forecast times to the first output.
	forecastError       float64
	failureShare        float64
	failuresDecayedAt   time.Time
	consecutiveFailures int
	backoffUntil        time.Time
	// pausedTil is until when the upstream asked to be sent nothing.
	pausedUntil time.Time
}

// load is what some routers run on one upstream.
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
	u.acceptsWork = !policy.Leaving
	u.otherDomain = policy.Domain != domain
	if p.policy.Engine != nil {
		u.cache.resize(p.policy.Engine.Memory)
	}
}

// restart forgets what was known of an upstream whose process started anew.
func (u *upstream) reset() {
	u.cache = cache{}
	u.unannounced = nil
	if u.pool != nil {
		u.pool.holders.removeUpstream(u)
	}
	u.report, u.reportedAt = messenger.LoadReport{}, time.Time{}
	u.forecastError, u.failureShare, u.consecutiveFailures = 1, 0, 0
	u.backoffUntil, u.pausedUntil = time.Time{}, time.Time{}
}

// usable reports whether new work may be sent. With desperate, an upstream that
// failed of late may be tried as well.
func (u *upstream) usable(now time.Time, allowFailed bool) bool {
	return u.acceptsWork && !now.Before(u.pausedUntil) && (allowFailed || !now.Before(u.backoffUntil))
}

// sound reports whether nothing speaks against an upstream.
func (u *upstream) healthy(now time.Time) bool {
	return u.acceptsWork && !now.Before(u.pausedUntil) && u.consecutiveFailures == 0 && u.overdue(now) == 0
}

func (u *upstream) slots() int {
	if u.policy.Window > 0 {
		return u.policy.Window
	}
	return defaultSlots
}

// inside estimates how many requests of all routers are in the upstream.
func (u *upstream) requestCount(now time.Time) int {
	n := u.running + u.expectedPeerRunning()
	if now.Sub(u.reportedAt) < reportTTL {
		n = max(n, u.report.Running+u.report.Waiting+u.running-u.runningAtReport)
	}
	return n
}

// expectedOthers returns how many requests of the other routers to reckon with.
// Where a request is over before they speak again, what they last said is of the
// past: all routers would follow it to the same upstream, so their mean counts.
func (u *upstream) expectedPeerRunning() int {
	if u.pool.shortRequests {
		return int(math.Round(u.meanPeerRunning))
	}
	return u.peerLoad.running
}

// smooth moves the mean of what the other routers run towards what they said.
// Kept is the weight of the mean so far.
func (u *upstream) smoothPeerRunning(weight float64) {
	u.meanPeerRunning += (1 - weight) * (float64(u.peerLoad.running) - u.meanPeerRunning)
}

// contested returns how many requests to reckon with in an upstream that is
// nearly full. Other routers see the same free slot, and what they send is
// known late; so each keeps to its part of the slots there, and the next one is
// sent when an own one ends.
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

// entitled returns how many slots of a contested upstream are this router's. The
// routers divide them in an order that differs between upstreams, so that a part
// of a slot is a whole one at some upstreams, and all together have no more than
// there are.
func (u *upstream) ownSlots() int {
	slots := float64(u.slots())
	preceding := u.precedingShare * (1 - u.pool.demandShare)
	return int(slots*(preceding+u.pool.demandShare)+roundingSlack) - int(slots*preceding+roundingSlack)
}

// nearlyFull reports whether another request leaves less than a share of the
// slots free.
func (u *upstream) nearlyFull(count int, freeShare float64) bool {
	return count+1+int(freeShare*float64(u.slots())) > u.slots()
}

// slowdown is how many times longer than usual work takes now.
func (u *upstream) slowdown(now time.Time) float64 {
	if u.report.Slowdown > 0 && now.Sub(u.reportedAt) < slowdownTTL {
		return u.report.Slowdown
	}
	return 1
}

// forecast expects the first output of a request from what is ahead of it:
// prompts to be read and, once all slots are taken, requests that must end.
func (u *upstream) forecast(a *Admitter, r *request, home bool, src partSource) forecast {
	a.forecastCount++
	speed := u.pool.readSpeed
	errorFactor := u.forecastError / u.pool.medianError
	var f forecast
	if src.holds(u) {
		f.unreadTokens = unsharedTokens(r.arrive.Work.Prompt)
	} else {
		f.unreadTokens, f.unreadSharedTokens = u.cache.uncached(a.now, u.pool.holders.retention, r.arrive.Work.Prompt, home)
	}
	fetchSeconds := 0.0
	if src.fetchFrom != nil && src.fetchFrom != u && f.unreadSharedTokens >= minFetchTokens {
		f.fetchFrom = src.fetchFrom
		f.fetchedTokens = int(src.keptShare * float64(f.unreadSharedTokens))
		f.unreadTokens -= f.fetchedTokens
		f.unreadSharedTokens -= f.fetchedTokens
		fetchSeconds = fetchTime.Seconds()
	}
	q := u.queue(a.now)
	f.onlyReservedSlots, f.nothingAhead = q.onlyReservedSlots, q.nothingAhead
	ownSeconds := (fetchSeconds + speed.baseSeconds + float64(f.unreadTokens)*speed.secondsPerToken) * errorFactor * u.slowdown(a.now)
	f.ownTime = time.Duration(ownSeconds * float64(time.Second))
	f.firstOutput = max(f.ownTime+q.wait, u.overdue(a.now))
	return f
}

// queue is what is ahead of a request that is sent to an upstream now, whatever it asks.
type queue struct {
	// before is the time that it waits for others.
	wait time.Duration
	// empty is true if nothing is ahead, roomless if the slots that are left are kept
	// for accounts that have not used up their share.
	nothingAhead, onlyReservedSlots bool
}

// queue expects what is ahead of a request: prompts to be read and, once all slots are
// taken, requests that must end.
func (u *upstream) queue(now time.Time) queue {
	count := u.requestCount(now)
	q := queue{onlyReservedSlots: u.nearlyFull(count, u.pool.reservedShare)}
	if u.pool.engine {
		count = u.contestedCount(count)
	}
	tokensAhead := float64(u.unreadTokens + u.peerLoad.unreadTokens)
	slotWait := 0.0
	if excess := count + 1 - u.slots(); excess > 0 {
		slotWait = slotWaitFactor * float64(excess) * u.pool.model.held / float64(u.slots())
	}
	q.nothingAhead = tokensAhead == 0 && slotWait == 0
	waitSeconds := (tokensAhead*u.pool.readSpeed.secondsPerToken*u.forecastError/u.pool.medianError + slotWait) * u.slowdown(now)
	q.wait = time.Duration(waitSeconds * float64(time.Second))
	return q
}

// rankCost is what counts against an upstream whatever is asked of it.
func (u *upstream) baseCost(now time.Time) time.Duration {
	ownSeconds := u.pool.readSpeed.baseSeconds * u.forecastError / u.pool.medianError * u.slowdown(now)
	firstOutput := max(time.Duration(ownSeconds*float64(time.Second))+u.queue(now).wait, u.overdue(now))
	return firstOutput + u.penalty()
}

// aversion is what counts against an upstream beside the time that it takes.
func (u *upstream) penalty() time.Duration {
	cost := time.Duration(u.failureShare * float64(failurePenalty))
	if u.otherDomain {
		cost += remoteDomainPenalty
	}
	return cost
}

// overdue returns how long the oldest request without an output has waited
// beyond what was expected of it: one sent now comes after it.
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

// noteLate looks for requests whose first output has come too late by now.
func (u *upstream) recordMissedObjectives(now time.Time) {
	for _, r := range u.pending {
		if !r.missedObjective && now.Sub(r.sentAt) > r.arrive.Objective {
			r.missedObjective = true
			u.pool.adjustContested(true)
		}
	}
}

func (u *upstream) addRequest(now time.Time, r *request) {
	u.running++
	u.unreadTokens += r.unreadTokens
	u.pending = append(u.pending, r)
}

// settle takes a request out of those without an output.
func (u *upstream) removePending(r *request) {
	for i, other := range u.pending {
		if other == r {
			u.pending = append(u.pending[:i], u.pending[i+1:]...)
			u.unreadTokens -= r.unreadTokens
			return
		}
	}
}

// began learns from the first output of a request.
func (u *upstream) recordFirstOutput(now time.Time, r *request) {
	u.removePending(r)
	if !r.missedObjective {
		u.pool.adjustContested(false)
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

// release gives back the slot of a request.
func (u *upstream) removeRequest(r *request) {
	u.running--
	u.removePending(r)
}

// end learns from the end of an attempt.
func (u *upstream) endAttempt(now time.Time, r *request, e messenger.Finish) {
	u.removeRequest(r)
	u.recordOutcome(now, e.Failed)
	if e.Failed || r.firstOutputAt.IsZero() {
		return
	}
	u.pool.model.addHeldTime(now.Sub(r.sentAt).Seconds())
}

// note counts a failure or a success.
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

// pause sends nothing to an upstream for as long as it asked for.
func (a *Admitter) handlePause(e messenger.Pause) {
	u, ok := a.upstreams[e.Upstream]
	if !ok {
		return
	}
	if until := a.now.Add(e.For); until.After(u.pausedUntil) {
		u.pausedUntil = until
	}
}

// report takes in what an answer said of its upstream.
func (a *Admitter) handleLoadReport(e messenger.LoadReport) {
	u, ok := a.upstreams[e.Upstream]
	if !ok {
		return
	}
	u.report, u.reportedAt, u.runningAtReport = e, a.now, u.running
}
