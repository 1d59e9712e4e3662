package placer

import (
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
)

// Parameters of the health of upstreams. An upstream that is slower than the others of its pool
// loses health, and its effective window shrinks: the number of requests that this router runs
// there at a time.
const (
	// upstreamWeight and poolWeight are the weights of a sample in the moving averages of
	// one upstream and of the pool.
	upstreamWeight = 0.25
	poolWeight     = 0.01
	// slowFactor is how many times slower than the pool an upstream must be for its health to
	// fall, and recoveredFactor how many times slower it may be for the health to rise again.
	slowFactor      = 2
	recoveredFactor = 1.5
	// adjustInterval is the minimum interval between two changes of an upstream's health.
	adjustInterval = 50 * time.Millisecond
	// The health is multiplied by shrinkFactor when it falls, and growStep is added to it when
	// it rises.
	shrinkFactor = 0.7
	growStep     = 0.1
	// minHealth is the lowest health. With fewer than 1/minHealth slots, the effective window
	// is then 0 and the upstream gets probe requests only.
	minHealth = 0.1
	// probeInterval is the interval between two probes of an idle slow upstream.
	probeInterval = 500 * time.Millisecond
	// A busy upstream counts as silent and loses health if it has had no events for
	// silenceTimeout plus the longer of two times: silenceGaps times its average time between
	// events, and slowFactor times the pool's average time to the first output.
	silenceTimeout = 250 * time.Millisecond
	silenceGaps    = 8
	// maxActiveGap is the maximum time that the gap between two events of a pool adds to the
	// pool's active time.
	maxActiveGap = 100 * time.Millisecond
	// checkLimit is the maximum number of upstreams that one call of CheckHealth checks.
	checkLimit = 32
)

// poolSpeed holds moving averages over the upstreams of a pool, in seconds.
type poolSpeed struct {
	perTokenSeconds, firstOutputSeconds float64
}

// speedStats is the observed speed of one upstream.
type speedStats struct {
	perTokenSeconds, firstOutputSeconds float64
	// eventGapSeconds is a moving average of the time between events.
	eventGapSeconds float64
	// lastEvent is the time of the latest event, and activeAtEvent the value of
	// Placer.activeTime at that event.
	lastEvent     time.Time
	activeAtEvent time.Duration
	// health is the fraction, 0 to 1, of the leased slots that may be used. It is 1 unless the
	// upstream was slow. adjustedAt is the time of its last change, and lastStart the time at
	// which this router last sent the upstream a request.
	health                float64
	adjustedAt, lastStart time.Time
}

// updateAverage adds a sample to a moving average; zero means that there is none yet.
func updateAverage(value *float64, sample, weight float64) {
	if *value == 0 {
		*value = sample
		return
	}
	*value += weight * (sample - *value)
}

// updatePoolAverage adds a sample to an average of the pool. Samples are bounded, so that
// one slow upstream has little effect.
func updatePoolAverage(value *float64, sample float64) {
	if *value > 0 {
		sample = min(sample, slowFactor**value)
	}
	updateAverage(value, sample, poolWeight)
}

// ObserveFirstOutput records the time from dispatch to the first output.
func (p *Placer) ObserveFirstOutput(now time.Time, id messenger.UpstreamID, latency time.Duration) {
	u, ok := p.upstreams[id]
	if !ok || latency <= 0 {
		return
	}
	updateAverage(&u.stats.firstOutputSeconds, latency.Seconds(), upstreamWeight)
	updatePoolAverage(&p.speed.firstOutputSeconds, latency.Seconds())
	p.recordEvent(now, u)
	p.adjustHealth(now, u)
}

// ObserveTokens records the time in which a number of tokens was generated.
func (p *Placer) ObserveTokens(now time.Time, id messenger.UpstreamID, tokens float64, took time.Duration) {
	u, ok := p.upstreams[id]
	if !ok || tokens <= 0 || took <= 0 {
		return
	}
	perToken := took.Seconds() / tokens
	updateAverage(&u.stats.perTokenSeconds, perToken, upstreamWeight)
	updatePoolAverage(&p.speed.perTokenSeconds, perToken)
	p.recordEvent(now, u)
	p.adjustHealth(now, u)
}

// FirstOutputLatency returns the average time from dispatch to the first output; zero means
// that there is none yet.
func (p *Placer) FirstOutputLatency() time.Duration {
	return time.Duration(p.speed.firstOutputSeconds * float64(time.Second))
}

// recordEvent records an event of u.
func (p *Placer) recordEvent(now time.Time, u *upstream) {
	if !p.lastEvent.IsZero() {
		p.activeTime += min(now.Sub(p.lastEvent), maxActiveGap)
	}
	p.lastEvent = now
	if !u.stats.lastEvent.IsZero() {
		updateAverage(&u.stats.eventGapSeconds, now.Sub(u.stats.lastEvent).Seconds(), upstreamWeight)
	}
	u.stats.lastEvent = now
	u.stats.activeAtEvent = p.activeTime
}

// slowness returns how many times slower u is than the pool.
func (p *Placer) slowness(u *upstream) float64 {
	factor := 1.0
	if u.stats.perTokenSeconds > 0 && p.speed.perTokenSeconds > 0 {
		factor = u.stats.perTokenSeconds / p.speed.perTokenSeconds
	}
	if u.stats.firstOutputSeconds > 0 && p.speed.firstOutputSeconds > 0 {
		factor = max(factor, u.stats.firstOutputSeconds/p.speed.firstOutputSeconds)
	}
	return factor
}

// adjustHealth adapts the health of u to its observed speed.
func (p *Placer) adjustHealth(now time.Time, u *upstream) {
	if now.Sub(u.stats.adjustedAt) < adjustInterval {
		return
	}
	factor := p.slowness(u)
	switch {
	case factor > slowFactor:
		u.stats.health = max(minHealth, u.stats.health*shrinkFactor)
	case factor < recoveredFactor && u.stats.health < 1:
		u.stats.health = min(1, u.stats.health+growStep)
	default:
		return
	}
	u.stats.adjustedAt = now
	p.updateTotals(u)
}

// effectiveWindow returns how many requests this router may run on u at a time: the leased
// slots, reduced by the health of u.
func (u *upstream) effectiveWindow() int {
	if u.stats.health >= 1 {
		return u.slots
	}
	return min(u.slots, int(u.stats.health*float64(u.slots)))
}

// CheckHealth checks a few upstreams: silent ones lose health, and idle slow ones may run a
// probe request.
func (p *Placer) CheckHealth(now time.Time) {
	for range min(checkLimit, len(p.upstreamList)) {
		p.cursor = (p.cursor + 1) % len(p.upstreamList)
		u := p.upstreamList[p.cursor]
		if u.running > 0 && p.isSilent(u) && now.Sub(u.stats.adjustedAt) >= adjustInterval {
			u.stats.health = max(minHealth, u.stats.health*shrinkFactor)
			u.stats.adjustedAt = now
			p.updateTotals(u)
		}
		if u.running == 0 && u.stats.health < 1 && now.Sub(u.stats.lastStart) >= probeInterval {
			u.stats.perTokenSeconds, u.stats.firstOutputSeconds, u.stats.eventGapSeconds = 0, 0, 0
			p.allowProbe(u)
		}
	}
}

// isSilent reports whether u has had no events for too long; see silenceTimeout. The time is
// measured by Placer.activeTime, which nearly stops while no upstream of the pool has events:
// if all upstreams are silent at once, nothing can be concluded about one of them, and this
// router may itself have been stalled.
func (p *Placer) isSilent(u *upstream) bool {
	expectedSeconds := max(silenceGaps*u.stats.eventGapSeconds, slowFactor*p.speed.firstOutputSeconds)
	return u.stats.eventGapSeconds > 0 && (p.activeTime-u.stats.activeAtEvent).Seconds() > silenceTimeout.Seconds()+expectedSeconds
}

// allowProbe allows u to run one request.
func (p *Placer) allowProbe(u *upstream) {
	if u.slots == 0 {
		return
	}
	u.stats.health = max(u.stats.health, 1/float64(u.slots))
	p.updateTotals(u)
}
