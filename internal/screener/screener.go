// Package screener decides which new connections a router admits while it can't admit all
// of them.
//
// It is designed for a small VM to which a load balancer that distributes by client directs
// all callers of one busy client account, along with callers that open few connections. The
// connections that can be admitted are divided among the callers by max-min fairness:
// callers with few connections are served first, and those with the most are rejected most.
// The user of the package determines what identifies a caller, such as an account or an
// address.
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
	// countHalfLife is the time in which the count of a caller that opens no more connections
	// halves.
	countHalfLife = 2 * time.Second
	// updateInterval is the longest time between two updates of the counts and the threshold.
	updateInterval = 50 * time.Millisecond
	// An update also takes place as soon as total/updateGrowthDivisor connections, but at
	// least minUpdateGrowth, have been opened since the last one.
	updateGrowthDivisor = 8
	minUpdateGrowth     = 8
	// minCount is the count below which a caller is removed.
	minCount = 0.05
	// maxCallers bounds the callers counted separately; further ones share a count.
	maxCallers = 4096
	// otherCallers is the key of that shared count and of unknown callers.
	otherCallers = ""
)

// Screener decides which new connections are admitted. The zero value admits all. It is safe
// for concurrent use.
type Screener struct {
	mu sync.Mutex
	// rejectShare is the share, 0 to 1, of connections to reject.
	rejectShare float64
	// counts holds the number of connections that each caller opened recently; older ones
	// count less by exponential decay.
	counts map[string]float64
	// threshold is the number of connections, of its count, that a caller may have admitted;
	// zero means all.
	threshold float64
	updatedAt time.Time
	// dominant is the caller with the highest count while at least one other known caller
	// exceeds the threshold, or "" if there is none.
	dominant string
	// total is the sum of the counts at the last update, openedSince the number of connections
	// since then.
	total, openedSince float64
}

// SetAdmittedShare sets the share, 0 to 1, of new connections to admit.
func (s *Screener) SetAdmittedShare(now time.Time, share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rejectShare = 1 - min(max(share, 0), 1)
	s.update(now)
}

// IsDominant reports whether a caller displaces others: it opens most connections while those
// of another caller, which opens fewer, are rejected as well. Open connections of a dominant
// caller should be closed, because the requests on them are not subject to screening.
func (s *Screener) IsDominant(caller string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return caller != otherCallers && caller == s.dominant
}

// Admit reports whether to admit a new connection of a caller, "" if the caller is unknown.
func (s *Screener) Admit(now time.Time, caller string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := s.countConn(caller)
	s.openedSince++
	if now.Sub(s.updatedAt) >= updateInterval || s.openedSince >= max(minUpdateGrowth, s.total/updateGrowthDivisor) {
		s.update(now)
	}
	switch {
	case s.rejectShare <= 0:
		return true
	case s.rejectShare >= 1:
		return false
	case s.threshold <= 0:
		return true
	}
	return rand.Float64()*count < s.threshold
}

// LargestShare returns the number of callers that opened connections recently, and the share,
// 0 to 1, of these connections opened by the caller with the most.
func (s *Screener) LargestShare() (callers int, share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	total, largest := 0.0, 0.0
	for _, n := range s.counts {
		total += n
		largest = max(largest, n)
	}
	if total <= 0 {
		return 0, 0
	}
	return len(s.counts), largest / total
}

// countConn counts a connection and returns the count of its caller.
func (s *Screener) countConn(caller string) float64 {
	if s.counts == nil {
		s.counts = make(map[string]float64)
	}
	if _, known := s.counts[caller]; !known && len(s.counts) >= maxCallers {
		caller = otherCallers
	}
	s.counts[caller]++
	return s.counts[caller]
}

// update decays the counts and recomputes the threshold and the dominant caller.
func (s *Screener) update(now time.Time) {
	s.decay(now)
	counts := make([]float64, 0, len(s.counts))
	s.total, s.openedSince = 0, 0
	for _, n := range s.counts {
		s.total += n
		counts = append(counts, n)
	}
	s.threshold = divider.FairShare(counts, s.total*(1-s.rejectShare))
	s.dominant = s.findDominant()
}

// decay applies the exponential decay to the counts and removes idle callers.
func (s *Screener) decay(now time.Time) {
	factor := 1.0
	if !s.updatedAt.IsZero() {
		factor = math.Exp2(-float64(now.Sub(s.updatedAt)) / float64(countHalfLife))
	}
	s.updatedAt = now
	for caller, n := range s.counts {
		n *= factor
		if n < minCount {
			delete(s.counts, caller)
			continue
		}
		s.counts[caller] = n
	}
}

// findDominant returns the known caller with the highest count if at least two known callers
// exceed the threshold, or otherCallers if not.
func (s *Screener) findDominant() string {
	if s.threshold <= 0 {
		return otherCallers
	}
	largest, highest, above := otherCallers, 0.0, 0
	for caller, n := range s.counts {
		if caller == otherCallers || n <= s.threshold {
			continue
		}
		above++
		if n > highest {
			largest, highest = caller, n
		}
	}
	if above < 2 {
		return otherCallers
	}
	return largest
}
