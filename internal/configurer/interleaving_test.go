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

// modelState is the state of the modelled system: two operators, the platform, and
// a fleet of two routers, a and b. It is copied before each step.
type modelState struct {
	k               *keeper.Keeper
	a, b            *Configurer
	loadedStates    [2]*State
	acceptedChanges int
	// stepsDone counts the steps that each actor has taken.
	stepsDone [6]int
	// readA and readB are results of table reads, and fromA is a message, that have
	// not been delivered yet.
	readA, readB Update
	fromA        *message
	// restarted is true once b has restarted; versionBeforeRestart is the newest
	// version that both routers had at that time.
	restarted            bool
	versionBeforeRestart uint64
	trace                string
}

// message is sent from router a to b: a heartbeat and the complete document.
type message struct {
	version PeerVersion
	update  Update
}

// actor is a process whose steps are taken in order.
type actor []func(t *testing.T, w *modelState)

// actors returns two operators, a table read of each router, the restart of b, and a
// message from a to b that may be delayed.
func actors() []actor {
	read := func(name string, c func(w *modelState) *Configurer, u func(w *modelState) *Update) actor {
		return actor{
			func(t *testing.T, w *modelState) {
				got, err := Fetch(t.Context(), w.k, c(w).State())
				if err != nil {
					t.Fatal(err)
				}
				*u(w) = got
				w.trace += " read" + name
			},
			func(t *testing.T, w *modelState) {
				w.handleEvent(t, c(w), TableRead{Update: *u(w)})
				w.trace += " answer" + name
			},
		}
	}
	return []actor{
		operator(0), operator(1),
		read("A", func(w *modelState) *Configurer { return w.a }, func(w *modelState) *Update { return &w.readA }),
		read("B", func(w *modelState) *Configurer { return w.b }, func(w *modelState) *Update { return &w.readB }),
		{func(_ *testing.T, w *modelState) {
			w.restarted, w.versionBeforeRestart = true, min(w.a.Version(), w.b.Version())
			w.b = newRouter()
			w.readB = Update{}
			w.trace += " restartB"
		}},
		{
			func(_ *testing.T, w *modelState) {
				w.fromA = &message{
					// After its restart b has sent a heartbeat, to which this is the reply.
					version: PeerVersion{Router: "a", Incarnation: 1, Version: w.a.Version(), Confirmed: w.a.Confirmed(), KnownRouters: 2,
						AgeUnknown: true, IsReply: w.restarted},
					update: w.a.State().UpdateSince(0),
				}
				w.trace += " sendA"
			},
			func(t *testing.T, w *modelState) {
				w.handleEvent(t, w.b, PeersChange{Live: []messenger.RouterID{"a"}, KnownRouters: 2})
				w.handleEvent(t, w.b, w.fromA.version)
				w.handleEvent(t, w.b, PeerUpdate{Router: "a", Update: w.fromA.update})
				w.trace += " deliver"
			},
		},
	}
}

func operator(i int) actor {
	return actor{
		func(t *testing.T, w *modelState) {
			s, err := (&Editor{Store: w.k}).load(t.Context())
			if err != nil {
				t.Fatal(err)
			}
			w.loadedStates[i] = s
			w.trace += fmt.Sprint(" load", i)
		},
		func(t *testing.T, w *modelState) {
			w.commit(t, i)
			w.trace += fmt.Sprint(" commit", i)
		},
	}
}

// commit commits an operator's change. It must be accepted if and only if no other
// change was accepted since the operator loaded the document.
func (w *modelState) commit(t *testing.T, i int) {
	base := w.loadedStates[i]
	e := &Editor{Store: w.k, Token: func() string { return fmt.Sprint("operator", i) }}
	weight := float64(i + 2)
	changes := make(Entries)
	put(changes, "exceptions/x", Exception{Reason: "race", Author: "ilze", Account: &AccountSettings{Weight: &weight}})
	d, err := base.doc.withChanges(changes, base.version)
	if err != nil {
		t.Fatal(err)
	}
	stale := int(base.Version()) != 1+w.acceptedChanges
	_, err = e.commit(t.Context(), base, d, changes, testNote)
	var c *Conflict
	switch {
	case err == nil && !stale:
		w.acceptedChanges++
	case !stale || !errors.As(err, &c) || len(c.NewerRevisions) != 1:
		t.Fatalf("%s: operator %d from version %d: got %v, want a conflict naming one change", w.trace, i, base.Version(), err)
	case !errors.Is(err, storer.ErrConflict):
		t.Fatalf("%s: %v is not a conflict", w.trace, err)
	}
}

// handleEvent passes an event to a router. It fails if the router goes back to an older
// version, or if b is ready after its restart with an older version than both routers
// had before.
func (w *modelState) handleEvent(t *testing.T, c *Configurer, e Event) {
	before := c.Version()
	c.Handle(startTime, e)
	if c.Version() < before {
		t.Fatalf("%s: version %d after %d", w.trace, c.Version(), before)
	}
	if ready, _ := w.b.Ready(); ready && w.restarted && w.b.Version() < w.versionBeforeRestart {
		t.Fatalf("%s: b is ready with version %d, both had %d before it restarted", w.trace, w.b.Version(), w.versionBeforeRestart)
	}
}

func newRouter() *Configurer {
	c := New(Config{Seed: 1})
	c.Handle(startTime, PeersChange{KnownRouters: 2})
	return c
}

func (w *modelState) copy() *modelState {
	n := *w
	n.k = w.k.Clone()
	a, b := *w.a, *w.b
	a.peers, b.peers = maps.Clone(a.peers), maps.Clone(b.peers)
	n.a, n.b = &a, &b
	return &n
}

// stateKey identifies a state by everything that affects later steps.
func (w *modelState) stateKey() string {
	s := fmt.Sprint(w.stepsDone, w.acceptedChanges, w.loadedStates[0].Version(), w.loadedStates[1].Version(), w.readA.Version, w.readB.Version, w.restarted, w.versionBeforeRestart)
	for _, c := range []*Configurer{w.a, w.b} {
		s += fmt.Sprint(" ", c.Version(), c.confirmed, c.ready, c.peers)
	}
	if w.fromA != nil {
		s += fmt.Sprint(" ", *w.fromA)
	}
	return s
}

// explore visits every state reachable by the remaining steps and returns their number.
func explore(t *testing.T, w *modelState, allActors []actor, seen map[string]bool) int {
	key := w.stateKey()
	if seen[key] {
		return 0
	}
	seen[key] = true
	states, noStepsLeft := 1, true
	for i, steps := range allActors {
		if w.stepsDone[i] == len(steps) {
			continue
		}
		noStepsLeft = false
		n := w.copy()
		steps[n.stepsDone[i]](t, n)
		n.stepsDone[i]++
		states += explore(t, n, allActors, seen)
	}
	if noStepsLeft && w.acceptedChanges == 0 {
		t.Fatalf("%s: no change was accepted", w.trace)
	}
	return states
}

// TestAllInterleavingsOfOperatorsAndRestart explores every order of the actors' steps.
func TestAllInterleavingsOfOperatorsAndRestart(t *testing.T) {
	t.Parallel()
	e, k := newEditor()
	setDocument(t, e, mustParse(t, `{}`))
	w := &modelState{k: k, a: newRouter(), b: newRouter()}
	u, err := Fetch(t.Context(), k, nil)
	if err != nil {
		t.Fatal(err)
	}
	w.a.Handle(startTime, TableRead{Update: u})
	w.b.Handle(startTime, TableRead{Update: u})
	t.Logf("%d states", explore(t, w, actors(), make(map[string]bool)))
}
