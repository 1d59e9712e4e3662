package main

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	deadlyPart     = "dead17d1"
	deadlyGap      = 6 * time.Second
	deadlyFrom     = 3 * time.Second
	deadlyCrashes  = 5
	deadlyAllowed  = 3
	soundPerS      = 60
	prefillTime    = 60 * time.Millisecond
	workerBackTime = 3 * time.Second
	rowLapseTime   = 3600 * time.Millisecond // three heartbeat intervals
	killDelay      = 500 * time.Millisecond
	routerDownTime = 1500 * time.Millisecond
	poisonLength   = 56 * time.Second
)

// poisonDay is the state of playPoison.
type poisonDay struct {
	f *fleet

	mu      sync.Mutex
	crashes []time.Time
	deadly  map[string]bool
	answers map[string]int
	// restartedAt is when the routers were started again.
	restartedAt time.Time
}

// playPoison sends, beside sound requests, one now and then with a part that crashes each worker
// that begins to write an answer on it. After the fifth crash all routers are killed at once and
// start again. Few of these requests may reach workers later than contactTime after that crash.
func playPoison(f *fleet, trouble bool) (bool, error) {
	day := &poisonDay{f: f, deadly: make(map[string]bool), answers: make(map[string]int)}
	if err := f.startDeployment(routerCount, day.serve, nil); err != nil {
		return false, err
	}
	var wg sync.WaitGroup
	start := time.Now()
	nextDeadly := start.Add(deadlyFrom)
	killed := false
	for n := 0; time.Since(start) < poisonLength; n++ {
		r := streamRequest(shelfPath, 3*time.Second)
		r.prefix = fmt.Sprintf("5c1e07a2:64,%08x:64,%s:64", n%40+1, r.id[8:])
		if !time.Now().Before(nextDeadly) {
			nextDeadly = nextDeadly.Add(deadlyGap)
			r.prefix = fmt.Sprintf("5c1e07a2:64,%s:64,%s:64", deadlyPart, r.id[8:])
			day.markDeadly(r.id)
		}
		rt := f.routers[n%len(f.routers)]
		wg.Go(func() { day.count(r, f.send(rt, r)) })
		if fifth := day.fifthCrash(); trouble && !killed && !fifth.IsZero() && time.Since(fifth) > killDelay {
			killed = true
			wg.Go(day.restartRouters)
		}
		time.Sleep(time.Until(start.Add(time.Duration(n+1) * time.Second / soundPerS)))
	}
	wg.Wait()
	return day.judge()
}

// serve answers with a stream whose head is sent before the prompt is read.
func (d *poisonDay) serve(w *worker, c *workerConn, r *http.Request, _ []byte) bool {
	const events = 6
	id := attemptID(r)
	if !writeText(c, streamHead(w, id, "Transfer-Encoding: chunked\r\n")) {
		return false
	}
	time.Sleep(prefillTime)
	if strings.Contains(r.Header.Get("Lentilwood-Prompt-Prefix"), deadlyPart) {
		d.crash(w)
		return false
	}
	for n := lastEventID(r) + 1; n <= events; n++ {
		if !writeText(c, chunk(event(n, id))) {
			return false
		}
		time.Sleep(eventInterval)
	}
	return writeText(c, "0\r\n\r\n")
}

// crash ends a worker. It is back after some seconds, under another id.
func (d *poisonDay) crash(w *worker) {
	d.mu.Lock()
	d.crashes = append(d.crashes, time.Now())
	d.f.record.say("crash %d: worker %s", len(d.crashes), w.id)
	d.mu.Unlock()
	w.crash()
	old := w.id
	go func() {
		time.Sleep(workerBackTime)
		w.id = fmt.Sprintf("%s-after-%d", strings.Split(old, "-after-")[0], time.Now().UnixMilli())
		if err := w.start(); err != nil {
			d.f.record.say("worker %s is not back: %v", old, err)
		}
		time.Sleep(rowLapseTime - workerBackTime)
		d.f.store.put("servers", old, nil)
	}()
}

func (d *poisonDay) markDeadly(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.deadly[id] = true
}

func (d *poisonDay) count(r request, a answer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.answers[fmt.Sprintf("deadly=%v %d complete=%v", d.deadly[r.id], a.status, a.complete)]++
}

// fifthCrash returns when the fifth worker crashed, or the zero time.
func (d *poisonDay) fifthCrash() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.crashes) < deadlyCrashes {
		return time.Time{}
	}
	return d.crashes[deadlyCrashes-1]
}

// restartRouters kills all routers at once and starts them again.
func (d *poisonDay) restartRouters() {
	d.f.record.say("all routers are killed")
	for _, r := range d.f.routers {
		r.signal(syscall.SIGKILL)
	}
	time.Sleep(routerDownTime)
	for _, r := range d.f.routers {
		<-r.ended
		if err := d.f.startRouter(r); err != nil {
			d.f.record.say("router %s: %v", r.name, err)
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.restartedAt = time.Now()
}

// judge counts the deadly requests that reached workers, sent by machines in touch, later than
// contactTime after the fifth crash.
func (d *poisonDay) judge() (bool, error) {
	d.f.record.say("answers: %v", d.answers)
	fifth := d.fifthCrash()
	if fifth.IsZero() {
		return false, fmt.Errorf("only %d crashes", len(d.crashes))
	}
	from := fifth.Add(contactTime)
	if touch := d.restartedAt.Add(contactTime); touch.After(from) {
		from = touch
	}
	late := slices.DeleteFunc(d.f.record.all(), func(a arrival) bool { return !d.deadly[a.id] || a.at.Before(from) })
	d.f.record.say("fifth crash at second %.1f; from second %.1f on, %d requests with the deadly part reached workers",
		fifth.Sub(d.f.record.start).Seconds(), from.Sub(d.f.record.start).Seconds(), len(late))
	return len(late) > deadlyAllowed, nil
}
