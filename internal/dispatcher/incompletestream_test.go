package dispatcher

import (
	"context"
	"net/http"
	"testing"
	"time"

	"lentilwood.example/lentilwood/internal/relayer"
	"lentilwood.example/lentilwood/internal/timekeeper"
)

// TestIncompleteStreamIsAborted checks that the caller's connection is aborted if the
// router ends a stream before the caller has received all of it.
func TestIncompleteStreamIsAborted(t *testing.T) {
	t.Run("caller reads nothing for too long", func(t *testing.T) {
		addr := pausingStream(t, nil)
		clock := timekeeper.NewManual(time.Unix(1_800_000_000, 0))
		d := newTestDispatcher(t, Config{
			Dialect: resendDialect{}, Clock: clock, CallerTimeout: time.Second, Upstreams: fixedUpstreams{"a": {Address: addr}},
			RelayLimits: relayer.Limits{WindowBytes: 16, StreamBytes: 16},
		})
		c, done := newFakeCaller(), make(chan Result, 1)
		c.slow = true
		go func() { done <- d.Serve(context.Background(), resumableStream(), newFakeQueue("a"), c) }()
		<-c.wrote
		res := advanceUntil(clock, 100*time.Millisecond, done)
		if got, want := c.text(), numberedEvents(1, 3); got == want || !res.Aborted {
			t.Errorf("got %q of an incomplete stream, aborted %v, want an aborted connection", got, res.Aborted)
		}
	})
	t.Run("router stops before its caller has read the rest", func(t *testing.T) {
		addr := serve(t, func(w http.ResponseWriter, r *http.Request) {
			startStream(w, r)
			writeEvent(w, numberedEvents(1, 6))
		})
		d := newTestDispatcher(t, Config{
			Dialect: resendDialect{}, Upstreams: fixedUpstreams{"a": {Address: addr}},
			RelayLimits: relayer.Limits{WindowBytes: 16},
		})
		c, done := newFakeCaller(), make(chan Result, 1)
		c.slow = true
		q := newFakeQueue("a")
		ctx, stop := context.WithCancel(context.Background())
		go func() { done <- d.Serve(ctx, resumableStream(), q, c) }()
		for len(q.finishes()) == 0 {
			time.Sleep(time.Millisecond)
		}
		stop()
		res := <-done
		if got, whole := c.text(), numberedEvents(1, 6); got == whole || !res.Aborted {
			t.Errorf("got %q of %q, aborted %v, want an aborted connection", got, whole, res.Aborted)
		}
	})
}

// pausingStream starts an upstream that pauses after three of six events until proceed is
// closed or its caller disconnects.
func pausingStream(t *testing.T, proceed <-chan struct{}) string {
	return serve(t, func(w http.ResponseWriter, r *http.Request) {
		startStream(w, r)
		writeEvent(w, numberedEvents(1, 3))
		select {
		case <-proceed:
			writeEvent(w, numberedEvents(4, 6))
		case <-r.Context().Done():
		}
	})
}
