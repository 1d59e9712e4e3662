package dispatcher

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"lentilwood.example/lentilwood/internal/timekeeper"
)

// gatedConn is a connection whose reads block while a gate is set, as on a VM that is
// paused.
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

// TestUpstreamIsNotSilentWhileTheRouterStoodStill checks that an upstream does not count
// as silent if the router's VM was paused for longer than the progress timeout: data that
// arrived in the meantime must be read first.
func TestUpstreamIsNotSilentWhileTheRouterStoodStill(t *testing.T) {
	proceed, resent := make(chan struct{}), make(chan struct{}, 4)
	first := pausingStream(t, proceed)
	second := serve(t, func(http.ResponseWriter, *http.Request) { resent <- struct{}{} })
	gate, opened := make(chan chan struct{}, 1), make(chan struct{})
	clock := timekeeper.NewManual(time.Unix(1_800_000_000, 0))
	d := newTestDispatcher(t, Config{
		Dialect: resendDialect{}, Clock: clock, Upstreams: fixedUpstreams{"a": {Address: first}, "b": {Address: second}},
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
			return gatedConn{Conn: conn, gate: gate}, err
		},
	})
	req, c, done := resumableStream(), newFakeCaller(), make(chan Result, 1)
	req.Class.ProgressTimeout = time.Second
	req.MaxSends = 2
	go func() { done <- d.Serve(context.Background(), req, newFakeQueue("a", "b"), c) }()
	awaitText(c, numberedEvents(1, 3))
	gate <- opened
	close(proceed) // the rest comes in, but nothing reads it yet
	advanceWhenIdle(clock, 10*req.Class.ProgressTimeout)
	select {
	case <-resent:
		t.Error("the request was sent again before the data that had arrived was read")
	case <-time.After(100 * time.Millisecond):
	}
	close(opened)
	if res := <-done; res.Attempts != 1 || c.text() != numberedEvents(1, 6) {
		t.Errorf("response = %q after %d attempts, want the complete stream of the first", c.text(), res.Attempts)
	}
}

// TestStandstillExtendsSilenceOnce checks how long an upstream is given after a standstill of
// the router's VM that its own timer does not show: as long again, and no longer.
func TestStandstillExtendsSilenceOnce(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	stood := Standstill{From: start.Add(100 * time.Millisecond), To: start.Add(700 * time.Millisecond)}
	d := newTestDispatcher(t, Config{LastStandstill: func() Standstill { return stood }})
	req := resumableStream()
	req.Class.ProgressTimeout = 800 * time.Millisecond
	f := newInflightRequest(d, req, newFakeQueue(), newFakeCaller())
	at := &attempt{exchange: &exchange{}}
	at.recordProgress(start, req.Class.ProgressTimeout)
	now := at.deadline
	f.timerExpectedAt = now
	f.noteStandstill(now)
	if got, want := f.isSilenceUnproven(at, now), true; got != want || !at.deadline.Equal(stood.To.Add(600*time.Millisecond)) {
		t.Errorf("got %v and a deadline at %v, want an extension by the length of the standstill after its end", got, at.deadline.Sub(start))
	}
	f.timerExpectedAt = at.deadline
	f.noteStandstill(at.deadline)
	if f.isSilenceUnproven(at, at.deadline) {
		t.Error("the same standstill extended the silence twice")
	}
	at.exchange.control.unread = func() bool { return true }
	for _, want := range []bool{true, false} {
		if got := f.isSilenceUnproven(at, at.deadline); got != want {
			t.Errorf("with unread bytes: got %v, want %v: once for each silence", got, want)
		}
	}
	at.recordProgress(at.deadline, req.Class.ProgressTimeout)
	if !f.isSilenceUnproven(at, at.deadline) {
		t.Error("unread bytes after new progress: got a silence, want an extension")
	}
}
