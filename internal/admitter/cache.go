package admitter

import (
	"container/list"
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
)

const (
	// cacheShare is the part of an engine's memory that is expected to hold
	// prompts which no request uses.
	cacheShare = 0.4
	// cacheTTL is how long a part is expected to be kept without use.
	cacheTTL = 30 * time.Second
)

// cache is what an engine is expected to keep of the prompts that were sent to
// it. The least recently used parts yield. The zero value keeps nothing.
type cache struct {
	limit, tokens int
	parts         map[uint64]*list.Element
	// recent holds *part, the most recently used first.
	recent list.List
}

type part struct {
	chain  uint64
	tokens int
	used   time.Time
}

// resize sets the engine's memory in tokens.
func (c *cache) resize(memory int) { c.limit = int(cacheShare * float64(memory)) }

// missing returns how many tokens of a prompt have to be read. At its home a
// prompt's shared parts are expected in part even if they were not sent from
// here.
func (c *cache) missing(now time.Time, prompt []messenger.PromptPart, home bool) int {
	total, kept := 0, 0
	broken := false
	for i, p := range prompt {
		total += p.Tokens
		if broken {
			continue
		}
		e, ok := c.parts[p.Chain]
		switch {
		case ok && now.Sub(e.Value.(*part).used) < cacheTTL:
			kept += p.Tokens
		case home && i+1 < len(prompt):
			kept += int(homeCached * float64(p.Tokens))
		default:
			broken = true
		}
	}
	return total - kept
}

// use notes that a prompt is read or found.
func (c *cache) use(now time.Time, prompt []messenger.PromptPart) {
	if c.limit == 0 {
		return
	}
	if c.parts == nil {
		c.parts = make(map[uint64]*list.Element)
	}
	for _, p := range prompt {
		if e, ok := c.parts[p.Chain]; ok {
			e.Value.(*part).used = now
			c.recent.MoveToFront(e)
			continue
		}
		c.parts[p.Chain] = c.recent.PushFront(&part{chain: p.Chain, tokens: p.Tokens, used: now})
		c.tokens += p.Tokens
	}
	for c.tokens > c.limit && c.recent.Len() > 0 {
		c.drop(c.recent.Back())
	}
}

func (c *cache) drop(e *list.Element) {
	p := e.Value.(*part)
	c.tokens -= p.tokens
	delete(c.parts, p.chain)
	c.recent.Remove(e)
}
