package collector

import (
	"slices"

	"lentilwood.example/lentilwood/internal/averager"
	"lentilwood.example/lentilwood/internal/messenger"
)

// sum adds up the loads of routers.
type sum struct {
	routers       []messenger.NameHash
	quiet         map[messenger.NameHash]bool
	upstreams     []messenger.UpstreamLoad
	upstreamIndex map[messenger.NameHash]int
	accounts      []messenger.AccountDemand
	accountIndex  map[messenger.NameHash]int
	pools         map[messenger.NameHash]*poolSum
	reservedShare float32
}

// poolSum adds up the measurements of routers for one pool.
type poolSum struct {
	// contestedSum is the sum of Contested over routerCount routers.
	contestedSum, routerCount float32
	// baseSecondsSamples and secondsPerTokenSamples are the estimates of the routers that have
	// one.
	baseSecondsSamples, secondsPerTokenSamples []averager.Sample
}

func newSum() *sum {
	return &sum{
		quiet:         make(map[messenger.NameHash]bool),
		upstreamIndex: make(map[messenger.NameHash]int), accountIndex: make(map[messenger.NameHash]int),
		pools: make(map[messenger.NameHash]*poolSum),
	}
}

// add adds a load. If parts is not nil, it replaces the parts in the load.
func (s *sum) add(l messenger.PeerLoad, parts map[messenger.NameHash][]messenger.PartID) {
	routers := l.Routers
	if len(routers) == 0 {
		routers = []messenger.NameHash{messenger.HashName(l.From)}
	}
	s.routers = append(s.routers, routers...)
	for i, router := range routers {
		if l.IsQuiet(i) {
			s.quiet[router] = true
		}
	}
	s.reservedShare = max(s.reservedShare, l.ReservedShare)
	for _, u := range l.Upstreams {
		if parts != nil {
			u.Parts = nil
		}
		s.addUpstream(u)
	}
	for upstream, ids := range parts {
		s.addUpstream(messenger.UpstreamLoad{Upstream: upstream, Parts: ids})
	}
	for _, a := range l.Accounts {
		s.addAccount(a)
	}
	for _, d := range l.Pools {
		s.addPool(d, len(routers))
	}
}

func (s *sum) addUpstream(u messenger.UpstreamLoad) {
	i, ok := s.upstreamIndex[u.Upstream]
	if !ok {
		s.upstreamIndex[u.Upstream] = len(s.upstreams)
		u.Parts = slices.Clone(u.Parts)
		s.upstreams = append(s.upstreams, u)
		return
	}
	total := &s.upstreams[i]
	total.Running += u.Running
	total.UnreadTokens += u.UnreadTokens
	total.Parts = append(total.Parts, u.Parts...)
	total.Pace = total.Pace.Plus(u.Pace)
}

func (s *sum) addAccount(a messenger.AccountDemand) {
	i, ok := s.accountIndex[a.Account]
	if !ok {
		s.accountIndex[a.Account] = len(s.accounts)
		s.accounts = append(s.accounts, a)
		return
	}
	s.accounts[i].Rate += a.Rate
	s.accounts[i].Served += a.Served
}

// addPool adds the measurements of a number of routers for a pool.
func (s *sum) addPool(d messenger.PoolDemand, routers int) {
	p, ok := s.pools[d.Pool]
	if !ok {
		p = &poolSum{}
		s.pools[d.Pool] = p
	}
	p.contestedSum += d.Contested * float32(routers)
	p.routerCount += float32(routers)
	if d.SecondsPerToken > 0 {
		p.baseSecondsSamples = append(p.baseSecondsSamples, averager.Sample{Value: float64(d.BaseSeconds), Weight: routers})
		p.secondsPerTokenSamples = append(p.secondsPerTokenSamples, averager.Sample{Value: float64(d.SecondsPerToken), Weight: routers})
	}
}

// toPeerLoad returns the sum as one load. The routers are sorted, so that receivers notice
// when the set changes.
func (s *sum) toPeerLoad(from messenger.RouterID) messenger.PeerLoad {
	slices.Sort(s.routers)
	out := messenger.PeerLoad{From: from, Routers: s.routers, ReservedShare: s.reservedShare, Upstreams: s.upstreams, Accounts: s.accounts}
	for i, router := range s.routers {
		if s.quiet[router] {
			out.SetQuiet(i)
		}
	}
	for pool, p := range s.pools {
		out.Pools = append(out.Pools, messenger.PoolDemand{
			Pool: pool, Contested: p.contestedSum / p.routerCount,
			BaseSeconds: float32(averager.Median(p.baseSecondsSamples)), SecondsPerToken: float32(averager.Median(p.secondsPerTokenSamples)),
		})
	}
	return out
}
