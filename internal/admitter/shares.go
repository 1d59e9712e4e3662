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
	burstTime = 2 * time.Second
	// settleInterval is the time between two looks at the shares.
	settleInterval = 100 * time.Millisecond
	// shareSlack is how far above its share an account is served before it
	// gives way: shares are forecasts.
	shareSlack = 1.1
	// tolerated is the part of the requests within a share that may be turned
	// away, and reserveStep how much one of them changes the reserve, which is
	// kept between leastReserve and mostReserve.
	tolerated    = 0.1
	reserveStep  = 0.02
	leastReserve = 0.04
	mostReserve  = 0.5
	// growth is how much more than is served now is shared out, so that what
	// engines can do is found.
	growth = 1.05
	// shortBand is the part of what accounts are entitled to over which the stated
	// throughput gives way to what is served: once more than tolerated is missing.
	shortBand = 0.2
	// partSpread is how far a router's part of the demand may lie from an even
	// part.
	partSpread = 16
)

// shares keeps what client accounts ask for and may have: max-min shares of
// the fleet's throughput. The zero value knows no account and holds nobody
// back.
type shares struct {
	accounts map[messenger.Key]*account
	settled  time.Time
	// level is what an account may have that asks for more, in cost a second;
	// zero means that there is enough for all.
	level float64
	// reserve is the part of the slots that this router wants to be left to
	// requests within a share.
	reserve float64
	// foreign is what accounts are entitled to that only other routers know.
	foreign float64
}

// account is one client account at this router.
type account struct {
	// asked is the demand here, in cost a second; all includes other routers.
	asked, all float64
	// served is what it gets here, in cost a second.
	served  float64
	updated time.Time
	// credit is what it may still use at once, in cost.
	credit float64
	// rate is what comes in of the credit, in cost a second.
	rate   float64
	capped bool
}

func (s *shares) of(id messenger.AccountID) *account {
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
func (a *account) fade(now time.Time) {
	if !a.updated.IsZero() {
		left := halved(now.Sub(a.updated), rateHalfLife)
		a.asked *= left
		a.served *= left
	}
	a.updated = now
}

// ask notes a demand and reports whether the account has used up its share.
func (s *shares) ask(now time.Time, id messenger.AccountID, cost float64) bool {
	a := s.of(id)
	a.fade(now)
	a.asked += rateOf(cost)
	return !a.charge(cost)
}

// charge takes a request from the account's credit and reports whether it is
// within its share. It is taken whether or not the request will be served: what
// is turned away for want of slots is turned away from all alike, and not from
// those who ask for less.
func (a *account) charge(cost float64) bool {
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
func (s *shares) standing(id messenger.AccountID) (asked, share float64) {
	a := s.of(id)
	return a.all, s.entitled(a.all)
}

// standingHere returns what an account gets at this router and what it is entitled to
// here, in cost a second.
func (s *shares) standingHere(id messenger.AccountID) (served, share float64) {
	a := s.of(id)
	if a.all <= 0 {
		return a.served, 0
	}
	return a.served, s.entitled(a.all) * a.asked / a.all
}

// shortfall returns how much of its share an account does not get here, 0 to 1.
// One that asks for no more than its share has none.
func (s *shares) shortfall(id messenger.AccountID) float64 {
	a := s.of(id)
	if !a.capped || a.all <= 0 {
		return 0
	}
	return bound(1-a.served/(s.level*a.asked/a.all), 0, 1)
}

// rateOf returns what a cost adds to a rate that fades: a steady rate r makes
// the faded sum of costs approach r * half-life / ln 2.
func rateOf(cost float64) float64 { return cost * math.Ln2 / rateHalfLife.Seconds() }

// serve notes what an account gets.
func (s *shares) serve(now time.Time, id messenger.AccountID, cost float64) {
	a := s.of(id)
	a.fade(now)
	a.served += rateOf(cost)
}

// reaches reports whether an account's credit will have come to a request within a time,
// if requests of some cost go before it.
func (s *shares) reaches(id messenger.AccountID, before float64, within time.Duration) bool {
	a := s.of(id)
	return before < a.credit+a.rate*(within+settleInterval).Seconds()
}

// takeBack notes that an attempt gave an account nothing, which was noted as served when
// it was sent.
func (s *shares) takeBack(now, sent time.Time, id messenger.AccountID, cost float64) {
	a := s.of(id)
	a.fade(now)
	a.served = max(0, a.served-rateOf(cost)*halved(now.Sub(sent), rateHalfLife))
}

// admit reports whether a request that was beyond its account's share has come
// within it.
func (s *shares) admit(id messenger.AccountID, cost float64) bool {
	return s.of(id).charge(cost)
}

// kept returns the part of the slots that requests beyond a share leave free:
// what the router wants that turns away most.
func (s *shares) kept(peers map[messenger.RouterID]*peer) float64 {
	most := s.reserve
	for _, p := range peers {
		most = max(most, p.reserve)
	}
	return most
}

// tookIn and turnedAway note what became of a request within its account's
// share. If more than a few of them are turned away, more slots are reserved for
// them.
func (s *shares) tookIn() { s.reserve = max(leastReserve, s.reserve-reserveStep*tolerated) }

func (s *shares) turnedAway() { s.reserve = min(mostReserve, s.reserve+reserveStep*(1-tolerated)) }

// settle works out the shares anew and gives each account its part. It returns
// false if it is too early for that.
func (s *shares) settle(now time.Time, throughput float64, peers map[messenger.RouterID]*peer) bool {
	passed := now.Sub(s.settled)
	if passed < settleInterval {
		return false
	}
	if s.settled.IsZero() || passed > time.Second {
		passed = settleInterval
	}
	s.settled = now
	served := servedByPeers(peers)
	demands := make([]float64, 0, len(s.accounts))
	for id, a := range s.accounts {
		a.fade(now)
		a.all = a.asked + askedByPeers(id, peers)
		served += a.served
		demands = append(demands, a.all)
	}
	strangers := s.strangers(peers)
	demands = append(demands, strangers...)
	s.level = divider.Level(demands, capacity(demands, throughput, served))
	s.foreign = 0
	for _, d := range strangers {
		s.foreign += s.entitled(d)
	}
	for _, a := range s.accounts {
		a.refill(s.level, passed)
	}
	return true
}

// capacity returns what there is to share out between the demands, in cost a
// second, of which throughput is said to be there and served is in use. Engines may
// do more than they are said to, since prompts that are kept count though they are
// not read. They may do less, as some are lost or cold: the more is missing of what
// the accounts would be entitled to, the more counts what is served.
func capacity(demands []float64, throughput, served float64) float64 {
	if throughput <= 0 {
		return 0
	}
	found := growth * served
	if found >= throughput {
		return found
	}
	due := 0.0
	level := divider.Level(demands, throughput)
	for _, d := range demands {
		due += divider.Part(d, level)
	}
	if due <= 0 {
		return throughput
	}
	short := bound((1-tolerated-served/due)/shortBand, 0, 1)
	return throughput + short*(found-throughput)
}

// part returns this router's part of what the accounts of the fleet are entitled
// to, between bounds around an even part, or an even part while there is no
// demand. An account may reach the fleet through one router alone.
func (s *shares) part(even float64) float64 {
	own, all := 0.0, s.foreign
	for _, a := range s.accounts {
		if a.all <= 0 {
			continue
		}
		entitled := s.entitled(a.all)
		own += entitled * a.asked / a.all
		all += entitled
	}
	if all <= 0 {
		return even
	}
	return bound(own/all, even/partSpread, min(1, even*partSpread))
}

// entitled returns what an account may have that asks for a demand.
func (s *shares) entitled(demand float64) float64 { return divider.Part(demand, s.level) }

// strangers returns the demands of accounts that only other routers know.
func (s *shares) strangers(peers map[messenger.RouterID]*peer) []float64 {
	sums := make(map[messenger.Key]float64)
	for _, p := range peers {
		for id, rate := range p.asked {
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
func servedByPeers(peers map[messenger.RouterID]*peer) float64 {
	sum := 0.0
	for _, p := range peers {
		sum += p.served
	}
	return sum
}

func askedByPeers(id messenger.Key, peers map[messenger.RouterID]*peer) float64 {
	sum := 0.0
	for _, p := range peers {
		sum += p.asked[id]
	}
	return sum
}

// refill adds what an account may use of its share at this router, which is
// its share of the account's demand.
func (a *account) refill(level float64, passed time.Duration) {
	if level <= 0 || a.all <= level || a.all <= 0 {
		a.capped = false
		a.credit, a.rate = 0, 0
		return
	}
	a.rate = shareSlack * level * a.asked / a.all
	if !a.capped {
		a.capped = true
		a.credit = 0
	}
	a.credit = min(a.credit+a.rate*passed.Seconds(), a.rate*burstTime.Seconds())
}
