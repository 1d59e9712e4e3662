package admitter

import (
	"container/list"
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
)

const (
	// cacheShare is the part of an engine's memory that is expected to hold
	// prompts which no request uses.
	cacheShare = 0.5
	// longestHorizon bounds how long a part is expected to be kept without use.
	longestHorizon  = 30 * time.Second
	shortestHorizon = time.Second
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

// missing returns how many tokens of a prompt have to be read, and how many of
// these are of parts that other requests share. A part is expected to be kept
// for the horizon. At its home a prompt's shared parts are expected for the
// most part even if they were not sent from here.
func (c *cache) missing(now time.Time, horizon time.Duration, prompt []messenger.PromptPart, home bool) (reads, again int) {
	broken := false
	for i, p := range prompt {
		shared := i+1 < len(prompt)
		lacks := p.Tokens
		if !broken {
			e, ok := c.parts[p.Chain]
			switch {
			case ok && now.Sub(e.Value.(*part).used) < horizon:
				lacks = 0
			case home && shared:
				lacks = int((1 - homeCached) * float64(p.Tokens))
			default:
				broken = true
			}
		}
		reads += lacks
		if shared {
			again += lacks
		}
	}
	return reads, again
}

// use notes that a prompt is read or found.
func (c *cache) use(now time.Time, prompt []messenger.PromptPart) {
	if c.limit == 0 {
		return
	}
	if c.parts == nil {
		c.parts = make(map[uint64]*list.Element)
	}
	for i, p := range prompt {
		if i+1 == len(prompt) && i > 0 {
			break // nobody else asks for the last part
		}
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
