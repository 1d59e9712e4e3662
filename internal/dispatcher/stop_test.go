package dispatcher

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"lentilwood.example/lentilwood/internal/explainer"
	"lentilwood.example/lentilwood/internal/messenger"
)

// TestStopQueued checks that a router that shuts down reports queued requests as not run.
func TestStopQueued(t *testing.T) {
	d := newTestDispatcher(t, Config{Upstreams: fixedUpstreams{}})
	ctx, stop := context.WithCancel(context.Background())
	stop()
	q, c := newFakeQueue(), newFakeCaller()
	q.hold = true
	d.Serve(ctx, reservation(), q, c)
	p := problemOf(t, c)
	if p.Type != explainer.TypePrefix+ProblemShuttingDown || p.Run != messenger.StateNotRun || c.header.Get("Retry-After") != "1" {
		t.Errorf("problem = %+v, Retry-After %q, want shutting-down, not-run, 1", p, c.header.Get("Retry-After"))
	}
}

// TestStopStream checks that a stream cut off by a shutdown ends with an error event.
func TestStopStream(t *testing.T) {
	e := newFakeEngine(t, 6, 3)
	e.silent = true
	addr := serve(t, e.ServeHTTP)
	d := newTestDispatcher(t, Config{Upstreams: fixedUpstreams{"a": {Address: addr, Engine: true}}})
	ctx, stop := context.WithCancel(context.Background())
	q, c := newFakeQueue("a"), newFakeCaller()
	done := make(chan Result, 1)
	go func() { done <- d.Serve(ctx, completion(), q, c) }()
	for c.text() != strings.Join(e.events[:3], "") {
		<-c.wrote
	}
	stop()
	res := <-done
	if !strings.Contains(c.text(), "event: error\ndata: {\"type\":\""+explainer.TypePrefix+ProblemShuttingDown) {
		t.Errorf("response = %q, want an error event about the shutdown", c.text())
	}
	if res.Problem != ProblemShuttingDown || len(q.finishes()) != 1 {
		t.Errorf("result = %+v, finishes %+v, want shutting-down and one Finish", res, q.finishes())
	}
}

// TestRetryBudget makes every attempt fail and checks that retries are limited per
// request and in total.
func TestRetryBudget(t *testing.T) {
	posts := 0
	addr := serve(t, func(w http.ResponseWriter, r *http.Request) {
		posts++
		echoID(w, r)
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	d := newTestDispatcher(t, Config{Upstreams: fixedUpstreams{"s": {Address: addr}}, RetryRatio: 0.1, RetryBurst: 4})
	const requests = 40
	for range requests {
		req := reservation()
		req.Arrive.Idempotent = true
		q, c := newFakeQueue("s", "s", "s", "s", "s"), newFakeCaller()
		res := d.Serve(context.Background(), req, q, c)
		if res.Attempts > DefaultMaxAttempts || res.Status == 0 {
			t.Fatalf("result = %+v, want a response after at most %d attempts", res, DefaultMaxAttempts)
		}
	}
	if most := requests + requests/10 + 4; posts > most {
		t.Errorf("upstream got %d attempts for %d requests, want at most %d", posts, requests, most)
	}
	if got := d.Counters().RetriesDenied.Load(); got == 0 {
		t.Error("no retry was denied")
	}
}

// TestRetryElsewhere checks that a request that was never sent is sent to another
// upstream, even if it is not idempotent.
func TestRetryElsewhere(t *testing.T) {
	addr := serve(t, func(w http.ResponseWriter, r *http.Request) {
		echoID(w, r)
		w.WriteHeader(http.StatusCreated)
	})
	d := newTestDispatcher(t, Config{Upstreams: fixedUpstreams{
		"dead": {Address: "127.0.0.1:1"}, "s": {Address: addr},
	}, ConnectTimeout: time.Second})
	q, c := newFakeQueue("dead", "s"), newFakeCaller()
	res := d.Serve(context.Background(), reservation(), q, c)
	if res.Status != http.StatusCreated || res.Attempts != 2 {
		t.Errorf("result = %+v, want 201 at the second attempt", res)
	}
}
