//go:build red

package dispatcher

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"lentilwood.example/lentilwood/internal/timekeeper"
)

// awaitText waits until a caller was given a text.
func awaitText(c *fakeCaller, text string) {
	for c.text() != text {
		<-c.wrote
	}
}

// awaitSilence moves the clock past a progress timeout and waits until that was noticed.
func awaitSilence(d *Dispatcher, clock *timekeeper.Manual, timeout time.Duration) {
	for d.Counters().SilentConnections.Load() == 0 {
		advanceWhenIdle(clock, timeout)
		time.Sleep(time.Millisecond)
	}
}

// TestSilentStreamIsKeptUntilAnotherGoesOn has a sound upstream pause in a stream, and the
// upstream that is asked for the rest say that it can't run it.
func TestSilentStreamIsKeptUntilAnotherGoesOn(t *testing.T) {
	goOn, declined := make(chan struct{}), make(chan struct{}, 4)
	first := pausingStream(t, goOn)
	second := serve(t, func(w http.ResponseWriter, r *http.Request) {
		echoID(w, r)
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		declined <- struct{}{}
	})
	clock := timekeeper.NewManual(time.Unix(1_800_000_000, 0))
	d := newTestDispatcher(t, Config{
		Dialect: resendDialect{}, Clock: clock, Upstreams: fixedUpstreams{"a": {Address: first}, "b": {Address: second}},
	})
	req, c, done := stream(), newFakeCaller(), make(chan Result, 1)
	req.Class.ProgressTimeout = time.Second
	req.MaxSends = 2
	go func() { done <- d.Serve(context.Background(), req, newFakeQueue("a", "b"), c) }()
	awaitText(c, numbered(1, 3))
	awaitSilence(d, clock, req.Class.ProgressTimeout)
	<-declined
	close(goOn)
	res := <-done
	if got, want := c.text(), numbered(1, 6); got != want || res.Aborted {
		t.Errorf("answer = %q, aborted %v, want the whole stream %q", got, res.Aborted, want)
	}
}

// gatedConn is a connection whose reads wait for a gate while there is one, as on a VM that
// stands still.
type gatedConn struct {
	net.Conn
	gate <-chan chan struct{}
}

func (c gatedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	select {
	case opened := <-c.gate:
		<-opened
	default:
	}
	return n, err
}

// TestUpstreamIsNotSilentWhileTheRouterStoodStill has the router's VM stand still for longer
// than an upstream may be silent: what came in meanwhile waits to be read.
func TestUpstreamIsNotSilentWhileTheRouterStoodStill(t *testing.T) {
	goOn, sentAgain := make(chan struct{}), make(chan struct{}, 4)
	first := pausingStream(t, goOn)
	second := serve(t, func(http.ResponseWriter, *http.Request) { sentAgain <- struct{}{} })
	gate, opened := make(chan chan struct{}, 1), make(chan struct{})
	clock := timekeeper.NewManual(time.Unix(1_800_000_000, 0))
	d := newTestDispatcher(t, Config{
		Dialect: resendDialect{}, Clock: clock, Upstreams: fixedUpstreams{"a": {Address: first}, "b": {Address: second}},
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
			return gatedConn{Conn: conn, gate: gate}, err
		},
	})
	req, c, done := stream(), newFakeCaller(), make(chan Result, 1)
	req.Class.ProgressTimeout = time.Second
	req.MaxSends = 2
	go func() { done <- d.Serve(context.Background(), req, newFakeQueue("a", "b"), c) }()
	awaitText(c, numbered(1, 3))
	gate <- opened
	close(goOn) // the rest comes in, but nothing reads it yet
	advanceWhenIdle(clock, 10*req.Class.ProgressTimeout)
	select {
	case <-sentAgain:
		t.Error("the request was sent again, want what waits to be read first")
	case <-time.After(100 * time.Millisecond):
	}
	close(opened)
	if res := <-done; res.Attempts != 1 || c.text() != numbered(1, 6) {
		t.Errorf("answer = %q after %d attempts, want the whole stream of the first", c.text(), res.Attempts)
	}
}
