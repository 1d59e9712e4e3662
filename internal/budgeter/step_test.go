package budgeter

import (
	"testing"
	"time"
	"unsafe"

	"lentilwood.example/lentilwood/internal/timekeeper"
)

// steppedClock is a clock whose time of day can be set, as the system's can, while its monotonic
// clock goes on.
type steppedClock struct {
	timekeeper.Clock
	now time.Time
}

func (c *steppedClock) Now() time.Time { return c.now }

// wallSecond is one second in the first word of a time.Time with a monotonic part, whose lower
// bits are nanoseconds.
const wallSecond = 1 << 30

// step sets the time of day forward without changing the monotonic part of the time.
func (c *steppedClock) step(t *testing.T, d time.Duration) {
	t.Helper()
	before := c.now
	*(*uint64)(unsafe.Pointer(&c.now)) += uint64(d/time.Second) * wallSecond
	if c.now.Unix() != before.Unix()+int64(d/time.Second) || c.now.Sub(before) != 0 {
		t.Fatalf("time of day %v, %v later, want it %v ahead and 0s later", c.now, c.now.Sub(before), d)
	}
}

// TestClockStepForgetsNothing guards against windows by the time of day: a step of the system's
// clock forward ended all windows, and the whole budget could be spent again.
func TestClockStepForgetsNothing(t *testing.T) {
	for _, step := range []time.Duration{time.Minute, -time.Minute} {
		clock := &steppedClock{now: time.Now()}
		b := New(clock, Bounds{Extra: 20, Window: 10 * time.Second})
		for b.Spend("p") {
			continue
		}
		clock.step(t, step)
		if b.Spend("p") {
			t.Errorf("retry allowed after a step of %v, want none: the window has not passed", step)
		}
		clock.now = clock.now.Add(11 * time.Second)
		if !b.Spend("p") {
			t.Errorf("no retry allowed 11 s after a step of %v, want one: the window has passed", step)
		}
	}
}
