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

// boundaryOf returns the boundary of the only connection of l.
func boundaryOf(t *testing.T, l *Listener) *boundary {
	t.Helper()
	for range 1000 {
		if open := l.snapshot(); len(open) == 1 {
			return open[0]
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("got no connection")
	return nil
}

// shutDown stops l in the background.
func shutDown(t *testing.T, l *Listener) <-chan error {
	t.Helper()
	ended := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		defer cancel()
		ended <- l.Shutdown(ctx)
	}()
	return ended
}

// TestShutdownSparesARequestThatIsHandedOver has the shutdown look at a connection
// between the last byte of a request and the start of its handler.
func TestShutdownSparesARequestThatIsHandedOver(t *testing.T) {
	l := start(t, Config{Handler: echo})
	conn := dial(t, l)
	send(t, conn, getKeep)
	if _, body := readBody(t, conn); len(body) == 0 {
		t.Fatal("got no answer before the shutdown")
	}
	b := boundaryOf(t, l)
	b.parser.Execute = func(job func()) bool {
		b.endIfIdle()
		return b.execute(job)
	}
	send(t, conn, getKeep)
	if _, body := readBody(t, conn); string(body) != `GET / ""` {
		t.Errorf("got %q, want the answer to the request that was read", body)
	}
}

// TestShutdownSparesARequestNotReadYet stops a listener whose poller has yet to read
// a request that came in.
func TestShutdownSparesARequestNotReadYet(t *testing.T) {
	l := start(t, Config{Handler: echo})
	conn := dial(t, l)
	send(t, conn, getKeep)
	readBody(t, conn)
	b := boundaryOf(t, l)
	held, release := make(chan struct{}), make(chan struct{})
	b.parser.Execute = func(job func()) bool {
		close(held)
		<-release // keeps the poller from reading on
		b.parser.Execute = b.execute
		return b.execute(job)
	}
	send(t, conn, getKeep)
	<-held
	second := dial(t, l)
	send(t, second, getClose)
	ended := shutDown(t, l)
	time.Sleep(20 * shutdownPoll)
	close(release)
	if _, body := readBody(t, second); string(body) != `GET / ""` {
		t.Errorf("got %q on the second connection, want its answer", body)
	}
	_, _ = conn.Close(), second.Close()
	if err := <-ended; err != nil {
		t.Errorf("got %v, want a clean end", err)
	}
}

// TestShutdownServesANewConnection stops a listener right after a caller connected,
// before its request is there.
func TestShutdownServesANewConnection(t *testing.T) {
	l := start(t, Config{Handler: echo})
	conn := dial(t, l)
	boundaryOf(t, l)
	ended := shutDown(t, l)
	time.Sleep(20 * shutdownPoll)
	send(t, conn, getKeep)
	res, body := readBody(t, conn)
	if string(body) != `GET / ""` || !res.Close {
		t.Errorf("got %q, close %v, want the answer and the end of the connection", body, res.Close)
	}
	_ = conn.Close()
	if err := <-ended; err != nil {
		t.Errorf("got %v, want a clean end", err)
	}
}

// TestClosedPortHandsOverItsQueue closes a port at which callers wait to be accepted.
func TestClosedPortHandsOverItsQueue(t *testing.T) {
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
			t.Fatalf("got %v for connection %d of %d that waited", err, i+1, waiting)
		}
		_ = conn.Close()
	}
	go func() { _, _ = a.Accept() }() // waits for the end
	<-a.handedOver
	if err := a.Close(); err != nil {
		t.Error(err)
	}
}

// TestShutdownSparesARequestThatIsBeingRead has the shutdown look at a connection whose
// bytes the poller has taken from the system and not yet looked at.
func TestShutdownSparesARequestThatIsBeingRead(t *testing.T) {
	l := start(t, Config{Handler: echo})
	conn := dial(t, l)
	send(t, conn, getKeep)
	readBody(t, conn)
	b := boundaryOf(t, l)
	b.nbc.OnData(func(_ *nbio.Conn, data []byte) {
		b.endIfIdle()
		_ = b.Parse(data)
	})
	send(t, conn, getKeep)
	if _, body := readBody(t, conn); string(body) != `GET / ""` {
		t.Errorf("got %q, want the answer to the request that was being read", body)
	}
}

// TestShutdownAnnouncesTheEndWithAnswersUnderWay has the end announced while a request is in
// progress: its caller is to send no other one on the connection.
func TestShutdownAnnouncesTheEndWithAnswersUnderWay(t *testing.T) {
	begun, announced := make(chan struct{}), make(chan struct{})
	l := start(t, Config{Handler: func(c *Caller, _ *http.Request) {
		close(begun)
		<-announced
		c.WriteHeader(http.StatusOK)
	}})
	conn := dial(t, l)
	send(t, conn, getKeep)
	<-begun
	l.DisableKeepAlive()
	close(announced)
	if res, _ := readBody(t, conn); !res.Close {
		t.Error("got an answer that leaves the connection open, want its end announced")
	}
}

// TestRequestThatIsTimedOutHasOneAnswer has the last bytes of a request come in just as it is
// given up for coming too slowly.
func TestRequestThatIsTimedOutHasOneAnswer(t *testing.T) {
	l := start(t, Config{Handler: echo})
	conn := dial(t, l)
	send(t, conn, "GET / HT")
	b := boundaryOf(t, l)
	for {
		b.mu.Lock()
		reading := !b.readingSince.IsZero()
		b.mu.Unlock()
		if reading {
			break
		}
		time.Sleep(time.Millisecond)
	}
	b.checkTimes(time.Now().Add(2 * DefaultReadTimeout))
	b.execute(func() { _, _ = b.parser.Conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")) })
	got, err := io.ReadAll(conn)
	if err != nil {
		t.Fatal(err)
	}
	if n := strings.Count(string(got), "HTTP/1.1 "); n != 1 || !strings.HasPrefix(string(got), "HTTP/1.1 408") {
		t.Errorf("got %d answers, %q, want a 408 alone", n, got)
	}
}
