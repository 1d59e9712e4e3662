package listener

import (
	"net"
	"net/http"
	"os"
	"testing"
	"time"
)

// lowDescriptors is how many descriptors a new connection takes before its own: its
// caller's in this process, and the one that nbio replaces.
const lowDescriptors = 2

// openFile takes the lowest free descriptor.
func openFile(t *testing.T) *os.File {
	t.Helper()
	f, err := os.Open(os.DevNull)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = f.Close() })
	return f
}

// fillBelow takes the free descriptors below limit.
func fillBelow(t *testing.T, limit int) {
	t.Helper()
	for f := openFile(t); int(f.Fd()) < limit; f = openFile(t) {
	}
}

// servedConn is a connection that had an answer, seen from both ends.
type servedConn struct {
	net.Conn
	b *boundary
}

// connect opens a connection, has a request answered on it and finds its other end.
func connect(t *testing.T, l *Listener) servedConn {
	t.Helper()
	conn := dial(t, l)
	send(t, conn, getKeep)
	readBody(t, conn)
	for _, b := range l.snapshot() {
		if b.nbc.RemoteAddr().String() == conn.LocalAddr().String() {
			return servedConn{conn, b}
		}
	}
	t.Fatal("got no boundary of a connection that was served")
	return servedConn{}
}

// connectToOnePoller opens n connections that the same poller reads.
func connectToOnePoller(t *testing.T, l *Listener, n int) []servedConn {
	t.Helper()
	conns := make(map[int][]servedConn)
	for {
		c := connect(t, l)
		poller := c.b.nbc.Hash() % pollers
		conns[poller] = append(conns[poller], c)
		if len(conns[poller]) == n {
			return conns[poller]
		}
	}
}

// holdPoller sends a request with which the poller of c stands still until the returned
// function is called.
func holdPoller(t *testing.T, c servedConn) (held <-chan struct{}, release func()) {
	t.Helper()
	reached, released := make(chan struct{}), make(chan struct{})
	c.b.parser.Execute = func(job func()) bool {
		c.b.parser.Execute = c.b.execute
		close(reached)
		<-released
		return c.b.execute(job)
	}
	send(t, c, getKeep)
	return reached, func() { close(released) }
}

// leave ends a connection from its caller's side, whose descriptor stays taken.
func leave(t *testing.T, c servedConn) {
	t.Helper()
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		t.Fatal("got no TCP connection")
	}
	if err := tcp.CloseWrite(); err != nil {
		t.Fatal(err)
	}
}

// TestEventOfAClosedConnectionSparesTheNextOnItsDescriptor closes a connection whose
// caller has left between the moment at which its poller learns that and the moment at
// which it acts on it, while another caller connects.
func TestEventOfAClosedConnectionSparesTheNextOnItsDescriptor(t *testing.T) {
	low := make([]*os.File, 0, lowDescriptors)
	for range lowDescriptors {
		low = append(low, openFile(t))
	}
	descriptors := make(chan int, 1)
	l := start(t, Config{Handler: func(c *Caller, r *http.Request) {
		if r.URL.Path != "/next" {
			return
		}
		descriptors <- c.b.nbc.Hash()
		select {
		case <-c.Done():
		case <-time.After(100 * time.Millisecond):
		}
	}})
	conns := connectToOnePoller(t, l, 3)
	leaving, busy, first := conns[0], conns[1], conns[2]
	descriptor := leaving.b.nbc.Hash()
	fillBelow(t, descriptor)

	held, release := holdPoller(t, first)
	<-held
	heldAgain, releaseAgain := holdPoller(t, busy)
	leave(t, leaving)
	release()
	<-heldAgain // the poller has been told that the caller left, and has not looked at it
	reported := make(chan struct{})
	l.engine.Async(func() { <-reported }) // ends of connections are reported late
	_ = leaving.b.nbc.Close()
	for _, f := range low {
		_ = f.Close()
	}
	next := dial(t, l)
	send(t, next, "GET /next HTTP/1.1\r\nHost: h\r\n\r\n")
	time.Sleep(50 * time.Millisecond) // the next connection is taken in meanwhile
	releaseAgain()
	close(reported)
	if got := <-descriptors; got != descriptor {
		t.Fatalf("got descriptor %d for the next connection, want %d of the closed one", got, descriptor)
	}
	if res, _ := readBody(t, next); res.StatusCode != http.StatusOK {
		t.Errorf("got status %d, want 200", res.StatusCode)
	}
}

// TestPassesThatAreGivenUpHoldUpNoStop has a listener stop while connections wait for a poller.
func TestPassesThatAreGivenUpHoldUpNoStop(t *testing.T) {
	l := start(t, Config{Handler: echo})
	givenUp := make(chan struct{})
	close(givenUp)
	l.mu.Lock()
	p := l.probes[0]
	l.mu.Unlock()
	for range 40 {
		if err := p.pass(givenUp); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Millisecond) // the poller reads the byte
	}
	done := make(chan struct{})
	go func() {
		l.stop()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(patience):
		t.Error("got a listener that does not stop")
	}
}
