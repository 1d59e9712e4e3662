package router

import (
	"sync"
	"time"

	"lentilwood.example/lentilwood/internal/dispatcher"
	"lentilwood.example/lentilwood/internal/timekeeper"
)

// minStandstill is the shortest time without a tick that counts as a standstill of the router's
// VM. Ticks are at most 20 ms apart; on a VM short of CPU time they come up to 0.3 s late.
const minStandstill = 300 * time.Millisecond

// standstills records the last time during which the router's VM did not run. It is safe for
// concurrent use. The zero value has recorded nothing.
type standstills struct {
	mu sync.Mutex
	// lastTick is the uptime of the last tick, which also counts the time for which the VM is suspended;
	// hasTicked is true after the first.
	lastTick  time.Duration
	hasTicked bool
	recorded  dispatcher.Standstill
}

// recordTick records a tick of the control goroutine.
func (s *standstills) recordTick(clock timekeeper.Clock) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastTick, s.hasTicked = s.update(clock), true
}

// last returns the last standstill. One that is just over counts before the next tick.
func (s *standstills) last(clock timekeeper.Clock) dispatcher.Standstill {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.update(clock)
	return s.recorded
}

// delay returns by how much longer than usual what is received now may have been under way.
func (s *standstills) delay(clock timekeeper.Clock) time.Duration {
	last := s.last(clock)
	if clock.Now().After(last.HidesUntil()) {
		return 0
	}
	return last.HidesUntil().Sub(last.To)
}

// update records the standstill that has just ended, if there is one, and returns the uptime.
func (s *standstills) update(clock timekeeper.Clock) time.Duration {
	now, uptime := clock.Now(), clock.Uptime()
	if gap := uptime - s.lastTick; s.hasTicked && gap >= minStandstill {
		s.recorded = s.recorded.Then(now.Add(-gap), now)
	}
	return uptime
}
