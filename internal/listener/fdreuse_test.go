package listener

import (
	"net"
	"net/http"
	"os"
	"testing"
	"time"
)

// reservedFDs is the number of file descriptors that are opened for a new connection before
// the server's end gets its final one: one for the client's end, which is in this process, and
// one for the accepted socket, which nbio duplicates.
const reservedFDs = 2

// openFile occupies the lowest free file descriptor.
func openFile(t *testing.T) *os.File {
	t.Helper()
	f, err := os.Open(os.DevNull)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = f.Close() })
	return f
}

// fillFDsBelow occupies the free file descriptors below limit.
func fillFDsBelow(t *testing.T, limit int) {
	t.Helper()
	for f := openFile(t); int(f.Fd()) < limit; f = openFile(t) {
	}
}

// servedConn is both ends of a connection on which a request was served.
type servedConn struct {
	net.Conn
	sc *serverConn
}

// connectAndServe opens a connection, sends a request on it and finds the server's end.
func connectAndServe(t *testing.T, l *Listener) servedConn {
	t.Helper()
	conn := dial(t, l)
	sendRaw(t, conn, rawGetKeepAlive)
	readResponse(t, conn)
	for _, sc := range l.listConns() {
		if sc.nbc.RemoteAddr().String() == conn.LocalAddr().String() {
			return servedConn{conn, sc}
		}
	}
	t.Fatal("no open server connection matches the client's address")
	return servedConn{}
}

// connectToOnePoller opens n connections that are read by the same poller.
func connectToOnePoller(t *testing.T, l *Listener, n int) []servedConn {
	t.Helper()
	conns := make(map[int][]servedConn)
	for {
		c := connectAndServe(t, l)
		poller := c.sc.nbc.Hash() % numPollers
		conns[poller] = append(conns[poller], c)
		if len(conns[poller]) == n {
			return conns[poller]
		}
	}
}

// blockPoller sends a request on c that blocks its poller until release is called. blocked is
// closed once the poller blocks.
func blockPoller(t *testing.T, c servedConn) (blocked <-chan struct{}, release func()) {
	t.Helper()
	blockedCh, released := make(chan struct{}), make(chan struct{})
	c.sc.parser.Execute = func(job func()) bool {
		c.sc.parser.Execute = c.sc.execute
		close(blockedCh)
		<-released
		return c.sc.execute(job)
	}
	sendRaw(t, c, rawGetKeepAlive)
	return blockedCh, func() { close(released) }
}

// closeWrite closes the sending side of the client's end and keeps its file descriptor open.
func closeWrite(t *testing.T, c servedConn) {
	t.Helper()
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		t.Fatal("got no TCP connection")
	}
	if err := tcp.CloseWrite(); err != nil {
		t.Fatal(err)
	}
}

// TestStaleEventDoesNotCloseConnWithReusedFD guards against a new connection being closed by
// an event of an earlier one. The caller of a connection disconnects; between the poller
// fetching that event and handling it, the server closes the connection and another caller
// connects and gets the same file descriptor.
func TestStaleEventDoesNotCloseConnWithReusedFD(t *testing.T) {
	reserved := make([]*os.File, 0, reservedFDs)
	for range reservedFDs {
		reserved = append(reserved, openFile(t))
	}
	nextFD := make(chan int, 1)
	l := startListener(t, Config{Handler: func(c *Caller, r *http.Request) {
		if r.URL.Path != "/next" {
			return
		}
		nextFD <- c.sc.nbc.Hash()
		select {
		case <-c.Done():
		case <-time.After(100 * time.Millisecond):
		}
	}})
	conns := connectToOnePoller(t, l, 3)
	leaving, busy, first := conns[0], conns[1], conns[2]
	leavingFD := leaving.sc.nbc.Hash()
	fillFDsBelow(t, leavingFD)

	blocked, release := blockPoller(t, first)
	<-blocked
	busyBlocked, releaseBusy := blockPoller(t, busy)
	closeWrite(t, leaving)
	release()
	<-busyBlocked // the poller has fetched the end-of-file event and not handled it
	closesReported := make(chan struct{})
	l.engine.Async(func() { <-closesReported }) // delays nbio's close callbacks
	_ = leaving.sc.nbc.Close()
	for _, f := range reserved {
		_ = f.Close()
	}
	next := dial(t, l)
	sendRaw(t, next, "GET /next HTTP/1.1\r\nHost: h\r\n\r\n")
	time.Sleep(50 * time.Millisecond) // the next connection is accepted meanwhile
	releaseBusy()
	close(closesReported)
	if got := <-nextFD; got != leavingFD {
		t.Fatalf("next connection has file descriptor %d, want %d of the closed one", got, leavingFD)
	}
	if res, _ := readResponse(t, next); res.StatusCode != http.StatusOK {
		t.Errorf("got status %d, want 200", res.StatusCode)
	}
}

// TestAbandonedProbesDoNotBlockStop guards against a stop that hangs on probes whose
// awaitProcessed was abandoned because the listener stopped.
func TestAbandonedProbesDoNotBlockStop(t *testing.T) {
	l := startListener(t, Config{Handler: echo})
	abandoned := make(chan struct{})
	close(abandoned)
	l.mu.Lock()
	p := l.probes[0]
	l.mu.Unlock()
	for range 40 {
		if err := p.awaitProcessed(abandoned); err != nil {
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
	case <-time.After(testTimeout):
		t.Error("stop did not return")
	}
}
