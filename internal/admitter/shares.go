package admitter

import (
	"slices"
	"time"

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
	shareSlack = 1.15
	// partSpread is how far a router's part of the demand may lie from an even
	// part.
	partSpread = 4
)

// shares keeps what client accounts ask for and may have: max-min shares of
// the fleet's throughput. The zero value knows no account and holds nobody
// back.
type shares struct {
	accounts map[messenger.AccountID]*account
	settled  time.Time
	// level is what an account may have that asks for more, in cost a second;
	// zero means that there is enough for all.
	level float64
	// foreign is the demand of accounts that only other routers know.
	foreign float64
}

// account is one client account at this router.
type account struct {
	// asked is the demand here, in cost a second; all includes other routers.
	asked, all float64
	updated    time.Time
	// credit is what it may still use at once, in cost.
	credit float64
	capped bool
}

func (s *shares) of(id messenger.AccountID) *account {
	if s.accounts == nil {
		s.accounts = make(map[messenger.AccountID]*account)
	}
	a, ok := s.accounts[id]
	if !ok {
		a = &account{}
		s.accounts[id] = a
	}
	return a
}

// fade brings the demand up to date.
func (a *account) fade(now time.Time) {
	if !a.updated.IsZero() {
		a.asked *= halved(now.Sub(a.updated), rateHalfLife)
	}
	a.updated = now
}

// ask notes a demand and reports whether the account has used up its share.
func (s *shares) ask(now time.Time, id messenger.AccountID, cost float64) bool {
	a := s.of(id)
	a.fade(now)
	// A steady rate r makes the faded sum approach r * halfLife / ln 2.
	a.asked += cost * ln2 / rateHalfLife.Seconds()
	return a.capped && a.credit <= 0
}

const ln2 = 0.6931471805599453

// serve takes what is served from the account's credit.
func (s *shares) serve(now time.Time, id messenger.AccountID, cost float64) {
	a := s.of(id)
	if a.capped {
		a.credit -= cost
	}
}

// within reports whether an account has not used up its share.
func (s *shares) within(id messenger.AccountID) bool {
	a, ok := s.accounts[id]
	return !ok || !a.capped || a.credit > 0
}

// capped reports whether an account asks for more than its share.
func (s *shares) capped(id messenger.AccountID) bool {
	a, ok := s.accounts[id]
	return ok && a.capped
}

// settle works out the shares anew and gives each account its part.
func (s *shares) settle(now time.Time, throughput float64, peers map[messenger.RouterID]*peer) {
	passed := now.Sub(s.settled)
	if passed < settleInterval {
		return
	}
	if s.settled.IsZero() || passed > time.Second {
		passed = settleInterval
	}
	s.settled = now
	demands := make([]float64, 0, len(s.accounts))
	for id, a := range s.accounts {
		a.fade(now)
		a.all = a.asked + askedByPeers(now, id, peers)
		demands = append(demands, a.all)
	}
	strangers := s.strangers(now, peers)
	s.foreign = 0
	for _, d := range strangers {
		s.foreign += d
	}
	demands = append(demands, strangers...)
	s.level = waterLevel(demands, throughput)
	for _, a := range s.accounts {
		a.refill(s.level, passed)
	}
}

// part returns this router's part of the fleet's demand, between bounds around
// an even part, or an even part while there is no demand.
func (s *shares) part(even float64) float64 {
	own, all := 0.0, s.foreign
	for _, a := range s.accounts {
		own += a.asked
		all += a.all
	}
	if all <= 0 {
		return even
	}
	return bound(own/all, even/partSpread, min(1, even*partSpread))
}

// strangers returns the demands of accounts that only other routers know.
func (s *shares) strangers(now time.Time, peers map[messenger.RouterID]*peer) []float64 {
	sums := make(map[messenger.AccountID]float64)
	for _, p := range peers {
		if now.Sub(p.heard) > peerTTL {
			continue
		}
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

func askedByPeers(now time.Time, id messenger.AccountID, peers map[messenger.RouterID]*peer) float64 {
	sum := 0.0
	for _, p := range peers {
		if now.Sub(p.heard) <= peerTTL {
			sum += p.asked[id]
		}
	}
	return sum
}

// refill adds what an account may use of its share at this router, which is
// its share of the account's demand.
func (a *account) refill(level float64, passed time.Duration) {
	if level <= 0 || a.all <= level || a.all <= 0 {
		a.capped = false
		a.credit = 0
		return
	}
	rate := shareSlack * level * a.asked / a.all
	if !a.capped {
		a.capped = true
		a.credit = 0
	}
	a.credit = min(a.credit+rate*passed.Seconds(), rate*burstTime.Seconds())
}

// waterLevel returns the most that an account may have so that all together
// have no more than capacity, or zero if there is enough for all.
func waterLevel(demands []float64, capacity float64) float64 {
	if capacity <= 0 {
		return 0
	}
	slices.Sort(demands)
	left := capacity
	for i, d := range demands {
		even := left / float64(len(demands)-i)
		if d > even {
			return even
		}
		left -= d
	}
	return 0
}
