package main

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"
)

const (
	preemptedStreams = 24
	preemptedEvents  = 40
	// The stop begins stopAfter after the streams, and the workers are out of memory from
	// shortFrom to shortTo after the streams began.
	stopAfter = time.Second
	shortFrom = 1500 * time.Millisecond
	shortTo   = 2700 * time.Millisecond
)

// preemptedNewest is how many of its newest requests a worker preempts.
const preemptedNewest = 4

// playPreempted stops a router as planned. Meanwhile its workers are out of memory for a moment:
// they preempt their newest streams, which go on later, and turn new requests away. Each stream
// that a worker finishes in time reaches its client whole.
func playPreempted(f *fleet, trouble bool) (bool, error) {
	short := &shortage{}
	model := func(w *worker, c *workerConn, r *http.Request, _ []byte) bool {
		return f.preemptibleStream(w, c, r, short)
	}
	if err := f.startDeployment(routerCount, model, nil); err != nil {
		return false, err
	}
	rt := f.routers[0]
	start := time.Now()
	if trouble {
		short.set(start.Add(shortFrom), start.Add(shortTo))
	}
	answers := make([]answer, preemptedStreams)
	var wg sync.WaitGroup
	for i := range answers {
		wg.Go(func() { answers[i] = f.send(rt, streamRequest(reconPath, 15*time.Second)) })
	}
	time.Sleep(stopAfter)
	if os.Getenv("ONLY") != "memory" {
		f.record.say("router %s gets SIGTERM", rt.name)
		rt.signal(syscall.SIGTERM)
	}
	wg.Wait()
	whole, cut := 0, 0
	for _, a := range answers {
		events := bytes.Count(a.body, []byte("\n\n"))
		if a.status == http.StatusOK && a.complete && events == preemptedEvents {
			whole++
			continue
		}
		cut++
		f.record.say("a stream ended after %.1f s with status %d and %d of %d events: %v", a.took.Seconds(), a.status, events, preemptedEvents, a.err)
	}
	f.record.say("streams: %d whole, %d without a complete answer", whole, cut)
	return cut > 0, nil
}

// shortage is the time for which the workers are out of memory.
type shortage struct {
	mu       sync.Mutex
	from, to time.Time
	// begun counts the streams that each worker has begun.
	begun map[*worker]int
}

// begin counts a stream and returns its number at its worker.
func (s *shortage) begin(w *worker) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.begun == nil {
		s.begun = make(map[*worker]int)
	}
	s.begun[w]++
	return s.begun[w]
}

// preempts reports whether a worker that is out of memory preempts a stream.
func (s *shortage) preempts(w *worker, number int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return number > s.begun[w]-preemptedNewest
}

func (s *shortage) set(from, to time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.from, s.to = from, to
}

// remaining returns how much longer the workers are out of memory.
func (s *shortage) remaining() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Now().Before(s.from) {
		return 0
	}
	return max(0, time.Until(s.to))
}

// preemptibleStream answers with a stream that pauses while its worker is out of memory. A request
// that comes then is turned away.
func (f *fleet) preemptibleStream(w *worker, c *workerConn, r *http.Request, short *shortage) bool {
	id := attemptID(r)
	if short.remaining() > 0 {
		f.record.note("request %s: worker %s turns it away", id, w.id)
		return writeText(c, fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nLentilwood-Attempt-Id: %s\r\nLentilwood-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", id))
	}
	number := short.begin(w)
	time.Sleep(firstEventDelay)
	if !writeText(c, streamHead(w, id, "Transfer-Encoding: chunked\r\n")) {
		return false
	}
	for n := lastEventID(r) + 1; n <= preemptedEvents; n++ {
		if pause := short.remaining(); pause > 0 && short.preempts(w, number) {
			f.record.note("request %s: worker %s preempts it before event %d", id, w.id, n)
			time.Sleep(pause)
			if isGone(c.Conn) {
				f.record.note("request %s: its caller has closed", id)
				return false
			}
		}
		if !writeText(c, chunk(event(n, id))) {
			return false
		}
		time.Sleep(eventInterval)
	}
	return writeText(c, "0\r\n\r\n")
}
