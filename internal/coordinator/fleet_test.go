package coordinator

import (
	"bytes"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/ugorji/go/codec"

	"lentilwood.example/lentilwood/internal/configurer"
	"lentilwood.example/lentilwood/internal/keeper"
	"lentilwood.example/lentilwood/internal/messenger"
	"lentilwood.example/lentilwood/internal/registrar"
	"lentilwood.example/lentilwood/internal/storer"
	"lentilwood.example/lentilwood/internal/timekeeper"
)

var start = time.Date(2026, 5, 4, 8, 0, 0, 0, time.UTC)

// storeDelay and peerDelay are how long calls and messages take in a fleet.
const (
	storeDelay = 5 * time.Millisecond
	peerDelay  = time.Millisecond
)

// fleet runs coordinators in virtual time over a network and a store that can
// fail. The same seed gives the same run.
type fleet struct {
	t      testing.TB
	rng    *rand.Rand
	clock  *timekeeper.Manual
	events eventQueue
	serial int

	keeper *keeper.Keeper
	editor *configurer.Editor
	nodes  map[string]*node
	names  []string

	// cut reports whether messages between two routers are lost.
	cut func(a, b string) bool
	// storeCut reports whether a router does not reach the store.
	storeCut func(a string) bool
	// lateShare is the share of messages that arrive up to lateTime late.
	lateShare float64
	lateTime  time.Duration

	// held is the highest version that most routers had at the same time.
	held     uint64
	rejected int
	measure  bool
	messages int
	bytes    int
	calls    map[string]int
	handle   codec.MsgpackHandle
}

// node is one router; a restart replaces its coordinator.
type node struct {
	name    string
	index   int
	started time.Time
	c       *Coordinator
	up      bool
	// frozen ends a pause of the process.
	frozen time.Time

	policy  *messenger.Policy
	live    []messenger.RouterID
	known   int
	ready   bool
	reason  configurer.NotReady
	highest uint64
	// floor is the version that most routers had when this one started.
	floor uint64
}

type event struct {
	at     time.Time
	serial int
	do     func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].serial < q[j].serial
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

func newFleet(t testing.TB, n int, seed uint64) *fleet {
	clock := timekeeper.NewManual(start)
	k := keeper.New(clock)
	f := &fleet{
		t: t, rng: rand.New(rand.NewPCG(seed, 2)), clock: clock, keeper: k,
		nodes: make(map[string]*node), calls: make(map[string]int),
		cut: func(string, string) bool { return false }, storeCut: func(string) bool { return false },
	}
	f.handle.StructToArray = true
	tokens := 0
	f.editor = &configurer.Editor{Store: k, Clock: clock, Token: func() string { tokens++; return fmt.Sprint("t", tokens) }}
	f.set(upstreams(4))
	for i := range n {
		name := fmt.Sprintf("r%03d", i)
		f.names = append(f.names, name)
		f.nodes[name] = &node{name: name, index: i}
	}
	for _, name := range f.names {
		f.start(name)
	}
	return f
}

// upstreams returns a small configuration.
func upstreams(n int) *configurer.Document {
	window := 4
	d := &configurer.Document{
		Pools:     map[messenger.PoolID]configurer.PoolSettings{"p": {}},
		Upstreams: map[messenger.UpstreamID]configurer.UpstreamSettings{},
	}
	for i := range n {
		d.Upstreams[messenger.UpstreamID(fmt.Sprintf("w%d", i))] = configurer.UpstreamSettings{
			Pool: "p", Address: fmt.Sprintf("10.1.0.%d:8000", i+1), Window: &window,
		}
	}
	return d
}

func (f *fleet) set(d *configurer.Document) {
	f.t.Helper()
	if _, err := f.editor.Set(f.t.Context(), d, configurer.Note{Author: "ilze", Reason: "start"}); err != nil {
		f.t.Fatal(err)
	}
}

// change has an operator change a weight, straight in the table, and returns
// the version accepted.
func (f *fleet) change(weight float64) uint64 {
	f.t.Helper()
	u, err := f.editor.Except(f.t.Context(), 0, "x", configurer.Exception{
		Reason: "test", Author: "ilze", Account: &configurer.AccountSettings{Weight: &weight},
	})
	if err != nil {
		f.t.Fatal(err)
	}
	return u.Version
}

// start starts a router, or restarts it without its memory.
func (f *fleet) start(name string) {
	n := f.nodes[name]
	n.started, n.up, n.ready, n.policy, n.highest = f.clock.Now(), true, false, nil, 0
	n.live, n.known, n.frozen = nil, 0, time.Time{}
	n.floor = f.held
	n.c = New(Config{
		Self:  registrar.Member{Router: messenger.RouterID(name), Address: name, Incarnation: uint64(n.started.UnixMilli())},
		Seeds: f.names[:min(8, len(f.names))], Seed: f.rng.Uint64(),
	})
	f.after(time.Duration(f.rng.Int64N(int64(TickInterval))), func() { f.tick(n, n.c) })
}

func (f *fleet) stop(name string) { f.nodes[name].up = false }

func (f *fleet) tick(n *node, c *Coordinator) {
	if n.c != c || !n.up {
		return
	}
	if wait := n.frozen.Sub(f.clock.Now()); wait > 0 {
		f.after(wait, func() { f.tick(n, c) })
		return
	}
	f.feed(n, Tick{})
	f.after(TickInterval, func() { f.tick(n, c) })
}

func (f *fleet) after(d time.Duration, do func()) {
	f.serial++
	heap.Push(&f.events, event{at: f.clock.Now().Add(d), serial: f.serial, do: do})
}

// run lets time pass.
func (f *fleet) run(d time.Duration) { f.runUntil(d, func() bool { return false }) }

// runUntil lets time pass until done holds, d at most, and returns how long it
// took.
func (f *fleet) runUntil(d time.Duration, done func() bool) time.Duration {
	begin := f.clock.Now()
	for !done() {
		if len(f.events) == 0 || f.events[0].at.Sub(begin) > d {
			f.clock.Advance(d - f.clock.Now().Sub(begin))
			break
		}
		e := heap.Pop(&f.events).(event)
		f.clock.Advance(e.at.Sub(f.clock.Now()))
		e.do()
	}
	return f.clock.Now().Sub(begin)
}

// feed hands an event to a router and carries out what it wants.
func (f *fleet) feed(n *node, e Event) {
	if !n.up {
		return
	}
	c := n.c
	if wait := n.frozen.Sub(f.clock.Now()); wait > 0 {
		f.after(wait, func() {
			if n.c == c {
				f.feed(n, e)
			}
		})
		return
	}
	for _, a := range c.Handle(f.clock.Now(), e) {
		f.carryOut(n, a)
	}
	f.checkVersion(n)
}

// checkVersion holds the promise that a router never goes back, nor serves
// after a restart with less than most routers had before.
func (f *fleet) checkVersion(n *node) {
	v := n.c.Configurer().Version()
	if v < n.highest || n.policy != nil && n.policy.Version != v {
		f.t.Fatalf("%s went from version %d to %d, policy %d", n.name, n.highest, v, n.policy.Version)
	}
	if v > n.highest {
		n.highest = v
		f.noteHeld(v)
	}
	if ready, _ := n.c.Configurer().Ready(); ready && v < n.floor {
		f.t.Fatalf("%s is ready with version %d, though most had %d before it started", n.name, v, n.floor)
	}
}

// noteHeld notes that most routers have a version.
func (f *fleet) noteHeld(v uint64) {
	n := 0
	for _, o := range f.nodes {
		if o.up && o.highest >= v {
			n++
		}
	}
	if 2*n > len(f.names) {
		f.held = max(f.held, v)
	}
}

func (f *fleet) carryOut(n *node, a Action) {
	switch a := a.(type) {
	case Send:
		f.deliver(n, a)
	case ReadTable:
		f.call(n, "config-reads", func(s storer.Store) Event {
			u, err := configurer.Fetch(f.t.Context(), s, a.State)
			return TableRead{Update: u, Err: err}
		})
	case ReadRows:
		f.call(n, "member-reads", func(s storer.Store) Event {
			rows, err := s.Scan(f.t.Context(), registrar.Table, a.Since, 1000)
			return RowsRead{Rows: rows, Err: err}
		})
	case WriteRow:
		f.call(n, "member-writes", func(s storer.Store) Event {
			return RowWritten{Op: a.Op, Err: s.Commit(f.t.Context(), []storer.Op{a.Op})}
		})
	case ReadVMs:
		f.call(n, "list-reads", func(s storer.Store) Event {
			vms, err := s.VMs(f.t.Context())
			return VMsRead{VMs: vms, Err: err}
		})
	case ApplyConfiguration:
		n.policy = a.Policy
	case PeersChange:
		n.live, n.known = a.Live, a.KnownCount
	case UpdateRejected:
		f.rejected++
	case ReadyChange:
		n.ready, n.reason = a.Ready, a.Reason
	}
}

// call makes a call to the store; its effect comes after half the delay.
func (f *fleet) call(n *node, purpose string, do func(storer.Store) Event) {
	f.calls[purpose]++
	c := n.c
	f.after(storeDelay/2, func() {
		var s storer.Store = f.keeper
		if f.storeCut(n.name) {
			down := keeper.New(f.clock)
			down.SetFaults(keeper.Faults{Down: true})
			s = down
		}
		e := do(s)
		f.after(storeDelay/2, func() {
			if n.c == c {
				f.feed(n, e)
			}
		})
	})
}

func (f *fleet) deliver(n *node, a Send) {
	if f.measure {
		f.messages++
		f.bytes += f.size(a.Message)
	}
	delay := peerDelay + time.Duration(f.rng.Int64N(int64(peerDelay)))
	if f.lateShare > 0 && f.rng.Float64() < f.lateShare {
		delay += time.Duration(f.rng.Int64N(int64(f.lateTime)))
	}
	if f.cut(n.name, a.Address) {
		return
	}
	f.after(delay, func() {
		if to, ok := f.nodes[a.Address]; ok {
			f.feed(to, Receive{Message: a.Message})
		}
	})
}

func (f *fleet) size(m Message) int {
	var b bytes.Buffer
	if err := codec.NewEncoder(&b, &f.handle).Encode(m); err != nil {
		f.t.Fatal(err)
	}
	return b.Len()
}

// inForce reports whether all routers that are up have a version.
func (f *fleet) inForce(version uint64) func() bool {
	return func() bool {
		for _, n := range f.nodes {
			if n.up && (n.policy == nil || n.policy.Version < version) {
				return false
			}
		}
		return true
	}
}

func (f *fleet) allReady() bool {
	for _, n := range f.nodes {
		if n.up && !n.ready {
			return false
		}
	}
	return true
}

func (f *fleet) waitReady() {
	f.t.Helper()
	f.runUntil(time.Minute, f.allReady)
	if !f.allReady() {
		f.t.Fatal("not all routers became ready within a minute")
	}
}

// waitMembers waits until every router knows of all.
func (f *fleet) waitMembers() {
	f.t.Helper()
	done := func() bool {
		up := 0
		for _, n := range f.nodes {
			if n.up {
				up++
			}
		}
		for _, n := range f.nodes {
			if n.up && len(n.live) != up {
				return false
			}
		}
		return true
	}
	f.runUntil(3*time.Minute, done)
	if !done() {
		f.t.Fatal("the routers do not know of all of them after three minutes")
	}
}

func (f *fleet) storeDown(down bool) { f.keeper.SetFaults(keeper.Faults{Down: down}) }
