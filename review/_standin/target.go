package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// targetRounds is how many times each target is sent.
const targetRounds = 5

// targets are the paths that clients send. In each the client has escaped the slash that belongs to
// a name, and has left another character as it is. Without the disruption that one is escaped too.
var targets = []struct{ plain, escaped string }{
	{`/puxa403/series%2F7|blue`, `/puxa403/series%2F7%7Cblue`},
	{`/puxa403/series%2F{7}`, `/puxa403/series%2F%7B7%7D`},
	{`/puxa403/"series%2F7"`, `/puxa403/%22series%2F7%22`},
	{`/cufi504/a^b`, `/cufi504/a%5Eb`},
	{`/cufi504/<7>`, `/cufi504/%3C7%3E`},
	{`/cufi504/a\b`, `/cufi504/a%5Cb`},
	// The path begins with the prefix of the lookups, not with that of the archive.
	{`/cufi504/fi50%2Fa|b`, `/cufi504/fi50%2Fa%7Cb`},
}

// sentRun is a request as a worker got it.
type sentRun struct{ id, method, target, service string }

// playTarget sends paths that the router accepts, and compares them with what workers run.
func playTarget(rec *recorder) (bool, error) {
	s, err := startStore()
	if err != nil {
		return false, err
	}
	configure(s, 7, 128, 814108)
	var mu sync.Mutex
	var runs []sentRun
	for i, service := range []string{deskService, deskService, deskService, deskService, archiveService, archiveService} {
		_, err := startWorker(s, workerConfig{
			service: service, zone: gerincjel.zones[i%4], slots: 6, work: 15 * time.Millisecond,
			onRun: func(id string, r *http.Request) {
				mu.Lock()
				defer mu.Unlock()
				runs = append(runs, sentRun{id: id, method: r.Method, target: r.RequestURI, service: service})
			},
		})
		if err != nil {
			return false, err
		}
	}
	f, err := startFleet(s, gerincjel, 2)
	keepFleet(f)
	if err != nil {
		return false, err
	}
	if err := f.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	sent := make(map[string]call)
	for n := range targetRounds * len(targets) {
		t := targets[n%len(targets)]
		c := call{method: "POST", target: t.plain, id: newAttemptID(), key: tenantKey(n % accounts), deadline: time.Second, body: "x"}
		if !trouble() {
			c.target = t.escaped
		}
		sent[c.id] = c
		answer := send(f.routers[n%2].front, c)
		rec.note("sent %s %s %s: %v", c.id, c.method, c.target, answer)
		time.Sleep(50 * time.Millisecond)
	}
	mu.Lock()
	defer mu.Unlock()
	changed, misled := 0, 0
	for _, run := range runs {
		c, known := sent[run.id]
		rec.note("run  %s %s %s by %s", run.id, run.method, run.target, run.service)
		if run.service != deskService {
			misled++
		}
		if !known || c.method != run.method || c.target != run.target {
			changed++
		}
	}
	rec.note("%d run by a service to which their path does not lead", misled)
	rec.note("%d requests sent, %d run, %d of these with another method, path or query than the client's", len(sent), len(runs), changed)
	if !trouble() && len(runs) == 0 {
		return false, fmt.Errorf("nothing was run")
	}
	return changed > 0, nil
}
