package pacer

import (
	"math"
	"time"
)

const (
	// shareCount is the number of shares of an upstream's rate. The fleet must not exceed
	// 1.5 times the rate plus 5 in any second. Each share allows burstPerRate times the rate,
	// rounded up, that is less than 0.3 times the rate plus 1: five of them, one more than
	// there are, stay under the bound.
	shareCount   = 4
	burstPerRate = 0.3
	// maxBurst bounds the memory of a share, 6 KB. It limits the fleet to 853 requests per second to
	// one cold upstream.
	maxBurst = 256
	// minWindow and maxWindow bound the window of a share.
	minWindow = 1200 * time.Millisecond
	maxWindow = time.Hour
	// permitTTL is how long a permit may be used. Windows are at least 1.2 s long, which leaves
	// 200 ms between the decision and the arrival of a request.
	permitTTL = 120 * time.Millisecond
)

// Gate decides which requests may be sent to one upstream. A nil Gate is always open.
type Gate struct {
	pacer     *Pacer
	upstream  uint64
	perSecond float64
	// window is the time in which each share allows burst requests.
	window    time.Duration
	burst     int
	coldUntil time.Time
	// shares holds the times of the last burst permits of each share, in ascending order.
	shares [shareCount][]time.Time
	// held lists the shares that this router holds as of generation.
	held       []int
	generation uint64
}

// NewGate returns the gate of a warm upstream, given the hash of its id.
func (p *Pacer) NewGate(upstream uint64) *Gate {
	return &Gate{pacer: p, upstream: upstream, generation: p.generation - 1}
}

// SetRate sets the number of requests per second that the upstream takes while it is cold.
func (g *Gate) SetRate(perSecond float64) {
	if perSecond == g.perSecond {
		return
	}
	g.perSecond = perSecond
	g.burst = int(min(maxBurst, max(1, math.Ceil(burstPerRate*perSecond))))
	seconds := min(maxWindow.Seconds(), shareCount*float64(g.burst)/perSecond)
	g.window = max(minWindow, time.Duration(seconds*float64(time.Second)))
	for i := range g.shares {
		g.shares[i] = make([]time.Time, g.burst)
	}
	g.smoothStart(g.pacer.advancedAt)
}

// SetColdUntil sets until when the upstream is cold.
func (g *Gate) SetColdUntil(now, until time.Time) {
	wasCold := g.IsCold(now)
	g.coldUntil = until
	if !wasCold && g.IsCold(now) {
		g.smoothStart(now)
	}
}

// smoothStart spaces the first permits of the shares evenly. Requests that were sent before all
// routers knew that the upstream is cold still arrive in that time.
func (g *Gate) smoothStart(now time.Time) {
	spacing := g.window / time.Duration(g.burst)
	for i, times := range g.shares {
		first := now.Add(spacing*time.Duration(i+1)/shareCount - g.window)
		for j := range times {
			if at := first.Add(spacing * time.Duration(j)); at.After(times[j]) {
				times[j] = at
			}
		}
	}
}

// IsCold reports whether the upstream is cold.
func (g *Gate) IsCold(now time.Time) bool { return g != nil && now.Before(g.coldUntil) }

// Open reports whether a request may be sent: the upstream is warm, or this router has a permit.
func (g *Gate) Open(now time.Time) bool {
	if !g.IsCold(now) {
		return true
	}
	_, wait := g.next(now)
	return wait <= 0
}

// HoldsShare reports whether this router holds a share that it may use.
func (g *Gate) HoldsShare(now time.Time) bool {
	return g != nil && len(g.heldShares()) > 0 && g.pacer.mayUseShares(now)
}

// Take uses a permit, and returns until when the request may be written. The time is zero if
// the upstream is warm. Call it only if Open is true.
func (g *Gate) Take(now time.Time) time.Time {
	if !g.IsCold(now) {
		return time.Time{}
	}
	share, _ := g.next(now)
	if share < 0 {
		return now // without a permit, which Open excludes, nothing may be written
	}
	times := g.shares[share]
	copy(times, times[1:])
	times[len(times)-1] = now
	return now.Add(permitTTL)
}

// Wait returns the time until a request may be sent.
func (g *Gate) Wait(now time.Time) time.Duration {
	if !g.IsCold(now) {
		return 0
	}
	_, wait := g.next(now)
	return max(0, wait)
}

// next returns the share of this router that has room first, or -1, and the time until then.
// Without a share, it is the time until the upstream is warm.
func (g *Gate) next(now time.Time) (share int, wait time.Duration) {
	share, wait = -1, g.coldUntil.Sub(now)
	if len(g.heldShares()) == 0 || !g.pacer.mayUseShares(now) {
		return share, wait
	}
	for _, i := range g.held {
		if w := g.shares[i][0].Add(g.window).Sub(now); w < wait {
			share, wait = i, w
		}
	}
	return share, wait
}

// heldShares returns the shares that this router holds.
func (g *Gate) heldShares() []int {
	if g.generation == g.pacer.generation {
		return g.held
	}
	g.generation = g.pacer.generation
	g.held = g.held[:0]
	for i := range shareCount {
		if g.pacer.holdsShare(g.upstream, i) {
			g.held = append(g.held, i)
		}
	}
	return g.held
}
