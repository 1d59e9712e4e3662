package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// releaseWorkers, releaseSlots and releaseMemory are those of the sheet.
	releaseWorkers, releaseSlots, releaseMemory = 9, 128, 814108
	// releasedWorkers, a share of 0.45, are replaced in a release, one at a time, each releaseGap.
	releasedWorkers = 4
	releaseGap      = time.Second
	// releasesAtOnce releases are under way at a time, their steps by turns.
	releasesAtOnce = 2
	// releaseTime is how long one release follows another.
	releaseTime = 76 * time.Second
	// serveOn is how long a worker that leaves serves on: drainMs and a little longer.
	serveOn = 2500 * time.Millisecond
	// recoveryTime is the sheet's recoveryS, measuredTime how long is measured before and after.
	recoveryTime = 12 * time.Second
	measuredTime = 5 * time.Second
	// clumpSize requests come at the same time, each clumpGap.
	clumpSize = 900
	clumpGap  = 1700 * time.Millisecond
)

// tally counts the requests of a time.
type tally struct{ sent, served atomic.Int64 }

// playRelease replaces workers again and again and compares what is served before the first
// release with what is served after the last one.
func playRelease(rec *recorder) (bool, error) {
	s, err := startStore()
	if err != nil {
		return false, err
	}
	configure(s, 7, releaseSlots, releaseMemory)
	cfg := func(i int) workerConfig {
		return workerConfig{
			service: modelService, zone: gerincjel.zones[i%4], slots: releaseSlots, events: 10, work: 40 * time.Millisecond,
			pause: 40 * time.Millisecond, onRun: func(string, *http.Request) {},
		}
	}
	var workers []*worker
	for i := range releaseWorkers {
		w, err := startWorker(s, cfg(i))
		if err != nil {
			return false, err
		}
		workers = append(workers, w)
	}
	f, err := startFleet(s, gerincjel, 1)
	keepFleet(f)
	if err != nil {
		return false, err
	}
	if err := f.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	r := f.routers[0]
	var current atomic.Pointer[tally]
	current.Store(&tally{})
	stop := make(chan struct{})
	var clients sync.WaitGroup
	clients.Go(func() { sendClumps(r, stop, &current) })
	time.Sleep(3 * time.Second)
	before := &tally{}
	current.Store(before)
	time.Sleep(measuredTime)
	during := &tally{}
	current.Store(during)
	replaced := 0
	for began := time.Now(); time.Since(began) < releaseTime; {
		for range releasedWorkers * releasesAtOnce {
			if trouble() {
				if workers, err = replace(s, workers, cfg(replaced)); err != nil {
					return false, err
				}
				replaced++
			}
			time.Sleep(releaseGap / releasesAtOnce)
		}
		rec.note("replaced: %d workers; so far sent %d, served %d; ready: %v; the process has %d descriptors of %d, and %d MB",
			replaced, during.sent.Load(), during.served.Load(), r.isReady(), r.openFiles(), r.sheet.maxFiles, r.anonymousBytes()>>20)
	}
	time.Sleep(recoveryTime)
	after := &tally{}
	current.Store(after)
	time.Sleep(measuredTime)
	ready := r.isReady()
	current.Store(&tally{})
	close(stop)
	clients.Wait()
	rec.note("before the releases: sent %d, served %d", before.sent.Load(), before.served.Load())
	rec.note("later than %v after the last one: sent %d, served %d; ready: %v", recoveryTime, after.sent.Load(), after.served.Load(), ready)
	if 4*before.served.Load() < before.sent.Load() {
		return false, fmt.Errorf("less than a quarter was served before")
	}
	return 4*after.served.Load() < after.sent.Load(), nil
}

// replace starts a new worker in place of the oldest, which then leaves.
func replace(s *store, workers []*worker, cfg workerConfig) ([]*worker, error) {
	w, err := startWorker(s, cfg)
	if err != nil {
		return workers, err
	}
	go workers[0].leave(serveOn)
	return append(workers[1:], w), nil
}

// sendClumps sends many requests at a time until stop, each on a new connection.
func sendClumps(r *routerProcess, stop chan struct{}, current *atomic.Pointer[tally]) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(clumpGap):
		}
		t := current.Load()
		for i := range clumpSize {
			wg.Go(func() {
				t.sent.Add(1)
				if send(r.front, translitCall(n*clumpSize+i)).served() {
					t.served.Add(1)
				}
			})
		}
	}
}

// translitThings is the number of things that the requests are about.
const translitThings = 193

// translitCall is a transliteration of the sheet: 198 shared tokens, and 430 of its own.
func translitCall(n int) call {
	id := newAttemptID()
	return call{
		method: "POST", target: streamPrefix + "2f", id: id, key: tenantKey(n % accounts), deadline: 3 * time.Second,
		headers: fmt.Sprintf("Lentilwood-Model: m\r\nLentilwood-Token-Usage: 628,288\r\nLentilwood-Prompt-Prefix: 5c1e07a2:119,%x:79,%s:430\r\n",
			0x91bd3f00+n%translitThings, id),
	}
}
