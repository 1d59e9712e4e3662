package admitter

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"lentilwood.example/lentilwood/internal/messenger"
)

const (
	// weighedWhole is the size of a pool up to which each of its upstreams is weighed
	// for each request.
	maxFullScan = 16
	// listed is how many upstreams are on the shortlist of a larger pool.
	shortlistSize = 12
	// listTTL is how long a shortlist counts, and listSends how many requests may be
	// sent by one: each changes what is best.
	shortlistTTL      = messenger.TickInterval
	shortlistMaxSends = shortlistSize / 2
)

// shortlist is the upstreams of a large pool with the least ahead of a request, whatever
// its prompt is. It answers the load of a small VM in a fleet of hundreds of engines, whose
// processor time would go to weighing them all for each request: besides those that keep
// parts of a prompt, only these are weighed. The zero value is out of date.
type shortlist struct {
	builtAt time.Time
	sends   int
	best    []rankedUpstream
}

// ranked is an upstream with what counts against it.
type rankedUpstream struct {
	upstream *upstream
	cost     time.Duration
}

// current reports whether the list need not be made anew.
func (l *shortlist) valid(now time.Time) bool {
	return len(l.best) > 0 && l.sends < shortlistMaxSends && now.Sub(l.builtAt) < shortlistTTL
}

// add puts an upstream on the list if it is among the best.
func (l *shortlist) insert(r rankedUpstream) {
	if len(l.best) == shortlistSize && r.cost >= l.best[shortlistSize-1].cost {
		return
	}
	if len(l.best) < shortlistSize {
		l.best = append(l.best, r)
	}
	i := len(l.best) - 1
	for ; i > 0 && l.best[i-1].cost > r.cost; i-- {
		l.best[i] = l.best[i-1]
	}
	l.best[i] = r
}

// rank makes the shortlist anew. Among upstreams that are alike each router prefers others.
func (p *pool) rebuildShortlist(a *Admitter) {
	l := &p.shortlist
	l.builtAt, l.sends, l.best = a.now, 0, l.best[:0]
	n := len(p.members)
	offset := int(xxhash.Sum64String(string(a.cfg.Self)) % uint64(n))
	for i := range n {
		u := p.members[(offset+i)%n]
		if u.usable(a.now, false) {
			l.insert(rankedUpstream{upstream: u, cost: u.baseCost(a.now)})
		}
	}
}

// candidates returns the upstreams that are worth weighing for a request: all of a small
// pool; of a large one those that keep parts of its prompt, and the shortlist.
func (p *pool) candidates(a *Admitter, home *upstream, src partSource) []*upstream {
	if len(p.members) <= maxFullScan {
		return p.members
	}
	if !p.shortlist.valid(a.now) {
		p.rebuildShortlist(a)
	}
	p.candidateBuf = p.candidateBuf[:0]
	p.addCandidate(home)
	p.addCandidate(src.fetchFrom)
	for _, h := range src.holders {
		p.addCandidate(h.upstream)
	}
	for _, r := range p.shortlist.best {
		p.addCandidate(r.upstream)
	}
	return p.candidateBuf
}

// consider adds an upstream to those that are worth weighing, once. One that keeps parts of
// a prompt may serve another pool by now.
func (p *pool) addCandidate(u *upstream) {
	if u == nil || u.pool != p {
		return
	}
	for _, other := range p.candidateBuf {
		if other == u {
			return
		}
	}
	p.candidateBuf = append(p.candidateBuf, u)
}
