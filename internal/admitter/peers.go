package admitter

import (
	"slices"
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
)

const (
	// leastRate is the demand, in cost a second, below which an account is not
	// worth telling of.
	minReportedRate = 1
	// shortestPeerTTL is how long what another router said counts at least, and
	// missedShares how many of its messages may be late or lost.
	minPeerTTL   = time.Second
	maxLostLoads = 3
	// countTTL is how long the routers of a sum count as part of the fleet: one that
	// no longer hears of the others is not to take their slots as well.
	aggregateRouterTTL = 10 * time.Second
	// sumLag is how many times later what other routers do is known by a sum of their
	// loads than by messages of their own.
	aggregateDelayFactor = 3
)

// peer is what another router last said of itself, or of several.
type peer struct {
	receivedAt time.Time
	// routers are those whose loads it added up, itself included.
	routers []messenger.Key
	// lapsed is true once what it said of loads no longer counts.
	loadsExpired bool
	loads        []peerUpstreamLoad
	demand       map[messenger.Key]float64
	// pools is what it learnt of the pools of engines.
	pools map[messenger.Key]messenger.PoolDemand
	// served is what all its accounts get together, in cost a second.
	servedRate float64
	// reserve is what it wants to be left to accounts within their share.
	reserve float64
}

// peerLoad is what another router runs on one upstream.
type peerUpstreamLoad struct {
	upstream *upstream
	load
}

// hear takes in what another router runs and is asked for, or what several do. A router
// that is in a sum does not count by itself as well.
func (a *Admitter) handlePeerLoad(e messenger.PeerLoad) {
	routers := e.Routers
	if len(routers) == 0 {
		routers = []messenger.Key{messenger.KeyOf(e.From)}
		if a.coveredByAggregate(routers[0]) {
			return
		}
	} else {
		a.removeCoveredPeers(e.From, routers)
	}
	p := &peer{
		receivedAt: a.now, routers: routers, reserve: clamp(float64(e.Reserve), 0, maxReserve),
		loads:  make([]peerUpstreamLoad, 0, len(e.Upstreams)),
		demand: make(map[messenger.Key]float64, len(e.Accounts)),
		pools:  make(map[messenger.Key]messenger.PoolDemand, len(e.Pools)),
	}
	for _, l := range e.Upstreams {
		u, ok := a.upstreamsByKey[l.Upstream]
		if !ok {
			continue
		}
		u.recordPeerParts(a.now, l.Parts)
		p.loads = append(p.loads, peerUpstreamLoad{upstream: u, load: load{running: int(l.Running), unreadTokens: int(l.Reading)}})
	}
	for _, d := range e.Accounts {
		p.demand[d.Account] = float64(d.Rate)
		p.servedRate += float64(d.Served)
	}
	previous, known := a.peers[e.From]
	for _, d := range e.Pools {
		p.pools[d.Pool] = d
	}
	a.removePeer(e.From)
	a.peers[e.From] = p
	if !known || !slices.Equal(previous.routers, routers) {
		a.rankRouters()
	}
	for _, l := range p.loads {
		l.upstream.peerLoad.running += l.running
		l.upstream.peerLoad.unreadTokens += l.unreadTokens
	}
}

// inSum reports whether a sum of loads that counts has that of a router in it.
func (a *Admitter) coveredByAggregate(router messenger.Key) bool {
	for _, p := range a.peers {
		if !p.loadsExpired && len(p.routers) > 1 && slices.Contains(p.routers, router) {
			return true
		}
	}
	return false
}

// forgetMembers takes out what those said by themselves that are in the sum of another.
// The sum of the whole fleet takes the place of everything else.
func (a *Admitter) removeCoveredPeers(from messenger.RouterID, routers []messenger.Key) {
	for id, p := range a.peers {
		if id == from {
			continue
		}
		single := len(p.routers) == 1
		if from == messenger.FleetSum || single && slices.Contains(routers, p.routers[0]) {
			a.removePeer(id)
		}
	}
}

// forgetPeer takes out what another router said.
func (a *Admitter) removePeer(id messenger.RouterID) {
	p, ok := a.peers[id]
	if !ok {
		return
	}
	delete(a.peers, id)
	p.clearLoads()
}

// forgetLoads takes out what the peer runs and is asked for.
func (p *peer) clearLoads() {
	for _, l := range p.loads {
		l.upstream.peerLoad.running -= l.running
		l.upstream.peerLoad.unreadTokens -= l.unreadTokens
	}
	p.loadsExpired = true
	p.loads, p.demand, p.pools, p.servedRate, p.reserve = nil, nil, nil, 0, 0
}

// peerTTL returns how long what another router said counts. In a large fleet
// routers speak less often.
func (a *Admitter) peerTTL() time.Duration { return max(minPeerTTL, maxLostLoads*a.peerLoadInterval) }

// forgetSilent takes out what routers said that have fallen silent.
func (a *Admitter) expirePeers() {
	removed := false
	for id, p := range a.peers {
		age := a.now.Sub(p.receivedAt)
		switch {
		case age <= a.peerTTL():
		case len(p.routers) == 1 || age > aggregateRouterTTL:
			a.removePeer(id)
			removed = true
		case !p.loadsExpired:
			p.clearLoads()
		}
	}
	if removed {
		a.rankRouters()
	}
}

// orderRouters finds this router's place in the order in which the routers divide
// the slots of each upstream.
func (a *Admitter) rankRouters() {
	ownKey := messenger.KeyOf(a.cfg.Self)
	ownID := widenKey(ownKey)
	var others []uint64
	for _, p := range a.peers {
		for _, key := range p.routers {
			if key != ownKey {
				others = append(others, widenKey(key))
			}
		}
	}
	for _, u := range a.upstreams {
		ownRank, preceding := mixBits(ownID^u.hash), 0
		for _, other := range others {
			if mixBits(other^u.hash) < ownRank {
				preceding++
			}
		}
		u.precedingShare = float64(preceding) / float64(max(1, len(others)))
	}
}

// spread makes a number of a router's key that is as long as an upstream's hash.
func widenKey(key messenger.Key) uint64 { return uint64(key)<<32 | uint64(key) }

// fleetSize returns how many routers there are, this one included.
func (a *Admitter) routerCount() int {
	n := 1
	for _, p := range a.peers {
		n += len(p.routers)
	}
	return n
}

// newsAge returns how old news of the other routers may be.
func (a *Admitter) maxPeerLoadAge() time.Duration {
	for _, p := range a.peers {
		if len(p.routers) > 1 {
			return aggregateDelayFactor * a.peerLoadInterval
		}
	}
	return a.peerLoadInterval
}

// hearParts notes the shared parts that another router sent to u.
func (u *upstream) recordPeerParts(now time.Time, parts []messenger.PartID) {
	for _, part := range parts {
		u.pool.holders.record(part, holder{upstream: u, sentAt: now})
	}
}

// NextPeerLoad returns what other routers should know of this one, and notes that they
// as sent.
func (a *Admitter) NextPeerLoad(now time.Time) messenger.PeerLoad {
	if !a.lastPeerLoad.IsZero() {
		a.peerLoadInterval = now.Sub(a.lastPeerLoad)
	}
	a.lastPeerLoad = now
	out := messenger.PeerLoad{From: a.cfg.Self, Reserve: float32(a.shares.reserve)}
	for key, u := range a.upstreamsByKey {
		if u.running == 0 && len(u.unannounced) == 0 {
			continue
		}
		out.Upstreams = append(out.Upstreams, messenger.UpstreamLoad{
			Upstream: key, Running: uint32(u.running), Reading: uint32(max(0, u.unreadTokens)), Parts: u.unannounced,
		})
		u.unannounced = nil
	}
	for id, p := range a.pools {
		if p.engine {
			out.Pools = append(out.Pools, p.poolDemand(id))
		}
	}
	for id, acc := range a.shares.accounts {
		acc.decay(now)
		if acc.demand >= minReportedRate {
			out.Accounts = append(out.Accounts, messenger.AccountDemand{
				Account: id, Rate: uint32(acc.demand), Served: uint32(acc.servedRate),
			})
		}
	}
	return out
}
