package admitter

import (
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
)

const (
	// retentionInterval is the time between two updates of the retention time.
	retentionInterval = time.Second
	// readRateWeight is the weight of the last interval in the average read rate of the
	// engines.
	readRateWeight = 0.3
	// holdersPerPart is the number of upstreams remembered per part.
	holdersPerPart = 3
	// minAnnouncedTokens is the total length of shared parts, in tokens, from which on
	// their location is announced to other routers. maxAnnouncedParts is the largest number
	// of parts of one upstream that one message announces.
	minAnnouncedTokens = 256
	maxAnnouncedParts  = 64
)

// holderIndex records to which upstreams the shared parts of prompts were last sent, by any
// router, and estimates how long engines retain them. The zero value is ready to use.
type holderIndex struct {
	byPart map[messenger.PartID]partHolders
	// tokensRead is the number of tokens that engines had to read for this router since the
	// last update of the retention time; readRate is its moving average per second.
	tokensRead         float64
	readRate           float64
	retentionUpdatedAt time.Time
	retention          time.Duration
}

// holder is an upstream to which a part was sent.
type holder struct {
	upstream *upstream
	sentAt   time.Time
}

// partHolders lists the upstreams to which a part was sent, the most recent first.
type partHolders [holdersPerPart]holder

// sharedPart returns the longest part of a prompt that other requests may share.
func sharedPart(prompt []messenger.PromptPart) (messenger.PartID, bool) {
	if len(prompt) < 2 {
		return 0, false
	}
	return messenger.PartID(prompt[len(prompt)-2].Chain), true
}

// unsharedTokens returns the length of the part of a prompt that no other request shares.
func unsharedTokens(prompt []messenger.PromptPart) int {
	if len(prompt) == 0 {
		return 0
	}
	return prompt[len(prompt)-1].Tokens
}

// find returns the upstreams that were last sent the shared parts of a prompt and are
// expected to retain them.
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

// record adds the latest holder of a part in front of the earlier ones.
func (h *holderIndex) record(part messenger.PartID, latest holder) {
	if h.byPart == nil {
		h.byPart = make(map[messenger.PartID]partHolders)
	}
	updated := partHolders{latest}
	others := h.byPart[part].without(latest.upstream)
	copy(updated[1:], others[:])
	h.byPart[part] = updated
}

// contains reports whether u is in the list.
func (h partHolders) contains(u *upstream) bool {
	for _, holder := range h {
		if holder.upstream == u {
			return true
		}
	}
	return false
}

// without returns the list without u, closing the gap.
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

// removeUpstream removes an upstream that lost its cache from all parts.
func (h *holderIndex) removeUpstream(u *upstream) {
	for part, known := range h.byPart {
		if known.contains(u) {
			h.byPart[part] = known.without(u)
		}
	}
}

// recordPrompt records that a prompt was sent to an upstream.
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

// sharedTokens returns the length of the parts of a prompt that other requests may share.
func sharedTokens(prompt []messenger.PromptPart) int {
	n := 0
	for _, p := range prompt[:len(prompt)-1] {
		n += p.Tokens
	}
	return n
}

// expireParts removes parts that engines no longer retain, and updates the retention time:
// the time in which engines read as much as fits into the memory beside the running
// requests.
func (p *pool) expireParts(now time.Time) {
	h := &p.holders
	elapsed := now.Sub(h.retentionUpdatedAt)
	if !p.hasEngines || elapsed < retentionInterval {
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

// retention returns the expected retention time of an unused part.
func (p *pool) retention() time.Duration {
	fleetReadRate := p.holders.readRate * p.fleetToOwnRatio()
	if fleetReadRate <= 0 || p.policy.Engine == nil {
		return maxRetention
	}
	capacityTokens := cacheShare * float64(p.policy.Engine.MemoryTokens) * float64(len(p.members))
	seconds := capacityTokens / fleetReadRate
	if seconds >= maxRetention.Seconds() {
		return maxRetention
	}
	return max(minRetention, time.Duration(seconds*float64(time.Second)))
}

// fleetToOwnRatio returns the number of requests that all routers run, divided by the
// number that this router runs.
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
