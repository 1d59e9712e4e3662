package admitter

import (
	"math"
	"time"

	"lentilwood.example/lentilwood/internal/divider"
	"lentilwood.example/lentilwood/internal/messenger"
)

const (
	// rateHalfLife is the time in which the measured demand of an account without new
	// requests halves.
	rateHalfLife = 1500 * time.Millisecond
	// creditTime is the time over which an account may accumulate unused credit.
	creditTime = 2 * time.Second
	// shareInterval is the interval between two updates of the shares.
	shareInterval = 100 * time.Millisecond
	// shareSlack is how far an account may exceed its share before its requests yield:
	// shares are estimates.
	shareSlack = 1.1
	// refusalShare is the fraction of the requests within their share that may be refused.
	// reserveStep is the change of the reserve per request; the reserve is kept between
	// minReserve and maxReserve.
	refusalShare = 0.1
	reserveStep  = 0.02
	minReserve   = 0.04
	maxReserve   = 0.5
	// capacityGrowth is the factor by which the allocatable rate exceeds the served rate, so
	// that unused capacity is found.
	capacityGrowth = 1.05
	// shortfallBand is the range of the shortfall, as a fraction of the entitled rate, over
	// which the allocatable rate changes from the stated throughput to the served rate. The
	// range begins at refusalShare.
	shortfallBand = 0.2
	// demandShareSpread is the largest factor by which a router's fraction of the demand
	// may differ from an even share.
	demandShareSpread = 16
)

// shares tracks the demand of client accounts and their max-min fair shares of the fleet's
// throughput. The zero value has no accounts and limits none.
type shares struct {
	accounts  map[messenger.NameHash]*account
	updatedAt time.Time
	// fairShare is the rate allowed to an account that demands more, in cost per second;
	// zero means that capacity suffices for all.
	fairShare float64
	// reserve is the fraction of the slots that this router wants reserved for requests
	// within their share.
	reserve float64
	// peerEntitlement is the sum of the shares of accounts that only other routers serve.
	peerEntitlement float64
}

// account is the state of one client account on this router.
type account struct {
	// demand is the demand here, in cost per second; fleetDemand includes the other
	// routers.
	demand, fleetDemand float64
	// servedRate is the rate served here, in cost per second.
	servedRate float64
	decayedAt  time.Time
	// credit is the cost that the account may use at once.
	credit float64
	// creditRate is the rate at which credit accrues, in cost per second.
	creditRate float64
	capped     bool
	// resumeCredit is the cost that the account may use at once to resume streams.
	resumeCredit float64
}

func (s *shares) accountOf(id messenger.AccountID) *account {
	if s.accounts == nil {
		s.accounts = make(map[messenger.NameHash]*account)
	}
	key := messenger.HashName(id)
	a, ok := s.accounts[key]
	if !ok {
		a = &account{}
		s.accounts[key] = a
	}
	return a
}

// decay decays the measured rates up to now.
func (a *account) decay(now time.Time) {
	if !a.decayedAt.IsZero() {
		factor := decayFactor(now.Sub(a.decayedAt), rateHalfLife)
		a.demand *= factor
		a.servedRate *= factor
	}
	a.decayedAt = now
}

// addDemand records the demand of a request and reports whether the account has used up its
// share.
func (s *shares) addDemand(now time.Time, id messenger.AccountID, cost, spentShare float64) bool {
	a := s.accountOf(id)
	a.decay(now)
	a.demand += rateIncrement(cost)
	return !a.chargeCredit(cost, spentShare)
}

// chargeCredit charges a request to the account's credit and reports whether it is within
// the share. The charge is made whether or not the request will be served, so that a
// shortage of slots affects all accounts alike and not mainly those with less demand.
//
// An account that demands more than its share uses its credit for the requests that have spent
// least of their time: one that was refused and came back is late already, while a new one can
// still meet its objective. The more credit is left unused, the more time a request may have
// spent; with full credit, any request is within the share.
func (a *account) chargeCredit(cost, spentShare float64) bool {
	if !a.capped {
		return true
	}
	if a.credit <= 0 || a.credit < spentShare*a.maxCredit() {
		return false
	}
	a.credit -= cost
	return true
}

// maxCredit returns the credit that the account may accumulate.
func (a *account) maxCredit() float64 { return a.creditRate * creditTime.Seconds() }

// fleetDemandAndShare returns the demand of an account in the whole fleet and its share of
// the throughput, in cost per second.
func (s *shares) fleetDemandAndShare(id messenger.AccountID) (demand, share float64) {
	a := s.accountOf(id)
	return a.fleetDemand, s.entitlement(a.fleetDemand)
}

// localServedAndShare returns the rate that an account is served by this router and its
// share here, in cost per second.
func (s *shares) localServedAndShare(id messenger.AccountID) (served, share float64) {
	a := s.accountOf(id)
	if a.fleetDemand <= 0 {
		return a.servedRate, 0
	}
	return a.servedRate, s.entitlement(a.fleetDemand) * a.demand / a.fleetDemand
}

// shortfall returns the fraction of its share that an account is not served here, 0 to 1.
// It is 0 for an account that demands no more than its share.
func (s *shares) shortfall(id messenger.AccountID) float64 {
	a := s.accountOf(id)
	if !a.capped || a.fleetDemand <= 0 {
		return 0
	}
	return clamp(1-a.servedRate/(s.fairShare*a.demand/a.fleetDemand), 0, 1)
}

// rateIncrement returns the amount that a cost adds to a decaying rate: with a steady rate
// r, the decayed sum of costs approaches r * half-life / ln 2.
func rateIncrement(cost float64) float64 { return cost * math.Ln2 / rateHalfLife.Seconds() }

// addServed records that a request of an account was sent.
func (s *shares) addServed(now time.Time, id messenger.AccountID, cost float64) {
	a := s.accountOf(id)
	a.decay(now)
	a.servedRate += rateIncrement(cost)
}

// creditCovers reports whether the account's credit will reach a request that has spent the given
// fraction of its time within the given wait, if requests of queuedCost are charged before it.
func (s *shares) creditCovers(id messenger.AccountID, queuedCost, spentShare float64, wait time.Duration) bool {
	a := s.accountOf(id)
	left := a.credit + a.creditRate*(wait+shareInterval).Seconds() - queuedCost
	return left > 0 && left >= spentShare*a.maxCredit()
}

// removeServed reverts addServed for an attempt, sent at the given time, that gave the
// account nothing.
func (s *shares) removeServed(now, sent time.Time, id messenger.AccountID, cost float64) {
	a := s.accountOf(id)
	a.decay(now)
	a.servedRate = max(0, a.servedRate-rateIncrement(cost)*decayFactor(now.Sub(sent), rateHalfLife))
}

// moveWithinShare reports whether a request that was over its account's share is now within
// it, and charges it in that case.
func (s *shares) moveWithinShare(id messenger.AccountID, cost, spentShare float64) bool {
	return s.accountOf(id).chargeCredit(cost, spentShare)
}

// fleetReserve returns the fraction of the slots that requests over their account's share
// leave free: the largest reserve that any router wants.
func (s *shares) fleetReserve(peers map[messenger.RouterID]*peer) float64 {
	largest := s.reserve
	for _, p := range peers {
		largest = max(largest, p.reserve)
	}
	return largest
}

// recordAdmitted and recordRefused record the outcome of a request within its account's
// share. If more than refusalShare of them are refused, the reserve for them grows.
func (s *shares) recordAdmitted() { s.reserve = max(minReserve, s.reserve-reserveStep*refusalShare) }

func (s *shares) recordRefused() { s.reserve = min(maxReserve, s.reserve+reserveStep*(1-refusalShare)) }

// update recomputes the shares and the credit of each account. It returns false if the last
// update is too recent.
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
	s.fairShare = divider.FairShare(demands, allocatableRate(demands, throughput, served))
	s.peerEntitlement = 0
	for _, d := range peerOnly {
		s.peerEntitlement += s.entitlement(d)
	}
	for _, a := range s.accounts {
		a.refill(s.fairShare, elapsed)
	}
	return true
}

// allocatableRate returns the rate to divide among the demands, in cost per second, from the
// stated throughput and the served rate. Engines may sustain more than the stated
// throughput, since cached prompts count in full although they are not read. They may
// sustain less while some are lost or have cold caches: the further the served rate falls
// short of the shares, the more it replaces the stated throughput.
func allocatableRate(demands []float64, throughput, served float64) float64 {
	if throughput <= 0 {
		return 0
	}
	sustained := capacityGrowth * served
	if sustained >= throughput {
		return sustained
	}
	entitled := 0.0
	level := divider.FairShare(demands, throughput)
	for _, d := range demands {
		entitled += divider.Allocation(d, level)
	}
	if entitled <= 0 {
		return throughput
	}
	shortfall := clamp((1-refusalShare-served/entitled)/shortfallBand, 0, 1)
	return throughput + shortfall*(sustained-throughput)
}

// demandShare returns this router's fraction of the shares of all accounts, within bounds
// around an even share. It returns the even share while there is no demand. The bounds are
// wide because an account may send all its requests through one router.
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

// entitlement returns the share of an account with the given demand.
func (s *shares) entitlement(demand float64) float64 { return divider.Allocation(demand, s.fairShare) }

// peerOnlyDemands returns the demands of accounts that only other routers serve.
func (s *shares) peerOnlyDemands(peers map[messenger.RouterID]*peer) []float64 {
	sums := make(map[messenger.NameHash]float64)
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

// peerServedRate returns the rate that other routers serve, in cost per second.
func peerServedRate(peers map[messenger.RouterID]*peer) float64 {
	sum := 0.0
	for _, p := range peers {
		sum += p.servedRate
	}
	return sum
}

func peerDemand(id messenger.NameHash, peers map[messenger.RouterID]*peer) float64 {
	sum := 0.0
	for _, p := range peers {
		sum += p.demand[id]
	}
	return sum
}

// refill adds the credit that accrued for an account at this router, whose part of the
// account's share equals its part of the account's demand.
func (a *account) refill(fairShare float64, elapsed time.Duration) {
	if fairShare <= 0 || a.fleetDemand <= fairShare || a.fleetDemand <= 0 {
		a.capped = false
		a.credit, a.creditRate = 0, 0
		return
	}
	a.creditRate = shareSlack * fairShare * a.demand / a.fleetDemand
	a.refillResumeCredit(fairShare, elapsed)
	if !a.capped {
		a.capped = true
		a.credit = 0
	}
	a.credit = min(a.credit+a.creditRate*elapsed.Seconds(), a.maxCredit())
}
