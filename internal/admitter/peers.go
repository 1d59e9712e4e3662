package admitter

import (
	"slices"
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
)

const (
	// minReportedRate is the demand, in cost per second, below which an account is not
	// reported to other routers.
	minReportedRate = 1
	// minPeerTTL is the minimum lifetime of a load message, and maxLostLoads the number of
	// messages of a router that may be late or lost before its load expires.
	minPeerTTL   = time.Second
	maxLostLoads = 3
	// aggregateRouterTTL is how long the routers of an aggregate count as part of the fleet
	// after its last message. A router that is cut off from the others must not take over
	// their slots.
	aggregateRouterTTL = 10 * time.Second
	// aggregateDelayFactor is the maximum age of a load that arrives in an aggregate, in
	// intervals between load messages. A load that its router sends itself is at most one
	// interval old.
	aggregateDelayFactor = 3
)

// peer is the last load message of another router, or of an aggregate of several.
type peer struct {
	receivedAt time.Time
	// routers are the routers whose loads are included, the sender among them.
	routers []messenger.NameHash
	// loadsExpired is true once the reported loads are no longer used.
	loadsExpired bool
	loads        []peerUpstreamLoad
	demand       map[messenger.NameHash]float64
	// pools holds the sender's observations of the pools of engines.
	pools map[messenger.NameHash]messenger.PoolDemand
	// servedRate is the sum of the served rates of its accounts, in cost per second.
	servedRate float64
	// reserve is the fraction of the slots that it wants reserved for accounts within their
	// share.
	reserve float64
}

// peerUpstreamLoad is the load of another router on one upstream.
type peerUpstreamLoad struct {
	upstream *upstream
	load
	pace paceSum
}

// handlePeerLoad processes the load of another router, or an aggregate of several. The
// message of a router that an aggregate already includes is ignored.
func (a *Admitter) handlePeerLoad(e messenger.PeerLoad) {
	routers := e.Routers
	if len(routers) == 0 {
		routers = []messenger.NameHash{messenger.HashName(e.From)}
		a.seeRouters(&e, routers)
		if a.coveredByAggregate(routers[0]) {
			return
		}
	} else {
		a.seeRouters(&e, routers)
		a.removeCoveredPeers(e.From, routers)
	}
	p := &peer{
		receivedAt: a.now, routers: routers, reserve: clamp(float64(e.ReservedShare), 0, maxReserve),
		loads:  make([]peerUpstreamLoad, 0, len(e.Upstreams)),
		demand: make(map[messenger.NameHash]float64, len(e.Accounts)),
		pools:  make(map[messenger.NameHash]messenger.PoolDemand, len(e.Pools)),
	}
	for _, l := range e.Upstreams {
		u, ok := a.upstreamsByKey[l.Upstream]
		if !ok {
			continue
		}
		u.recordPeerParts(a.now, l.Parts)
		p.loads = append(p.loads, peerUpstreamLoad{upstream: u, load: load{running: int(l.Running), unreadTokens: int(l.UnreadTokens)}, pace: newPaceSum(l.Pace)})
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
		l.upstream.pace.peers.add(l.pace)
	}
}

// coveredByAggregate reports whether an aggregate that is still in use includes the router.
func (a *Admitter) coveredByAggregate(router messenger.NameHash) bool {
	for _, p := range a.peers {
		if !p.loadsExpired && len(p.routers) > 1 && slices.Contains(p.routers, router) {
			return true
		}
	}
	return false
}

// removeCoveredPeers removes the messages of single routers that a new aggregate includes.
// An aggregate of the whole fleet replaces all other messages.
func (a *Admitter) removeCoveredPeers(from messenger.RouterID, routers []messenger.NameHash) {
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

// removePeer removes the last message of a peer.
func (a *Admitter) removePeer(id messenger.RouterID) {
	p, ok := a.peers[id]
	if !ok {
		return
	}
	delete(a.peers, id)
	p.clearLoads()
}

// clearLoads removes the peer's loads and demand, and keeps its list of routers.
func (p *peer) clearLoads() {
	for _, l := range p.loads {
		l.upstream.peerLoad.running -= l.running
		l.upstream.peerLoad.unreadTokens -= l.unreadTokens
		l.upstream.pace.peers.subtract(l.pace)
	}
	p.loadsExpired = true
	p.loads, p.demand, p.pools, p.servedRate, p.reserve = nil, nil, nil, 0, 0
}

// peerTTL returns the lifetime of a load message. Routers of a large fleet send messages
// less often.
func (a *Admitter) peerTTL() time.Duration { return max(minPeerTTL, maxLostLoads*a.peerLoadInterval) }

// expirePeers removes the load messages that have not been renewed within peerTTL. The routers
// of an aggregate count as part of the fleet for longer, until aggregateRouterTTL.
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

// rankRouters computes, for each upstream, this router's rank in the order in which the
// routers divide the upstream's slots.
func (a *Admitter) rankRouters() {
	ownKey := messenger.HashName(a.cfg.Self)
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

// widenKey expands a router's key to the width of an upstream's hash.
func widenKey(key messenger.NameHash) uint64 { return uint64(key)<<32 | uint64(key) }

// routerCount returns the number of routers in the fleet, this one included.
func (a *Admitter) routerCount() int {
	n := 1
	for _, p := range a.peers {
		n += len(p.routers)
	}
	return n
}

// maxPeerLoadAge returns how old the known load of the other routers may be.
func (a *Admitter) maxPeerLoadAge() time.Duration {
	for _, p := range a.peers {
		if len(p.routers) > 1 {
			return aggregateDelayFactor * a.peerLoadInterval
		}
	}
	return a.peerLoadInterval
}

// recordPeerParts records the shared parts that another router sent to u.
func (u *upstream) recordPeerParts(now time.Time, parts []messenger.PartID) {
	for _, part := range parts {
		u.pool.holders.record(part, holder{upstream: u, sentAt: now})
	}
}

// NextPeerLoad returns the load message to send to the other routers, and marks its
// contents as sent.
func (a *Admitter) NextPeerLoad(now time.Time) messenger.PeerLoad {
	if !a.peerLoadSentAt.IsZero() {
		a.peerLoadInterval = now.Sub(a.peerLoadSentAt)
	}
	a.peerLoadSentAt = now
	out := messenger.PeerLoad{From: a.cfg.Self, ReservedShare: float32(a.shares.reserve)}
	if a.quiet {
		out.SetQuiet(0)
	}
	for key, u := range a.upstreamsByKey {
		if u.running == 0 && len(u.unannounced) == 0 {
			continue
		}
		out.Upstreams = append(out.Upstreams, messenger.UpstreamLoad{
			Upstream: key, Running: uint32(u.running), UnreadTokens: uint32(max(0, u.unreadTokens)), Parts: u.unannounced,
			Pace: u.pace.message(now, u.pool),
		})
		u.unannounced = nil
	}
	for id, p := range a.pools {
		if p.hasEngines {
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
