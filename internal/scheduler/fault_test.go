package scheduler

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lentilwood.example/lentilwood/internal/messenger"
)

// testFailer is the part of testing.T and rapid.T that the checks use.
type testFailer interface {
	Helper()
	Fatalf(format string, args ...any)
}

// small is the shape of the fleet in most tests.
var small = shape{"small", 4, 6, 8, 6}

// maxOverWindow returns the most requests beyond its window that any engine ever ran.
func (f *fleet) maxOverWindow() int {
	over := 0
	for _, e := range f.engines {
		over = max(over, e.maxRunning-e.window)
	}
	return over
}

// runUntilIdle runs the fleet until no jobs are left, at most for d, and returns how many are.
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

// checkSums fails if counters of the schedulers differ from the sums that they stand for.
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
				t.Fatalf("%s: sums of %s: got held %+v and granted %+v, want %+v and %+v", n.id, o.id, o.held, o.granted, held, granted)
			}
		}
		waiting := 0
		for _, fl := range p.flowList {
			waiting += fl.waiting
		}
		if waiting != p.waitingForSlot {
			t.Fatalf("%s: got %d requests waiting for a slot, want %d", n.id, p.waitingForSlot, waiting)
		}
	}
}

// TestFleetModeReducesServiceGapTenfold compares the largest difference of normalised service
// between accounts in the two modes, under skewed load.
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
			t.Errorf("%s: got an engine with %d requests beyond its window, want none", m.name, got)
		}
	}
	if gaps[Fleet]*10 > gaps[Standalone] {
		t.Errorf("got a gap of %.0f tokens in mode Fleet, want at most a tenth of the %.0f in mode Standalone", gaps[Fleet], gaps[Standalone])
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
		t.Errorf("got an engine with %d requests beyond its window, want none", got)
	}
}

// addBursts submits n bursts of 30 jobs, each to one of the first two routers at random, so
// that slots have to move between these routers.
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

// checkWindows fails if the routers together may use more slots of an upstream than its
// window.
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

// TestSlotUseRecoversAfterMessageLoss loses a fifth of the messages for a while.
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
		t.Errorf("got %.3f of the slots in use after message loss, want at least 0.97", got)
	}
}

// TestRestartedRouterLeavesNoAccountUnserved restarts a router, which loses its counters of
// service and its jobs. The callers of the lost jobs send other jobs a second later.
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
			t.Errorf("%s got %.0f tokens in the 20 s after a restart, want at least 1000", accountName(i), got)
		}
	}
}

// TestDeadOwnerIsReplaced stops a router that owns upstreams. Once the others are notified
// that it is dead, they must together hold leases of all slots.
func TestDeadOwnerIsReplaced(t *testing.T) {
	f := newFleet(small.routers, policyOf(small), Config{Seed: 3})
	f.addSkewedLoad(small, 0)
	f.run(10 * time.Second)
	dead := f.nodes[small.routers-1]
	dead.sched = nil
	f.disconnected = func(a, b int) bool { return a == dead.index || b == dead.index }
	live := f.names[:small.routers-1]
	f.schedule(5*time.Second, func() {
		for _, n := range f.nodes[:small.routers-1] {
			f.handle(n, messenger.PeersChange{Routers: live})
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
		t.Errorf("got %d slots leased to the live routers, want all %d", slots, f.slots)
	}
}

// TestFloodDoesNotReduceServiceOfOthers compares the service of an account in two runs:
// another account keeps 60 requests open in the first one and 600 in the second.
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
		t.Errorf("got %.0f tokens for another account during the flood, want at least 90%% of %.0f", served[true], served[false])
	}
}

// TestRandomFaults injects faults in random order. Jobs must all end, virtual time must not
// decrease, and accounts must be charged the tokens that they used.
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

// injectFault injects a fault: 0 ends all faults of the network, 1 splits the fleet, 2 loses,
// duplicates and delays messages, 3 restarts a router, 4 disconnects a router.
func (f *fleet) injectFault(fault int) {
	switch fault {
	case 0:
		f.disconnected, f.messageFault = nil, nil
	case 1:
		f.disconnected = func(a, b int) bool { return (a < 2) != (b < 2) }
	case 2:
		f.messageFault = func() (int, time.Duration) { return f.rand.IntN(3), f.jitter(time.Second) }
	case 3:
		f.restart(f.nodes[2+f.rand.IntN(2)]) // has no jobs: addBursts uses nodes 0 and 1
	case 4:
		at := f.rand.IntN(small.routers)
		f.disconnected = func(a, b int) bool { return a == at || b == at }
	}
}

// checkCharges fails if the charges to an account differ from the output of its jobs.
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
			t.Errorf("%s has %d of %d routers as users of its cells, want at most three quarters", n.id, got, s.routers)
		}
		if got := len(p.owners); got < minCellsPerRouter || got > s.routers/2 {
			t.Errorf("%s uses the cells of %d owners, want %d to %d", n.id, got, minCellsPerRouter, s.routers/2)
		}
	}
}
