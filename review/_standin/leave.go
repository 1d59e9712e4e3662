package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// leaveMachines is the number of machines, leaveClients that of the clients with a kept
	// connection to each.
	leaveMachines, leaveClients = 2, 20
	// leaveEvents of a stream come with a pause of leavePause between them.
	leaveEvents = 30
	leavePause  = 80 * time.Millisecond
	// leaveShare of the nine workers are replaced, one at a time, each leaveGap.
	leaveWorkers, leaveShare = 9, 4
	leaveGap                 = time.Second
	// leaveServeOn is how long a worker that leaves serves on: longer than its streams last.
	leaveServeOn = 5 * time.Second
	// applyTime is configApplyMs: requests that were sent up to then after a SIGHUP count.
	applyTime = 2 * time.Second
	// leaveRest is how long the clients send before the first and after the last worker leaves.
	leaveRest = 6 * time.Second
)

// stream is what a client saw of one request.
type stream struct {
	id, machine   string
	sentAt, endAt time.Time
	events        int
	// answered is true if the answer came to its end, or the request was refused.
	answered bool
	status   int
	err      error
}

// playLeave replaces workers while streams without a length or chunks are in progress, and counts
// the streams that their clients don't get to the end.
func playLeave(rec *recorder) (bool, error) {
	s, err := startStore()
	if err != nil {
		return false, err
	}
	configure(s, 7, 128, 814108)
	cfg := workerConfig{
		service: modelService, zone: gerincjel.zones[0], slots: 128, events: leaveEvents, work: 40 * time.Millisecond, pause: leavePause,
		unframed: true, onRun: func(string, *http.Request) {},
	}
	var all []*worker
	for range leaveWorkers {
		w, err := startWorker(s, cfg)
		if err != nil {
			return false, err
		}
		all = append(all, w)
	}
	f, err := startFleet(s, gerincjel, leaveMachines)
	keepFleet(f)
	if err != nil {
		return false, err
	}
	if err := f.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	var mu sync.Mutex
	var streams []stream
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i := range leaveMachines * leaveClients {
		wg.Go(func() {
			streamSteadily(f.routers[i%leaveMachines], i, stop, func(st stream) {
				mu.Lock()
				defer mu.Unlock()
				streams = append(streams, st)
			})
		})
	}
	time.Sleep(leaveRest)
	began := time.Now()
	var hups []time.Time
	for i := range leaveShare {
		if trouble() {
			w, err := startWorker(s, cfg)
			if err != nil {
				return false, err
			}
			all = append(all, w)
			hups = append(hups, time.Now())
			for _, r := range f.routers {
				r.signal(syscall.SIGHUP)
			}
			go all[i].leave(leaveServeOn)
			rec.note("SIGHUP to all machines; worker %s leaves", all[i].id)
		}
		time.Sleep(leaveGap)
	}
	time.Sleep(leaveRest)
	close(stop)
	wg.Wait()
	return judgeStreams(rec, streams, all, hups, began)
}

// judgeStreams counts the streams that broke off.
func judgeStreams(rec *recorder, streams []stream, all []*worker, hups []time.Time, began time.Time) (bool, error) {
	whole := int64(0)
	for _, w := range all {
		whole += w.whole.Load()
	}
	served, cut, counted := 0, 0, 0
	for _, st := range streams {
		if st.answered {
			served++
			continue
		}
		cut++
		around := aroundHup(st, hups)
		if around {
			counted++
		}
		rec.note("%s on %s: sent at %.3f, ended at %.3f: status %d, %d of %d events, %v; around a SIGHUP: %v", st.id, st.machine,
			st.sentAt.Sub(rec.began).Seconds(), st.endAt.Sub(rec.began).Seconds(), st.status, st.events, leaveEvents, st.err, around)
	}
	rec.note("%d streams asked for, %d written to their end by workers, %d whole at their clients, %d broken off", len(streams), whole, served, cut)
	rec.note("broken off around planned work (sent up to %v after a SIGHUP and cut after it): %d; the rule allows none", applyTime, counted)
	if served == 0 {
		return false, errors.New("no stream was served")
	}
	return counted > 0, nil
}

// aroundHup reports whether a request was sent up to applyTime after a SIGHUP and cut after it.
func aroundHup(st stream, hups []time.Time) bool {
	for _, at := range hups {
		if st.sentAt.Before(at.Add(applyTime)) && st.endAt.After(at) {
			return true
		}
	}
	return false
}

// streamSteadily asks for one stream after the other on a kept connection until stop.
func streamSteadily(r *routerProcess, client int, stop chan struct{}, done func(stream)) {
	var conn net.Conn
	var reader *bufio.Reader
	for {
		select {
		case <-stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
		if conn == nil {
			var err error
			if conn, err = net.DialTimeout("tcp", r.front, time.Second); err != nil {
				conn = nil
				continue
			}
			reader = bufio.NewReader(conn)
		}
		st, kept := readStream(conn, reader, client)
		st.machine = r.name
		done(st)
		if !kept {
			_ = conn.Close()
			conn = nil
		}
	}
}

// readStream asks for a stream and reads it to its end. It reports whether the connection is kept.
func readStream(conn net.Conn, reader *bufio.Reader, client int) (st stream, kept bool) {
	c := ordinaryCall(client % accounts)
	c.target, c.deadline = translitPrefix+"2f", 12*time.Second
	st = stream{id: c.id, sentAt: time.Now()}
	defer func() { st.endAt = time.Now() }()
	_ = conn.SetDeadline(st.sentAt.Add(c.deadline))
	if _, st.err = io.WriteString(conn, c.head()); st.err != nil {
		return st, false
	}
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		st.err = err
		return st, false
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	st.status, st.err, st.events = resp.StatusCode, err, strings.Count(string(body), "data: "+c.id)
	st.answered = err == nil && (st.status != http.StatusOK || st.events == leaveEvents)
	if st.status == http.StatusOK && err == nil && st.events != leaveEvents {
		st.err = fmt.Errorf("ends as complete")
	}
	return st, err == nil && !resp.Close
}
