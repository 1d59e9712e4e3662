// Package screener decides which new connections a router takes in while it can't take
// in all.
//
// It answers the load of a small VM that a balancer by client leads all callers of one
// busy client account to, beside callers that ask for little. Before anything is read a
// connection says nothing but the address that it comes from, so each address counts as
// a caller: what can be taken in is shared out among the addresses, the smallest first,
// and the ones that ask for most are turned away most.
//
// # Usage
//
//	var s screener.Screener
//	s.SetShare(now, 0.2)
//	if !s.Take(now, address) { ... }
package screener

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"lentilwood.example/lentilwood/internal/divider"
)

const (
	// countHalfLife is the time in which the count of an address halves that opens no
	// more connections.
	countHalfLife = 2 * time.Second
	// settleInterval is the longest time between two looks at who asks for how much.
	settleInterval = 50 * time.Millisecond
	// settleGrowth is the part, as a divisor, by which the connections of late may grow
	// before the next look, and leastGrowth how many they may grow by in any case.
	settleGrowth = 8
	leastGrowth  = 8
	// leastCount is the count below which an address is forgotten.
	leastCount = 0.05
	// mostAddresses bounds the addresses that are told apart; further ones count as one.
	mostAddresses = 4096
)

// Screener decides about new connections. The zero value takes in all. It is safe for
// concurrent use.
type Screener struct {
	mu sync.Mutex
	// refused is the share, 0 to 1, of connections that is to be turned away.
	refused float64
	// counts holds how many connections each address opened of late; they fade.
	counts map[netip.Addr]float64
	// level is how many of its connections an address may have taken in, by its count;
	// zero means all.
	level   float64
	settled time.Time
	// known is the sum of the counts when the level was worked out, and opened how many
	// connections came since.
	known, opened float64
}

// SetShare sets the share, 0 to 1, of new connections to take in.
func (s *Screener) SetShare(now time.Time, share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused = 1 - min(max(share, 0), 1)
	s.settle(now)
}

// Take reports whether to take in a new connection from an address.
func (s *Screener) Take(now time.Time, from netip.Addr) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := s.note(from)
	s.opened++
	if now.Sub(s.settled) >= settleInterval || s.opened >= max(leastGrowth, s.known/settleGrowth) {
		s.settle(now)
	}
	switch {
	case s.refused <= 0:
		return true
	case s.refused >= 1:
		return false
	case s.level <= 0:
		return true
	}
	return rand.Float64()*count < s.level
}

// Largest returns how many addresses opened connections of late, and which part of these,
// 0 to 1, is of the address that opened most.
func (s *Screener) Largest() (addresses int, part float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	all, most := 0.0, 0.0
	for _, n := range s.counts {
		all += n
		most = max(most, n)
	}
	if all <= 0 {
		return 0, 0
	}
	return len(s.counts), most / all
}

// note counts a connection and returns the count of its address.
func (s *Screener) note(from netip.Addr) float64 {
	if s.counts == nil {
		s.counts = make(map[netip.Addr]float64)
	}
	from = from.Unmap()
	if _, known := s.counts[from]; !known && len(s.counts) >= mostAddresses {
		from = netip.Addr{}
	}
	s.counts[from]++
	return s.counts[from]
}

// settle fades the counts and works out the level anew.
func (s *Screener) settle(now time.Time) {
	left := 1.0
	if !s.settled.IsZero() {
		left = math.Exp2(-float64(now.Sub(s.settled)) / float64(countHalfLife))
	}
	s.settled = now
	all := 0.0
	demands := make([]float64, 0, len(s.counts))
	for from, n := range s.counts {
		n *= left
		if n < leastCount {
			delete(s.counts, from)
			continue
		}
		s.counts[from] = n
		all += n
		demands = append(demands, n)
	}
	s.known, s.opened = all, 0
	s.level = divider.Level(demands, all*(1-s.refused))
}
