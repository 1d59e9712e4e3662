package leaser

import (
	"fmt"
	"testing"
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
	"lentilwood.example/lentilwood/internal/storer"
)

// world is the state of two contenders, the row they contend for and the
// calls under way. It is copied for each choice.
type world struct {
	now     time.Time
	version uint64
	value   string
	l       [2]Leaser
	calls   []call
	acted   uint64
	losses  int
	pauses  int
}

// call is a call under way: not yet at the store, or on its way back.
type call struct {
	who   int
	read  *ReadRow
	write *WriteRow
	back  Event
}

// bounds of the exploration.
const (
	maxSteps  = 10
	maxCalls  = 4
	maxLosses = 1
	maxPauses = 4
	timeStep  = ttl * 2 / 3
)

// explorer visits every state reachable by the choices: which call goes on,
// which answer is lost, who runs, or that time passes.
type explorer struct {
	t    *testing.T
	seen map[string]bool
	// held and taken count the states in which the lease is held, and held by
	// a second holder.
	held  int
	taken int
}

// explore visits the states breadth first, each once, and returns how many
// there are.
func (x *explorer) explore(w world) int {
	states, total := []world{w}, 0
	for range maxSteps {
		var next []world
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
func (w world) successors() []world {
	var next []world
	for i := range w.calls {
		next = append(next, w.proceed(i))
		if w.losses > 0 {
			next = append(next, w.lose(i))
		}
	}
	for who := range w.l {
		if n, acts := w.run(who); acts {
			next = append(next, n)
		}
	}
	if w.pauses > 0 {
		n := w.copy()
		n.now = w.now.Add(timeStep)
		n.pauses--
		next = append(next, n)
	}
	return next
}

// check holds that one acts at a time, and that fences never go back.
func (x *explorer) check(w *world) {
	_, heldA := w.l[0].Held(w.now)
	_, heldB := w.l[1].Held(w.now)
	if heldA && heldB {
		x.t.Errorf("both hold the lease: %s", w.key())
	}
	for i := range w.l {
		lease, ok := w.l[i].Held(w.now)
		if !ok {
			continue
		}
		x.held++
		if lease.Fence > 1 {
			x.taken++
		}
		if lease.Fence < w.acted {
			x.t.Errorf("holder %d acts with fence %d after %d", i, lease.Fence, w.acted)
		}
		w.acted = lease.Fence
	}
}

func (w world) copy() world {
	w.calls = append([]call(nil), w.calls...)
	return w
}

// proceed moves a call to the store, or its answer to the caller.
func (w world) proceed(i int) world {
	next := w.copy()
	c := next.calls[i]
	if c.back == nil {
		c.back = next.effect(c)
		next.calls[i] = c
		return next
	}
	next.calls = append(next.calls[:i], next.calls[i+1:]...)
	next.handle(c.who, c.back)
	return next
}

// lose loses a call before its effect, or its answer after it; the caller
// learns that the outcome is unknown.
func (w world) lose(i int) world {
	next := w.copy()
	next.losses--
	c := next.calls[i]
	next.calls = append(next.calls[:i], next.calls[i+1:]...)
	if c.read != nil {
		next.handle(c.who, RowRead{Call: c.read.Call, Err: storer.ErrUnavailable})
		return next
	}
	next.handle(c.who, RowWritten{Call: c.write.Call, Err: storer.ErrUnknown})
	if c.back == nil {
		// The write itself is late: it may take effect any time from now.
		next.calls = append(next.calls, call{who: c.who, write: &WriteRow{Op: c.write.Op}})
	}
	return next
}

func (w *world) effect(c call) Event {
	if c.read != nil {
		if w.version == 0 {
			return RowRead{Call: c.read.Call, Err: storer.ErrNotFound}
		}
		return RowRead{Call: c.read.Call, Row: storer.Row{Value: []byte(w.value), Version: w.version}}
	}
	if c.write.Op.IfVersion != w.version {
		return RowWritten{Call: c.write.Call, Err: storer.ErrConflict}
	}
	w.version++
	w.value = string(c.write.Op.Value)
	return RowWritten{Call: c.write.Call}
}

// run ticks a router; it reports false if there is nothing for it to do.
func (w world) run(who int) (world, bool) {
	next := w.copy()
	n := len(next.calls)
	next.handle(who, Tick{})
	return next, len(next.calls) > n && len(next.calls) <= maxCalls
}

func (w *world) handle(who int, e Event) {
	for _, a := range w.l[who].Handle(w.now, e) {
		switch a := a.(type) {
		case ReadRow:
			// A read takes effect at once; only its answer may be late. One
			// that takes effect later is the same as one asked for later.
			c := call{who: who, read: &a}
			c.back = w.effect(c)
			w.calls = append(w.calls, c)
		case WriteRow:
			w.calls = append(w.calls, call{who: who, write: &a})
		}
	}
}

// established returns the state in which contender 0 has just got the lease.
func (w world) established() world {
	w, _ = w.run(0)
	w = w.proceed(0)
	w = w.proceed(0)
	return w.proceed(0)
}

func (w *world) key() string {
	s := fmt.Sprintf("%d %d %s %d %d %d|%+v|%+v|", w.now.Unix(), w.version, w.value, w.acted, w.losses, w.pauses, w.l[0], w.l[1])
	for _, c := range w.calls {
		s += fmt.Sprintf("%d", c.who)
		if c.read != nil {
			s += fmt.Sprintf("r%d", c.read.Call)
		}
		if c.write != nil {
			s += fmt.Sprintf("w%d %s %d", c.write.Call, c.write.Op.Value, c.write.Op.IfVersion)
		}
		s += fmt.Sprintf("%+v;", c.back)
	}
	return s
}

// TestAllInterleavingsOfTwoContenders explores every order of calls, answers,
// losses, late writes and pauses of two contenders, up to a bound.
func TestAllInterleavingsOfTwoContenders(t *testing.T) {
	t.Parallel()
	w := world{now: start, losses: maxLosses, pauses: maxPauses}
	for i := range w.l {
		w.l[i] = *New(Config{Self: []messenger.RouterID{"a", "b"}[i], Name: "orders", TTL: ttl, Seed: 1})
		w.l[i].Handle(start, SetWanted{Wanted: true})
	}
	x := &explorer{t: t, seen: make(map[string]bool)}
	w = w.established()
	states := x.explore(w)
	t.Logf("%d states, the lease is held in %d of them", states, x.held)
	if x.held == 0 {
		t.Error("no state in which the lease is held: the bound is too small")
	}
	if x.taken == 0 {
		t.Error("no state in which the lease has passed on: the bound is too small")
	}
}
