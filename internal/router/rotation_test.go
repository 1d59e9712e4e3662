package router

import (
	"runtime/debug"
	"testing"
	"time"

	"lentilwood.example/lentilwood/internal/follower"
	"lentilwood.example/lentilwood/internal/messenger"
)

// What follows has a balancer lead all callers of one account to the first of several small
// VMs that is in the rotation. It asks each VM once a second whether it is ready, and takes
// it out after two answers that it is not; open connections stay where they are.

const (
	simReadyEvery = time.Second
	simMisses     = 2
)

// balancedVMs are the VMs behind the balancer.
type balancedVMs struct {
	vms    []*smallVM
	misses []int
	// mayLeave is true if VMs may leave the rotation.
	mayLeave bool
}

func newBalancedVMs(n int, mayLeave bool) *balancedVMs {
	b := &balancedVMs{misses: make([]int, n), mayLeave: mayLeave}
	for range n {
		b.vms = append(b.vms, newSmallVM())
	}
	return b
}

// request lets a request of a client come: on an open connection, or on a new one to the
// first VM that is in the rotation.
func (b *balancedVMs) request(client int) {
	for _, v := range b.vms {
		if len(v.idle[client]) > 0 {
			v.request(client, false)
			return
		}
	}
	for i, v := range b.vms {
		if b.misses[i] < simMisses {
			v.request(client, false)
			return
		}
	}
	b.vms[0].request(client, false)
}

// run plays a time with so many requests a second, and returns how many were answered.
func (b *balancedVMs) run(d time.Duration, rate float64) int {
	before := b.finished()
	first := b.vms[0]
	for end := first.now + d; first.now < end; {
		first.poisson(rate, func() { b.request(first.rng.IntN(simClients)) })
		for i, v := range b.vms {
			if v.now%simReadyEvery == 0 {
				b.misses[i]++
				if !v.strain.full {
					b.misses[i] = 0
				}
			}
			v.step(b.mayLeave)
		}
	}
	return b.finished() - before
}

func (b *balancedVMs) finished() int {
	n := 0
	for _, v := range b.vms {
		n += v.finished
	}
	return n
}

// TestFloodSpreadsOverTheVMsOfItsFailureDomain has an account flood the VM that the balancer
// leads it to while others stand idle beside it: it gets more than one VM can do.
func TestFloodSpreadsOverTheVMsOfItsFailureDomain(t *testing.T) {
	const vms, flood = 4, 10 * time.Second
	answered := func(mayLeave bool) int {
		b := newBalancedVMs(vms, mayLeave)
		b.run(5*time.Second, 250)
		b.run(5*time.Second, simFlood)
		return b.run(flood, simFlood)
	}
	one, spread := answered(false), answered(true)
	t.Logf("answered in %v: %d by one VM, %d by %d that leave the rotation once they are full", flood, one, spread, vms)
	if spread < 2*one {
		t.Errorf("%d requests of a flood answered, %d by one VM alone: want at least twice as many of %d VMs", spread, one, vms)
	}
}

// TestFullRouterKeepsItsConnections has a router that is full leave the rotation, and come
// back once it has processor time left.
func TestFullRouterKeepsItsConnections(t *testing.T) {
	w := &fixedWait{}
	h, clock, _ := refusingRouter(t, w)
	h.snapshot.Store(&follower.Snapshot{})
	h.peerCount.Store(2 * outOfRotationDivisor)
	pass := func(d time.Duration) {
		for range d / messenger.TickInterval {
			clock.Advance(messenger.TickInterval)
			h.updateOverload(tickTiming{interval: messenger.TickInterval})
		}
	}
	pass(time.Second)
	if ready, reason := h.Ready(); !ready {
		t.Fatalf("a router with time to spare is not ready: %s", reason)
	}
	w.d = 20 * time.Millisecond
	pass(2 * time.Second)
	if ready, _ := h.Ready(); ready {
		t.Error("a router that turns away most new connections is in the rotation")
	}
	if h.overloaded {
		t.Error("a router that is full closes the connections of its callers")
	}
	w.d = 0
	pass(minFullTime + time.Second)
	if ready, reason := h.Ready(); !ready {
		t.Errorf("a router that has time again is not ready: %s", reason)
	}
}

// TestFewRoutersLeaveTheRotation has so many others be full that none may leave any more.
func TestFewRoutersLeaveTheRotation(t *testing.T) {
	w := &fixedWait{d: 20 * time.Millisecond}
	h, clock, _ := refusingRouter(t, w)
	h.snapshot.Store(&follower.Snapshot{})
	h.peerCount.Store(2 * outOfRotationDivisor)
	h.peersOutOfRotation = 2
	for range 300 {
		clock.Advance(messenger.TickInterval)
		h.updateOverload(tickTiming{interval: messenger.TickInterval})
	}
	if ready, reason := h.Ready(); !ready {
		t.Errorf("a router left the rotation, for which two of sixteen others have: %s", reason)
	}
}

// TestStarvedRouterLetsGarbageLie has a router be short of processor time for a while.
func TestStarvedRouterLetsGarbageLie(t *testing.T) {
	w := &fixedWait{}
	h, clock, _ := refusingRouter(t, w)
	t.Cleanup(func() { setGCPercent(false) })
	for _, step := range []struct {
		wait time.Duration
		want int
	}{{20 * time.Millisecond, saturatedGCPercent}, {0, defaultGCPercent}} {
		w.d = step.wait
		for range 500 {
			clock.Advance(messenger.TickInterval)
			h.updateOverload(tickTiming{interval: messenger.TickInterval})
		}
		got := debug.SetGCPercent(defaultGCPercent)
		debug.SetGCPercent(got)
		if got != step.want {
			t.Errorf("got %d percent of garbage let lie at waits of %v, want %d", got, step.wait, step.want)
		}
	}
}
