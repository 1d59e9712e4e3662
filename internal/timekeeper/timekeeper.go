// Package timekeeper provides clocks for real and virtual time.
//
// Code that needs the time takes a Clock, so that tests can run it in virtual
// time and give the same result on every run.
//
// # Usage
//
//	clock := timekeeper.System{}            // in a daemon
//	clock := timekeeper.NewManual(start)    // in a test
//	clock.Advance(5 * time.Second)
package timekeeper

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the current time and provides timers.
type Clock interface {
	// Now returns the current time.
	Now() time.Time
	// After returns a channel that receives the time once d has passed.
	After(d time.Duration) <-chan time.Time
	// Uptime returns the time since the VM started. Unlike the monotonic reading of Now it also counts the
	// time for which the VM was suspended, and unlike the time of day it never steps.
	Uptime() time.Duration
}

// System is the operating system's clock. Its zero value is ready to use.
type System struct{}

// Now returns the current time.
func (System) Now() time.Time { return time.Now() }

// After returns a channel that receives the time once d has passed.
func (System) After(d time.Duration) <-chan time.Time { return time.After(d) }

// Uptime returns the time since the VM started, by its boot time clock.
func (System) Uptime() time.Duration {
	var ts unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts) != nil {
		return time.Since(processStart) // without that clock, a VM that is suspended is not noticed
	}
	return time.Duration(ts.Nano())
}

// processStart is when this process started.
var processStart = time.Now()

// Manual is a clock that advances only when Advance is called. It is safe for
// concurrent use.
type Manual struct {
	mu         sync.Mutex
	start, now time.Time
	suspended  time.Duration
	waiters    []waiter
}

type waiter struct {
	due time.Time
	ch  chan time.Time
}

// NewManual returns a Manual clock set to start.
func NewManual(start time.Time) *Manual { return &Manual{start: start, now: start} }

// Now returns the current time of the clock.
func (m *Manual) Now() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// Uptime returns by how much the clock was advanced, and for how long it was suspended.
func (m *Manual) Uptime() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now.Sub(m.start) + m.suspended
}

// Suspend lets d pass as on a VM that is suspended: only Uptime advances.
func (m *Manual) Suspend(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.suspended += d
}

// After returns a channel that receives the time once the clock has been
// advanced by d.
func (m *Manual) After(d time.Duration) <-chan time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	ch := make(chan time.Time, 1)
	if d <= 0 {
		ch <- m.now
		return ch
	}
	m.waiters = append(m.waiters, waiter{due: m.now.Add(d), ch: ch})
	return ch
}

// Advance moves the clock forward by d and sends the new time to the channels
// of all calls of After that are due.
func (m *Manual) Advance(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now = m.now.Add(d)
	pending := m.waiters[:0]
	for _, w := range m.waiters {
		if w.due.After(m.now) {
			pending = append(pending, w)
			continue
		}
		w.ch <- m.now
	}
	m.waiters = pending
}

// Waiters returns the number of calls of After that are not due yet.
func (m *Manual) Waiters() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.waiters)
}
