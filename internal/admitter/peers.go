package admitter

import (
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
)

// leastRate is the demand, in cost a second, below which an account is not
// worth telling of.
const leastRate = 1

// peer is what another router last said.
type peer struct {
	heard time.Time
	loads map[messenger.UpstreamID]load
	asked map[messenger.AccountID]float64
	// served is what all its accounts get together, in cost a second.
	served float64
	// reserve is what it wants to be left to accounts within their share.
	reserve float64
}

// hear takes in what another router runs and is asked for.
func (a *Admitter) hear(e messenger.PeerLoad) {
	p := &peer{
		heard: a.now, reserve: bound(float64(e.Reserve), 0, mostReserve),
		loads: make(map[messenger.UpstreamID]load, len(e.Upstreams)),
		asked: make(map[messenger.AccountID]float64, len(e.Accounts)),
	}
	for _, u := range e.Upstreams {
		a.hearParts(u)
		p.loads[u.Upstream] = load{running: int(u.Running), reading: int(u.Reading)}
	}
	for _, d := range e.Accounts {
		p.asked[d.Account] = float64(d.Rate)
		p.served += float64(d.Served)
	}
	a.peers[e.From] = p
	a.sumPeers()
}

// hearParts notes what another router had an upstream read.
func (a *Admitter) hearParts(l messenger.UpstreamLoad) {
	u, ok := a.upstreams[l.Upstream]
	if !ok {
		return
	}
	for _, part := range l.Parts {
		u.pool.holders.note(part, holder{at: u, on: a.now})
	}
}

// sumPeers adds up what the other routers run.
func (a *Admitter) sumPeers() {
	for _, u := range a.upstreams {
		u.others = load{}
	}
	for id, p := range a.peers {
		if a.now.Sub(p.heard) > peerTTL {
			delete(a.peers, id)
			continue
		}
		for up, l := range p.loads {
			if u, ok := a.upstreams[up]; ok {
				u.others.running += l.running
				u.others.reading += l.reading
			}
		}
	}
}

// Share returns what other routers should know of this one, and notes that they
// were told.
func (a *Admitter) Share(now time.Time) messenger.PeerLoad {
	out := messenger.PeerLoad{From: a.cfg.Self, Reserve: float32(a.shares.reserve)}
	for id, u := range a.upstreams {
		if u.running == 0 && len(u.untold) == 0 {
			continue
		}
		out.Upstreams = append(out.Upstreams, messenger.UpstreamLoad{
			Upstream: id, Running: uint32(u.running), Reading: uint32(max(0, u.reading)), Parts: u.untold,
		})
		u.untold = nil
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
