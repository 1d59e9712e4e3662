package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// idleMachines is the number of machines, idleConnections how many connections the client that
	// nobody controls holds to each.
	idleMachines, idleConnections = 2, 2200
	// idleTime is how long it holds them.
	idleTime = 40 * time.Second
	// triers clients try each machine, each trierGap.
	triers   = 10
	trierGap = 250 * time.Millisecond
	// contact is the sheet's contactMs; leastTriers have to try in that time.
	contact     = 3 * time.Second
	leastTriers = 7
)

// try is one try of a client to be served on a new connection.
type try struct {
	client int
	at     time.Time
	// taken is true if the machine has read the request: its answer names it.
	taken, served bool
}

// machineLog holds what clients and the balancer saw of one machine.
type machineLog struct {
	mu    sync.Mutex
	tries []try
	// notReady are the times at which the machine did not say that it is ready.
	notReady []time.Time
}

// playIdle holds connections on which nothing is sent, and looks whether the machines take those of
// ordinary clients meanwhile.
func playIdle(rec *recorder) (bool, error) {
	s, err := startStore()
	if err != nil {
		return false, err
	}
	configure(s, 7, 128, 814108)
	for i := range 4 {
		_, err := startWorker(s, workerConfig{
			service: deskService, zone: gerincjel.zones[i], slots: 6, work: 15 * time.Millisecond, onRun: func(string, *http.Request) {},
		})
		if err != nil {
			return false, err
		}
	}
	f, err := startFleet(s, gerincjel, idleMachines)
	keepFleet(f)
	if err != nil {
		return false, err
	}
	if err := f.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	logs := make([]*machineLog, len(f.routers))
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i, r := range f.routers {
		logs[i] = &machineLog{}
		wg.Go(func() { logs[i].watchReady(r, stop) })
		for n := range triers {
			wg.Go(func() { logs[i].tryAgain(r, n, stop) })
		}
	}
	time.Sleep(5 * time.Second)
	began := time.Now()
	var failed atomic.Int64
	if trouble() {
		for _, r := range f.routers {
			wg.Go(func() { failed.Add(int64(holdIdle(rec, r, stop))) })
		}
	}
	time.Sleep(idleTime)
	close(stop)
	wg.Wait()
	if n := failed.Load(); n > 0 {
		return false, fmt.Errorf("%d idle connections could not be opened", n)
	}
	broken := false
	for i, r := range f.routers {
		before, after := logs[i].count(time.Time{}, began), logs[i].count(began.Add(5*time.Second), time.Now())
		longest := logs[i].longestUntaken()
		rec.note("%s: before: %d tries, %d served; from 5 s after: %d tries, %d served; not ready %d times", r.name, before[0], before[1], after[0], after[1], len(logs[i].notReady))
		rec.note("%s: longest time in which it said that it was ready and took no new connection: %v; the rule allows %v", r.name, longest.Round(time.Millisecond), contact)
		broken = broken || longest >= contact
		if before[1] == 0 {
			return false, fmt.Errorf("%s served nothing before", r.name)
		}
	}
	return broken, nil
}

// holdIdle opens connections and sends nothing on them until stop. It returns how many could not be
// opened.
func holdIdle(rec *recorder, r *routerProcess, stop chan struct{}) (failed int) {
	var conns []net.Conn
	for range idleConnections {
		conn, err := net.DialTimeout("tcp", r.front, time.Second)
		if err != nil {
			failed++
			continue
		}
		conns = append(conns, conn)
		time.Sleep(time.Millisecond)
	}
	rec.note("%s: %d connections opened on which nothing is sent, %d failed", r.name, len(conns), failed)
	<-stop
	for _, conn := range conns {
		_ = conn.Close()
	}
	return failed
}

// watchReady is the balancer, which asks each second.
func (l *machineLog) watchReady(r *routerProcess, stop chan struct{}) {
	for {
		if !r.isReady() {
			l.mu.Lock()
			l.notReady = append(l.notReady, time.Now())
			l.mu.Unlock()
		}
		select {
		case <-stop:
			return
		case <-time.After(time.Second):
		}
	}
}

// tryAgain is an ordinary client, which opens a new connection for each request.
func (l *machineLog) tryAgain(r *routerProcess, client int, stop chan struct{}) {
	for {
		c := call{method: "GET", target: lookupPrefix + "2f", id: newAttemptID(), key: tenantKey(client % accounts), deadline: time.Second}
		answer := send(r.front, c)
		l.mu.Lock()
		l.tries = append(l.tries, try{
			client: client, at: time.Now(), taken: answer.header.Get("Lentilwood-Attempt-Id") == c.id, served: answer.served(),
		})
		l.mu.Unlock()
		select {
		case <-stop:
			return
		case <-time.After(trierGap):
		}
	}
}

// count returns how many tries there were in a time, and how many were served.
func (l *machineLog) count(from, to time.Time) (n [2]int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, t := range l.tries {
		if t.at.Before(from) || t.at.After(to) {
			continue
		}
		n[0]++
		if t.served {
			n[1]++
		}
	}
	return n
}

// longestUntaken returns the longest time in which the machine always said that it was ready,
// leastTriers clients tried, and none of their connections was taken.
func (l *machineLog) longestUntaken() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	var longest time.Duration
	var since time.Time
	clients := make(map[int]bool)
	begin := func(at time.Time) {
		since = at
		clear(clients)
	}
	next := 0
	for _, t := range l.tries {
		for next < len(l.notReady) && l.notReady[next].Before(t.at) {
			begin(l.notReady[next])
			next++
		}
		if t.taken || since.IsZero() {
			begin(t.at)
			continue
		}
		clients[t.client] = true
		if len(clients) >= leastTriers {
			longest = max(longest, t.at.Sub(since))
		}
	}
	return longest
}
