package listener

import (
	"errors"
	"io"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

const (
	// reuseConns is how many connections of each kind are opened: with as many, new ones take
	// the file descriptors of old ones.
	reuseConns = 16
	// reuseWait is for how many milliseconds new connections may be taken in at most while
	// the poller is held: they may have to wait for it.
	reuseWait = 200
	// badRequest makes a poller call Refused, which can hold it.
	badRequest = "no request\r\n\r\n"
)

// heldPoller holds a poller whenever it refuses a request.
type heldPoller struct {
	entered chan struct{}
	release chan struct{}
}

func (h *heldPoller) refused(string) {
	h.entered <- struct{}{}
	<-h.release
}

// boundariesOf returns the boundaries of connections, in their order.
func boundariesOf(t *testing.T, l *Listener, conns []net.Conn) []*boundary {
	t.Helper()
	found := make([]*boundary, len(conns))
	await(t, "the connections are taken in", func() bool {
		byRemote := make(map[string]*boundary)
		for _, b := range l.snapshot() {
			byRemote[b.nbc.RemoteAddr().String()] = b
		}
		for i, conn := range conns {
			if found[i] = byRemote[conn.LocalAddr().String()]; found[i] == nil {
				return false
			}
		}
		return true
	})
	return found
}

func await(t *testing.T, what string, done func() bool) {
	t.Helper()
	for range 5000 {
		if done() {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatalf("not in time: %s", what)
}

// dialMany opens connections. One more descriptor is taken midway, so that some reach each
// poller.
func dialMany(t *testing.T, l *Listener) []net.Conn {
	t.Helper()
	conns := make([]net.Conn, reuseConns)
	for i := range conns {
		if i == reuseConns/2 {
			occupyDescriptor(t)
		}
		conns[i] = dial(t, l)
	}
	return conns
}

func occupyDescriptor(t *testing.T) {
	t.Helper()
	file, err := os.Open(os.DevNull)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = file.Close() })
}

// TestEndOfAConnectionEndsNoneThatTookItsDescriptor has callers leave while a poller is
// busy. Their connections are closed by others, and new ones take their descriptors, before
// the poller comes to what the system told it of the old ones.
func TestEndOfAConnectionEndsNoneThatTookItsDescriptor(t *testing.T) {
	held := &heldPoller{entered: make(chan struct{}), release: make(chan struct{})}
	l := start(t, Config{Handler: echo, Refused: held.refused})
	bad, left := dialMany(t, l), dialMany(t, l)
	badSides := boundariesOf(t, l, bad)
	var pair []int
	for i, b := range badSides {
		if b.nbc.Hash()%pollers == badSides[0].nbc.Hash()%pollers {
			pair = append(pair, i)
		}
	}
	if len(pair) < 2 {
		t.Fatalf("got %d connections at a poller, want two", len(pair))
	}
	send(t, bad[pair[0]], badRequest)
	<-held.entered
	send(t, bad[pair[1]], badRequest)
	await(t, "the second bad request waits", func() bool { n, _ := badSides[pair[1]].peek(); return n == 1 })
	leftSides := boundariesOf(t, l, left)
	for i, conn := range left {
		if leftSides[i].nbc.Hash()%pollers != badSides[0].nbc.Hash()%pollers {
			continue
		}
		_ = conn.Close()
		await(t, "the end of a connection waits", func() bool {
			n, err := leftSides[i].peek()
			return n == 0 && err == nil || errors.Is(err, syscall.ECONNRESET)
		})
	}
	held.release <- struct{}{}
	<-held.entered // by the second bad request, with the ends behind it
	for i, b := range leftSides {
		if b.nbc.Hash()%pollers == badSides[0].nbc.Hash()%pollers {
			leftSides[i].closeNow("its caller has left")
		}
	}
	before := l.acceptor.taken.Load()
	fresh := dialMany(t, l)
	for i := 0; i < reuseWait && l.acceptor.taken.Load() < before+reuseConns; i++ {
		time.Sleep(time.Millisecond)
	}
	held.release <- struct{}{}
	var ended atomic.Int64
	for _, conn := range fresh {
		send(t, conn, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
		if _, err := io.ReadFull(conn, make([]byte, len("HTTP/1.1 200"))); err != nil {
			ended.Add(1)
		}
	}
	if got := ended.Load(); got > 0 {
		t.Errorf("got %d of %d new connections ended without an answer, want none", got, len(fresh))
	}
}
