package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// hostileRate is how many requests a second the client that nobody controls sends to each of
	// the machines that the balancer's hash gives it.
	hostileRate = 35
	// hostileMachines is the number of these machines.
	hostileMachines = 2
	// maxHead is the operator's limit for a head, in bytes, of which a margin is kept.
	maxHead = 16384 - 384
	// partsTime is how long the clients send.
	partsTime = 80 * time.Second
	// restartDelay is how long after its end a process is started again.
	restartDelay = time.Second
	// endsPerMachine and machinesWithEnds are the bounds of the rule Fault.
	endsPerMachine, machinesWithEnds = 3, 2
)

// playParts lets a client send prompts of very many small parts, each request inside the limits
// for heads, and counts the processes that the platform ends because of their memory.
func playParts(rec *recorder) (bool, error) {
	s, err := startStore()
	if err != nil {
		return false, err
	}
	configure(s, 7, 128, 814108)
	var runs atomic.Int64
	for i := range 9 {
		_, err := startWorker(s, workerConfig{
			service: modelService, zone: gerincjel.zones[i%4], slots: 128, events: 4, work: 40 * time.Millisecond, pause: 20 * time.Millisecond,
			onRun: func(string, *http.Request) { runs.Add(1) },
		})
		if err != nil {
			return false, err
		}
	}
	f, err := startFleet(s, gerincjel, 8)
	keepFleet(f)
	if err != nil {
		return false, err
	}
	if err := f.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	rec.note("8 machines are ready; memory of each: %d MB", gerincjel.memoryMB)
	stop := make(chan struct{})
	ends := make([]atomic.Int64, len(f.routers))
	var wg sync.WaitGroup
	for i, r := range f.routers {
		wg.Go(func() { watchMemory(rec, r, &ends[i], stop) })
	}
	var hostile, hostileServed, ordinary, ordinaryServed atomic.Int64
	for i, r := range f.routers {
		if i < hostileMachines {
			wg.Go(func() {
				sendSteadily(stop, hostileRate, func(n int) {
					hostile.Add(1)
					if send(r.front, hostileCall()).served() {
						hostileServed.Add(1)
					}
				})
			})
		}
		wg.Go(func() {
			sendSteadily(stop, 10, func(n int) {
				ordinary.Add(1)
				if send(r.front, ordinaryCall(1+n%(accounts-1))).served() {
					ordinaryServed.Add(1)
				}
			})
		})
	}
	for range int(partsTime / (5 * time.Second)) {
		time.Sleep(5 * time.Second)
		rec.note("client under test: %d sent, %d served; others: %d sent, %d served; run by workers: %d", hostile.Load(), hostileServed.Load(), ordinary.Load(), ordinaryServed.Load(), runs.Load())
		for i, r := range f.routers[:hostileMachines+1] {
			rec.note("  %s: %d MB, ended %d times", r.name, r.anonymousBytes()>>20, ends[i].Load())
		}
		if countMachines(ends, endsPerMachine) >= machinesWithEnds {
			break
		}
	}
	close(stop)
	wg.Wait()
	if ordinaryServed.Load() == 0 {
		return false, fmt.Errorf("no ordinary request was served")
	}
	n := countMachines(ends, endsPerMachine)
	rec.note("machines whose process ended %d times or more: %d; the rule allows fewer than %d", endsPerMachine, n, machinesWithEnds)
	return n >= machinesWithEnds, nil
}

func countMachines(ends []atomic.Int64, least int64) int {
	n := 0
	for i := range ends {
		if ends[i].Load() >= least {
			n++
		}
	}
	return n
}

// watchMemory is the platform: it kills a process that exceeds its memory, and starts one that
// has ended again.
func watchMemory(rec *recorder, r *routerProcess, ends *atomic.Int64, stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		if held := r.anonymousBytes(); held > r.sheet.memoryMB<<20 {
			rec.note("%s holds %d MB of %d: killed", r.name, held>>20, r.sheet.memoryMB)
			r.signal(syscall.SIGKILL)
			for !r.hasEnded() {
				time.Sleep(time.Millisecond)
			}
		}
		if !r.hasEnded() {
			continue
		}
		ends.Add(1)
		rec.note("%s has ended; it is started again", r.name)
		time.Sleep(restartDelay)
		if err := r.start(); err != nil {
			rec.note("%s not started: %v", r.name, err)
			return
		}
	}
}

// sendSteadily calls f at a rate, without waiting for its end, until stop; it returns once all
// calls have ended.
func sendSteadily(stop chan struct{}, perSecond int, f func(n int)) {
	var wg sync.WaitGroup
	defer wg.Wait()
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-ticker.C:
			wg.Go(func() { f(n) })
		}
	}
}

var partCount atomic.Int64

// hostileCall is a request with as many parts of one token as the head may hold. Without the
// disruption it has an ordinary prompt.
func hostileCall() call {
	if !trouble() {
		return ordinaryCall(0)
	}
	c := call{method: "POST", target: streamPrefix + "2f", id: newAttemptID(), key: tenantKey(0), deadline: 3 * time.Second}
	var b strings.Builder
	parts := 0
	for room := maxHead - len(c.head()) - 100; b.Len() < room; parts++ {
		if parts > 0 {
			b.WriteByte(',')
		}
		_, _ = fmt.Fprintf(&b, "%x:1", partCount.Add(1))
	}
	c.headers = fmt.Sprintf("Lentilwood-Model: m\r\nLentilwood-Token-Usage: %d,16\r\nLentilwood-Prompt-Prefix: %s\r\n", parts, b.String())
	return c
}

// ordinaryCall is a shelf check of the sheet: 568 shared tokens, and 1,232 of its own.
func ordinaryCall(account int) call {
	id := newAttemptID()
	return call{
		method: "POST", target: streamPrefix + "2f", id: id, key: tenantKey(account), deadline: 3 * time.Second,
		headers: fmt.Sprintf("Lentilwood-Model: m\r\nLentilwood-Token-Usage: 1800,24\r\nLentilwood-Prompt-Prefix: 5c1e07a2:400,%x:168,%s:1232\r\n", 0x91bd3f00+account, id),
	}
}
