package scheduler

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lentilwood.example/lentilwood/internal/messenger"
)

// failer is what a test and a property have in common.
type testFailer interface {
	Helper()
	Fatalf(format string, args ...any)
}

// small is a fleet for tests.
var small = shape{"small", 4, 6, 8, 6}

// overWindow returns by how many requests an engine was used beyond its window.
func (f *fleet) maxOverWindow() int {
	over := 0
	for _, e := range f.engines {
		over = max(over, e.maxRunning-e.window)
	}
	return over
}

// drain returns how many jobs are left after a while, at once if there are none.
func (f *fleet) runUntilIdle(d time.Duration) int {
	left := 0
	for end := f.now + d; f.now < end; {
		f.run(f.now + time.Second)
		left = 0
		for _, n := range f.nodes {
			left += len(n.jobs)
		}
		if left == 0 {
			break
		}
	}
	return left
}

// checkState fails if sums that must agree differ.
func checkSums(t testFailer, f *fleet) {
	t.Helper()
	for _, n := range f.nodes {
		p := n.sched.pools["assistant"]
		for _, o := range p.ownedList {
			var held, granted slotCounts
			for _, h := range o.holders {
				held.slots += h.held.slots
				granted.slots += h.granted.slots
				if h.granted.slots > h.held.slots || h.granted.slots < 0 {
					t.Fatalf("%s: %s grants %d of %d held slots to %s", n.id, o.id, h.granted.slots, h.held.slots, h.router)
				}
			}
			if held.slots != o.held.slots || granted.slots != o.granted.slots {
				t.Fatalf("%s: sums of %s are off: got %+v and %+v, want %+v and %+v", n.id, o.id, o.held, o.granted, held, granted)
			}
		}
		waiting := 0
		for _, fl := range p.flowList {
			waiting += fl.waiting
		}
		if waiting != p.waitingForSlot {
			t.Fatalf("%s: got %d waiting, want %d", n.id, p.waitingForSlot, waiting)
		}
	}
}

func TestFleetModeReducesServiceGapTenfold(t *testing.T) {
	gaps := make(map[Mode]float64)
	for _, m := range modes {
		f := newFleet(riga.routers, policyOf(riga), Config{Seed: 1, Mode: m.mode})
		f.addSkewedLoad(riga, 0.01)
		f.run(10 * time.Second)
		g := f.startGauge()
		g.sampleUntil(riga, 50*time.Second)
		gaps[m.mode] = g.maxGap
		if got := f.maxOverWindow(); got > 0 {
			t.Errorf("%s: got %d requests beyond a window, want none", m.name, got)
		}
	}
	if gaps[Fleet]*10 > gaps[Standalone] {
		t.Errorf("got gap %.0f, want a tenth of %.0f", gaps[Fleet], gaps[Standalone])
	}
}

func TestDuplicatedDelayedReorderedMessagesKeepWindows(t *testing.T) {
	f := newFleet(small.routers, policyOf(small), Config{Seed: 2})
	f.messageFault = func() (int, time.Duration) { return 1 + f.rand.IntN(3), f.jitter(300 * time.Millisecond) }
	ended := 0
	f.addBursts(60, &ended)
	for f.now < 40*time.Second {
		f.run(f.now + 100*time.Millisecond)
		checkWindows(t, f)
	}
	checkSums(t, f)
	if got := f.maxOverWindow(); got > 0 {
		t.Errorf("got %d requests beyond a window, want none", got)
	}
}

// pulses lets bursts of jobs arrive at one router after the other, so that
// slots have to follow.
func (f *fleet) addBursts(n int, ended *int) {
	for i := range n {
		at := f.nodes[f.rand.IntN(2)]
		f.schedule(time.Duration(i)*400*time.Millisecond, func() {
			for k := range 30 {
				j := &job{router: at, account: accountName(k % small.accounts), class: "chat", pool: "assistant"}
				j.cost, j.hint = f.drawCost(0)
				j.onEnd = func(*job, *messenger.Refuse) { *ended++ }
				f.submit(j)
			}
		})
	}
}

// checkWindows fails if routers may use more of an upstream than its window.
func checkWindows(t testFailer, f *fleet) {
	t.Helper()
	allowed := make(map[messenger.UpstreamID]int)
	for _, n := range f.nodes {
		for _, l := range n.sched.pools["assistant"].leases {
			allowed[l.upstream] += l.allowed.slots
		}
	}
	for id, got := range allowed {
		if want := f.engines[id].window; got > want {
			t.Fatalf("at %v routers may use %d slots of %s, want at most %d", f.now, got, id, want)
		}
	}
}

func TestSlotUseRecoversAfterMessageLoss(t *testing.T) {
	f := newFleet(small.routers, policyOf(small), Config{Seed: 2})
	f.messageFault = func() (int, time.Duration) { return min(1, f.rand.IntN(5)), 0 }
	f.addSkewedLoad(small, 0)
	f.run(20 * time.Second)
	f.messageFault = nil
	f.run(35 * time.Second)
	f.measuring = true
	f.run(45 * time.Second)
	if got := float64(f.busySlotTime) / float64(f.totalSlotTime); got < 0.97 {
		t.Errorf("got %.3f of the slots in use after losses, want 0.97", got)
	}
}

func TestRestartedRouterLeavesNoAccountUnserved(t *testing.T) {
	f := newFleet(small.routers, policyOf(small), Config{Seed: 3})
	f.addSkewedLoad(small, 0)
	f.run(10 * time.Second)
	lost := f.nodes[1].jobs
	f.restart(f.nodes[1])
	for _, j := range lost {
		if j.copies == 0 {
			f.waiting--
		}
		f.schedule(time.Second, func() { j.onEnd(j, nil) })
	}
	f.run(20 * time.Second)
	g := f.startGauge()
	f.run(40 * time.Second)
	checkSums(t, f)
	for i := range small.accounts {
		if got := f.servedTokens[accountName(i)] - g.baseline[accountName(i)]; got < 1000 {
			t.Errorf("%s got %.0f tokens in 20 s after a restart", accountName(i), got)
		}
	}
}

func TestDeadOwnerIsReplaced(t *testing.T) {
	f := newFleet(small.routers, policyOf(small), Config{Seed: 3})
	f.addSkewedLoad(small, 0)
	f.run(10 * time.Second)
	dead := f.nodes[small.routers-1]
	dead.sched = nil
	f.disconnected = func(a, b int) bool { return a == dead.index || b == dead.index }
	alive := f.names[:small.routers-1]
	f.schedule(5*time.Second, func() {
		for _, n := range f.nodes[:small.routers-1] {
			f.handle(n, messenger.PeersChange{Routers: alive})
		}
	})
	f.run(25 * time.Second)
	slots := 0
	for _, n := range f.nodes[:small.routers-1] {
		for _, l := range n.sched.pools["assistant"].leases {
			slots += l.allowed.slots
		}
	}
	if slots != f.slots {
		t.Errorf("got %d slots in use by the rest, want all %d", slots, f.slots)
	}
}

func TestFloodDoesNotReduceServiceOfOthers(t *testing.T) {
	policy := policyOf(small)
	policy.Accounts[accountName(1)] = messenger.AccountPolicy{QueueLength: 40}
	served := make(map[bool]float64)
	for _, flood := range []bool{false, true} {
		f := newFleet(small.routers, policy, Config{Seed: 4})
		for i := 2; i < small.accounts; i++ {
			f.keepBacklog(accountName(i), []int{i % small.routers}, 40, 0)
		}
		f.keepBacklog(accountName(1), []int{0, 1, 2, 3}, map[bool]int{false: 60, true: 600}[flood], 0)
		f.run(10 * time.Second)
		g := f.startGauge()
		f.run(40 * time.Second)
		served[flood] = f.servedTokens[accountName(2)] - g.baseline[accountName(2)]
	}
	if served[true] < 0.9*served[false] {
		t.Errorf("got %.0f tokens during a flood, want close to %.0f", served[true], served[false])
	}
}

func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(small.routers, policyOf(small), Config{Seed: rapid.Uint64().Draw(t, "seed")})
		faults := rapid.SliceOfN(rapid.IntRange(0, 4), 1, 6).Draw(t, "faults")
		ended := 0
		f.addBursts(12, &ended)
		virtualTimes := make(map[*Scheduler]float64)
		for _, fault := range faults {
			f.injectFault(fault)
			f.run(f.now + time.Second)
			checkSums(t, f)
			for _, n := range f.nodes {
				v := n.sched.pools["assistant"].virtualTime
				if v < virtualTimes[n.sched] {
					t.Fatalf("virtual time of %s went back from %.0f to %.0f", n.id, virtualTimes[n.sched], v)
				}
				virtualTimes[n.sched] = v
			}
		}
		f.disconnected, f.messageFault = nil, nil
		if left := f.runUntilIdle(25 * time.Second); left > 0 || ended != 12*30 {
			t.Fatalf("got %d jobs left and %d ended, want 0 and 360", left, ended)
		}
		checkCharges(t, f)
		for _, e := range f.engines {
			if e.maxRunning > 2*e.window {
				t.Fatalf("%s ran %d, want at most twice its window of %d", e.id, e.maxRunning, e.window)
			}
		}
	})
}

// inject brings one kind of fault about.
func (f *fleet) injectFault(fault int) {
	switch fault {
	case 0:
		f.disconnected, f.messageFault = nil, nil
	case 1:
		f.disconnected = func(a, b int) bool { return (a < 2) != (b < 2) }
	case 2:
		f.messageFault = func() (int, time.Duration) { return f.rand.IntN(3), f.jitter(time.Second) }
	case 3:
		f.restart(f.nodes[2+f.rand.IntN(2)]) // carries no jobs in this test
	case 4:
		at := f.rand.IntN(small.routers)
		f.disconnected = func(a, b int) bool { return a == at || b == at }
	}
}

// checkConserved fails if an account was not charged what it used.
func checkCharges(t testFailer, f *fleet) {
	t.Helper()
	charged := make(map[messenger.AccountID]float64)
	for _, n := range f.nodes {
		for _, fl := range n.sched.pools["assistant"].flowList {
			charged[fl.account] += fl.servedTokens
		}
	}
	for id, got := range charged {
		if want := f.servedTokens[id]; fmt.Sprintf("%.3f", got) != fmt.Sprintf("%.3f", want) {
			t.Fatalf("%s was charged %.3f, want %.3f", id, got, want)
		}
	}
}

func TestRoutersExchangeMessagesWithFewPeers(t *testing.T) {
	s := shape{"wide", 40, 80, 8, 40}
	f := newFleet(s.routers, policyOf(s), Config{Seed: 1})
	f.addSkewedLoad(s, 0)
	f.run(5 * time.Second)
	for _, n := range f.nodes {
		p := n.sched.pools["assistant"]
		if got := len(p.users); got > s.routers*3/4 {
			t.Errorf("%s serves %d of %d routers, want only the users of its cells", n.id, got, s.routers)
		}
		if got := len(p.owners); got < minCellsPerRouter || got > s.routers/2 {
			t.Errorf("%s uses the cells of %d owners, want %d to %d", n.id, got, minCellsPerRouter, s.routers/2)
		}
	}
}
