package placer

import (
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
)

// How speed is judged.
const (
	// fastWeight and slowWeight are the weights of a sample in the moving
	// averages of one upstream and of the pool.
	fastWeight = 0.25
	slowWeight = 0.01
	// slowFactor is how many times slower than the pool an upstream must be to
	// lose window, and wellFactor how many times at most to get it back.
	slowFactor = 2
	wellFactor = 1.5
	// adjustEvery is the shortest time between two changes of a window.
	adjustEvery = 50 * time.Millisecond
	// shrink and grow are how much of its window an upstream keeps and gets
	// back in one change.
	shrink = 0.7
	grow   = 0.1
	// lowestHealth is the health at which an upstream is only probed.
	lowestHealth = 0.1
	// probeEvery is the time between two probes of an idle slow upstream.
	probeEvery = 500 * time.Millisecond
	// silence is how long an upstream with work may say nothing before it
	// counts as slow, besides silenceGaps of its usual times between events.
	silence     = 250 * time.Millisecond
	silenceGaps = 8
	// longestLull bounds what one pause between two events of a pool adds to the
	// time in which it was lively.
	longestLull = 100 * time.Millisecond
	// sweepLimit bounds the upstreams looked at in one CheckHealth.
	sweepLimit = 32
)

// speed is a moving average of what upstreams of a pool take, in seconds.
type speed struct {
	perToken, first float64
}

// pace is what was observed of one upstream.
type pace struct {
	perToken, first float64
	// gap is a moving average of the time between events, in seconds.
	gap float64
	// seen is the time of the newest event, and lively how long the pool had
	// been lively then.
	seen   time.Time
	lively time.Duration
	// health is the part of the window that is used, 0 to 1.
	health           float64
	adjusted, probed time.Time
}

// average moves a moving average towards a sample; zero means none yet.
func average(value *float64, sample, weight float64) {
	if *value == 0 {
		*value = sample
		return
	}
	*value += weight * (sample - *value)
}

// reference takes a sample into the average of the pool. One slow upstream
// counts for little.
func reference(value *float64, sample float64) {
	if *value > 0 {
		sample = min(sample, slowFactor**value)
	}
	average(value, sample, slowWeight)
}

// ObserveFirstOutput takes in the time from dispatch to the first output.
func (p *Placer) ObserveFirstOutput(now time.Time, id messenger.UpstreamID, latency time.Duration) {
	u, ok := p.upstreams[id]
	if !ok || latency <= 0 {
		return
	}
	average(&u.pace.first, latency.Seconds(), fastWeight)
	reference(&p.speed.first, latency.Seconds())
	p.heard(now, u)
	p.adjust(now, u)
}

// ObserveTokens takes in the time that some tokens took.
func (p *Placer) ObserveTokens(now time.Time, id messenger.UpstreamID, tokens float64, took time.Duration) {
	u, ok := p.upstreams[id]
	if !ok || tokens <= 0 || took <= 0 {
		return
	}
	perToken := took.Seconds() / tokens
	average(&u.pace.perToken, perToken, fastWeight)
	reference(&p.speed.perToken, perToken)
	p.heard(now, u)
	p.adjust(now, u)
}

// FirstOutputLatency returns the usual time from dispatch to the first output; zero
// means not known yet.
func (p *Placer) FirstOutputLatency() time.Duration {
	return time.Duration(p.speed.first * float64(time.Second))
}

// heard notes an event of u.
func (p *Placer) heard(now time.Time, u *upstream) {
	if !p.seen.IsZero() {
		p.lively += min(now.Sub(p.seen), longestLull)
	}
	p.seen = now
	if !u.pace.seen.IsZero() {
		average(&u.pace.gap, now.Sub(u.pace.seen).Seconds(), fastWeight)
	}
	u.pace.seen = now
	u.pace.lively = p.lively
}

// slowness returns how many times slower u is than the pool.
func (p *Placer) slowness(u *upstream) float64 {
	s := 1.0
	if u.pace.perToken > 0 && p.speed.perToken > 0 {
		s = u.pace.perToken / p.speed.perToken
	}
	if u.pace.first > 0 && p.speed.first > 0 {
		s = max(s, u.pace.first/p.speed.first)
	}
	return s
}

// adjust changes the window of u by its observed speed.
func (p *Placer) adjust(now time.Time, u *upstream) {
	if now.Sub(u.pace.adjusted) < adjustEvery {
		return
	}
	s := p.slowness(u)
	switch {
	case s > slowFactor:
		u.pace.health = max(lowestHealth, u.pace.health*shrink)
	case s < wellFactor && u.pace.health < 1:
		u.pace.health = min(1, u.pace.health+grow)
	default:
		return
	}
	u.pace.adjusted = now
	p.refresh(u)
}

// limit returns how many requests u is given at a time.
func (u *upstream) limit() int {
	if u.pace.health >= 1 {
		return u.slots
	}
	return min(u.slots, int(u.pace.health*float64(u.slots)))
}

// CheckHealth looks at a few upstreams: those with work that have fallen silent lose
// window, and idle slow ones are let run a probe.
func (p *Placer) CheckHealth(now time.Time) {
	for range min(sweepLimit, len(p.list)) {
		p.cursor = (p.cursor + 1) % len(p.list)
		u := p.list[p.cursor]
		if u.running > 0 && p.silent(u) && now.Sub(u.pace.adjusted) >= adjustEvery {
			u.pace.health = max(lowestHealth, u.pace.health*shrink)
			u.pace.adjusted = now
			p.refresh(u)
		}
		if u.running == 0 && u.pace.health < 1 && now.Sub(u.pace.probed) >= probeEvery {
			u.pace.perToken, u.pace.first, u.pace.gap = 0, 0, 0
			p.probe(u)
		}
	}
}

// silent reports whether u should have said something by now. Only time in
// which others of the pool spoke counts: where all are silent at once, nothing
// was learnt of one of them, and this router may itself have stood still.
func (p *Placer) silent(u *upstream) bool {
	usual := max(silenceGaps*u.pace.gap, slowFactor*p.speed.first)
	return u.pace.gap > 0 && (p.lively-u.pace.lively).Seconds() > silence.Seconds()+usual
}

// probe lets one request through to u.
func (p *Placer) probe(u *upstream) {
	if u.slots == 0 {
		return
	}
	u.pace.health = max(u.pace.health, 1/float64(u.slots))
	p.refresh(u)
}
