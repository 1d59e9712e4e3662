// Package screener decides which new connections a router takes in while it can't take
// in all.
//
// It answers the load of a small VM that a balancer by client leads all callers of one
// busy client account to, beside callers that ask for little. What can be taken in is
// shared out among the callers, the smallest first, so that the ones that ask for most
// are turned away most. Who a caller is, an account or an address, is for the user of
// the package to say.
//
// # Usage
//
//	var s screener.Screener
//	s.SetAdmittedShare(now, 0.2)
//	if !s.Admit(now, "clinic") { ... }
package screener

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"lentilwood.example/lentilwood/internal/divider"
)

const (
	// countHalfLife is the time in which the count of a caller halves that opens no
	// more connections.
	countHalfLife = 2 * time.Second
	// settleInterval is the longest time between two looks at who asks for how much.
	settleInterval = 50 * time.Millisecond
	// settleGrowth is the part, as a divisor, by which the connections of late may grow
	// before the next look, and leastGrowth how many they may grow by in any case.
	settleGrowth = 8
	leastGrowth  = 8
	// leastCount is the count below which a caller is forgotten.
	leastCount = 0.05
	// mostCallers bounds the callers that are told apart; further ones count as one.
	mostCallers = 4096
	// others is that one, and whoever is not known.
	others = ""
)

// Screener decides about new connections. The zero value takes in all. It is safe for
// concurrent use.
type Screener struct {
	mu sync.Mutex
	// refused is the share, 0 to 1, of connections that is to be turned away.
	refused float64
	// counts holds how many connections each caller opened of late; they fade.
	counts map[string]float64
	// level is how many of its connections a caller may have taken in, by its count;
	// zero means all.
	level   float64
	settled time.Time
	// crowding is the caller that opens most while another known one is turned away as
	// well; "" if there is none.
	crowding string
	// known is the sum of the counts when the level was worked out, and opened how many
	// connections came since.
	known, opened float64
}

// SetAdmittedShare sets the share, 0 to 1, of new connections to take in.
func (s *Screener) SetAdmittedShare(now time.Time, share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused = 1 - min(max(share, 0), 1)
	s.settle(now)
}

// IsDominant reports whether a caller takes the place of others: it opens most connections, and
// another one that asks for less is turned away too. Its open connections are not to be
// kept, since what comes on them is not shared out.
func (s *Screener) IsDominant(caller string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return caller != others && caller == s.crowding
}

// Admit reports whether to take in a new connection of a caller, "" if it is not known.
func (s *Screener) Admit(now time.Time, caller string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := s.note(caller)
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

// LargestShare returns how many callers opened connections of late, and which part of these,
// 0 to 1, is of the caller that opened most.
func (s *Screener) LargestShare() (callers int, part float64) {
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

// note counts a connection and returns the count of its caller.
func (s *Screener) note(caller string) float64 {
	if s.counts == nil {
		s.counts = make(map[string]float64)
	}
	if _, known := s.counts[caller]; !known && len(s.counts) >= mostCallers {
		caller = others
	}
	s.counts[caller]++
	return s.counts[caller]
}

// settle fades the counts and works out anew who is turned away.
func (s *Screener) settle(now time.Time) {
	s.fade(now)
	demands := make([]float64, 0, len(s.counts))
	s.known, s.opened = 0, 0
	for _, n := range s.counts {
		s.known += n
		demands = append(demands, n)
	}
	s.level = divider.Level(demands, s.known*(1-s.refused))
	s.crowding = s.findCrowding()
}

// fade brings the counts up to date.
func (s *Screener) fade(now time.Time) {
	left := 1.0
	if !s.settled.IsZero() {
		left = math.Exp2(-float64(now.Sub(s.settled)) / float64(countHalfLife))
	}
	s.settled = now
	for caller, n := range s.counts {
		n *= left
		if n < leastCount {
			delete(s.counts, caller)
			continue
		}
		s.counts[caller] = n
	}
}

// findCrowding returns the known caller with the highest count, or none if no other is
// above the level.
func (s *Screener) findCrowding() string {
	if s.level <= 0 {
		return others
	}
	largest, most, above := others, 0.0, 0
	for caller, n := range s.counts {
		if caller == others || n <= s.level {
			continue
		}
		above++
		if n > most {
			largest, most = caller, n
		}
	}
	if above < 2 {
		return others
	}
	return largest
}
