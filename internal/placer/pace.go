package placer

import (
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
)

// How speed is judged.
const (
	// fastWeight and slowWeight are the weights of a sample in the moving
	// averages of one upstream and of the pool.
	upstreamWeight = 0.25
	poolWeight     = 0.01
	// slowFactor is how many times slower than the pool an upstream must be to
	// lose window, and wellFactor how many times at most to get it back.
	slowFactor      = 2
	recoveredFactor = 1.5
	// adjustEvery is the shortest time between two changes of a window.
	adjustInterval = 50 * time.Millisecond
	// shrink and grow are how much of its window an upstream keeps and gets
	// back in one change.
	shrinkFactor = 0.7
	growStep     = 0.1
	// lowestHealth is the health at which an upstream is only probed.
	minHealth = 0.1
	// probeEvery is the time between two probes of an idle slow upstream.
	probeInterval = 500 * time.Millisecond
	// silence is how long an upstream with work may say nothing before it
	// counts as slow, besides silenceGaps of its usual times between events.
	silenceTimeout = 250 * time.Millisecond
	silenceGaps    = 8
	// longestLull bounds what one pause between two events of a pool adds to the
	// time in which it was lively.
	maxActiveGap = 100 * time.Millisecond
	// sweepLimit bounds the upstreams looked at in one CheckHealth.
	checkLimit = 32
)

// speed is a moving average of what upstreams of a pool take, in seconds.
type poolSpeed struct {
	perTokenSeconds, firstOutputSeconds float64
}

// pace is what was observed of one upstream.
type speedStats struct {
	perTokenSeconds, firstOutputSeconds float64
	// gap is a moving average of the time between events, in seconds.
	eventGapSeconds float64
	// seen is the time of the newest event, and lively how long the pool had
	// been lively then.
	lastEvent     time.Time
	activeAtEvent time.Duration
	// health is the part of the window that is used, 0 to 1.
	health                float64
	adjustedAt, lastStart time.Time
}

// average moves a moving average towards a sample; zero means none yet.
func updateAverage(value *float64, sample, weight float64) {
	if *value == 0 {
		*value = sample
		return
	}
	*value += weight * (sample - *value)
}

// reference takes a sample into the average of the pool. One slow upstream
// counts for little.
func updatePoolAverage(value *float64, sample float64) {
	if *value > 0 {
		sample = min(sample, slowFactor**value)
	}
	updateAverage(value, sample, poolWeight)
}

// ObserveFirstOutput takes in the time from dispatch to the first output.
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

// ObserveTokens takes in the time that some tokens took.
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

// FirstOutputLatency returns the usual time from dispatch to the first output; zero
// means not known yet.
func (p *Placer) FirstOutputLatency() time.Duration {
	return time.Duration(p.speed.firstOutputSeconds * float64(time.Second))
}

// heard notes an event of u.
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

// adjust changes the window of u by its observed speed.
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

// limit returns how many requests u is given at a time.
func (u *upstream) window() int {
	if u.stats.health >= 1 {
		return u.slots
	}
	return min(u.slots, int(u.stats.health*float64(u.slots)))
}

// CheckHealth looks at a few upstreams: those with work that have fallen silent lose
// window, and idle slow ones are let run a probe.
func (p *Placer) CheckHealth(now time.Time) {
	for range min(checkLimit, len(p.all)) {
		p.cursor = (p.cursor + 1) % len(p.all)
		u := p.all[p.cursor]
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

// silent reports whether u should have said something by now. Only time in
// which others of the pool spoke counts: where all are silent at once, nothing
// was learnt of one of them, and this router may itself have stood still.
func (p *Placer) isSilent(u *upstream) bool {
	expectedSeconds := max(silenceGaps*u.stats.eventGapSeconds, slowFactor*p.speed.firstOutputSeconds)
	return u.stats.eventGapSeconds > 0 && (p.activeTime-u.stats.activeAtEvent).Seconds() > silenceTimeout.Seconds()+expectedSeconds
}

// probe lets one request through to u.
func (p *Placer) allowProbe(u *upstream) {
	if u.slots == 0 {
		return
	}
	u.stats.health = max(u.stats.health, 1/float64(u.slots))
	p.updateTotals(u)
}
