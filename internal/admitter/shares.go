package admitter

import (
	"math"
	"time"

	"lentilwood.example/lentilwood/internal/divider"
	"lentilwood.example/lentilwood/internal/messenger"
)

const (
	// rateHalfLife is the time in which the demand of an account that asks for
	// nothing more halves.
	rateHalfLife = 1500 * time.Millisecond
	// burstTime is how much of its share an account may save up.
	creditTime = 2 * time.Second
	// settleInterval is the time between two looks at the shares.
	shareInterval = 100 * time.Millisecond
	// shareSlack is how far above its share an account is served before it
	// gives way: shares are forecasts.
	shareSlack = 1.1
	// tolerated is the part of the requests within a share that may be turned
	// away, and reserveStep how much one of them changes the reserve, which is
	// kept between leastReserve and mostReserve.
	refusalShare = 0.1
	reserveStep  = 0.02
	minReserve   = 0.04
	maxReserve   = 0.5
	// growth is how much more than is served now is shared out, so that what
	// engines can do is found.
	capacityGrowth = 1.05
	// shortBand is the part of what accounts are entitled to over which the stated
	// throughput gives way to what is served: once more than tolerated is missing.
	shortfallBand = 0.2
	// partSpread is how far a router's part of the demand may lie from an even
	// part.
	demandShareSpread = 16
)

// shares keeps what client accounts ask for and may have: max-min shares of
// the fleet's throughput. The zero value knows no account and holds nobody
// back.
type shares struct {
	accounts  map[messenger.Key]*account
	updatedAt time.Time
	// level is what an account may have that asks for more, in cost a second;
	// zero means that there is enough for all.
	fairShare float64
	// reserve is the part of the slots that this router wants to be left to
	// requests within a share.
	reserve float64
	// foreign is what accounts are entitled to that only other routers know.
	peerEntitlement float64
}

// account is one client account at this router.
type account struct {
	// asked is the demand here, in cost a second; all includes other routers.
	demand, fleetDemand float64
	// served is what it gets here, in cost a second.
	servedRate float64
	decayedAt  time.Time
	// credit is what it may still use at once, in cost.
	credit float64
	// rate is what comes in of the credit, in cost a second.
	creditRate float64
	capped     bool
}

func (s *shares) accountOf(id messenger.AccountID) *account {
	if s.accounts == nil {
		s.accounts = make(map[messenger.Key]*account)
	}
	key := messenger.KeyOf(id)
	a, ok := s.accounts[key]
	if !ok {
		a = &account{}
		s.accounts[key] = a
	}
	return a
}

// fade brings the demand up to date.
func (a *account) decay(now time.Time) {
	if !a.decayedAt.IsZero() {
		factor := decayFactor(now.Sub(a.decayedAt), rateHalfLife)
		a.demand *= factor
		a.servedRate *= factor
	}
	a.decayedAt = now
}

// ask notes a demand and reports whether the account has used up its share.
func (s *shares) addDemand(now time.Time, id messenger.AccountID, cost float64) bool {
	a := s.accountOf(id)
	a.decay(now)
	a.demand += rateIncrement(cost)
	return !a.chargeCredit(cost)
}

// charge takes a request from the account's credit and reports whether it is
// within its share. It is taken whether or not the request will be served: what
// is turned away for want of slots is turned away from all alike, and not from
// those who ask for less.
func (a *account) chargeCredit(cost float64) bool {
	if !a.capped {
		return true
	}
	if a.credit <= 0 {
		return false
	}
	a.credit -= cost
	return true
}

// standing returns what an account asks of the whole fleet and what it is
// entitled to of it, in cost a second.
func (s *shares) fleetDemandAndShare(id messenger.AccountID) (demand, share float64) {
	a := s.accountOf(id)
	return a.fleetDemand, s.entitlement(a.fleetDemand)
}

// standingHere returns what an account gets at this router and what it is entitled to
// here, in cost a second.
func (s *shares) localServedAndShare(id messenger.AccountID) (served, share float64) {
	a := s.accountOf(id)
	if a.fleetDemand <= 0 {
		return a.servedRate, 0
	}
	return a.servedRate, s.entitlement(a.fleetDemand) * a.demand / a.fleetDemand
}

// shortfall returns how much of its share an account does not get here, 0 to 1.
// One that asks for no more than its share has none.
func (s *shares) shortfall(id messenger.AccountID) float64 {
	a := s.accountOf(id)
	if !a.capped || a.fleetDemand <= 0 {
		return 0
	}
	return clamp(1-a.servedRate/(s.fairShare*a.demand/a.fleetDemand), 0, 1)
}

// rateOf returns what a cost adds to a rate that fades: a steady rate r makes
// the faded sum of costs approach r * half-life / ln 2.
func rateIncrement(cost float64) float64 { return cost * math.Ln2 / rateHalfLife.Seconds() }

// serve notes what an account gets.
func (s *shares) addServed(now time.Time, id messenger.AccountID, cost float64) {
	a := s.accountOf(id)
	a.decay(now)
	a.servedRate += rateIncrement(cost)
}

// reaches reports whether an account's credit will have come to a request within a time,
// if requests of some cost go before it.
func (s *shares) creditCovers(id messenger.AccountID, queuedCost float64, wait time.Duration) bool {
	a := s.accountOf(id)
	return queuedCost < a.credit+a.creditRate*(wait+shareInterval).Seconds()
}

// takeBack notes that an attempt gave an account nothing, which was noted as served when
// it was sent.
func (s *shares) removeServed(now, sent time.Time, id messenger.AccountID, cost float64) {
	a := s.accountOf(id)
	a.decay(now)
	a.servedRate = max(0, a.servedRate-rateIncrement(cost)*decayFactor(now.Sub(sent), rateHalfLife))
}

// admit reports whether a request that was beyond its account's share has come
// within it.
func (s *shares) moveWithinShare(id messenger.AccountID, cost float64) bool {
	return s.accountOf(id).chargeCredit(cost)
}

// kept returns the part of the slots that requests beyond a share leave free:
// what the router wants that turns away most.
func (s *shares) fleetReserve(peers map[messenger.RouterID]*peer) float64 {
	largest := s.reserve
	for _, p := range peers {
		largest = max(largest, p.reserve)
	}
	return largest
}

// tookIn and turnedAway note what became of a request within its account's
// share. If more than a few of them are turned away, more slots are reserved for
// them.
func (s *shares) recordAdmitted() { s.reserve = max(minReserve, s.reserve-reserveStep*refusalShare) }

func (s *shares) recordRefused() { s.reserve = min(maxReserve, s.reserve+reserveStep*(1-refusalShare)) }

// settle works out the shares anew and gives each account its part. It returns
// false if it is too early for that.
func (s *shares) update(now time.Time, throughput float64, peers map[messenger.RouterID]*peer) bool {
	elapsed := now.Sub(s.updatedAt)
	if elapsed < shareInterval {
		return false
	}
	if s.updatedAt.IsZero() || elapsed > time.Second {
		elapsed = shareInterval
	}
	s.updatedAt = now
	served := peerServedRate(peers)
	demands := make([]float64, 0, len(s.accounts))
	for id, a := range s.accounts {
		a.decay(now)
		a.fleetDemand = a.demand + peerDemand(id, peers)
		served += a.servedRate
		demands = append(demands, a.fleetDemand)
	}
	peerOnly := s.peerOnlyDemands(peers)
	demands = append(demands, peerOnly...)
	s.fairShare = divider.Level(demands, allocatableRate(demands, throughput, served))
	s.peerEntitlement = 0
	for _, d := range peerOnly {
		s.peerEntitlement += s.entitlement(d)
	}
	for _, a := range s.accounts {
		a.refill(s.fairShare, elapsed)
	}
	return true
}

// capacity returns what there is to share out between the demands, in cost a
// second, of which throughput is said to be there and served is in use. Engines may
// do more than they are said to, since prompts that are kept count though they are
// not read. They may do less, as some are lost or cold: the more is missing of what
// the accounts would be entitled to, the more counts what is served.
func allocatableRate(demands []float64, throughput, served float64) float64 {
	if throughput <= 0 {
		return 0
	}
	sustained := capacityGrowth * served
	if sustained >= throughput {
		return sustained
	}
	entitled := 0.0
	level := divider.Level(demands, throughput)
	for _, d := range demands {
		entitled += divider.Part(d, level)
	}
	if entitled <= 0 {
		return throughput
	}
	shortfall := clamp((1-refusalShare-served/entitled)/shortfallBand, 0, 1)
	return throughput + shortfall*(sustained-throughput)
}

// part returns this router's part of what the accounts of the fleet are entitled
// to, between bounds around an even part, or an even part while there is no
// demand. An account may reach the fleet through one router alone.
func (s *shares) demandShare(evenShare float64) float64 {
	own, all := 0.0, s.peerEntitlement
	for _, a := range s.accounts {
		if a.fleetDemand <= 0 {
			continue
		}
		entitled := s.entitlement(a.fleetDemand)
		own += entitled * a.demand / a.fleetDemand
		all += entitled
	}
	if all <= 0 {
		return evenShare
	}
	return clamp(own/all, evenShare/demandShareSpread, min(1, evenShare*demandShareSpread))
}

// entitled returns what an account may have that asks for a demand.
func (s *shares) entitlement(demand float64) float64 { return divider.Part(demand, s.fairShare) }

// strangers returns the demands of accounts that only other routers know.
func (s *shares) peerOnlyDemands(peers map[messenger.RouterID]*peer) []float64 {
	sums := make(map[messenger.Key]float64)
	for _, p := range peers {
		for id, rate := range p.demand {
			if _, known := s.accounts[id]; !known {
				sums[id] += rate
			}
		}
	}
	demands := make([]float64, 0, len(sums))
	for _, rate := range sums {
		demands = append(demands, rate)
	}
	return demands
}

// servedByPeers returns what other routers serve, in cost a second.
func peerServedRate(peers map[messenger.RouterID]*peer) float64 {
	sum := 0.0
	for _, p := range peers {
		sum += p.servedRate
	}
	return sum
}

func peerDemand(id messenger.Key, peers map[messenger.RouterID]*peer) float64 {
	sum := 0.0
	for _, p := range peers {
		sum += p.demand[id]
	}
	return sum
}

// refill adds what an account may use of its share at this router, which is
// its share of the account's demand.
func (a *account) refill(fairShare float64, elapsed time.Duration) {
	if fairShare <= 0 || a.fleetDemand <= fairShare || a.fleetDemand <= 0 {
		a.capped = false
		a.credit, a.creditRate = 0, 0
		return
	}
	a.creditRate = shareSlack * fairShare * a.demand / a.fleetDemand
	if !a.capped {
		a.capped = true
		a.credit = 0
	}
	a.credit = min(a.credit+a.creditRate*elapsed.Seconds(), a.creditRate*creditTime.Seconds())
}
