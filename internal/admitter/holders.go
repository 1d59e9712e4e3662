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
	// holdersKept is how many upstreams are remembered for a part.
	holdersKept = 3
	// leastTold is the size of shared parts, in tokens, from which on other
	// routers are told where they are, and mostTold how many parts of one
	// upstream one message names.
	leastTold = 256
	mostTold  = 64
)

// holders remembers where the shared parts of prompts were last sent by any
// router, and for how long engines keep them. The zero value is ready to use.
type holders struct {
	last map[messenger.PartID]held
	// read is what this router let engines read since the last look, in tokens,
	// and pace that for a second.
	read    float64
	pace    float64
	looked  time.Time
	horizon time.Duration
}

// holder is an upstream that was sent a part.
type holder struct {
	at *upstream
	on time.Time
}

// held is the upstreams that were sent a part, the latest first.
type held [holdersKept]holder

// sharedPart names the longest part that other requests may share.
func sharedPart(prompt []messenger.PromptPart) (messenger.PartID, bool) {
	if len(prompt) < 2 {
		return 0, false
	}
	return messenger.PartID(prompt[len(prompt)-2].Chain), true
}

// ownTokens returns how much of a prompt no other request shares.
func ownTokens(prompt []messenger.PromptPart) int {
	if len(prompt) == 0 {
		return 0
	}
	return prompt[len(prompt)-1].Tokens
}

// find returns the upstreams that were last sent the shared parts of a prompt
// and are expected to keep them.
func (h *holders) find(now time.Time, prompt []messenger.PromptPart) held {
	part, ok := sharedPart(prompt)
	if !ok {
		return held{}
	}
	found := h.last[part]
	for i := range found {
		if now.Sub(found[i].on) >= h.horizon {
			found[i] = holder{}
		}
	}
	return found
}

// note puts an upstream before the others that were sent a part.
func (h *holders) note(part messenger.PartID, latest holder) {
	if h.last == nil {
		h.last = make(map[messenger.PartID]held)
	}
	after := held{latest}
	others := h.last[part].without(latest.at)
	copy(after[1:], others[:])
	h.last[part] = after
}

// has reports whether an upstream is among them.
func (h held) has(u *upstream) bool {
	for _, holder := range h {
		if holder.at == u {
			return true
		}
	}
	return false
}

// without returns what is left, closed up, if an upstream no longer counts.
func (h held) without(u *upstream) held {
	var left held
	n := 0
	for _, old := range h {
		if old.at != nil && old.at != u {
			left[n] = old
			n++
		}
	}
	return left
}

// drop forgets an upstream that kept nothing.
func (h *holders) drop(u *upstream) {
	for part, at := range h.last {
		if at.has(u) {
			h.last[part] = at.without(u)
		}
	}
}

// keep notes that a prompt was sent to an upstream.
func (p *pool) keep(now time.Time, u *upstream, r *request, f forecast) {
	prompt := r.arrive.Work.Prompt
	u.cache.use(now, prompt)
	p.holders.read += float64(f.reads)
	part, ok := sharedPart(prompt)
	if !ok {
		return
	}
	p.holders.note(part, holder{at: u, on: now})
	if sharedTokens(prompt) >= leastTold && len(u.untold) < mostTold {
		u.untold = append(u.untold, part)
	}
}

// sharedTokens returns how much of a prompt other requests share.
func sharedTokens(prompt []messenger.PromptPart) int {
	n := 0
	for _, p := range prompt[:len(prompt)-1] {
		n += p.Tokens
	}
	return n
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
	for part, at := range h.last {
		if now.Sub(at[0].on) >= h.horizon {
			delete(h.last, part)
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
