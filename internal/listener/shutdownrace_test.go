package listener

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/lesismal/nbio"

	"lentilwood.example/lentilwood/internal/timekeeper"
)

// onlyConn returns the server's end of the only connection of l.
func onlyConn(t *testing.T, l *Listener) *serverConn {
	t.Helper()
	for range 1000 {
		if open := l.listConns(); len(open) == 1 {
			return open[0]
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("got no connection")
	return nil
}

// shutdownAsync shuts l down in the background.
func shutdownAsync(t *testing.T, l *Listener) <-chan error {
	t.Helper()
	shutdownErr := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		shutdownErr <- l.Shutdown(ctx)
	}()
	return shutdownErr
}

// TestShutdownServesRequestBeingDispatched guards against a lost request: the shutdown checks
// a connection for idleness between the last byte of a request and the start of its handler.
func TestShutdownServesRequestBeingDispatched(t *testing.T) {
	l := startListener(t, Config{Handler: echo})
	conn := dial(t, l)
	sendRaw(t, conn, rawGetKeepAlive)
	if _, body := readResponse(t, conn); len(body) == 0 {
		t.Fatal("got no response before the shutdown")
	}
	sc := onlyConn(t, l)
	sc.parser.Execute = func(job func()) bool {
		sc.closeIfIdle()
		return sc.execute(job)
	}
	sendRaw(t, conn, rawGetKeepAlive)
	if _, body := readResponse(t, conn); string(body) != `GET / ""` {
		t.Errorf("got %q, want the response to the request that was read", body)
	}
}

// TestShutdownServesRequestNotReadYet guards against a lost request: the shutdown finds a
// connection idle although the kernel holds a request that its blocked poller has not read
// yet.
func TestShutdownServesRequestNotReadYet(t *testing.T) {
	l := startListener(t, Config{Handler: echo})
	conn := dial(t, l)
	sendRaw(t, conn, rawGetKeepAlive)
	readResponse(t, conn)
	sc := onlyConn(t, l)
	blocked, release := make(chan struct{}), make(chan struct{})
	sc.parser.Execute = func(job func()) bool {
		close(blocked)
		<-release // keeps the poller from reading further
		sc.parser.Execute = sc.execute
		return sc.execute(job)
	}
	sendRaw(t, conn, rawGetKeepAlive)
	<-blocked
	second := dial(t, l)
	sendRaw(t, second, rawGetClose)
	shutdownErr := shutdownAsync(t, l)
	time.Sleep(20 * shutdownPollInterval)
	close(release)
	if _, body := readResponse(t, second); string(body) != `GET / ""` {
		t.Errorf("got %q on the second connection, want its response", body)
	}
	_, _ = conn.Close(), second.Close()
	if err := <-shutdownErr; err != nil {
		t.Errorf("got error %v from Shutdown, want none", err)
	}
}

// TestShutdownServesNewConnection guards against closing a connection that was opened just
// before the shutdown and whose first request is still on the way.
func TestShutdownServesNewConnection(t *testing.T) {
	l := startListener(t, Config{Handler: echo})
	conn := dial(t, l)
	onlyConn(t, l)
	shutdownErr := shutdownAsync(t, l)
	time.Sleep(20 * shutdownPollInterval)
	sendRaw(t, conn, rawGetKeepAlive)
	res, body := readResponse(t, conn)
	if string(body) != `GET / ""` || !res.Close {
		t.Errorf("got %q, close %v, want the response and Connection: close", body, res.Close)
	}
	_ = conn.Close()
	if err := <-shutdownErr; err != nil {
		t.Errorf("got error %v from Shutdown, want none", err)
	}
}

// TestStopAcceptingServesAcceptBacklog guards against resets of connections that wait in the
// accept backlog when the port is closed.
func TestStopAcceptingServesAcceptBacklog(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	a := newAcceptor(ln, &Config{Clock: timekeeper.System{}, OnRejected: func(string) {}}, func() bool { return false })
	const waiting = 3
	for range waiting {
		conn, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
	}
	a.stopAccepting()
	for i := range waiting {
		conn, err := a.Accept()
		if err != nil {
			t.Fatalf("got %v for connection %d of %d in the backlog", err, i+1, waiting)
		}
		_ = conn.Close()
	}
	go func() { _, _ = a.Accept() }() // blocks until Close
	<-a.backlogServed
	if err := a.Close(); err != nil {
		t.Error(err)
	}
}

// TestShutdownServesRequestBeingParsed guards against a lost request: the shutdown checks a
// connection for idleness after the poller read its bytes from the kernel and before they are
// parsed.
func TestShutdownServesRequestBeingParsed(t *testing.T) {
	l := startListener(t, Config{Handler: echo})
	conn := dial(t, l)
	sendRaw(t, conn, rawGetKeepAlive)
	readResponse(t, conn)
	sc := onlyConn(t, l)
	sc.nbc.OnData(func(_ *nbio.Conn, data []byte) {
		sc.closeIfIdle()
		_ = sc.Parse(data)
	})
	sendRaw(t, conn, rawGetKeepAlive)
	if _, body := readResponse(t, conn); string(body) != `GET / ""` {
		t.Errorf("got %q, want the response to the request being parsed", body)
	}
}

// TestDisableKeepAliveAppliesToRequestInProgress disables keep-alive while a request is in
// progress: its response must announce the close, so that the caller sends no further request
// on the connection.
func TestDisableKeepAliveAppliesToRequestInProgress(t *testing.T) {
	started, keepAliveOff := make(chan struct{}), make(chan struct{})
	l := startListener(t, Config{Handler: func(c *Caller, _ *http.Request) {
		close(started)
		<-keepAliveOff
		c.WriteHeader(http.StatusOK)
	}})
	conn := dial(t, l)
	sendRaw(t, conn, rawGetKeepAlive)
	<-started
	l.DisableKeepAlive()
	close(keepAliveOff)
	if res, _ := readResponse(t, conn); !res.Close {
		t.Error("got a response without Connection: close, want the close announced")
	}
}

// TestTimedOutRequestGetsOneResponse guards against two responses to one request whose last
// bytes arrive just as it times out.
func TestTimedOutRequestGetsOneResponse(t *testing.T) {
	l := startListener(t, Config{Handler: echo})
	conn := dial(t, l)
	sendRaw(t, conn, "GET / HT")
	sc := onlyConn(t, l)
	for {
		sc.mu.Lock()
		reading := !sc.readingSince.IsZero()
		sc.mu.Unlock()
		if reading {
			break
		}
		time.Sleep(time.Millisecond)
	}
	sc.checkTimeouts(time.Now().Add(2 * DefaultReadTimeout))
	sc.execute(func() { _, _ = sc.parser.Conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")) })
	got, err := io.ReadAll(conn)
	if err != nil {
		t.Fatal(err)
	}
	if n := strings.Count(string(got), "HTTP/1.1 "); n != 1 || !strings.HasPrefix(string(got), "HTTP/1.1 408") {
		t.Errorf("got %d responses, %q, want only a 408", n, got)
	}
}
