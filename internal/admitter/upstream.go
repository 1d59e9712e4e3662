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
	failuresInARow = 2
	// leastFetch is how many tokens of shared parts are worth fetching from
	// another engine, and fetchTime what that takes.
	leastFetch = 128
	fetchTime  = 12 * time.Millisecond
	// leastContested and mostContested bound the part of the slots that no router
	// takes beyond its own part. It grows by contestedStep with each request whose
	// first output came too late, so far that lateTolerated of them do.
	leastContested = 0.16
	mostContested  = 0.8
	contestedStep  = 0.1
	lateTolerated  = 0.05
	// othersHalfLife is the time in which half of a change in what the other
	// routers run enters its mean.
	othersHalfLife = time.Second
	// roundingSlack keeps sums of parts from falling short of a whole slot.
	roundingSlack = 1e-6
	// slotCaution is how much longer than on average a slot is waited for: who
	// waits inside an engine can be given no other.
	slotCaution = 4
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
	before float64
	pool   *pool
	policy messenger.UpstreamPolicy
	// known is true once its policy was set.
	known bool
	open  bool
	far   bool

	// running counts the own requests, reading is what the engine has to read for
	// those of them that have no output yet, in tokens.
	running, reading int
	// pending holds the own requests without an output, by the time of sending.
	pending []*request
	cache   cache
	// untold names the shared parts sent here that other routers were not yet
	// told of.
	untold []messenger.PartID

	report   messenger.LoadReport
	reported time.Time
	// ownAtReport is how many own requests ran when the report came.
	ownAtReport int

	// others is what the other routers run here, and meanOthers the mean number
	// of these requests over a while.
	others     load
	meanOthers float64

	// error is the ratio of observed to forecast times to the first output.
	error     float64
	failures  float64
	failedAt  time.Time
	inARow    int
	closedTil time.Time
	// pausedTil is until when the upstream asked to be sent nothing.
	pausedTil time.Time
}

// load is what some routers run on one upstream.
type load struct {
	running, reading int
}

func newUpstream(id messenger.UpstreamID, p *pool) *upstream {
	return &upstream{id: id, hash: xxhash.Sum64String(string(id)), pool: p, error: 1}
}

func (u *upstream) set(policy messenger.UpstreamPolicy, p *pool, domain string) {
	if u.known && !policy.Started.Equal(u.policy.Started) {
		u.restart()
	}
	u.policy, u.pool, u.known = policy, p, true
	u.open = !policy.Leaving
	u.far = policy.Domain != domain
	if p.policy.Engine != nil {
		u.cache.resize(p.policy.Engine.Memory)
	}
}

// restart forgets what was known of an upstream whose process started anew.
func (u *upstream) restart() {
	u.cache = cache{}
	u.untold = nil
	if u.pool != nil {
		u.pool.holders.drop(u)
	}
	u.report, u.reported = messenger.LoadReport{}, time.Time{}
	u.error, u.failures, u.inARow = 1, 0, 0
	u.closedTil, u.pausedTil = time.Time{}, time.Time{}
}

// usable reports whether new work may be sent. With desperate, an upstream that
// failed of late may be tried as well.
func (u *upstream) usable(now time.Time, desperate bool) bool {
	return u.open && !now.Before(u.pausedTil) && (desperate || !now.Before(u.closedTil))
}

// sound reports whether nothing speaks against an upstream.
func (u *upstream) sound(now time.Time) bool {
	return u.open && !now.Before(u.pausedTil) && u.inARow == 0 && u.overdue(now) == 0
}

func (u *upstream) slots() int {
	if u.policy.Window > 0 {
		return u.policy.Window
	}
	return defaultSlots
}

// inside estimates how many requests of all routers are in the upstream.
func (u *upstream) inside(now time.Time) int {
	n := u.running + u.expectedOthers()
	if now.Sub(u.reported) < reportTTL {
		n = max(n, u.report.Running+u.report.Waiting+u.running-u.ownAtReport)
	}
	return n
}

// expectedOthers returns how many requests of the other routers to reckon with.
// Where a request is over before they speak again, what they last said is of the
// past: all routers would follow it to the same upstream, so their mean counts.
func (u *upstream) expectedOthers() int {
	if u.pool.brief {
		return int(math.Round(u.meanOthers))
	}
	return u.others.running
}

// smooth moves the mean of what the other routers run towards what they said.
// Kept is the weight of the mean so far.
func (u *upstream) smooth(kept float64) {
	u.meanOthers += (1 - kept) * (float64(u.others.running) - u.meanOthers)
}

// contested returns how many requests to reckon with in an upstream that is
// nearly full. Other routers see the same free slot, and what they send is
// known late; so each keeps to its part of the slots there, and the next one is
// sent when an own one ends.
func (u *upstream) contested(inside int) int {
	if !u.nearlyFull(inside, u.pool.contested) {
		return inside
	}
	slots := u.slots()
	part := u.pool.part * float64(slots)
	if u.running < u.entitled() {
		return inside
	}
	excess := float64(u.running+1) - part
	return max(inside, slots+int(excess/u.pool.part))
}

// entitled returns how many slots of a contested upstream are this router's. The
// routers divide them in an order that differs between upstreams, so that a part
// of a slot is a whole one at some upstreams, and all together have no more than
// there are.
func (u *upstream) entitled() int {
	slots := float64(u.slots())
	before := u.before * (1 - u.pool.part)
	return int(slots*(before+u.pool.part)+roundingSlack) - int(slots*before+roundingSlack)
}

// nearlyFull reports whether another request leaves less than a share of the
// slots free.
func (u *upstream) nearlyFull(inside int, share float64) bool {
	return inside+1+int(share*float64(u.slots())) > u.slots()
}

// slowdown is how many times longer than usual work takes now.
func (u *upstream) slowdown(now time.Time) float64 {
	if u.report.Slowdown > 0 && now.Sub(u.reported) < slowdownTTL {
		return u.report.Slowdown
	}
	return 1
}

// forecast expects the first output of a request from what is ahead of it:
// prompts to be read and, once all slots are taken, requests that must end.
func (u *upstream) forecast(a *Admitter, r *request, home bool, src source) forecast {
	a.weighed++
	speed := u.pool.speed
	off := u.error / u.pool.commonError
	var f forecast
	if src.holds(u) {
		f.reads = ownTokens(r.arrive.Work.Prompt)
	} else {
		f.reads, f.again = u.cache.missing(a.now, u.pool.holders.horizon, r.arrive.Work.Prompt, home)
	}
	fetch := 0.0
	if src.at != nil && src.at != u && f.again >= leastFetch {
		f.source = src.at
		f.fetched = int(src.kept * float64(f.again))
		f.reads -= f.fetched
		f.again -= f.fetched
		fetch = fetchTime.Seconds()
	}
	q := u.queue(a.now)
	f.roomless, f.clear = q.roomless, q.empty
	own := (fetch + speed.base + float64(f.reads)*speed.perRead) * off * u.slowdown(a.now)
	f.own = time.Duration(own * float64(time.Second))
	f.first = max(f.own+q.before, u.overdue(a.now))
	return f
}

// queue is what is ahead of a request that is sent to an upstream now, whatever it asks.
type queue struct {
	// before is the time that it waits for others.
	before time.Duration
	// empty is true if nothing is ahead, roomless if the slots that are left are kept
	// for accounts that have not used up their share.
	empty, roomless bool
}

// queue expects what is ahead of a request: prompts to be read and, once all slots are
// taken, requests that must end.
func (u *upstream) queue(now time.Time) queue {
	inside := u.inside(now)
	q := queue{roomless: u.nearlyFull(inside, u.pool.reserve)}
	if u.pool.engine {
		inside = u.contested(inside)
	}
	ahead := float64(u.reading + u.others.reading)
	wait := 0.0
	if over := inside + 1 - u.slots(); over > 0 {
		wait = slotCaution * float64(over) * u.pool.model.held / float64(u.slots())
	}
	q.empty = ahead == 0 && wait == 0
	before := (ahead*u.pool.speed.perRead*u.error/u.pool.commonError + wait) * u.slowdown(now)
	q.before = time.Duration(before * float64(time.Second))
	return q
}

// rankCost is what counts against an upstream whatever is asked of it.
func (u *upstream) rankCost(now time.Time) time.Duration {
	own := u.pool.speed.base * u.error / u.pool.commonError * u.slowdown(now)
	first := max(time.Duration(own*float64(time.Second))+u.queue(now).before, u.overdue(now))
	return first + u.aversion()
}

// aversion is what counts against an upstream beside the time that it takes.
func (u *upstream) aversion() time.Duration {
	cost := time.Duration(u.failures * float64(failurePenalty))
	if u.far {
		cost += farPenalty
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
	waited := now.Sub(oldest.sent)
	if waited <= oldest.expected {
		return 0
	}
	return waited
}

// noteLate looks for requests whose first output has come too late by now.
func (u *upstream) noteLate(now time.Time) {
	for _, r := range u.pending {
		if !r.late && now.Sub(r.sent) > r.arrive.Objective {
			r.late = true
			u.pool.noteFirst(true)
		}
	}
}

func (u *upstream) start(now time.Time, r *request) {
	u.running++
	u.reading += r.reads
	u.pending = append(u.pending, r)
}

// settle takes a request out of those without an output.
func (u *upstream) settle(r *request) {
	for i, other := range u.pending {
		if other == r {
			u.pending = append(u.pending[:i], u.pending[i+1:]...)
			u.reading -= r.reads
			return
		}
	}
}

// began learns from the first output of a request.
func (u *upstream) began(now time.Time, r *request) {
	u.settle(r)
	if !r.late {
		u.pool.noteFirst(false)
	}
	took := now.Sub(r.sent).Seconds()
	slowdown := u.slowdown(now)
	if r.clear {
		u.pool.model.learnFirst(float64(r.reads), took/slowdown)
	}
	if r.expected > 0 {
		ratio := took / r.expected.Seconds()
		u.error = bound(u.error*(1+errorWeight*(ratio-1)), lowestError, highestError)
	}
}

// release gives back the slot of a request.
func (u *upstream) release(r *request) {
	u.running--
	u.settle(r)
}

// end learns from the end of an attempt.
func (u *upstream) end(now time.Time, r *request, e messenger.Finish) {
	u.release(r)
	u.note(now, e.Failed)
	if e.Failed || r.started.IsZero() {
		return
	}
	u.pool.model.learnHeld(now.Sub(r.sent).Seconds())
}

// note counts a failure or a success.
func (u *upstream) note(now time.Time, failed bool) {
	u.failures *= halved(now.Sub(u.failedAt), failureHalfLife)
	u.failedAt = now
	u.failures *= 1 - failureWeight
	if !failed {
		u.inARow = 0
		return
	}
	u.failures += failureWeight
	u.inARow++
	if u.inARow >= failuresInARow {
		backoff := min(firstBackoff<<min(u.inARow-failuresInARow, 6), longestBackoff)
		u.closedTil = now.Add(backoff)
	}
}

// pause sends nothing to an upstream for as long as it asked for.
func (a *Admitter) pause(e messenger.Pause) {
	u, ok := a.upstreams[e.Upstream]
	if !ok {
		return
	}
	if until := a.now.Add(e.For); until.After(u.pausedTil) {
		u.pausedTil = until
	}
}

// report takes in what an answer said of its upstream.
func (a *Admitter) report(e messenger.LoadReport) {
	u, ok := a.upstreams[e.Upstream]
	if !ok {
		return
	}
	u.report, u.reported, u.ownAtReport = e, a.now, u.running
}
