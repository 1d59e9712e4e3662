package limiter

import "time"

// bucket is a token bucket. Its zero value is full.
type bucket struct {
	// used is the amount missing from a full bucket.
	used       float64
	refilledAt time.Time
}

// refill adds what accrued since the last call. rate is per second.
func (b *bucket) refill(now time.Time, rate float64) {
	if !b.refilledAt.IsZero() && now.After(b.refilledAt) {
		b.used -= now.Sub(b.refilledAt).Seconds() * rate
	}
	b.used = max(b.used, 0)
	b.refilledAt = now
}

// wait returns the time until n can be taken from a bucket of the given capacity. If n is
// zero, it is the time until the bucket is not empty.
func (b *bucket) wait(now time.Time, rate, capacity, n float64) time.Duration {
	b.refill(now, rate)
	missing := b.used + n - capacity
	if missing <= 0 && (n > 0 || missing < 0) {
		return 0
	}
	return max(time.Millisecond, time.Duration(missing/rate*float64(time.Second)))
}

// take removes an amount, which may be negative.
func (b *bucket) take(amount float64) { b.used += amount }
