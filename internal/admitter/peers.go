package admitter

import (
	"slices"
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
)

const (
	// leastRate is the demand, in cost a second, below which an account is not
	// worth telling of.
	leastRate = 1
	// shortestPeerTTL is how long what another router said counts at least, and
	// missedShares how many of its messages may be late or lost.
	shortestPeerTTL = time.Second
	missedShares    = 3
	// countTTL is how long the routers of a sum count as part of the fleet: one that
	// no longer hears of the others is not to take their slots as well.
	countTTL = 10 * time.Second
	// sumLag is how many times later what other routers do is known by a sum of their
	// loads than by messages of their own.
	sumLag = 3
)

// peer is what another router last said of itself, or of several.
type peer struct {
	heard time.Time
	// routers are those whose loads it added up, itself included.
	routers []messenger.Key
	// lapsed is true once what it said of loads no longer counts.
	lapsed bool
	loads  []peerLoad
	asked  map[messenger.Key]float64
	// pools is what it learnt of the pools of engines.
	pools map[messenger.Key]messenger.PoolDemand
	// served is what all its accounts get together, in cost a second.
	served float64
	// reserve is what it wants to be left to accounts within their share.
	reserve float64
}

// peerLoad is what another router runs on one upstream.
type peerLoad struct {
	at *upstream
	load
}

// hear takes in what another router runs and is asked for, or what several do. A router
// that is in a sum does not count by itself as well.
func (a *Admitter) hear(e messenger.PeerLoad) {
	routers := e.Routers
	if len(routers) == 0 {
		routers = []messenger.Key{messenger.KeyOf(e.From)}
		if a.inSum(routers[0]) {
			return
		}
	} else {
		a.forgetMembers(e.From, routers)
	}
	p := &peer{
		heard: a.now, routers: routers, reserve: bound(float64(e.Reserve), 0, mostReserve),
		loads: make([]peerLoad, 0, len(e.Upstreams)),
		asked: make(map[messenger.Key]float64, len(e.Accounts)),
		pools: make(map[messenger.Key]messenger.PoolDemand, len(e.Pools)),
	}
	for _, l := range e.Upstreams {
		u, ok := a.byKey[l.Upstream]
		if !ok {
			continue
		}
		u.hearParts(a.now, l.Parts)
		p.loads = append(p.loads, peerLoad{at: u, load: load{running: int(l.Running), reading: int(l.Reading)}})
	}
	for _, d := range e.Accounts {
		p.asked[d.Account] = float64(d.Rate)
		p.served += float64(d.Served)
	}
	before, known := a.peers[e.From]
	for _, d := range e.Pools {
		p.pools[d.Pool] = d
	}
	a.forgetPeer(e.From)
	a.peers[e.From] = p
	if !known || !slices.Equal(before.routers, routers) {
		a.orderRouters()
	}
	for _, l := range p.loads {
		l.at.others.running += l.running
		l.at.others.reading += l.reading
	}
}

// inSum reports whether a sum of loads that counts has that of a router in it.
func (a *Admitter) inSum(router messenger.Key) bool {
	for _, p := range a.peers {
		if !p.lapsed && len(p.routers) > 1 && slices.Contains(p.routers, router) {
			return true
		}
	}
	return false
}

// forgetMembers takes out what those said by themselves that are in the sum of another.
// The sum of the whole fleet takes the place of everything else.
func (a *Admitter) forgetMembers(from messenger.RouterID, routers []messenger.Key) {
	for id, p := range a.peers {
		if id == from {
			continue
		}
		alone := len(p.routers) == 1
		if from == messenger.FleetSum || alone && slices.Contains(routers, p.routers[0]) {
			a.forgetPeer(id)
		}
	}
}

// forgetPeer takes out what another router said.
func (a *Admitter) forgetPeer(id messenger.RouterID) {
	p, ok := a.peers[id]
	if !ok {
		return
	}
	delete(a.peers, id)
	p.forgetLoads()
}

// forgetLoads takes out what the peer runs and is asked for.
func (p *peer) forgetLoads() {
	for _, l := range p.loads {
		l.at.others.running -= l.running
		l.at.others.reading -= l.reading
	}
	p.lapsed = true
	p.loads, p.asked, p.pools, p.served, p.reserve = nil, nil, nil, 0, 0
}

// peerTTL returns how long what another router said counts. In a large fleet
// routers speak less often.
func (a *Admitter) peerTTL() time.Duration { return max(shortestPeerTTL, missedShares*a.shareEvery) }

// forgetSilent takes out what routers said that have fallen silent.
func (a *Admitter) forgetSilent() {
	lost := false
	for id, p := range a.peers {
		silent := a.now.Sub(p.heard)
		switch {
		case silent <= a.peerTTL():
		case len(p.routers) == 1 || silent > countTTL:
			a.forgetPeer(id)
			lost = true
		case !p.lapsed:
			p.forgetLoads()
		}
	}
	if lost {
		a.orderRouters()
	}
}

// orderRouters finds this router's place in the order in which the routers divide
// the slots of each upstream.
func (a *Admitter) orderRouters() {
	own := messenger.KeyOf(a.cfg.Self)
	self := spread(own)
	var others []uint64
	for _, p := range a.peers {
		for _, key := range p.routers {
			if key != own {
				others = append(others, spread(key))
			}
		}
	}
	for _, u := range a.upstreams {
		place, before := mix(self^u.hash), 0
		for _, other := range others {
			if mix(other^u.hash) < place {
				before++
			}
		}
		u.before = float64(before) / float64(max(1, len(others)))
	}
}

// spread makes a number of a router's key that is as long as an upstream's hash.
func spread(key messenger.Key) uint64 { return uint64(key)<<32 | uint64(key) }

// fleetSize returns how many routers there are, this one included.
func (a *Admitter) fleetSize() int {
	n := 1
	for _, p := range a.peers {
		n += len(p.routers)
	}
	return n
}

// newsAge returns how old news of the other routers may be.
func (a *Admitter) newsAge() time.Duration {
	for _, p := range a.peers {
		if len(p.routers) > 1 {
			return sumLag * a.shareEvery
		}
	}
	return a.shareEvery
}

// hearParts notes the shared parts that another router sent to u.
func (u *upstream) hearParts(now time.Time, parts []messenger.PartID) {
	for _, part := range parts {
		u.pool.holders.note(part, holder{at: u, on: now})
	}
}

// NextPeerLoad returns what other routers should know of this one, and notes that they
// as sent.
func (a *Admitter) NextPeerLoad(now time.Time) messenger.PeerLoad {
	if !a.shared.IsZero() {
		a.shareEvery = now.Sub(a.shared)
	}
	a.shared = now
	out := messenger.PeerLoad{From: a.cfg.Self, Reserve: float32(a.shares.reserve)}
	for key, u := range a.byKey {
		if u.running == 0 && len(u.untold) == 0 {
			continue
		}
		out.Upstreams = append(out.Upstreams, messenger.UpstreamLoad{
			Upstream: key, Running: uint32(u.running), Reading: uint32(max(0, u.reading)), Parts: u.untold,
		})
		u.untold = nil
	}
	for id, p := range a.pools {
		if p.engine {
			out.Pools = append(out.Pools, p.demand(id))
		}
	}
	for id, acc := range a.shares.accounts {
		acc.fade(now)
		if acc.asked >= leastRate {
			out.Accounts = append(out.Accounts, messenger.AccountDemand{
				Account: id, Rate: uint32(acc.asked), Served: uint32(acc.served),
			})
		}
	}
	return out
}
