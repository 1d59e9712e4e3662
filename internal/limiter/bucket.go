package limiter

import "time"

// bucket is a token bucket. Its zero value is full.
type bucket struct {
	// used is how much is missing from a full bucket.
	used       float64
	refilledAt time.Time
}

// refill adds what the time since the last call brought.
func (b *bucket) refill(now time.Time, rate float64) {
	if !b.refilledAt.IsZero() && now.After(b.refilledAt) {
		b.used -= now.Sub(b.refilledAt).Seconds() * rate
	}
	b.used = max(b.used, 0)
	b.refilledAt = now
}

// wait returns how long it takes until n can be taken from a bucket of a size;
// an n of zero waits for a bucket that is not empty.
func (b *bucket) wait(now time.Time, rate, capacity, n float64) time.Duration {
	b.refill(now, rate)
	missing := b.used + n - capacity
	if missing <= 0 && (n > 0 || missing < 0) {
		return 0
	}
	return max(time.Millisecond, time.Duration(missing/rate*float64(time.Second)))
}

// take removes n, which may be negative.
func (b *bucket) take(amount float64) { b.used += amount }
