package router

import (
	"math/rand/v2"
	"slices"
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
)

// The simulation in this file models a small VM and the callers of an account that floods it.
// The callers reuse open connections before they open new ones, and retry a rejected
// connection once after a while.

const (
	// simCPUShare is the share of one CPU core that the VM has.
	simCPUShare = 0.192
	// simFloodRate is the number of requests per second in a flood.
	simFloodRate = 1500
	// simRequestCost is the CPU time of a request, used in equal steps while it is served;
	// simRejectCost is that of a connection that is rejected unread.
	simRequestCost     = 600 * time.Microsecond
	simStepsPerRequest = 11
	simServeTime       = 600 * time.Millisecond
	simRejectCost      = 20 * time.Microsecond
	simFirstTurn       = time.Second
	// simIdleTimeout is how long callers keep an idle connection.
	simIdleTimeout = 4 * time.Second
	simStep        = time.Millisecond
	// simClients is the number of clients, each with its own connections.
	simClients = 100
	// simTickLagDivisor is how many times longer goroutines wait than ticks, which are
	// scheduled ahead of them.
	simTickLagDivisor = 6
)

// cpuBurst is a piece of work that needs CPU time.
type cpuBurst struct {
	at   time.Duration
	cost time.Duration
	done func()
}

// smallVM simulates a VM and its callers.
type smallVM struct {
	rng      *rand.Rand
	overload overload
	now      time.Duration
	ready    []cpuBurst
	// scheduled holds the bursts that become ready at a time, in steps of a millisecond.
	scheduled map[time.Duration][]cpuBurst
	// cpuBudget is the CPU time left over from the last millisecond.
	cpuBudget time.Duration
	// waits are the waiting times of bursts since the last call of recentWait, allWaits those
	// since a test last cleared them.
	waits, allWaits []time.Duration
	// idleSince holds, for each client, since when each of its open connections has been idle.
	idleSince [simClients][]time.Duration
	open      int
	opened    uint64
	finished  int
	// rejected and totalRejected count rejected connections.
	rejected, totalRejected int
}

func newSmallVM() *smallVM {
	v := &smallVM{rng: rand.New(rand.NewPCG(1, 2)), scheduled: make(map[time.Duration][]cpuBurst)}
	v.overload.runQueue = v
	return v
}

// Conns returns the number of open connections.
func (v *smallVM) Conns() int { return v.open }

// Opened returns the number of connections opened, rejected ones included.
func (v *smallVM) Opened() uint64 { return v.opened }

// Accepted returns the number of connections that were not rejected.
func (v *smallVM) Accepted() uint64 { return v.opened - uint64(v.totalRejected) }

// recentWait returns the waitQuantile of the waiting times since the last call.
func (v *smallVM) recentWait() time.Duration {
	if len(v.waits) == 0 {
		return 0
	}
	slices.Sort(v.waits)
	w := v.waits[int(waitQuantile*float64(len(v.waits)-1))]
	v.waits = v.waits[:0]
	return w
}

// schedule makes a burst ready after the time d.
func (v *smallVM) schedule(d time.Duration, cost time.Duration, done func()) {
	b := cpuBurst{at: v.now + d.Truncate(simStep), cost: cost, done: done}
	if b.at == v.now {
		v.ready = append(v.ready, b)
		return
	}
	v.scheduled[b.at] = append(v.scheduled[b.at], b)
}

// handleRequest simulates a request of a client, on an idle connection if there is one.
func (v *smallVM) handleRequest(client int, isRetry bool) {
	if n := len(v.idleSince[client]); n > 0 {
		v.idleSince[client] = v.idleSince[client][:n-1]
		v.serve(client)
		return
	}
	v.opened++
	if v.rng.Float64() >= 1-v.overload.rejectShare {
		v.rejected++
		v.totalRejected++
		v.schedule(0, simRejectCost, func() {
			if !isRetry {
				v.schedule(time.Second+time.Duration(v.rng.Int64N(int64(2*time.Second))), 0, func() { v.handleRequest(client, true) })
			}
		})
		return
	}
	v.open++
	v.serve(client)
}

// serve simulates the steps of a request.
func (v *smallVM) serve(client int) {
	step := simRequestCost / simStepsPerRequest
	stepsLeft := simStepsPerRequest
	var next func()
	next = func() {
		stepsLeft--
		if stepsLeft > 0 {
			v.schedule(simServeTime/simStepsPerRequest, step, next)
			return
		}
		v.finished++
		if v.overload.atMinAdmission() {
			v.open--
			return
		}
		v.idleSince[client] = append(v.idleSince[client], v.now)
	}
	v.schedule(0, step, next)
}

// poisson simulates one millisecond of a Poisson process: it calls f rate times per second on
// average.
func (v *smallVM) poisson(rate float64, f func()) {
	for p := rate * simStep.Seconds(); p > 0; p-- {
		if v.rng.Float64() < p {
			f()
		}
	}
}

// step simulates a millisecond; mayLeave says whether the VM may leave the rotation.
func (v *smallVM) step(mayLeave bool) {
	v.ready = append(v.ready, v.scheduled[v.now]...)
	delete(v.scheduled, v.now)
	v.runReady()
	if v.now%messenger.TickInterval == 0 {
		lag := v.overload.wait / simTickLagDivisor
		v.overload.observeTick(time.Unix(1_700_000_000, 0).Add(v.now), tickTiming{interval: messenger.TickInterval, lag: lag}, mayLeave)
	}
	v.closeIdle()
	v.now += simStep
}

// runReady spends the CPU time of a millisecond on the bursts that are ready, in order.
func (v *smallVM) runReady() {
	v.cpuBudget += time.Duration(simCPUShare * float64(simStep))
	for len(v.ready) > 0 && v.cpuBudget >= v.ready[0].cost {
		b := v.ready[0]
		v.ready = v.ready[1:]
		v.cpuBudget -= b.cost
		if b.cost > 0 {
			v.waits = append(v.waits, v.now-b.at)
			v.allWaits = append(v.allWaits, v.now-b.at)
		}
		b.done()
	}
	if len(v.ready) == 0 {
		v.cpuBudget = 0
	}
}

// closeIdle closes the connections that have been idle for longer than simIdleTimeout.
func (v *smallVM) closeIdle() {
	for client, idleSince := range v.idleSince {
		n := 0
		for n < len(idleSince) && v.now-idleSince[n] > simIdleTimeout {
			n++
		}
		v.idleSince[client] = idleSince[n:]
		v.open -= n
	}
}
