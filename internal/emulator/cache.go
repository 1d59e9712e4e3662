package emulator

import (
	"container/list"
	"math/rand/v2"
	"time"
)

// CacheEvent says that a worker's prefix cache gained or dropped a prefix.
type CacheEvent struct {
	Seq uint64 `json:"seq"`
	// Prefix is what the request's header Lentilwood-Prefix named.
	Prefix string `json:"prefix"`
	Cached bool   `json:"cached"`
}

// CacheEvents is the answer to GET /v1/cacheEvents?since=N.
type CacheEvents struct {
	// Next is what to ask for the next time.
	Next   uint64       `json:"next"`
	Events []CacheEvent `json:"events"`
}

// maxCacheEvents bounds the events that a worker remembers.
const maxCacheEvents = 4096

// prefixCache remembers the prompt prefixes used last, as far as its memory
// goes. The engine's lock guards it.
type prefixCache struct {
	// memory is the limit in tokens.
	memory int
	used   int
	order  *list.List
	byName map[string]*list.Element
	// lag delays the events, and gaps is the share of them that is lost.
	lag    time.Duration
	gaps   float64
	rnd    *rand.Rand
	seq    uint64
	events []timedEvent
}

type timedEvent struct {
	at    time.Time
	event CacheEvent
}

type cacheEntry struct {
	prefix string
	tokens int
}

func newPrefixCache(memory int, lag time.Duration, gaps float64, seed uint64) *prefixCache {
	return &prefixCache{
		memory: memory, lag: lag, gaps: gaps, rnd: rand.New(rand.NewPCG(seed, seed)),
		order: list.New(), byName: map[string]*list.Element{},
	}
}

// use returns how many of the prompt's tokens were in the cache and puts the
// prompt there.
func (c *prefixCache) use(now time.Time, prefix string, prompt int) int {
	if prefix == "" || c.memory <= 0 {
		return 0
	}
	prompt = min(prompt, c.memory)
	el, ok := c.byName[prefix]
	if !ok {
		c.byName[prefix] = c.order.PushFront(&cacheEntry{prefix: prefix, tokens: prompt})
		c.used += prompt
		c.report(now, prefix, true)
		c.evict(now)
		return 0
	}
	e, _ := el.Value.(*cacheEntry)
	hit := min(e.tokens, prompt)
	c.used += max(0, prompt-e.tokens)
	e.tokens = max(e.tokens, prompt)
	c.order.MoveToFront(el)
	c.evict(now)
	return hit
}

func (c *prefixCache) evict(now time.Time) {
	for c.used > c.memory && c.order.Len() > 1 {
		el := c.order.Back()
		e, _ := c.order.Remove(el).(*cacheEntry)
		delete(c.byName, e.prefix)
		c.used -= e.tokens
		c.report(now, e.prefix, false)
	}
}

func (c *prefixCache) report(now time.Time, prefix string, cached bool) {
	c.seq++
	if c.rnd.Float64() < c.gaps {
		return
	}
	c.events = append(c.events, timedEvent{now, CacheEvent{Seq: c.seq, Prefix: prefix, Cached: cached}})
	if len(c.events) > maxCacheEvents {
		c.events = append([]timedEvent(nil), c.events[maxCacheEvents/2:]...)
	}
}

// since returns the events from number n on that are old enough to be seen.
func (c *prefixCache) since(now time.Time, n uint64) CacheEvents {
	out := CacheEvents{Next: n, Events: []CacheEvent{}}
	for _, e := range c.events {
		if e.at.After(now.Add(-c.lag)) {
			break
		}
		if e.event.Seq < n {
			continue
		}
		out.Events = append(out.Events, e.event)
		out.Next = e.event.Seq + 1
	}
	return out
}
