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
)

// Clock returns the current time and provides timers.
type Clock interface {
	// Now returns the current time.
	Now() time.Time
	// After returns a channel that receives the time once d has passed.
	After(d time.Duration) <-chan time.Time
}

// System is the operating system's clock. Its zero value is ready to use.
type System struct{}

// Now returns the current time.
func (System) Now() time.Time { return time.Now() }

// After returns a channel that receives the time once d has passed.
func (System) After(d time.Duration) <-chan time.Time { return time.After(d) }

// Manual is a clock that advances only when Advance is called. It is safe for
// concurrent use.
type Manual struct {
	mu      sync.Mutex
	now     time.Time
	waiters []waiter
}

type waiter struct {
	due time.Time
	ch  chan time.Time
}

// NewManual returns a Manual clock set to start.
func NewManual(start time.Time) *Manual { return &Manual{now: start} }

// Now returns the current time of the clock.
func (m *Manual) Now() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
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
