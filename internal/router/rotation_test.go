package router

import (
	"runtime/debug"
	"testing"
	"time"

	"lentilwood.example/lentilwood/internal/follower"
	"lentilwood.example/lentilwood/internal/messenger"
)

// The simulation in this file has a load balancer direct all callers of one account to the
// first of several small VMs that is in the rotation. The balancer probes the readiness of
// each VM once per second and takes it out of the rotation after two failed probes; open
// connections are not moved.

const (
	simProbeInterval   = time.Second
	simMaxFailedProbes = 2
)

// balancedVMs simulates the VMs behind the load balancer.
type balancedVMs struct {
	vms          []*smallVM
	failedProbes []int
	// mayLeave is true if VMs may leave the rotation.
	mayLeave bool
}

func newBalancedVMs(n int, mayLeave bool) *balancedVMs {
	b := &balancedVMs{failedProbes: make([]int, n), mayLeave: mayLeave}
	for range n {
		b.vms = append(b.vms, newSmallVM())
	}
	return b
}

// request simulates a request of a client: on an idle connection, or on a new one to the first
// VM in the rotation.
func (b *balancedVMs) request(client int) {
	for _, v := range b.vms {
		if len(v.idleSince[client]) > 0 {
			v.handleRequest(client, false)
			return
		}
	}
	for i, v := range b.vms {
		if b.failedProbes[i] < simMaxFailedProbes {
			v.handleRequest(client, false)
			return
		}
	}
	b.vms[0].handleRequest(client, false)
}

// run simulates the given time with rate requests per second and returns how many were
// completed.
func (b *balancedVMs) run(d time.Duration, rate float64) int {
	before := b.finished()
	first := b.vms[0]
	for end := first.now + d; first.now < end; {
		first.poisson(rate, func() { b.request(first.rng.IntN(simClients)) })
		for i, v := range b.vms {
			if v.now%simProbeInterval == 0 {
				b.failedProbes[i]++
				if !v.overload.full {
					b.failedProbes[i] = 0
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
// directs it to, while other VMs are idle. More requests of the account must be completed than
// one VM can serve.
func TestFloodSpreadsOverTheVMsOfItsFailureDomain(t *testing.T) {
	const vms, floodTime = 4, 10 * time.Second
	completed := func(mayLeave bool) int {
		b := newBalancedVMs(vms, mayLeave)
		b.run(5*time.Second, 250)
		b.run(5*time.Second, simFloodRate)
		return b.run(floodTime, simFloodRate)
	}
	one, spread := completed(false), completed(true)
	t.Logf("completed in %v: %d by one VM, %d by %d VMs that leave the rotation when full", floodTime, one, spread, vms)
	if spread < 2*one {
		t.Errorf("%d requests of a flood completed, %d by one VM alone: want at least twice as many with %d VMs", spread, one, vms)
	}
}

// TestFullRouterKeepsItsConnections has a full router leave the rotation, and return once it
// has spare CPU time.
func TestFullRouterKeepsItsConnections(t *testing.T) {
	w := &fixedWait{}
	h, clock, _ := refusingRouter(t, w)
	h.snapshot.Store(&follower.Snapshot{})
	h.peerCount.Store(2 * outOfRotationDivisor)
	advance := func(d time.Duration) {
		for range d / messenger.TickInterval {
			clock.Advance(messenger.TickInterval)
			h.updateOverload(tickTiming{interval: messenger.TickInterval})
		}
	}
	advance(time.Second)
	if ready, reason := h.Ready(); !ready {
		t.Fatalf("a router with spare CPU time is not ready: %s", reason)
	}
	w.d = 20 * time.Millisecond
	advance(2 * time.Second)
	if ready, _ := h.Ready(); ready {
		t.Error("a router that rejects most new connections is in the rotation")
	}
	if h.overloaded {
		t.Error("a full router closes the connections of its callers")
	}
	w.d = 0
	advance(minFullTime + time.Second)
	if ready, reason := h.Ready(); !ready {
		t.Errorf("a router that has spare CPU time again is not ready: %s", reason)
	}
}

// TestFewRoutersLeaveTheRotation has so many other routers be out of the rotation that no
// further one may leave it.
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
		t.Errorf("a router left the rotation after two of sixteen others: %s", reason)
	}
}

// TestSaturatedRouterRaisesGCPercent has the CPU of a router be saturated for some time.
func TestSaturatedRouterRaisesGCPercent(t *testing.T) {
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
			t.Errorf("got a GC percentage of %d at waits of %v, want %d", got, step.wait, step.want)
		}
	}
}
