package admitter

import (
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
)

const (
	// holdersInterval is the time between two looks at what is out of date.
	retentionInterval = time.Second
	// turnoverWeight is the weight of one interval in the pace at which engines
	// read.
	readRateWeight = 0.3
	// holdersKept is how many upstreams are remembered for a part.
	holdersPerPart = 3
	// leastTold is the size of shared parts, in tokens, from which on other
	// routers are told where they are, and mostTold how many parts of one
	// upstream one message names.
	minAnnouncedTokens = 256
	maxAnnouncedParts  = 64
)

// holders remembers where the shared parts of prompts were last sent by any
// router, and for how long engines keep them. The zero value is ready to use.
type holderIndex struct {
	byPart map[messenger.PartID]partHolders
	// read is what this router let engines read since the last look, in tokens,
	// and pace that for a second.
	tokensRead         float64
	readRate           float64
	retentionUpdatedAt time.Time
	retention          time.Duration
}

// holder is an upstream that was sent a part.
type holder struct {
	upstream *upstream
	sentAt   time.Time
}

// held is the upstreams that were sent a part, the latest first.
type partHolders [holdersPerPart]holder

// sharedPart names the longest part that other requests may share.
func sharedPart(prompt []messenger.PromptPart) (messenger.PartID, bool) {
	if len(prompt) < 2 {
		return 0, false
	}
	return messenger.PartID(prompt[len(prompt)-2].Chain), true
}

// ownTokens returns how much of a prompt no other request shares.
func unsharedTokens(prompt []messenger.PromptPart) int {
	if len(prompt) == 0 {
		return 0
	}
	return prompt[len(prompt)-1].Tokens
}

// find returns the upstreams that were last sent the shared parts of a prompt
// and are expected to keep them.
func (h *holderIndex) find(now time.Time, prompt []messenger.PromptPart) partHolders {
	part, ok := sharedPart(prompt)
	if !ok {
		return partHolders{}
	}
	found := h.byPart[part]
	for i := range found {
		if now.Sub(found[i].sentAt) >= h.retention {
			found[i] = holder{}
		}
	}
	return found
}

// note puts an upstream before the others that were sent a part.
func (h *holderIndex) record(part messenger.PartID, latest holder) {
	if h.byPart == nil {
		h.byPart = make(map[messenger.PartID]partHolders)
	}
	updated := partHolders{latest}
	others := h.byPart[part].without(latest.upstream)
	copy(updated[1:], others[:])
	h.byPart[part] = updated
}

// has reports whether an upstream is among them.
func (h partHolders) contains(u *upstream) bool {
	for _, holder := range h {
		if holder.upstream == u {
			return true
		}
	}
	return false
}

// without returns what is left, closed up, if an upstream no longer counts.
func (h partHolders) without(u *upstream) partHolders {
	var rest partHolders
	n := 0
	for _, old := range h {
		if old.upstream != nil && old.upstream != u {
			rest[n] = old
			n++
		}
	}
	return rest
}

// drop forgets an upstream that kept nothing.
func (h *holderIndex) removeUpstream(u *upstream) {
	for part, known := range h.byPart {
		if known.contains(u) {
			h.byPart[part] = known.without(u)
		}
	}
}

// keep notes that a prompt was sent to an upstream.
func (p *pool) recordPrompt(now time.Time, u *upstream, r *request, f forecast) {
	prompt := r.arrive.Work.Prompt
	u.cache.touch(now, prompt)
	p.holders.tokensRead += float64(f.unreadTokens)
	part, ok := sharedPart(prompt)
	if !ok {
		return
	}
	p.holders.record(part, holder{upstream: u, sentAt: now})
	if sharedTokens(prompt) >= minAnnouncedTokens && len(u.unannounced) < maxAnnouncedParts {
		u.unannounced = append(u.unannounced, part)
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
func (p *pool) expireParts(now time.Time) {
	h := &p.holders
	elapsed := now.Sub(h.retentionUpdatedAt)
	if !p.engine || elapsed < retentionInterval {
		return
	}
	if !h.retentionUpdatedAt.IsZero() {
		h.readRate += readRateWeight * (h.tokensRead/elapsed.Seconds() - h.readRate)
	}
	h.retentionUpdatedAt, h.tokensRead = now, 0
	h.retention = p.retention()
	for part, known := range h.byPart {
		if now.Sub(known[0].sentAt) >= h.retention {
			delete(h.byPart, part)
		}
	}
}

// horizon returns how long an unused part is expected to be kept.
func (p *pool) retention() time.Duration {
	fleetReadRate := p.holders.readRate * p.fleetToOwnRatio()
	if fleetReadRate <= 0 || p.policy.Engine == nil {
		return maxRetention
	}
	capacityTokens := cacheShare * float64(p.policy.Engine.Memory) * float64(len(p.members))
	seconds := capacityTokens / fleetReadRate
	if seconds >= maxRetention.Seconds() {
		return maxRetention
	}
	return max(minRetention, time.Duration(seconds*float64(time.Second)))
}

// fleetRatio is how many times what this router runs all routers run.
func (p *pool) fleetToOwnRatio() float64 {
	own, all := 0, 0
	for _, u := range p.members {
		own += u.running
		all += u.running + u.peerLoad.running
	}
	if own == 0 {
		return 1
	}
	return float64(all) / float64(own)
}
