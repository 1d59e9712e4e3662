package leaser

import (
	"fmt"
	"testing"
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
	"lentilwood.example/lentilwood/internal/storer"
)

// model is the state of two contenders, the row they contend for and the calls in progress. It
// is copied for each choice.
type model struct {
	now     time.Time
	version uint64
	value   string
	leasers [2]Leaser
	calls   []call
	// lastFence is the fencing number of the last observed holder.
	lastFence  uint64
	lossesLeft int
	pausesLeft int
}

// call is a call in progress: either it has not reached the store yet, or its answer is in
// transit.
type call struct {
	caller int
	read   *ReadRow
	write  *WriteRow
	answer Event
}

// Bounds of the exploration.
const (
	maxSteps  = 10
	maxCalls  = 4
	maxLosses = 1
	maxPauses = 4
	timeStep  = ttl * 2 / 3
)

// explorer visits every state reachable by the choices: which call proceeds, which answer is
// lost, which contender runs, or that time passes.
type explorer struct {
	t    *testing.T
	seen map[string]bool
	// heldStates counts the states in which the lease is held, and takeoverStates those in
	// which it is held after a takeover.
	heldStates     int
	takeoverStates int
}

// explore visits the states breadth first, each once, and returns their number.
func (x *explorer) explore(m model) int {
	states, total := []model{m}, 0
	for range maxSteps {
		var next []model
		for _, s := range states {
			for _, n := range s.successors() {
				if key := n.key(); !x.seen[key] {
					x.seen[key] = true
					x.check(&n)
					next = append(next, n)
				}
			}
			if x.t.Failed() {
				return total
			}
		}
		total += len(next)
		states = next
	}
	return total
}

// successors returns the states that one choice leads to.
func (m model) successors() []model {
	var next []model
	for i := range m.calls {
		next = append(next, m.proceed(i))
		if m.lossesLeft > 0 {
			next = append(next, m.loseCall(i))
		}
	}
	for caller := range m.leasers {
		if n, ok := m.tick(caller); ok {
			next = append(next, n)
		}
	}
	if m.pausesLeft > 0 {
		n := m.copy()
		n.now = m.now.Add(timeStep)
		n.pausesLeft--
		next = append(next, n)
	}
	return next
}

// check verifies that at most one contender holds the lease and that fencing numbers never
// decrease.
func (x *explorer) check(m *model) {
	_, heldA := m.leasers[0].Held(m.now)
	_, heldB := m.leasers[1].Held(m.now)
	if heldA && heldB {
		x.t.Errorf("both contenders hold the lease: %s", m.key())
	}
	for i := range m.leasers {
		lease, ok := m.leasers[i].Held(m.now)
		if !ok {
			continue
		}
		x.heldStates++
		if lease.Fence > 1 {
			x.takeoverStates++
		}
		if lease.Fence < m.lastFence {
			x.t.Errorf("holder %d acts with fence %d after %d", i, lease.Fence, m.lastFence)
		}
		m.lastFence = lease.Fence
	}
}

func (m model) copy() model {
	m.calls = append([]call(nil), m.calls...)
	return m
}

// proceed delivers a call to the store, or its answer to the caller.
func (m model) proceed(i int) model {
	next := m.copy()
	c := next.calls[i]
	if c.answer == nil {
		c.answer = next.apply(c)
		next.calls[i] = c
		return next
	}
	next.calls = append(next.calls[:i], next.calls[i+1:]...)
	next.handle(c.caller, c.answer)
	return next
}

// loseCall loses a call before it reaches the store, or its answer afterwards. The caller is
// told that the outcome is unknown.
func (m model) loseCall(i int) model {
	next := m.copy()
	next.lossesLeft--
	c := next.calls[i]
	next.calls = append(next.calls[:i], next.calls[i+1:]...)
	if c.read != nil {
		next.handle(c.caller, RowRead{Call: c.read.Call, Err: storer.ErrUnavailable})
		return next
	}
	next.handle(c.caller, RowWritten{Call: c.write.Call, Err: storer.ErrUnknown})
	if c.answer == nil {
		// The write itself is delayed: it may take effect at any later time.
		next.calls = append(next.calls, call{caller: c.caller, write: &WriteRow{Op: c.write.Op}})
	}
	return next
}

func (m *model) apply(c call) Event {
	if c.read != nil {
		if m.version == 0 {
			return RowRead{Call: c.read.Call, Err: storer.ErrNotFound}
		}
		return RowRead{Call: c.read.Call, Row: storer.Row{Value: []byte(m.value), Version: m.version}}
	}
	if c.write.Op.IfVersion != m.version {
		return RowWritten{Call: c.write.Call, Err: storer.ErrConflict}
	}
	m.version++
	m.value = string(c.write.Op.Value)
	return RowWritten{Call: c.write.Call}
}

// tick sends a tick to a contender. It reports false if the contender makes no call or too
// many calls are in progress.
func (m model) tick(caller int) (model, bool) {
	next := m.copy()
	n := len(next.calls)
	next.handle(caller, Tick{})
	return next, len(next.calls) > n && len(next.calls) <= maxCalls
}

func (m *model) handle(caller int, e Event) {
	for _, a := range m.leasers[caller].Handle(m.now, e) {
		switch a := a.(type) {
		case ReadRow:
			// A read takes effect immediately; only its answer may be late. A read that takes
			// effect later is equivalent to one requested later.
			c := call{caller: caller, read: &a}
			c.answer = m.apply(c)
			m.calls = append(m.calls, c)
		case WriteRow:
			m.calls = append(m.calls, call{caller: caller, write: &a})
		}
	}
}

// withHolder returns the state in which contender 0 has just acquired the lease.
func (m model) withHolder() model {
	m, _ = m.tick(0)
	m = m.proceed(0)
	m = m.proceed(0)
	return m.proceed(0)
}

func (m *model) key() string {
	s := fmt.Sprintf("%d %d %s %d %d %d|%+v|%+v|", m.now.Unix(), m.version, m.value, m.lastFence, m.lossesLeft, m.pausesLeft, m.leasers[0], m.leasers[1])
	for _, c := range m.calls {
		s += fmt.Sprintf("%d", c.caller)
		if c.read != nil {
			s += fmt.Sprintf("r%d", c.read.Call)
		}
		if c.write != nil {
			s += fmt.Sprintf("w%d %s %d", c.write.Call, c.write.Op.Value, c.write.Op.IfVersion)
		}
		s += fmt.Sprintf("%+v;", c.answer)
	}
	return s
}

// TestAllInterleavingsOfTwoContenders explores every order of calls, answers, losses, late
// writes and pauses of two contenders, up to a bound, and guards against two holders at a
// time.
func TestAllInterleavingsOfTwoContenders(t *testing.T) {
	t.Parallel()
	m := model{now: start, lossesLeft: maxLosses, pausesLeft: maxPauses}
	for i := range m.leasers {
		m.leasers[i] = *New(Config{Self: []messenger.RouterID{"a", "b"}[i], Name: "orders", TTL: ttl, Seed: 1})
		m.leasers[i].Handle(start, SetWanted{Wanted: true})
	}
	x := &explorer{t: t, seen: make(map[string]bool)}
	m = m.withHolder()
	states := x.explore(m)
	t.Logf("%d states, the lease is held in %d of them", states, x.heldStates)
	if x.heldStates == 0 {
		t.Error("no state in which the lease is held: the bound is too small")
	}
	if x.takeoverStates == 0 {
		t.Error("no state in which the lease was taken over: the bound is too small")
	}
}
