package admitter

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"lentilwood.example/lentilwood/internal/messenger"
)

const (
	// maxFullScan is the largest pool of which each upstream is evaluated for every
	// request.
	maxFullScan = 16
	// shortlistSize is the number of upstreams on the shortlist of a larger pool.
	shortlistSize = 12
	// steadyListSize is the number of upstreams that are evaluated besides because reading
	// does not delay their streams beyond the limit.
	steadyListSize = 4
	// shortlistTTL is the lifetime of a shortlist, and shortlistMaxSends the number of sent
	// requests after which it is rebuilt: each of them changes the ranking.
	shortlistTTL      = messenger.TickInterval
	shortlistMaxSends = shortlistSize / 2
)

// shortlist lists the upstreams of a large pool with the least work ahead, whatever the
// prompt of a request is. Besides the upstreams that hold parts of the prompt, only these
// are evaluated: evaluating hundreds of engines for each request would use up the CPU time
// of a small VM. The zero value is outdated.
type shortlist struct {
	builtAt time.Time
	sends   int
	best    []rankedUpstream
	// steady lists the best of the upstreams whose streams reading does not delay beyond their
	// limit. It is empty unless there are others.
	steady []rankedUpstream
}

// rankedUpstream is an upstream with its cost.
type rankedUpstream struct {
	upstream *upstream
	cost     time.Duration
}

// valid reports whether the list can still be used.
func (l *shortlist) valid(now time.Time) bool {
	return len(l.best) > 0 && l.sends < shortlistMaxSends && now.Sub(l.builtAt) < shortlistTTL
}

// insertRanked adds an upstream to a list of at most size upstreams if it is among the best.
func insertRanked(list []rankedUpstream, r rankedUpstream, size int) []rankedUpstream {
	if len(list) == size && r.cost >= list[size-1].cost {
		return list
	}
	if len(list) < size {
		list = append(list, r)
	}
	i := len(list) - 1
	for ; i > 0 && list[i-1].cost > r.cost; i-- {
		list[i] = list[i-1]
	}
	list[i] = r
	return list
}

// rebuildShortlist rebuilds the shortlist. Among upstreams of equal cost, each router
// prefers different ones.
func (p *pool) rebuildShortlist(a *Admitter) {
	l := &p.shortlist
	l.builtAt, l.sends, l.best, l.steady = a.now, 0, l.best[:0], l.steady[:0]
	n := len(p.members)
	offset := int(xxhash.Sum64String(string(a.cfg.Self)) % uint64(n))
	for i := range n {
		u := p.members[(offset+i)%n]
		if !u.usable(a.now, false) {
			continue
		}
		ranked := rankedUpstream{upstream: u, cost: u.baseCost(a.now)}
		l.best = insertRanked(l.best, ranked, shortlistSize)
		if p.pace.pausingCount > 0 && !u.pace.pausing(a.now) {
			l.steady = insertRanked(l.steady, ranked, steadyListSize)
		}
	}
}

// candidates returns the upstreams to evaluate for a request: all of a small pool; of a
// large one those that hold parts of its prompt, cold ones that this router may send to, and
// the shortlist.
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
	for _, u := range p.cold {
		p.addCandidate(u)
	}
	for _, r := range p.shortlist.best {
		p.addCandidate(r.upstream)
	}
	for _, r := range p.shortlist.steady {
		p.addCandidate(r.upstream)
	}
	return p.candidateBuf
}

// addCandidate adds an upstream to the candidates unless it is among them. A holder of a
// part may have been moved to another pool.
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
