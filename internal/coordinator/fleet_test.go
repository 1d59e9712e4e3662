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

// storeDelay is the duration of a store call, and peerDelay the minimum delivery time of
// a message; the maximum is twice peerDelay.
const (
	storeDelay = 5 * time.Millisecond
	peerDelay  = time.Millisecond
)

// fleet simulates coordinators in virtual time, with a network and a store that can
// fail. Runs with the same seed are identical.
type fleet struct {
	t            testing.TB
	rng          *rand.Rand
	clock        *timekeeper.Manual
	events       eventQueue
	lastSequence int

	keeper *keeper.Keeper
	editor *configurer.Editor
	nodes  map[string]*node
	names  []string

	// linkDown reports whether messages between two routers are lost.
	linkDown func(a, b string) bool
	// storeUnreachable reports whether a router cannot reach the store.
	storeUnreachable func(a string) bool
	// delayedShare is the share of messages (0 to 1) that are delayed by up to maxExtraDelay.
	delayedShare  float64
	maxExtraDelay time.Duration

	// majorityVersion is the highest version that most routers have had at the same time.
	majorityVersion uint64
	rejectedUpdates int
	measureTraffic  bool
	sentMessages    int
	sentBytes       int
	storeCalls      map[string]int
	codecHandle     codec.MsgpackHandle
}

// node is one router. A restart replaces its coordinator.
type node struct {
	name      string
	index     int
	startTime time.Time
	c         *Coordinator
	up        bool
	// frozenUntil is the end of the period in which the process is suspended.
	frozenUntil time.Time

	policy         *messenger.Policy
	liveRouters    []messenger.RouterID
	knownRouters   int
	ready          bool
	reason         configurer.NotReadyReason
	highestVersion uint64
	// minReadyVersion is fleet.majorityVersion at the start of this router, which must not
	// become ready with an older version.
	minReadyVersion uint64
}

type event struct {
	at       time.Time
	sequence int
	do       func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].sequence < q[j].sequence
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
		nodes: make(map[string]*node), storeCalls: make(map[string]int),
		linkDown: func(string, string) bool { return false }, storeUnreachable: func(string) bool { return false },
	}
	f.codecHandle.StructToArray = true
	tokens := 0
	f.editor = &configurer.Editor{Store: k, Clock: clock, Token: func() string { tokens++; return fmt.Sprint("t", tokens) }}
	f.setConfiguration(upstreams(4))
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

// upstreams returns a configuration with one pool of n upstreams.
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

func (f *fleet) setConfiguration(d *configurer.Document) {
	f.t.Helper()
	if _, err := f.editor.Set(f.t.Context(), d, configurer.Note{Author: "ilze", Reason: "start"}); err != nil {
		f.t.Fatal(err)
	}
}

// changeWeight writes an exception with an account weight to the configuration table, as
// an operator does, and returns its version.
func (f *fleet) changeWeight(weight float64) uint64 {
	f.t.Helper()
	u, err := f.editor.PutException(f.t.Context(), 0, "x", configurer.Exception{
		Reason: "test", Author: "ilze", Account: &configurer.AccountSettings{Weight: &weight},
	})
	if err != nil {
		f.t.Fatal(err)
	}
	return u.Version
}

// start starts or restarts a router; it loses all state.
func (f *fleet) start(name string) {
	n := f.nodes[name]
	n.startTime, n.up, n.ready, n.policy, n.highestVersion = f.clock.Now(), true, false, nil, 0
	n.liveRouters, n.knownRouters, n.frozenUntil = nil, 0, time.Time{}
	n.minReadyVersion = f.majorityVersion
	n.c = New(Config{
		Self:  registrar.Member{Router: messenger.RouterID(name), Address: name, Incarnation: uint64(n.startTime.UnixMilli())},
		Seeds: f.names[:min(8, len(f.names))], Seed: f.rng.Uint64(),
	})
	f.schedule(time.Duration(f.rng.Int64N(int64(TickInterval))), func() { f.tick(n, n.c) })
}

func (f *fleet) stop(name string) { f.nodes[name].up = false }

func (f *fleet) tick(n *node, c *Coordinator) {
	if n.c != c || !n.up {
		return
	}
	if wait := n.frozenUntil.Sub(f.clock.Now()); wait > 0 {
		f.schedule(wait, func() { f.tick(n, c) })
		return
	}
	f.handleEvent(n, Tick{})
	f.schedule(TickInterval, func() { f.tick(n, c) })
}

func (f *fleet) schedule(d time.Duration, do func()) {
	f.lastSequence++
	heap.Push(&f.events, event{at: f.clock.Now().Add(d), sequence: f.lastSequence, do: do})
}

// run simulates a period of length d.
func (f *fleet) run(d time.Duration) { f.runUntil(d, func() bool { return false }) }

// runUntil simulates until done returns true, but no longer than d, and returns the
// simulated time.
func (f *fleet) runUntil(d time.Duration, done func() bool) time.Duration {
	startTime := f.clock.Now()
	for !done() {
		if len(f.events) == 0 || f.events[0].at.Sub(startTime) > d {
			f.clock.Advance(d - f.clock.Now().Sub(startTime))
			break
		}
		e := heap.Pop(&f.events).(event)
		f.clock.Advance(e.at.Sub(f.clock.Now()))
		e.do()
	}
	return f.clock.Now().Sub(startTime)
}

// handleEvent passes an event to a router and executes the actions that it returns. If
// the router is frozen, the event is handled when that ends.
func (f *fleet) handleEvent(n *node, e Event) {
	if !n.up {
		return
	}
	c := n.c
	if wait := n.frozenUntil.Sub(f.clock.Now()); wait > 0 {
		f.schedule(wait, func() {
			if n.c == c {
				f.handleEvent(n, e)
			}
		})
		return
	}
	for _, a := range c.Handle(f.clock.Now(), e) {
		f.execute(n, a)
	}
	f.checkVersion(n)
}

// checkVersion fails the test if a router goes back to an older version, or is ready after
// a restart with an older version than most routers had before it.
func (f *fleet) checkVersion(n *node) {
	v := n.c.Configurer().Version()
	if v < n.highestVersion || n.policy != nil && n.policy.Version != v {
		f.t.Fatalf("%s: version changed from %d to %d with policy version %d", n.name, n.highestVersion, v, n.policy.Version)
	}
	if v > n.highestVersion {
		n.highestVersion = v
		f.updateMajorityVersion(v)
	}
	if ready, _ := n.c.Configurer().Ready(); ready && v < n.minReadyVersion {
		f.t.Fatalf("%s is ready with version %d, but most routers had version %d before it started", n.name, v, n.minReadyVersion)
	}
}

// updateMajorityVersion raises majorityVersion to v if most routers have at least v.
func (f *fleet) updateMajorityVersion(v uint64) {
	n := 0
	for _, o := range f.nodes {
		if o.up && o.highestVersion >= v {
			n++
		}
	}
	if 2*n > len(f.names) {
		f.majorityVersion = max(f.majorityVersion, v)
	}
}

func (f *fleet) execute(n *node, a Action) {
	switch a := a.(type) {
	case Send:
		f.send(n, a)
	case ReadTable:
		f.callStore(n, "config-reads", func(s storer.Store) Event {
			u, err := configurer.Fetch(f.t.Context(), s, a.State)
			return TableRead{Update: u, Err: err}
		})
	case ReadRows:
		f.callStore(n, "member-reads", func(s storer.Store) Event {
			rows, err := s.Scan(f.t.Context(), registrar.Table, a.Since, 1000)
			return RowsRead{Rows: rows, Err: err}
		})
	case WriteRow:
		f.callStore(n, "member-writes", func(s storer.Store) Event {
			return RowWritten{Op: a.Op, Err: s.Commit(f.t.Context(), []storer.Op{a.Op})}
		})
	case ReadVMs:
		f.callStore(n, "list-reads", func(s storer.Store) Event {
			vms, err := s.VMs(f.t.Context())
			return VMsRead{VMs: vms, Err: err}
		})
	case ApplyConfiguration:
		n.policy = a.Policy
	case PeersChange:
		n.liveRouters, n.knownRouters = a.Live, a.KnownCount
	case UpdateRejected:
		f.rejectedUpdates++
	case ReadyChange:
		n.ready, n.reason = a.Ready, a.Reason
	}
}

// callStore makes a call to the store: it takes effect after half of storeDelay, and the
// result arrives after the other half.
func (f *fleet) callStore(n *node, purpose string, do func(storer.Store) Event) {
	f.storeCalls[purpose]++
	c := n.c
	f.schedule(storeDelay/2, func() {
		var s storer.Store = f.keeper
		if f.storeUnreachable(n.name) {
			down := keeper.New(f.clock)
			down.SetFaults(keeper.Faults{Down: true})
			s = down
		}
		e := do(s)
		f.schedule(storeDelay/2, func() {
			if n.c == c {
				f.handleEvent(n, e)
			}
		})
	})
}

func (f *fleet) send(n *node, a Send) {
	if f.measureTraffic {
		f.sentMessages++
		f.sentBytes += f.encodedSize(a.Message)
	}
	delay := peerDelay + time.Duration(f.rng.Int64N(int64(peerDelay)))
	if f.delayedShare > 0 && f.rng.Float64() < f.delayedShare {
		delay += time.Duration(f.rng.Int64N(int64(f.maxExtraDelay)))
	}
	if f.linkDown(n.name, a.Address) {
		return
	}
	f.schedule(delay, func() {
		if to, ok := f.nodes[a.Address]; ok {
			f.handleEvent(to, Receive{Message: a.Message})
		}
	})
}

func (f *fleet) encodedSize(m Message) int {
	var b bytes.Buffer
	if err := codec.NewEncoder(&b, &f.codecHandle).Encode(m); err != nil {
		f.t.Fatal(err)
	}
	return b.Len()
}

// allUse returns a condition that holds when all running routers use the version or a
// later one.
func (f *fleet) allUse(version uint64) func() bool {
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

// waitAllLive waits until each running router counts all running routers as live.
func (f *fleet) waitAllLive() {
	f.t.Helper()
	done := func() bool {
		up := 0
		for _, n := range f.nodes {
			if n.up {
				up++
			}
		}
		for _, n := range f.nodes {
			if n.up && len(n.liveRouters) != up {
				return false
			}
		}
		return true
	}
	f.runUntil(3*time.Minute, done)
	if !done() {
		f.t.Fatal("not all routers count each other as live after three minutes")
	}
}

func (f *fleet) setStoreDown(down bool) { f.keeper.SetFaults(keeper.Faults{Down: down}) }
