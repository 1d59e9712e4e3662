package dispatcher

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"lentilwood.example/lentilwood/internal/explainer"
	"lentilwood.example/lentilwood/internal/messenger"
	"lentilwood.example/lentilwood/internal/timekeeper"
)

// fakeEngine is a model engine that keeps its streams and whose connections break or go
// silent as configured by the test.
type fakeEngine struct {
	t      *testing.T
	events []string

	mu sync.Mutex
	// stopAfter holds, for each connection in turn, the number of the event after which it
	// stops, counted from the start of the stream. If silent is set, the connection then
	// stays open instead of breaking.
	stopAfter []int
	silent    bool
	posts     int
	gets      []string
	cancels   int
	// stopped receives a value whenever a connection stops.
	stopped chan struct{}
}

func newFakeEngine(t *testing.T, tokens int, stopAfter ...int) *fakeEngine {
	t.Helper()
	return &fakeEngine{t: t, events: tokenEvents(wireID, tokens), stopAfter: stopAfter, stopped: make(chan struct{}, 16)}
}

func (e *fakeEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.Method {
	case http.MethodPost:
		e.mu.Lock()
		e.posts++
		e.mu.Unlock()
		e.stream(w, r, 0)
	case http.MethodGet:
		last := r.Header.Get(messenger.LastEventIDHeader)
		e.mu.Lock()
		e.gets = append(e.gets, last)
		e.mu.Unlock()
		from, err := strconv.Atoi(last)
		if err != nil {
			e.t.Errorf("Last-Event-Id = %q", last)
		}
		e.stream(w, r, from)
	case http.MethodDelete:
		e.mu.Lock()
		e.cancels++
		e.mu.Unlock()
		echoID(w, r)
	}
}

// stream writes the events after from until the connection has to stop.
func (e *fakeEngine) stream(w http.ResponseWriter, r *http.Request, from int) {
	e.mu.Lock()
	stop := len(e.events)
	if len(e.stopAfter) > 0 {
		stop = e.stopAfter[0]
		e.stopAfter = e.stopAfter[1:]
	}
	e.mu.Unlock()
	startStream(w, r)
	w.(http.Flusher).Flush()
	for i := from; i < stop && i < len(e.events); i++ {
		writeEvent(w, e.events[i])
	}
	if stop >= len(e.events) {
		return
	}
	e.stopped <- struct{}{}
	if e.silent {
		<-r.Context().Done()
	}
	panic(http.ErrAbortHandler)
}

// advanceWhenIdle advances the clock once a goroutine waits for it.
func advanceWhenIdle(clock *timekeeper.Manual, d time.Duration) {
	for clock.Waiters() == 0 {
		time.Sleep(time.Millisecond)
	}
	clock.Advance(d)
}

// advanceUntil advances the clock in steps until done returns a result. It pauses between
// steps so that the work triggered by a step can run.
func advanceUntil(clock *timekeeper.Manual, step time.Duration, done <-chan Result) Result {
	for {
		select {
		case res := <-done:
			return res
		case <-time.After(5 * time.Millisecond):
			clock.Advance(step)
		}
	}
}

// TestResumeAfterBreak breaks a stream three times and expects every event once.
func TestResumeAfterBreak(t *testing.T) {
	e := newFakeEngine(t, 10, 2, 5, 5)
	addr := serve(t, e.ServeHTTP)
	d := newTestDispatcher(t, Config{Upstreams: fixedUpstreams{"a": {Address: addr, Engine: true}}})
	q, c := newFakeQueue("a"), newFakeCaller()
	res := d.Serve(context.Background(), completion(), q, c)
	if got, want := c.text(), strings.Join(e.events, ""); got != want {
		t.Errorf("response = %q, want %q", got, want)
	}
	if e.posts != 1 || strings.Join(e.gets, " ") != "2 5 5" {
		t.Errorf("posts = %d, resumes after %q, want 1 and 2 5 5", e.posts, e.gets)
	}
	if res.Resumes != 3 || res.Run != messenger.StateRun || len(q.finishes()) != 1 {
		t.Errorf("result = %+v, finishes %+v, want 3 resumes, run, one Finish", res, q.finishes())
	}
}

// TestResumeAfterSilence checks that a stream is resumed over a new connection when the
// first one goes silent permanently.
func TestResumeAfterSilence(t *testing.T) {
	e := newFakeEngine(t, 6, 3)
	e.silent = true
	addr := serve(t, e.ServeHTTP)
	clock := timekeeper.NewManual(time.Unix(1_800_000_000, 0))
	d := newTestDispatcher(t, Config{Upstreams: fixedUpstreams{"a": {Address: addr, Engine: true}}, Clock: clock})
	req := completion()
	req.Class.ProgressTimeout = 2 * time.Second
	c := newFakeCaller()
	done := make(chan Result, 1)
	go func() { done <- d.Serve(context.Background(), req, newFakeQueue("a"), c) }()
	<-e.stopped
	for c.text() != strings.Join(e.events[:3], "") {
		<-c.wrote
	}
	advanceWhenIdle(clock, req.Class.ProgressTimeout)
	res := <-done
	if got, want := c.text(), strings.Join(e.events, ""); got != want {
		t.Errorf("response = %q, want %q", got, want)
	}
	if res.Resumes != 1 || d.Counters().SilentConnections.Load() != 1 {
		t.Errorf("resumes = %d, silent connections = %d, want 1 and 1", res.Resumes, d.Counters().SilentConnections.Load())
	}
}

// TestSilentConnectionMakesOthersSuspect checks that of two connections to an upstream
// that go silent together, the second is given up well before its own timeout.
func TestSilentConnectionMakesOthersSuspect(t *testing.T) {
	e := newFakeEngine(t, 6, 3, 3)
	e.silent = true
	addr := serve(t, e.ServeHTTP)
	clock := timekeeper.NewManual(time.Unix(1_800_000_000, 0))
	d := newTestDispatcher(t, Config{Upstreams: fixedUpstreams{"a": {Address: addr, Engine: true}}, Clock: clock})
	results := make(chan Result, 2)
	for _, timeout := range []time.Duration{2 * time.Second, 20 * time.Second} {
		req := completion()
		req.Class.ProgressTimeout = timeout
		c := newFakeCaller()
		go func() { results <- d.Serve(context.Background(), req, newFakeQueue("a"), c) }()
		for c.text() != strings.Join(e.events[:3], "") {
			<-c.wrote
		}
	}
	start := clock.Now()
	clock.Advance(2 * time.Second)
	<-results
	advanceUntil(clock, 500*time.Millisecond, results)
	if took := clock.Now().Sub(start); took >= 15*time.Second {
		t.Errorf("both streams ended after %v, want well before the longer timeout of 20s", took)
	}
}

// TestSilentService checks when a request to a service that never responds is given up.
func TestSilentService(t *testing.T) {
	tests := []struct {
		name string
		// health is the status of its health answers; "" means that there are none.
		health string
		// wantPeriods is the number of progress timeouts that the service is given.
		wantPeriods int
	}{
		{name: "answers probes", health: "200 OK", wantPeriods: 1 + maxSilentPeriods},
		// guards against giving up a request that runs because its upstream drains
		{name: "leaving", health: "503 Service Unavailable", wantPeriods: 1 + maxSilentPeriods},
		{name: "dead", wantPeriods: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			hold := make(chan struct{})
			t.Cleanup(func() { close(hold) })
			var mu sync.Mutex
			ran := 0
			addr := serveRaw(t, func(conn net.Conn, r *http.Request) {
				if r.URL.Path == healthPath {
					if tt.health != "" {
						_, _ = io.WriteString(conn, "HTTP/1.1 "+tt.health+"\r\nContent-Length: 0\r\n\r\n")
					}
					return
				}
				mu.Lock()
				ran++
				mu.Unlock()
				<-hold
			})
			clock := timekeeper.NewManual(time.Unix(1_800_000_000, 0))
			d := newTestDispatcher(t, Config{Upstreams: fixedUpstreams{"s": {Address: addr}}, Clock: clock, ConnectTimeout: time.Minute})
			req := reservation()
			req.Class.ProgressTimeout = time.Minute
			q, c := newFakeQueue("s", "s", "s"), newFakeCaller()
			done := make(chan Result, 1)
			go func() { done <- d.Serve(context.Background(), req, q, c) }()
			start := clock.Now()
			res := advanceUntil(clock, time.Second, done)
			mu.Lock()
			defer mu.Unlock()
			if p := problemOf(t, c); p.Run != messenger.StateUnknown || p.Type != explainer.TypePrefix+ProblemUpstreamSilent {
				t.Errorf("problem = %+v, want an unknown outcome of a silent upstream", p)
			}
			if res.Attempts != 1 || ran != 1 {
				t.Errorf("attempts = %d, ran %d times, want 1 and 1", res.Attempts, ran)
			}
			minDuration := time.Duration(tt.wantPeriods) * req.Class.ProgressTimeout
			if took := clock.Now().Sub(start); took < minDuration {
				t.Errorf("given up after %v, want %v or more", took, minDuration)
			}
		})
	}
}

// TestCallerDisconnects checks that a stream whose caller disconnects is canceled at its
// engine and its slot is freed.
func TestCallerDisconnects(t *testing.T) {
	e := newFakeEngine(t, 6, 3)
	e.silent = true
	addr := serve(t, e.ServeHTTP)
	d := newTestDispatcher(t, Config{Upstreams: fixedUpstreams{"a": {Address: addr, Engine: true}}})
	q, c := newFakeQueue("a"), newFakeCaller()
	done := make(chan Result, 1)
	go func() { done <- d.Serve(context.Background(), completion(), q, c) }()
	<-e.stopped
	close(c.done)
	res := <-done
	d.background.Wait()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cancels != 1 || !res.CallerGone || len(q.finishes()) != 1 {
		t.Errorf("cancels = %d, result %+v, finishes %+v, want 1, gone, one Finish", e.cancels, res, q.finishes())
	}
}

// TestCallerDisconnectsWhileQueued checks that a queued request whose caller disconnects
// is not started.
func TestCallerDisconnectsWhileQueued(t *testing.T) {
	d := newTestDispatcher(t, Config{Upstreams: fixedUpstreams{"a": {Address: "127.0.0.1:1"}}})
	q, c := newFakeQueue("a"), newFakeCaller()
	q.hold = true
	close(c.done)
	res := d.Serve(context.Background(), reservation(), q, c)
	if res.Attempts != 0 || res.Run != messenger.StateNotRun || !res.CallerGone {
		t.Errorf("result = %+v, want no attempt, not-run, gone", res)
	}
	if got, want := q.events[len(q.events)-1], (messenger.Abandon{Request: 1}); got != want {
		t.Errorf("last event = %+v, want %+v", got, want)
	}
}

// TestDeadline checks that a request is not started after its deadline.
func TestDeadline(t *testing.T) {
	clock := timekeeper.NewManual(time.Unix(1_800_000_000, 0))
	d := newTestDispatcher(t, Config{Upstreams: fixedUpstreams{}, Clock: clock})
	req := reservation()
	req.Arrive.Deadline = clock.Now().Add(time.Second)
	q, c := newFakeQueue("a"), newFakeCaller()
	q.hold = true
	done := make(chan Result, 1)
	go func() { done <- d.Serve(context.Background(), req, q, c) }()
	advanceWhenIdle(clock, time.Second)
	res := <-done
	if p := problemOf(t, c); p.Run != messenger.StateNotRun || res.Problem != string(messenger.RefuseDeadline) {
		t.Errorf("problem = %+v, result %+v, want not-run for the deadline", p, res)
	}
}

// TestFirstOutputTimeoutAppliesBeforeFirstEvent checks that a busy engine may take longer
// for its first event than the progress timeout, so that the stream is not restarted
// elsewhere. Silence later in the stream still counts as silence.
func TestFirstOutputTimeoutAppliesBeforeFirstEvent(t *testing.T) {
	busy := serve(t, func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(150 * time.Millisecond)
		startStream(w, r)
		writeEvent(w, numberedEvents(1, 2))
		<-r.Context().Done()
	})
	other := serve(t, func(w http.ResponseWriter, r *http.Request) {
		startStream(w, r)
		writeEvent(w, numberedEvents(3, 4))
	})
	d := newTestDispatcher(t, Config{Dialect: resendDialect{}, Upstreams: fixedUpstreams{"a": {Address: busy}, "b": {Address: other}}})
	req := resumableStream()
	req.Class.ProgressTimeout, req.FirstOutputTimeout = 50*time.Millisecond, 2*time.Second
	q, c := newFakeQueue("a", "b"), newFakeCaller()
	start := time.Now()
	res := d.Serve(context.Background(), req, q, c)
	if got, want := c.text(), numberedEvents(1, 4); got != want || res.Attempts != 2 {
		t.Errorf("got %q in %d attempts, want the first events from one upstream and the rest from the other", got, res.Attempts)
	}
	if took := time.Since(start); took > time.Second {
		t.Errorf("took %v, want the silence within the stream to be detected after the progress timeout", took)
	}
}
