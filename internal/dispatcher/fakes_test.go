package dispatcher

import (
	"bufio"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"lentilwood.example/lentilwood/internal/messenger"
)

// fakeCaller is an in-memory caller. If slow is set, written bytes stay pending until
// drain is called.
type fakeCaller struct {
	mu      sync.Mutex
	header  http.Header
	status  int
	body    []byte
	flushes int
	slow    bool
	pending int
	done    chan struct{}
	// disconnected is the result of Disconnected. It may be true while done is still open.
	disconnected bool
	// wrote receives a value on each write.
	wrote chan struct{}
}

func newFakeCaller() *fakeCaller {
	return &fakeCaller{header: make(http.Header), done: make(chan struct{}), wrote: make(chan struct{}, 1)}
}

func (c *fakeCaller) Header() http.Header { return c.header }

func (c *fakeCaller) WriteHeader(status int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.status != 0 {
		panic("head written twice")
	}
	c.status = status
}

func (c *fakeCaller) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.body = append(c.body, p...)
	if c.slow {
		c.pending += len(p)
	}
	select {
	case c.wrote <- struct{}{}:
	default:
	}
	return len(p), nil
}

func (c *fakeCaller) Flush() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.flushes++
}

func (c *fakeCaller) Pending() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending
}

// drain sends n of the pending bytes.
func (c *fakeCaller) drain(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending -= min(n, c.pending)
}

func (c *fakeCaller) Done() <-chan struct{} { return c.done }

func (c *fakeCaller) Disconnected() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.disconnected
}

func (c *fakeCaller) text() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return string(c.body)
}

// fakeQueue dispatches one request to its upstreams in order and records the events it
// receives.
type fakeQueue struct {
	mu        sync.Mutex
	actions   chan messenger.Action
	upstreams []messenger.UpstreamID
	nextIndex int
	events    []messenger.Event
	// hold suppresses the first Dispatch.
	hold bool
	id   messenger.RequestID
	// writeBy is until when a dispatched request may be written to a cold upstream.
	writeBy time.Time
}

func newFakeQueue(upstreams ...messenger.UpstreamID) *fakeQueue {
	return &fakeQueue{actions: make(chan messenger.Action, 16), upstreams: upstreams}
}

func (q *fakeQueue) Actions() <-chan messenger.Action { return q.actions }

func (q *fakeQueue) Notify(e messenger.Event) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.events = append(q.events, e)
	switch e := e.(type) {
	case messenger.Arrive:
		q.id = e.Request
		if !q.hold {
			q.next()
		}
	case messenger.Finish:
		if e.Retry {
			q.next()
		}
	case messenger.UpstreamSilent:
		if e.CanMove && q.nextIndex < len(q.upstreams) {
			q.actions <- messenger.Dispatch{Request: q.id, Upstream: q.upstreams[q.nextIndex], Replaces: e.Upstream}
			q.nextIndex++
		}
	}
}

// next dispatches to the next upstream, or refuses if there is none.
func (q *fakeQueue) next() {
	if q.nextIndex >= len(q.upstreams) {
		q.actions <- messenger.Refuse{Request: q.id, Reason: messenger.RefuseNoUpstream}
		return
	}
	q.actions <- messenger.Dispatch{Request: q.id, Upstream: q.upstreams[q.nextIndex], WriteBy: q.writeBy}
	q.nextIndex++
}

// finishes returns the Finish events received so far.
func (q *fakeQueue) finishes() []messenger.Finish {
	q.mu.Lock()
	defer q.mu.Unlock()
	var out []messenger.Finish
	for _, e := range q.events {
		if f, ok := e.(messenger.Finish); ok {
			out = append(out, f)
		}
	}
	return out
}

// tokens returns the sum of tokens over all Progress events, and how many of them had
// First set.
func (q *fakeQueue) tokens() (sum float64, firsts int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, e := range q.events {
		if p, ok := e.(messenger.Progress); ok {
			sum += p.Tokens
			if p.First {
				firsts++
			}
		}
	}
	return sum, firsts
}

// fixedUpstreams is an Upstreams that does not change.
type fixedUpstreams map[messenger.UpstreamID]messenger.UpstreamPolicy

func (u fixedUpstreams) Upstream(id messenger.UpstreamID) (messenger.UpstreamPolicy, bool) {
	p, ok := u[id]
	return p, ok
}

// serve starts a loopback upstream with handler h and returns its address.
func serve(t *testing.T, h http.HandlerFunc) string {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	return strings.TrimPrefix(s.URL, "http://")
}

// serveConns starts a loopback upstream that calls handle for each connection and then
// closes it.
func serveConns(t *testing.T, handle func(conn net.Conn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listen: %v", err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				handle(conn)
			}()
		}
	}()
	return l.Addr().String()
}

// serveRaw starts a loopback upstream that reads one request per connection and lets h
// write raw bytes. The connection is closed afterwards.
func serveRaw(t *testing.T, h func(conn net.Conn, r *http.Request)) string {
	t.Helper()
	return serveConns(t, func(conn net.Conn) {
		r, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		h(conn, r)
	})
}

// serveKeepAlive starts a loopback upstream that responds to each request on a connection
// with raw. It sends a value to accepted for each connection.
func serveKeepAlive(t *testing.T, accepted chan<- struct{}, raw string) string {
	t.Helper()
	return serveConns(t, func(conn net.Conn) {
		accepted <- struct{}{}
		br := bufio.NewReader(conn)
		for {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(conn, raw)
		}
	})
}

func quietLog() *logrus.Logger {
	l := logrus.New()
	l.SetOutput(io.Discard)
	return l
}

// echoID returns the request's id, as every upstream does.
func echoID(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(messenger.RequestIDHeader, r.Header.Get(messenger.RequestIDHeader))
}

// problemOf parses the problem document that a caller received.
func problemOf(t *testing.T, c *fakeCaller) problem {
	t.Helper()
	if got, want := c.header.Get("Content-Type"), "application/problem+json"; got != want {
		t.Fatalf("Content-Type = %q, want %q; body %q", got, want, c.text())
	}
	var p problem
	if err := json.Unmarshal([]byte(c.text()), &p); err != nil {
		t.Fatalf("problem document: %v", err)
	}
	return p
}

// decline answers that the request was not run, as resendDialect reads it.
func decline(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("X-Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// breakOff closes the connection without the rest of the response.
func breakOff(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
