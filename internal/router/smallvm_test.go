package router

import (
	"math/rand/v2"
	"slices"
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
)

// What follows replays a small VM that the callers of a flooding account reach. They use
// their open connections before they open others, and come back once, a while later, if
// a new one is turned away.

const (
	simVMShare = 0.192
	// simFlood is how many requests a second are asked for.
	simFlood = 1500
	// simCarried is the processor time that a request takes, a part of it when it comes and
	// the rest in steps while it is served; simTurnedAway that of a connection that is
	// turned away unread.
	simCarried    = 600 * time.Microsecond
	simSteps      = 11
	simServed     = 600 * time.Millisecond
	simTurnedAway = 20 * time.Microsecond
	simFirstTurn  = time.Second
	// simIdle is how long callers keep a connection that they don't use.
	simIdle = 4 * time.Second
	simTurn = time.Millisecond
	// simClients is how many clients the callers are, each with its own connections.
	simClients = 100
	// simTickLag is how many times longer goroutines wait than ticks, which go before.
	simTickLag = 6
)

// burst is processor time that something waits for.
type burst struct {
	at   time.Duration
	cost time.Duration
	done func()
}

// smallVM is the VM and its callers.
type smallVM struct {
	rng    *rand.Rand
	strain overload
	now    time.Duration
	ready  []burst
	// later holds what becomes ready at a time, by the millisecond.
	later map[time.Duration][]burst
	// budget is processor time that is left over from the last millisecond.
	budget time.Duration
	// waits are how long bursts waited since the last look, allWaits since the start.
	waits, allWaits []time.Duration
	// idle are the times since when open connections are not used, of each client.
	idle     [simClients][]time.Duration
	open     int
	opened   uint64
	finished int
	// turnedAway and refused count connections that were turned away, since what is
	// looked at began and since the start.
	turnedAway, refused int
}

func newSmallVM() *smallVM {
	v := &smallVM{rng: rand.New(rand.NewPCG(1, 2)), later: make(map[time.Duration][]burst)}
	v.strain.runQueue = v
	return v
}

// Conns is how many connections are open.
func (v *smallVM) Conns() int { return v.open }

// Opened is how many were opened, taken in or not.
func (v *smallVM) Opened() uint64 { return v.opened }

// Taken is how many of them were taken in.
func (v *smallVM) Taken() uint64 { return v.opened - uint64(v.refused) }

// wait is the wait that most bursts did not pass since the last call.
func (v *smallVM) recentWait() time.Duration {
	if len(v.waits) == 0 {
		return 0
	}
	slices.Sort(v.waits)
	w := v.waits[int(waitQuantile*float64(len(v.waits)-1))]
	v.waits = v.waits[:0]
	return w
}

// after makes a burst ready after a time.
func (v *smallVM) after(d time.Duration, cost time.Duration, done func()) {
	b := burst{at: v.now + d.Truncate(simTurn), cost: cost, done: done}
	if b.at == v.now {
		v.ready = append(v.ready, b)
		return
	}
	v.later[b.at] = append(v.later[b.at], b)
}

// request lets a request of a client come: on an open connection if one is free.
func (v *smallVM) request(client int, again bool) {
	if n := len(v.idle[client]); n > 0 {
		v.idle[client] = v.idle[client][:n-1]
		v.serve(client)
		return
	}
	v.opened++
	if v.rng.Float64() >= 1-v.strain.rejectShare {
		v.turnedAway++
		v.refused++
		v.after(0, simTurnedAway, func() {
			if !again {
				v.after(time.Second+time.Duration(v.rng.Int64N(int64(2*time.Second))), 0, func() { v.request(client, true) })
			}
		})
		return
	}
	v.open++
	v.serve(client)
}

// serve takes the steps of a request one after the other.
func (v *smallVM) serve(client int) {
	step := simCarried / simSteps
	left := simSteps
	var next func()
	next = func() {
		left--
		if left > 0 {
			v.after(simServed/simSteps, step, next)
			return
		}
		v.finished++
		if v.strain.atMinAdmission() {
			v.open--
			return
		}
		v.idle[client] = append(v.idle[client], v.now)
	}
	v.after(0, step, next)
}

// poisson calls f in a millisecond so that it happens rate times a second on average.
func (v *smallVM) poisson(rate float64, f func()) {
	for p := rate * simTurn.Seconds(); p > 0; p-- {
		if v.rng.Float64() < p {
			f()
		}
	}
}

// step lets a millisecond pass; allowed says whether the VM may leave the rotation.
func (v *smallVM) step(allowed bool) {
	v.ready = append(v.ready, v.later[v.now]...)
	delete(v.later, v.now)
	v.work()
	if v.now%messenger.TickInterval == 0 {
		lag := v.strain.wait / simTickLag
		v.strain.observeTick(time.Unix(1_700_000_000, 0).Add(v.now), tickTiming{interval: messenger.TickInterval, lag: lag}, allowed)
	}
	v.closeIdle()
	v.now += simTurn
}

// work gives a millisecond's processor time to what is ready, in order.
func (v *smallVM) work() {
	v.budget += time.Duration(simVMShare * float64(simTurn))
	for len(v.ready) > 0 && v.budget >= v.ready[0].cost {
		b := v.ready[0]
		v.ready = v.ready[1:]
		v.budget -= b.cost
		if b.cost > 0 {
			v.waits = append(v.waits, v.now-b.at)
			v.allWaits = append(v.allWaits, v.now-b.at)
		}
		b.done()
	}
	if len(v.ready) == 0 {
		v.budget = 0
	}
}

// closeIdle has callers close connections that they have not used for long.
func (v *smallVM) closeIdle() {
	for client, idle := range v.idle {
		n := 0
		for n < len(idle) && v.now-idle[n] > simIdle {
			n++
		}
		v.idle[client] = idle[n:]
		v.open -= n
	}
}
