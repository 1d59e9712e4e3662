package admitter

import (
	"time"

	"lentilwood.example/lentilwood/internal/averager"
	"lentilwood.example/lentilwood/internal/messenger"
)

const (
	// paceHalfLife is the time in which the weight of an observation halves. A router sends an
	// upstream of a large fleet about one request in ten seconds.
	paceHalfLife = 20 * time.Second
	// paceInterval is the time between two updates of the speeds, speedWeight the weight of
	// the last update.
	paceInterval = 500 * time.Millisecond
	speedWeight  = 0.3
	// minPaceEvents is the number of events from which on a speed is derived, about those of
	// two streams. minRatedUpstreams is the number of upstreams needed to compare speeds.
	minPaceEvents     = 80
	minRatedUpstreams = 4
	// evenSpeed is the ratio to the median of the pool within which an upstream counts as
	// one of usual speed, so that fleets of equal upstreams do not react to chance.
	evenSpeed = 4.0 / 3
	// speedTTL is how long a speed is used after the last time that enough events showed it. An
	// upstream that counts as slow gets few streams, which else would never show that it has
	// recovered.
	speedTTL = time.Minute
	// maxSpeedRatio bounds the ratio of an upstream's time to the median.
	maxSpeedRatio = 6
	// restartHoldOff is the number of updates after an upstream's restart in which its speed
	// is not derived: messages of other routers still describe the previous process.
	restartHoldOff = 6
	// maxPaceValue bounds one router's sums in a message, so that those of 400 routers fit into 32
	// bits. UsualMS reaches it with 145 streams at one upstream.
	maxPaceValue = 1 << 22
	// maxSpeedChanges bounds the changes that nobody has taken.
	maxSpeedChanges = 64
	// usualGapRise and usualGapFall are the weights of an observation in the usual time
	// between events: it follows the shortest times, in which no prompt is read.
	usualGapRise = 0.02
	usualGapFall = 0.2
)

// paceSum is a sum of observations of an upstream's speed by several routers.
type paceSum struct{ events, lateEvents, usualMS int64 }

func newPaceSum(p *messenger.Pace) paceSum {
	if p == nil {
		return paceSum{}
	}
	return paceSum{events: int64(p.Events), lateEvents: int64(p.LateEvents), usualMS: int64(p.UsualMS)}
}

func (s *paceSum) add(o paceSum) {
	s.events += o.events
	s.lateEvents += o.lateEvents
	s.usualMS += o.usualMS
}

func (s *paceSum) subtract(o paceSum) {
	s.add(paceSum{events: -o.events, lateEvents: -o.lateEvents, usualMS: -o.usualMS})
}

// upstreamPace is the observed speed of an upstream. The zero value is usual speed.
type upstreamPace struct {
	// events and lateEvents are the decaying sums of this router; see messenger.Pace. peers
	// are those of the other routers.
	events, lateEvents float64
	decayedAt          time.Time
	peers              paceSum
	// ownUsualGap is the time between two events while no prompt is read, as this router
	// observes it; usualGap is the mean over all routers. Zero means unknown.
	ownUsualGap, usualGap time.Duration
	// ratedAt is when usualGap was last updated.
	ratedAt time.Time
	// factor is the time that work takes, relative to an upstream of usual speed; zero means
	// 1.
	factor  float64
	holdOff int
	// pausingUntil is the time until which reading is expected to delay streams beyond their
	// limit.
	pausingUntil time.Time
	// notedUneven and notedPausing are the state in the last SpeedChange.
	notedUneven, notedPausing bool
}

// reset discards the observations of a process that has ended.
func (p *upstreamPace) reset() {
	*p = upstreamPace{peers: p.peers, holdOff: restartHoldOff, notedUneven: p.notedUneven, notedPausing: p.notedPausing}
}

// timeFactor returns the time that work takes, relative to an upstream of usual speed.
func (p *upstreamPace) timeFactor() float64 {
	if p.factor == 0 {
		return 1
	}
	return p.factor
}

func (p *upstreamPace) decay(now time.Time) {
	f := decayFactor(now.Sub(p.decayedAt), paceHalfLife)
	p.decayedAt = now
	p.events *= f
	p.lateEvents *= f
}

// handleStreamTimes records the times between events at an upstream.
func (a *Admitter) handleStreamTimes(e messenger.StreamTimes) {
	if u, ok := a.upstreams[e.Upstream]; ok && e.Events > 0 {
		u.pace.record(a.now, e)
	}
}

// record adds the times between the events of some streams.
func (p *upstreamPace) record(now time.Time, e messenger.StreamTimes) {
	p.decay(now)
	p.events += float64(e.Events)
	p.lateEvents += float64(e.LateEvents)
	weight := usualGapRise
	if e.Shortest < p.ownUsualGap {
		weight = usualGapFall
	}
	if p.ownUsualGap == 0 {
		weight = 1
	}
	p.ownUsualGap += time.Duration(weight * float64(e.Shortest-p.ownUsualGap))
}

// ownUsualMS returns this router's part of the sum UsualMS.
func (p *upstreamPace) ownUsualMS() float64 { return p.events * p.ownUsualGap.Seconds() * 1000 }

// message returns the observations of this router for the other routers, or nil if the pool
// does not use them.
func (p *upstreamPace) message(now time.Time, pool *pool) *messenger.Pace {
	if pool.pace.pauseLimit == 0 {
		return nil
	}
	p.decay(now)
	m := messenger.Pace{Events: paceValue(p.events), LateEvents: paceValue(p.lateEvents), UsualMS: paceValue(p.ownUsualMS())}
	if m == (messenger.Pace{}) {
		return nil
	}
	return &m
}

// paceValue rounds a sum for a message.
func paceValue(v float64) uint32 { return uint32(clamp(v+0.5, 0, maxPaceValue)) }

// poolPace summarizes the speeds of a pool's upstreams. The zero value is usual speed.
type poolPace struct {
	// pauseLimit is the mean pause limit of the requests that have one, or zero if none has;
	// limitSeenAt is when the last of them arrived.
	pauseLimit  time.Duration
	limitSeenAt time.Time
	updatedAt   time.Time
	// pausingCount is the number of upstreams on which reading delays streams beyond their
	// limit.
	pausingCount int
}

// updateSpeeds derives the speeds of the upstreams from the observations of all routers.
func (p *pool) updateSpeeds(a *Admitter) {
	if a.now.Sub(p.pace.updatedAt) < paceInterval {
		return
	}
	p.pace.updatedAt, p.pace.pausingCount = a.now, 0
	if a.now.Sub(p.pace.limitSeenAt) > pauseLimitTTL {
		p.pace.pauseLimit = 0
		p.forgetSpeeds()
		return
	}
	gaps := make([]averager.Sample, 0, len(p.members))
	for _, u := range p.members {
		u.pace.update(a.now)
		if u.pace.pausing(a.now) {
			p.pace.pausingCount++
		}
		if u.pace.usualGap > 0 {
			gaps = append(gaps, averager.Sample{Value: u.pace.usualGap.Seconds(), Weight: 1})
		}
	}
	median := 0.0
	if len(gaps) >= minRatedUpstreams {
		median = averager.Median(gaps)
	}
	for _, u := range p.members {
		u.pace.setFactor(median)
		a.noteSpeed(u)
	}
}

// setFactor derives the time factor from the median of the usual times between events of the
// pool, which is zero if unknown.
func (p *upstreamPace) setFactor(median float64) {
	p.factor = 1
	if p.usualGap == 0 || median == 0 {
		return
	}
	if f := p.usualGap.Seconds() / median; f > evenSpeed || f < 1/evenSpeed {
		p.factor = clamp(f, 1/float64(maxSpeedRatio), maxSpeedRatio)
	}
}

// SpeedChange reports that an upstream begins or ceases to count as slow or fast, or as one on
// which reading delays streams.
type SpeedChange struct {
	Upstream messenger.UpstreamID
	// Factor is the time that work takes, relative to an upstream of usual speed.
	Factor float64
	// UsualGap is the time between two events of a stream while no prompt is read.
	UsualGap time.Duration
	// Events is the number of events observed by all routers, with decay, LateEvents that of
	// those beyond their limit.
	Events, LateEvents int
	// DelaysStreams is true if reading delays streams beyond their limit.
	DelaysStreams bool
}

// TakeSpeedChanges returns the changes since the last call.
func (a *Admitter) TakeSpeedChanges() []SpeedChange {
	changes := a.speedChanges
	a.speedChanges = nil
	return changes
}

// noteSpeed records a change of what is believed of an upstream's speed.
func (a *Admitter) noteSpeed(u *upstream) {
	p := &u.pace
	uneven, pausing := p.timeFactor() != 1, p.pausing(a.now)
	if uneven == p.notedUneven && pausing == p.notedPausing || len(a.speedChanges) >= maxSpeedChanges {
		return
	}
	p.notedUneven, p.notedPausing = uneven, pausing
	events, late := p.totals()
	a.speedChanges = append(a.speedChanges, SpeedChange{
		Upstream: u.id, Factor: p.timeFactor(), UsualGap: p.usualGap, Events: int(events), LateEvents: int(late), DelaysStreams: pausing,
	})
}

// totals returns the events and the late events that all routers observed.
func (p *upstreamPace) totals() (events, late float64) {
	return p.events + float64(p.peers.events), p.lateEvents + float64(p.peers.lateEvents)
}

// forgetSpeeds makes all upstreams count as of usual speed.
func (p *pool) forgetSpeeds() {
	for _, u := range p.members {
		u.pace.factor, u.pace.pausingUntil = 0, time.Time{}
	}
}

// update updates the usual time between events and whether reading delays streams.
func (p *upstreamPace) update(now time.Time) {
	if p.holdOff > 0 {
		p.holdOff--
		return
	}
	p.decay(now)
	events, late := p.totals()
	if events >= minPaceEvents {
		gap := time.Duration((p.ownUsualMS() + float64(p.peers.usualMS)) / events * float64(time.Millisecond))
		if p.usualGap == 0 {
			p.usualGap = gap
		}
		p.usualGap += time.Duration(speedWeight * float64(gap-p.usualGap))
		p.ratedAt = now
	} else if now.Sub(p.ratedAt) > speedTTL {
		p.usualGap = 0
	}
	if late >= minLateEvents && late >= pausingShare*events {
		p.pausingUntil = now.Add(pausingTime)
	}
}
