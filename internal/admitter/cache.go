package admitter

import (
	"container/list"
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
)

const (
	// cacheShare is the fraction of an engine's memory that is expected to hold prompts
	// which no running request uses.
	cacheShare = 0.5
	// maxRetention bounds the expected retention time of an unused part.
	maxRetention = 30 * time.Second
	minRetention = time.Second
)

// cache is the expected content of an engine's prompt cache, derived from the prompts sent
// to it. Parts are evicted in order of least recent use. The zero value is empty and holds
// nothing.
type cache struct {
	maxTokens, tokens int
	parts             map[uint64]*list.Element
	// lru holds *cachedPart, the most recently used first.
	lru list.List
}

type cachedPart struct {
	chain    uint64
	tokens   int
	lastUsed time.Time
}

// resize sets the engine's memory in tokens.
func (c *cache) resize(memory int) { c.maxTokens = int(cacheShare * float64(memory)) }

// uncached returns how many tokens of a prompt the engine has to read, and how many of
// these belong to parts that other requests share. A part is expected to be cached for the
// retention time after its last use. At the home upstream of a prompt, homeCachedShare of a
// shared part is expected to be cached even if this router has not sent the part there.
func (c *cache) uncached(now time.Time, retention time.Duration, prompt []messenger.PromptPart, isHome bool) (unread, unreadShared int) {
	prefixEnded := false
	for i, p := range prompt {
		shared := i+1 < len(prompt)
		uncachedTokens := p.Tokens
		if !prefixEnded {
			e, ok := c.parts[p.Chain]
			switch {
			case ok && now.Sub(e.Value.(*cachedPart).lastUsed) < retention:
				uncachedTokens = 0
			case isHome && shared:
				uncachedTokens = int((1 - homeCachedShare) * float64(p.Tokens))
			default:
				prefixEnded = true
			}
		}
		unread += uncachedTokens
		if shared {
			unreadShared += uncachedTokens
		}
	}
	return unread, unreadShared
}

// touch records that the engine reads a prompt or finds it in its cache.
func (c *cache) touch(now time.Time, prompt []messenger.PromptPart) {
	if c.maxTokens == 0 {
		return
	}
	if c.parts == nil {
		c.parts = make(map[uint64]*list.Element)
	}
	for i, p := range prompt {
		if i+1 == len(prompt) && i > 0 {
			break // no other request shares the last part
		}
		if e, ok := c.parts[p.Chain]; ok {
			e.Value.(*cachedPart).lastUsed = now
			c.lru.MoveToFront(e)
			continue
		}
		c.parts[p.Chain] = c.lru.PushFront(&cachedPart{chain: p.Chain, tokens: p.Tokens, lastUsed: now})
		c.tokens += p.Tokens
	}
	for c.tokens > c.maxTokens && c.lru.Len() > 0 {
		c.evict(c.lru.Back())
	}
}

func (c *cache) evict(e *list.Element) {
	p := e.Value.(*cachedPart)
	c.tokens -= p.tokens
	delete(c.parts, p.chain)
	c.lru.Remove(e)
}
