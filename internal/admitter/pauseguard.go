package admitter

import "time"

// The functions in this file keep prompts off upstreams on which reading them would delay the
// running streams beyond the pause limit of their routes. While an engine reads prompts, each
// decoding step also reads a chunk, so the time between two events of a stream grows with the
// time to read a chunk. On fast engines it stays within the limit. On slow ones it does only
// if all unread prompts are read in less than the limit minus the usual time between events.
// See docs/design/mixed-prompts.md.

const (
	// pausingShare is the share of late events, and minLateEvents their number, from which on
	// reading is taken to delay the streams of an upstream. A stream has about 45 events, so
	// a late one in 500 spoils nearly a tenth of the streams.
	pausingShare  = 1.0 / 500
	minLateEvents = 3
	// pausingTime is how long that is assumed after the last evidence: with few prompts to
	// read, an upstream shows none.
	pausingTime = time.Minute
	// pauseLimitWeight is the weight of a request in the mean pause limit, pauseLimitTTL the
	// time without a request that has a limit after which there is none.
	pauseLimitWeight = 1.0 / 64
	pauseLimitTTL    = time.Minute
	// minLimitRatio is the ratio of the pause limit to the usual time between events below
	// which the limit is taken to be out of reach: keeping prompts off would help no stream.
	minLimitRatio = 2
	// backlogShare is the share of the time left by the pause limit that the known backlog may
	// take to read. The rest allows for prompts that other routers send before their next load
	// message, and for slowdowns of the upstream that are not reported in time.
	// In the simulated load peak, 0.35 to 0.4 gives most requests within their targets: with 0.5
	// more streams are late, with 0.2 fewer long prompts are sent.
	backlogShare = 0.4
	// streamDelayPenalty is added to the cost of an upstream whose streams would be delayed.
	// It exceeds all other costs.
	streamDelayPenalty = time.Hour
)

// recordPauseLimit records the pause limit of a request.
func (p *poolPace) recordPauseLimit(now time.Time, limit time.Duration) {
	if limit <= 0 {
		return
	}
	p.limitSeenAt = now
	if p.pauseLimit == 0 {
		p.pauseLimit = limit
	}
	p.pauseLimit += time.Duration(pauseLimitWeight * float64(limit-p.pauseLimit))
}

// pausing reports whether reading delays the streams of the upstream beyond their limit.
func (p *upstreamPace) pausing(now time.Time) bool { return now.Before(p.pausingUntil) }

// delaysStreams reports whether a prompt with the given number of tokens to read would delay
// the streams that run at the upstream beyond their limit. An upstream of which half the slots
// are free takes any prompt: few streams run there, and a free fleet refuses nobody.
func (u *upstream) delaysStreams(now time.Time, unreadTokens int) bool {
	limit, usualGap := u.pool.pace.pauseLimit, u.pace.usualGap
	if !u.pace.pausing(now) || limit < minLimitRatio*usualGap || limit == 0 || 2*u.requestCount(now) <= u.slots() {
		return false
	}
	tokens := float64(u.unreadTokens + u.peerLoad.unreadTokens + unreadTokens)
	seconds := tokens * u.pool.readSpeed.secondsPerToken * u.pace.timeFactor() * u.slowdown(now)
	return seconds > backlogShare*(limit-usualGap).Seconds()
}

// LateUpstreamCount returns the number of upstreams on which reading delays streams beyond
// their limit. It is safe for concurrent use.
func (a *Admitter) LateUpstreamCount() int { return int(a.lateUpstreams.Load()) }

// KeptOffCount returns the number of decisions since the start in which a request was kept off
// the upstream that looked best because of the streams there. It is safe for concurrent use.
func (a *Admitter) KeptOffCount() uint64 { return a.keptOffCount.Load() }
