package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	endlessTime  = 74 * time.Second
	outputDelay  = 150 * time.Millisecond
	troubleFrom  = 8 * time.Second
	troubleTime  = 14 * time.Second
	troubleEvery = 24 * time.Second
	junkPause    = 36 * time.Millisecond
	junkBytes    = 4 << 10
	restartDelay = 500 * time.Millisecond
	// Processes that end by themselves so often, on so many machines, are a fault.
	faultEnds, faultMachines = 3, 2
)

// playEndless lets the model workers, three times for some seconds, continue their streams with
// bytes that are no events and never end, until the caller closes. Clients send the streams of the
// sheet at its mean rate. The platform kills a router that uses more memory than its machine has.
func playEndless(f *fleet, trouble bool) (bool, error) {
	inTrouble := func() bool {
		elapsed := time.Since(f.record.start) - troubleFrom
		return trouble && elapsed >= 0 && elapsed%troubleEvery < troubleTime
	}
	model := func(w *worker, c *workerConn, r *http.Request, _ []byte) bool {
		return f.endlessStream(w, c, r, inTrouble)
	}
	if err := f.startDeployment(faultMachines, model, nil); err != nil {
		return false, err
	}
	for _, r := range f.routers {
		go f.killOverLimit(r)
	}
	f.sendStreams()
	machines := 0
	for _, r := range f.routers {
		f.record.say("router %s: peak memory %d MB of %d MB, killed for it %d times", r.name, r.peakMB.Load(), routerMemoryMB, r.kills.Load())
		if r.kills.Load() >= faultEnds {
			machines++
		}
	}
	f.record.say("machines on which the process ended by itself %d times or more: %d of %d", faultEnds, machines, len(f.routers))
	return machines >= faultMachines, nil
}

// endlessStream answers with a stream that goes on, after its first event, with bytes that are no
// events once the workers are in trouble.
func (f *fleet) endlessStream(w *worker, c *workerConn, r *http.Request, inTrouble func() bool) bool {
	id, first := attemptID(r), lastEventID(r)+1
	time.Sleep(outputDelay)
	if !writeText(c, streamHead(w, id, "Transfer-Encoding: chunked\r\n")) {
		return false
	}
	for n := first; n <= sheetEvents(r.URL.Path) && (n == first || !inTrouble()); n++ {
		if !writeText(c, chunk(event(n, id))) {
			return false
		}
		time.Sleep(eventInterval)
	}
	if !inTrouble() {
		return writeText(c, "0\r\n\r\n")
	}
	f.record.note("request %s: worker %s sends bytes without end", id, w.id)
	junk := chunk(strings.Repeat("x", junkBytes))
	for writeText(c, junk) {
		time.Sleep(junkPause)
	}
	f.record.note("request %s: its caller has closed", id)
	return false
}

// sendStreams sends the streams of the sheet, to each router an eighth of the mean rate.
func (f *fleet) sendStreams() {
	var wg sync.WaitGroup
	var mu sync.Mutex
	counts := make(map[string]int)
	start := time.Now()
	rate := (reconPerS + translitPerS + shelfPerS) / routerCount * float64(len(f.routers))
	for n := 0; time.Since(start) < endlessTime; n++ {
		rt, r := f.routers[n%len(f.routers)], sheetRequest(n)
		wg.Go(func() {
			a := f.send(rt, r)
			mu.Lock()
			defer mu.Unlock()
			counts[fmt.Sprintf("%d complete=%v", a.status, a.complete)]++
		})
		time.Sleep(time.Until(start.Add(time.Duration(float64(n+1) / rate * float64(time.Second)))))
	}
	wg.Wait()
	f.record.say("answers: %v", counts)
}

// killOverLimit kills a router that uses more memory than its machine has, as the platform does,
// and starts it again.
func (f *fleet) killOverLimit(r *router) {
	for !f.stopping.Load() {
		time.Sleep(20 * time.Millisecond)
		mb := int64(r.memoryMB())
		r.peakMB.Store(max(r.peakMB.Load(), mb))
		if mb <= routerMemoryMB {
			continue
		}
		r.kills.Add(1)
		f.record.say("router %s uses %d MB of %d MB: killed", r.name, mb, routerMemoryMB)
		r.signal(syscall.SIGKILL)
		<-r.ended
		time.Sleep(restartDelay)
		if f.stopping.Load() || f.startRouter(r) != nil {
			return
		}
	}
}

// sheetEvents returns the mean number of events of a route of the sheet.
func sheetEvents(path string) int {
	switch {
	case strings.HasPrefix(path, reconPath):
		return 64
	case strings.HasPrefix(path, translitPath):
		return 49
	}
	return 4
}
