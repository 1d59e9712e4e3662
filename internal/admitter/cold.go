package admitter

import (
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
)

// The functions in this file concern upstreams that are cold after their start. Package pacer
// decides how many requests this router may send to them.

// coldReadFactor times the time to read a prompt is added to the cost of a cold upstream, so
// that the few requests that it takes are mainly short ones, and those whose shared parts are
// not cached at a warm upstream.
const coldReadFactor = 1

const (
	// quietDemand and busyDemand are fractions of the mean demand of a router. A router with less
	// than the first for quietTime leaves its shares of cold upstreams to others, until it has
	// more than the second: a share needs about the requests of a router with a quarter of the
	// mean. The demand is measured over seconds.
	quietDemand = 0.25
	busyDemand  = 0.5
	quietTime   = 5 * time.Second
)

// ColdStats describes the cold upstreams.
type ColdStats struct {
	// Upstreams is the number of cold upstreams, Shared the number of those to which this
	// router may send some requests.
	Upstreams, Shared int
	// Permits counts the requests that were sent to cold upstreams. Refused counts the
	// requests that were refused while cold upstreams were closed to this router, OnlyCold
	// those of them for which only cold upstreams were left.
	Permits, Refused, OnlyCold uint64
}

// ColdStats returns the state of the cold upstreams as of the last tick, and the counts since
// the start.
func (a *Admitter) ColdStats() ColdStats { return a.coldStats }

// Join records the members of the fleet. Without others, alone tells that none are to come. Until
// then, nothing is sent to cold upstreams.
func (a *Admitter) Join(now time.Time, members []messenger.RouterID, alone bool) {
	keys := make([]messenger.NameHash, 0, len(members))
	for _, id := range members {
		keys = append(keys, messenger.HashName(id))
	}
	a.pacer.Join(now, keys, alone)
}

// seeRouters records that the routers of a load message are alive.
func (a *Admitter) seeRouters(e *messenger.PeerLoad, routers []messenger.NameHash) {
	if a.limitsCold {
		a.pacer.SeeRouters(a.now, routers, e.IsQuiet)
	}
}

// updateQuiet updates whether this router has little traffic, given its fraction of the demand.
func (a *Admitter) updateQuiet(demandShare float64) {
	demand := demandShare * float64(a.routerCount())
	if a.quietSince.IsZero() || demand >= quietDemand && !a.quiet || demand > busyDemand {
		a.quietSince = a.now
	}
	a.quiet = a.limitsCold && a.now.Sub(a.quietSince) >= quietTime
	a.pacer.SetQuiet(a.now, a.quiet)
}

// updateGate applies the policy of an upstream to its gate.
func (a *Admitter) updateGate(u *upstream) {
	perSecond := u.pool.policy.Cold.PerSecond
	if perSecond <= 0 {
		u.gate = nil
		return
	}
	if u.gate == nil {
		u.gate = a.pacer.NewGate(u.hash)
	}
	u.gate.SetRate(perSecond)
	u.gate.SetColdUntil(a.now, u.policy.ColdUntil)
}

// listColdUpstreams lists, for each pool, the cold upstreams to which this router may send some
// requests.
func (a *Admitter) listColdUpstreams() {
	a.coldStats.Upstreams, a.coldStats.Shared = 0, 0
	for _, p := range a.pools {
		p.cold = p.cold[:0]
		if p.policy.Cold.PerSecond <= 0 {
			continue
		}
		for _, u := range p.members {
			if !u.acceptsWork || !u.gate.IsCold(a.now) {
				continue
			}
			a.coldStats.Upstreams++
			if u.gate.HoldsShare(a.now) {
				p.cold = append(p.cold, u)
			}
		}
		a.coldStats.Shared += len(p.cold)
	}
}

// takePermit uses a permit for a request that is sent to u, and returns until when it may be
// written. The time is zero if u is warm.
func (a *Admitter) takePermit(u *upstream) time.Time {
	if !u.gate.IsCold(a.now) {
		return time.Time{}
	}
	a.coldStats.Permits++
	return u.gate.Take(a.now)
}

// coldWait returns the time until a request may be sent to u while it is cold. When an upstream
// whose process has ended returns is not known: the end of its cold time is only a bound, and no
// caller may be told to wait for that.
func (u *upstream) coldWait(now time.Time) time.Duration {
	wait := u.gate.Wait(now)
	if u.policy.ColdAssumed {
		return min(wait, minRetryAfter)
	}
	return wait
}

// coldCost returns what is added to the cost of a request at a cold upstream.
func (a *Admitter) coldCost(u *upstream, f forecast) time.Duration {
	if !u.gate.IsCold(a.now) {
		return 0
	}
	return time.Duration(coldReadFactor * float64(f.unreadTokens) * u.pool.readSpeed.secondsPerToken * float64(time.Second))
}

// trySendCold sends a request that the best upstream can't serve in time to a cold upstream
// with a permit, if that one can.
func (a *Admitter) trySendCold(r *request) bool {
	p := r.pool
	if len(p.cold) == 0 {
		return false
	}
	home := p.home(a, r)
	u, f := p.cheapest(a, r, p.cold, p.findParts(a, r, home), home, false)
	if u == nil || u == r.lastDenial.upstream {
		return false
	}
	best := r.lastDenial
	if a.trySendTo(r, u, f) {
		return true
	}
	r.lastDenial = best
	return false
}

// countColdRefusal counts the refusal of a request while cold upstreams are closed to this
// router, and reports whether only cold upstreams were left.
func (a *Admitter) countColdRefusal(r *request) bool {
	if r.pool.policy.Cold.PerSecond <= 0 || a.coldStats.Upstreams == 0 {
		return false
	}
	cold, warm := r.pool.countUsable(a.now)
	if cold == 0 {
		return false
	}
	a.coldStats.Refused++
	if warm > 0 || r.lastDenial.upstream != nil {
		return false
	}
	a.coldStats.OnlyCold++
	return true
}

// countUsable returns the numbers of cold upstreams without a permit, and of other upstreams
// that accept work.
func (p *pool) countUsable(now time.Time) (cold, warm int) {
	for _, u := range p.members {
		switch {
		case !u.acceptsWork || now.Before(u.pausedUntil):
		case u.gate.IsCold(now) && !u.gate.Open(now):
			cold++
		default:
			warm++
		}
	}
	return cold, warm
}
