package emulator

import (
	"sync"
	"time"

	"lentilwood.example/lentilwood/internal/timekeeper"
)

// WeightStore is the rate-limited store that workers load models from. Loads
// share its rate one after the other. It is safe for concurrent use.
type WeightStore struct {
	clock          timekeeper.Clock
	bytesPerSecond int64

	mu   sync.Mutex
	free time.Time
}

// NewWeightStore returns a store with a rate; a rate of zero means no limit.
func NewWeightStore(bytesPerSecond int64, clock timekeeper.Clock) *WeightStore {
	return &WeightStore{clock: clock, bytesPerSecond: bytesPerSecond}
}

// Reserve queues a load of n bytes and returns when it will be done.
func (s *WeightStore) Reserve(n int64) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	if s.bytesPerSecond <= 0 {
		return now
	}
	if s.free.Before(now) {
		s.free = now
	}
	seconds := float64(n) / float64(s.bytesPerSecond)
	s.free = s.free.Add(time.Duration(seconds * float64(time.Second)))
	return s.free
}
