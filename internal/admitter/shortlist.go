package admitter

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"lentilwood.example/lentilwood/internal/messenger"
)

const (
	// weighedWhole is the size of a pool up to which each of its upstreams is weighed
	// for each request.
	weighedWhole = 16
	// listed is how many upstreams are on the shortlist of a larger pool.
	listed = 12
	// listTTL is how long a shortlist counts, and listSends how many requests may be
	// sent by one: each changes what is best.
	listTTL   = messenger.TickInterval
	listSends = listed / 2
)

// shortlist is the upstreams of a large pool with the least ahead of a request, whatever
// its prompt is. It answers the load of a small VM in a fleet of hundreds of engines, whose
// processor time would go to weighing them all for each request: besides those that keep
// parts of a prompt, only these are weighed. The zero value is out of date.
type shortlist struct {
	made  time.Time
	sends int
	best  []ranked
}

// ranked is an upstream with what counts against it.
type ranked struct {
	at   *upstream
	cost time.Duration
}

// current reports whether the list need not be made anew.
func (l *shortlist) current(now time.Time) bool {
	return len(l.best) > 0 && l.sends < listSends && now.Sub(l.made) < listTTL
}

// add puts an upstream on the list if it is among the best.
func (l *shortlist) add(r ranked) {
	if len(l.best) == listed && r.cost >= l.best[listed-1].cost {
		return
	}
	if len(l.best) < listed {
		l.best = append(l.best, r)
	}
	i := len(l.best) - 1
	for ; i > 0 && l.best[i-1].cost > r.cost; i-- {
		l.best[i] = l.best[i-1]
	}
	l.best[i] = r
}

// rank makes the shortlist anew. Among upstreams that are alike each router prefers others.
func (p *pool) rank(a *Admitter) {
	l := &p.shortlist
	l.made, l.sends, l.best = a.now, 0, l.best[:0]
	n := len(p.members)
	first := int(xxhash.Sum64String(string(a.cfg.Self)) % uint64(n))
	for i := range n {
		u := p.members[(first+i)%n]
		if u.usable(a.now, false) {
			l.add(ranked{at: u, cost: u.rankCost(a.now)})
		}
	}
}

// candidates returns the upstreams that are worth weighing for a request: all of a small
// pool; of a large one those that keep parts of its prompt, and the shortlist.
func (p *pool) candidates(a *Admitter, home *upstream, src source) []*upstream {
	if len(p.members) <= weighedWhole {
		return p.members
	}
	if !p.shortlist.current(a.now) {
		p.rank(a)
	}
	p.worth = p.worth[:0]
	p.consider(home)
	p.consider(src.at)
	for _, h := range src.holders {
		p.consider(h.at)
	}
	for _, r := range p.shortlist.best {
		p.consider(r.at)
	}
	return p.worth
}

// consider adds an upstream to those that are worth weighing, once. One that keeps parts of
// a prompt may serve another pool by now.
func (p *pool) consider(u *upstream) {
	if u == nil || u.pool != p {
		return
	}
	for _, other := range p.worth {
		if other == u {
			return
		}
	}
	p.worth = append(p.worth, u)
}
