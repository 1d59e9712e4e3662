package admitter

import (
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
)

const (
	// holdersInterval is the time between two looks at what is out of date.
	holdersInterval = time.Second
	// turnoverWeight is the weight of one interval in the pace at which engines
	// read.
	turnoverWeight = 0.3
)

// holders remembers where the shared parts of prompts were last sent from
// here, and for how long engines keep them. The zero value is ready to use.
type holders struct {
	last map[uint64]holder
	// read is what this router let engines read since the last look, in tokens,
	// and pace that for a second.
	read    float64
	pace    float64
	looked  time.Time
	horizon time.Duration
}

type holder struct {
	at *upstream
	on time.Time
}

// sharedChain returns the longest part that other requests may share.
func sharedChain(prompt []messenger.PromptPart) (uint64, bool) {
	if len(prompt) < 2 {
		return 0, false
	}
	return prompt[len(prompt)-2].Chain, true
}

// find returns the upstream that was last sent the shared part of a prompt, if
// it is expected to keep it.
func (h *holders) find(now time.Time, prompt []messenger.PromptPart) *upstream {
	chain, ok := sharedChain(prompt)
	if !ok {
		return nil
	}
	held, ok := h.last[chain]
	if !ok || now.Sub(held.on) >= h.horizon {
		return nil
	}
	return held.at
}

// keep notes that a prompt was sent to an upstream.
func (p *pool) keep(now time.Time, u *upstream, r *request, f forecast) {
	u.cache.use(now, r.arrive.Work.Prompt)
	p.holders.read += float64(f.reads)
	chain, ok := sharedChain(r.arrive.Work.Prompt)
	if !ok {
		return
	}
	if p.holders.last == nil {
		p.holders.last = make(map[uint64]holder)
	}
	p.holders.last[chain] = holder{at: u, on: now}
}

// forget drops what engines no longer keep, and works out for how long they
// do: until as much was read as fits into the memory beside running requests.
func (p *pool) forget(now time.Time) {
	h := &p.holders
	passed := now.Sub(h.looked)
	if !p.engine || passed < holdersInterval {
		return
	}
	if !h.looked.IsZero() {
		h.pace += turnoverWeight * (h.read/passed.Seconds() - h.pace)
	}
	h.looked, h.read = now, 0
	h.horizon = p.horizon()
	for chain, held := range h.last {
		if now.Sub(held.on) >= h.horizon {
			delete(h.last, chain)
		}
	}
}

// horizon returns how long an unused part is expected to be kept.
func (p *pool) horizon() time.Duration {
	pace := p.holders.pace * p.fleetRatio()
	if pace <= 0 || p.policy.Engine == nil {
		return longestHorizon
	}
	room := cacheShare * float64(p.policy.Engine.Memory) * float64(len(p.members))
	seconds := room / pace
	if seconds >= longestHorizon.Seconds() {
		return longestHorizon
	}
	return max(shortestHorizon, time.Duration(seconds*float64(time.Second)))
}

// fleetRatio is how many times what this router runs all routers run.
func (p *pool) fleetRatio() float64 {
	own, all := 0, 0
	for _, u := range p.members {
		own += u.running
		all += u.running + u.others.running
	}
	if own == 0 {
		return 1
	}
	return float64(all) / float64(own)
}
