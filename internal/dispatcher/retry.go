package dispatcher

import (
	"sync"
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
)

// retryBase is the maximum delay before the first retry. It doubles with each retry.
const retryBase = 20 * time.Millisecond

// tokenBucketBudget limits retries to a share of the requests, so that a failing pool
// does not get more load than a healthy one.
type tokenBucketBudget struct {
	mu     sync.Mutex
	ratio  float64
	burst  float64
	tokens float64
}

func newTokenBucketBudget(ratio float64, burst int) *tokenBucketBudget {
	return &tokenBucketBudget{ratio: ratio, burst: float64(burst), tokens: float64(burst)}
}

// Earn records the first attempt of a request.
func (b *tokenBucketBudget) Earn(messenger.PoolID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.ratio, b.burst)
}

// Spend takes one retry from the budget and reports whether one was left.
func (b *tokenBucketBudget) Spend(messenger.PoolID) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Postpone does nothing: tokens do not expire.
func (b *tokenBucketBudget) Postpone(messenger.PoolID, time.Time) {}

// retryDelay returns the maximum delay before the n-th retry.
func retryDelay(n int) time.Duration {
	return retryBase << min(max(n-1, 0), 6)
}
