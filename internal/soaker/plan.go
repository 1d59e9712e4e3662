package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

// faultKind is one way to harm the fleet from outside.
type faultKind string

// The kinds of faults.
const (
	stopRouter  faultKind = "stop router"
	killRouter  faultKind = "kill router"
	pauseRouter faultKind = "pause router"
	pauseStore  faultKind = "pause store"
	pauseWorker faultKind = "pause worker"
	harmLink    faultKind = "harm link"
	harmCallers faultKind = "harm callers"
)

const (
	// longestPause bounds how long a process or connection is harmed, shortestPause
	// from below.
	shortestPause = 200 * time.Millisecond
	longestPause  = 2 * time.Second
	// longestGap is the longest time between the begins of two faults of a
	// series; they may overlap.
	longestGap = 1500 * time.Millisecond
	// downFor is how long a killed router stays down.
	downFor = 300 * time.Millisecond
)

// linkTargets are the links to harm, by their place in fleet.links: the store's,
// the desk's, those of the workers. The desk's is drawn most often: what happens
// once only is at stake there.
var linkTargets = [...]int{0, 1, 1, 1, 2, 3}

// fault is one harm at a time.
type fault struct {
	kind   faultKind
	target int
	harm   harm
	at     time.Duration
	length time.Duration
}

func (f fault) String() string {
	text := fmt.Sprintf("%.2fs %s %d", f.at.Seconds(), f.kind, f.target+1)
	if f.harm != harmNone {
		text += fmt.Sprintf(" harm %d", f.harm)
	}
	return fmt.Sprintf("%s for %.2fs", text, f.length.Seconds())
}

// plan is the faults of a run, in the order of their begins.
type plan struct{ faults []fault }

// newPlan draws the faults of a seed; they begin within a time.
func newPlan(seed uint64, within time.Duration) *plan {
	rng := rand.New(rand.NewPCG(seed, 0))
	p := &plan{}
	for at := time.Duration(0); at < within; at += time.Duration(rng.Int64N(int64(longestGap))) {
		p.faults = append(p.faults, draw(rng, at))
	}
	return p
}

func draw(rng *rand.Rand, at time.Duration) fault {
	f := fault{at: at, length: shortestPause + time.Duration(rng.Int64N(int64(longestPause-shortestPause)))}
	harms := []harm{harmDelay, harmReset, harmCutThere, harmCutBack, harmSilence}
	switch n := rng.IntN(20); {
	case n < 4:
		f.kind, f.target = stopRouter, rng.IntN(routerCount)
	case n < 6:
		f.kind, f.target = killRouter, rng.IntN(routerCount)
	case n < 8:
		f.kind, f.target = pauseRouter, rng.IntN(routerCount)
	case n < 10:
		f.kind = pauseStore
	case n < 12:
		f.kind, f.target = pauseWorker, rng.IntN(workerCount)
	case n < 18:
		f.kind, f.target, f.harm = harmLink, linkTargets[rng.IntN(len(linkTargets))], harms[rng.IntN(len(harms))]
	default:
		f.kind, f.harm = harmCallers, harms[rng.IntN(len(harms))]
	}
	return f
}

// end returns when the last fault is over, as planned.
func (p *plan) end() time.Duration {
	var last time.Duration
	for _, f := range p.faults {
		last = max(last, f.at+f.length)
	}
	return last
}

// play carries out the faults, each at its time, and returns once all are over.
func (p *plan) play(ctx context.Context, f *fleet, w *witness) {
	var running sync.WaitGroup
	busy := make([]sync.Mutex, routerCount)
	for _, next := range p.faults {
		if !sleepUntil(ctx, w.start.Add(calmBefore+next.at)) {
			break
		}
		running.Go(func() { p.carryOut(f, w, next, busy) })
	}
	running.Wait()
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(time.Until(at)):
		return true
	}
}

// carryOut does one fault. A router that is being stopped or killed is left to
// that.
func (p *plan) carryOut(f *fleet, w *witness, next fault, busy []sync.Mutex) {
	began := time.Now()
	defer func() { w.harmed(next, began, time.Now()) }()
	switch next.kind {
	case stopRouter, killRouter:
		if !busy[next.target].TryLock() {
			return
		}
		defer busy[next.target].Unlock()
		w.restart(f, next)
	case pauseRouter:
		pause(f.routers[next.target], next.length)
	case pauseStore:
		pause(f.store, next.length)
	case pauseWorker:
		pause(f.workers[next.target], next.length)
	case harmLink:
		apply(f.links[next.target], next)
	case harmCallers:
		apply(f.callers, next)
	}
}

func pause(c *child, length time.Duration) {
	c.signal(syscall.SIGSTOP, false)
	time.Sleep(length)
	c.signal(syscall.SIGCONT, false)
}

func apply(p *proxy, next fault) {
	p.set(next.harm)
	if next.harm == harmReset {
		return
	}
	time.Sleep(next.length)
	p.set(harmNone)
}

// restart stops or kills a router and starts it again.
func (w *witness) restart(f *fleet, next fault) {
	c := f.routers[next.target]
	if next.kind == killRouter {
		c.kill()
	} else {
		c.signal(syscall.SIGTERM, true)
		if !c.await(exitLimit) {
			w.noteStop(false, fmt.Sprintf("%s still runs %v after SIGTERM", c.name, exitLimit))
			c.kill()
		} else if err := c.lastFailure(); err != nil {
			w.noteStop(false, c.name+" after SIGTERM: "+shorten(err))
		} else {
			w.noteStop(true, "")
		}
	}
	time.Sleep(downFor)
	if err := c.start(); err != nil {
		w.fault(shorten(err))
	}
}
