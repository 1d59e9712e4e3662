package dispatcher

import (
	"context"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
)

// oneWay is one direction of a connection in memory. What was written before a
// close can still be read, as with TCP.
type oneWay struct {
	mu       sync.Mutex
	changed  *sync.Cond
	data     []byte
	closed   bool
	broken   bool
	deadline time.Time
}

func newOneWay() *oneWay {
	w := &oneWay{}
	w.changed = sync.NewCond(&w.mu)
	return w
}

func (w *oneWay) read(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for {
		switch {
		case w.broken:
			return 0, net.ErrClosed
		case len(w.data) > 0:
			n := copy(p, w.data)
			w.data = w.data[n:]
			return n, nil
		case w.closed:
			return 0, io.EOF
		case !w.deadline.IsZero() && !time.Now().Before(w.deadline):
			return 0, os.ErrDeadlineExceeded
		}
		w.changed.Wait()
	}
}

func (w *oneWay) write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || w.broken {
		return 0, io.ErrClosedPipe
	}
	w.data = append(w.data, p...)
	w.changed.Broadcast()
	return len(p), nil
}

// end closes the direction; the side that reads it breaks it off.
func (w *oneWay) end(reader bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	w.broken = w.broken || reader
	w.changed.Broadcast()
}

func (w *oneWay) setDeadline(t time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.deadline = t
	if !t.IsZero() {
		time.AfterFunc(time.Until(t), w.changed.Broadcast)
	}
}

// memoryConn is one end of a connection in memory.
type memoryConn struct {
	net.Conn // nil: the other methods are not used
	in, out  *oneWay
}

func (c *memoryConn) Read(p []byte) (int, error)  { return c.in.read(p) }
func (c *memoryConn) Write(p []byte) (int, error) { return c.out.write(p) }

func (c *memoryConn) Close() error {
	c.in.end(true)
	c.out.end(false)
	return nil
}

func (c *memoryConn) SetReadDeadline(t time.Time) error {
	c.in.setDeadline(t)
	return nil
}

// memoryNetwork connects to listeners by name, without the machine's ports.
type memoryNetwork struct {
	mu        sync.Mutex
	listeners map[string]func(net.Conn)
}

var errRefused = merry.Sentinel("connection refused")

func (n *memoryNetwork) listen(address string, serve func(net.Conn)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners == nil {
		n.listeners = make(map[string]func(net.Conn))
	}
	n.listeners[address] = serve
}

func (n *memoryNetwork) dial(_ context.Context, address string) (net.Conn, error) {
	n.mu.Lock()
	serve := n.listeners[address]
	n.mu.Unlock()
	if serve == nil {
		return nil, errRefused
	}
	there, back := newOneWay(), newOneWay()
	serve(&memoryConn{in: there, out: back})
	return &memoryConn{in: back, out: there}, nil
}
