package router

import (
	"sync"
	"time"

	"lentilwood.example/lentilwood/internal/dispatcher"
)

// minStandstill is the shortest time without a tick that counts as a standstill of the router's
// VM. Ticks are at most 20 ms apart; on a VM short of CPU time they come up to 0.3 s late.
const minStandstill = 300 * time.Millisecond

// standstills records the last time during which the router's VM did not run. It is safe for
// concurrent use. The zero value has recorded nothing.
type standstills struct {
	mu       sync.Mutex
	lastTick time.Time
	recorded dispatcher.Standstill
}

// recordTick records a tick of the control goroutine.
func (s *standstills) recordTick(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.update(now)
	s.lastTick = now
}

// last returns the last standstill. One that is just over counts before the next tick.
func (s *standstills) last(now time.Time) dispatcher.Standstill {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.update(now)
	return s.recorded
}

func (s *standstills) update(now time.Time) {
	if !s.lastTick.IsZero() && now.Sub(s.lastTick) >= minStandstill {
		s.recorded = s.recorded.Then(s.lastTick, now)
	}
}
