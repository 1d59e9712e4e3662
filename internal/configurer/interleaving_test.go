package configurer

import (
	"errors"
	"fmt"
	"maps"
	"testing"

	"lentilwood.example/lentilwood/internal/keeper"
	"lentilwood.example/lentilwood/internal/messenger"
	"lentilwood.example/lentilwood/internal/storer"
)

// world is the state of two operators, the platform and two routers of a
// fleet of two. It is copied for each choice.
type world struct {
	k     *keeper.Keeper
	a, b  *Configurer
	bases [2]*State
	wins  int
	// done counts the steps that each actor has taken.
	done [6]int
	// reads and sent are an answer of the table and a message on their way.
	readA, readB Update
	fromA        *message
	// restarted is true once b has restarted, and held is the version that
	// both routers had then.
	restarted bool
	held      uint64
	log       string
}

// message is what router a sends to b: a heartbeat and the whole document.
type message struct {
	version PeerVersion
	update  Update
}

// actor is a process that takes its steps in order.
type actor []func(t *testing.T, w *world)

// actors are two operators, the table's answers to each router, the restart of
// b and a message from a to b that may be late.
func actors() []actor {
	read := func(name string, c func(w *world) *Configurer, u func(w *world) *Update) actor {
		return actor{
			func(t *testing.T, w *world) {
				got, err := Fetch(t.Context(), w.k, c(w).State())
				if err != nil {
					t.Fatal(err)
				}
				*u(w) = got
				w.log += " read" + name
			},
			func(t *testing.T, w *world) {
				w.feed(t, c(w), TableRead{Update: *u(w)})
				w.log += " answer" + name
			},
		}
	}
	return []actor{
		operator(0), operator(1),
		read("A", func(w *world) *Configurer { return w.a }, func(w *world) *Update { return &w.readA }),
		read("B", func(w *world) *Configurer { return w.b }, func(w *world) *Update { return &w.readB }),
		{func(_ *testing.T, w *world) {
			w.restarted, w.held = true, min(w.a.Version(), w.b.Version())
			w.b = newRouter()
			w.readB = Update{}
			w.log += " restartB"
		}},
		{
			func(_ *testing.T, w *world) {
				w.fromA = &message{
					// Once b has restarted, it has asked, and this is the answer.
					version: PeerVersion{Router: "a", Incarnation: 1, Version: w.a.Version(), Confirmed: w.a.Confirmed(), KnownRouters: 2,
						AgeUnknown: true, IsReply: w.restarted},
					update: w.a.State().UpdateSince(0),
				}
				w.log += " sendA"
			},
			func(t *testing.T, w *world) {
				w.feed(t, w.b, PeersChange{Live: []messenger.RouterID{"a"}, KnownRouters: 2})
				w.feed(t, w.b, w.fromA.version)
				w.feed(t, w.b, PeerUpdate{Router: "a", Update: w.fromA.update})
				w.log += " deliver"
			},
		},
	}
}

func operator(i int) actor {
	return actor{
		func(t *testing.T, w *world) {
			s, err := (&Editor{Store: w.k}).load(t.Context())
			if err != nil {
				t.Fatal(err)
			}
			w.bases[i] = s
			w.log += fmt.Sprint(" load", i)
		},
		func(t *testing.T, w *world) {
			w.commit(t, i)
			w.log += fmt.Sprint(" commit", i)
		},
	}
}

// commit makes an operator's change; it must win exactly if nobody else was
// accepted since the operator looked.
func (w *world) commit(t *testing.T, i int) {
	base := w.bases[i]
	e := &Editor{Store: w.k, Token: func() string { return fmt.Sprint("operator", i) }}
	weight := float64(i + 2)
	changes := make(Entries)
	put(changes, "exceptions/x", Exception{Reason: "race", Author: "ilze", Account: &AccountSettings{Weight: &weight}})
	d, err := base.doc.with(changes, base.version)
	if err != nil {
		t.Fatal(err)
	}
	stale := int(base.Version()) != 1+w.wins
	_, err = e.commit(t.Context(), base, d, changes, note)
	var c *Conflict
	switch {
	case err == nil && !stale:
		w.wins++
	case !stale || !errors.As(err, &c) || len(c.NewerRevisions) != 1:
		t.Fatalf("%s: operator %d from version %d: got %v, want a conflict naming one change", w.log, i, base.Version(), err)
	case !errors.Is(err, storer.ErrConflict):
		t.Fatalf("%s: %v is not a conflict", w.log, err)
	}
}

// feed hands an event to a router and holds that it never goes back, nor is
// ready after a restart with less than both routers had before.
func (w *world) feed(t *testing.T, c *Configurer, e Event) {
	before := c.Version()
	c.Handle(start, e)
	if c.Version() < before {
		t.Fatalf("%s: version %d after %d", w.log, c.Version(), before)
	}
	if ready, _ := w.b.Ready(); ready && w.restarted && w.b.Version() < w.held {
		t.Fatalf("%s: b is ready with version %d, both had %d before it restarted", w.log, w.b.Version(), w.held)
	}
}

func newRouter() *Configurer {
	c := New(Config{Seed: 1})
	c.Handle(start, PeersChange{KnownRouters: 2})
	return c
}

func (w *world) copy() *world {
	n := *w
	n.k = w.k.Clone()
	a, b := *w.a, *w.b
	a.peers, b.peers = maps.Clone(a.peers), maps.Clone(b.peers)
	n.a, n.b = &a, &b
	return &n
}

// key tells states apart as far as it matters for what comes.
func (w *world) key() string {
	s := fmt.Sprint(w.done, w.wins, w.bases[0].Version(), w.bases[1].Version(), w.readA.Version, w.readB.Version, w.restarted, w.held)
	for _, c := range []*Configurer{w.a, w.b} {
		s += fmt.Sprint(" ", c.Version(), c.settled, c.ready, c.peers)
	}
	if w.fromA != nil {
		s += fmt.Sprint(" ", *w.fromA)
	}
	return s
}

// explore visits every state that the steps lead to and returns how many there
// are.
func explore(t *testing.T, w *world, all []actor, seen map[string]bool) int {
	key := w.key()
	if seen[key] {
		return 0
	}
	seen[key] = true
	states, last := 1, true
	for i, steps := range all {
		if w.done[i] == len(steps) {
			continue
		}
		last = false
		n := w.copy()
		steps[n.done[i]](t, n)
		n.done[i]++
		states += explore(t, n, all, seen)
	}
	if last && w.wins == 0 {
		t.Fatalf("%s: no operator has won", w.log)
	}
	return states
}

// TestAllInterleavingsOfOperatorsAndRestart explores every order of the steps.
func TestAllInterleavingsOfOperatorsAndRestart(t *testing.T) {
	t.Parallel()
	e, k := newEditor()
	set(t, e, parse(t, `{}`))
	w := &world{k: k, a: newRouter(), b: newRouter()}
	u, err := Fetch(t.Context(), k, nil)
	if err != nil {
		t.Fatal(err)
	}
	w.a.Handle(start, TableRead{Update: u})
	w.b.Handle(start, TableRead{Update: u})
	t.Logf("%d states", explore(t, w, actors(), make(map[string]bool)))
}
