package dispatcher

import (
	"context"
	"net/http"
	"testing"
	"time"

	"lentilwood.example/lentilwood/internal/relayer"
	"lentilwood.example/lentilwood/internal/timekeeper"
)

// TestUnfinishedStreamNeverLooksWhole has streams end for the router's reasons before their
// caller has all of them: what it is given must end by cutting the connection.
func TestUnfinishedStreamNeverLooksWhole(t *testing.T) {
	t.Run("caller reads nothing for too long", func(t *testing.T) {
		addr := pausingStream(t, nil)
		clock := timekeeper.NewManual(time.Unix(1_800_000_000, 0))
		d := newTestDispatcher(t, Config{
			Dialect: resendDialect{}, Clock: clock, CallerTimeout: time.Second, Upstreams: fixedUpstreams{"a": {Address: addr}},
			RelayLimits: relayer.Limits{WindowBytes: 16, StreamBytes: 16},
		})
		c, done := newFakeCaller(), make(chan Result, 1)
		c.slow = true
		go func() { done <- d.Serve(context.Background(), stream(), newFakeQueue("a"), c) }()
		<-c.wrote
		res := advanceUntil(clock, 100*time.Millisecond, done)
		if got, want := c.text(), numbered(1, 3); got == want || !res.Aborted {
			t.Errorf("got %q of an unfinished stream, aborted %v, want the connection cut", got, res.Aborted)
		}
	})
	t.Run("router stops before its caller has read the rest", func(t *testing.T) {
		addr := serve(t, func(w http.ResponseWriter, r *http.Request) {
			beginStream(w, r)
			writeEvent(w, numbered(1, 6))
		})
		d := newTestDispatcher(t, Config{
			Dialect: resendDialect{}, Upstreams: fixedUpstreams{"a": {Address: addr}},
			RelayLimits: relayer.Limits{WindowBytes: 16},
		})
		c, done := newFakeCaller(), make(chan Result, 1)
		c.slow = true
		q := newFakeQueue("a")
		ctx, stop := context.WithCancel(context.Background())
		go func() { done <- d.Serve(ctx, stream(), q, c) }()
		for len(q.finishes()) == 0 {
			time.Sleep(time.Millisecond)
		}
		stop()
		res := <-done
		if got, whole := c.text(), numbered(1, 6); got == whole || !res.Aborted {
			t.Errorf("got %q of %q, aborted %v, want the connection cut", got, whole, res.Aborted)
		}
	})
}

// pausingStream starts an upstream that pauses within a stream of six events until it is
// told to go on, or until its caller closes.
func pausingStream(t *testing.T, goOn <-chan struct{}) string {
	return serve(t, func(w http.ResponseWriter, r *http.Request) {
		beginStream(w, r)
		writeEvent(w, numbered(1, 3))
		select {
		case <-goOn:
			writeEvent(w, numbered(4, 6))
		case <-r.Context().Done():
		}
	})
}
