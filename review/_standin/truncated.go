package main

import (
	"bytes"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"
)

const (
	truncatedStreams = 18
	truncatedEvents  = 60
	crashedWorkers   = 2
	freezeTime       = 3500 * time.Millisecond
	crashDelay       = 300 * time.Millisecond
	workerDownTime   = 2 * time.Second
)

// playTruncated freezes a router; while it stands still, two workers crash and come back. Their
// streams have neither a length nor chunks. No client may get a part of a stream as a whole one.
func playTruncated(f *fleet, trouble bool) (bool, error) {
	unframed := func(w *worker, c *workerConn, r *http.Request, _ []byte) bool {
		id := attemptID(r)
		time.Sleep(firstEventDelay)
		_ = writeText(c, streamHead(w, id, "Connection: close\r\n"))
		for n := 1; n <= truncatedEvents; n++ {
			if !writeText(c, event(n, id)) {
				return false
			}
			time.Sleep(eventInterval)
		}
		f.record.note("request %s: worker %s has sent all %d events", id, w.id, truncatedEvents)
		return false
	}
	if err := f.startDeployment(routerCount, unframed, nil); err != nil {
		return false, err
	}
	rt := f.routers[0]
	answers := make([]answer, truncatedStreams)
	var wg sync.WaitGroup
	for i := range answers {
		wg.Go(func() { answers[i] = f.send(rt, streamRequest(translitPath, 12*time.Second)) })
	}
	time.Sleep(time.Second)
	if trouble {
		if err := f.crashBehindFreeze(rt); err != nil {
			return false, err
		}
	}
	wg.Wait()
	return f.countTruncated(answers), nil
}

// crashBehindFreeze stops a router, lets two of the nine workers crash and come back, and lets
// the router go on. ONLY=crash leaves out the freeze, ONLY=freeze the crash.
func (f *fleet) crashBehindFreeze(rt *router) error {
	if os.Getenv("ONLY") != "crash" {
		f.record.note("router %s freezes", rt.name)
		rt.signal(syscall.SIGSTOP)
	}
	time.Sleep(crashDelay)
	crashed := f.workers[:crashedWorkers]
	if os.Getenv("ONLY") == "freeze" {
		crashed = nil
	}
	for _, w := range crashed {
		f.record.note("worker %s at %s crashes", w.id, w.address)
		w.crash()
	}
	time.Sleep(workerDownTime)
	for _, w := range crashed {
		f.store.put("servers", w.id, nil)
		w.id += "-again"
		if err := w.start(); err != nil {
			return err
		}
		f.record.note("worker %s at %s has started", w.id, w.address)
	}
	time.Sleep(freezeTime - workerDownTime - crashDelay)
	f.record.note("router %s wakes", rt.name)
	rt.signal(syscall.SIGCONT)
	return nil
}

// countTruncated reports whether a client got a part of a stream as a complete success.
func (f *fleet) countTruncated(answers []answer) bool {
	whole, cut, truncated := 0, 0, 0
	for _, a := range answers {
		events := bytes.Count(a.body, []byte("\n\n"))
		switch {
		case a.status == http.StatusOK && a.complete && events < truncatedEvents:
			truncated++
			f.record.say("a client got status 200 and a complete body with %d of %d events", events, truncatedEvents)
		case a.complete && a.status == http.StatusOK:
			whole++
		default:
			cut++
		}
	}
	f.record.say("streams: %d whole, %d visibly cut or refused, %d ended as complete before their last piece", whole, cut, truncated)
	return truncated > 0
}
