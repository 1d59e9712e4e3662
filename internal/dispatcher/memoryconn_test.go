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

// memoryPipe is one direction of an in-memory connection. As with TCP, data written
// before the close can still be read.
type memoryPipe struct {
	mu           sync.Mutex
	cond         *sync.Cond
	data         []byte
	closed       bool
	readerClosed bool
	deadline     time.Time
}

func newMemoryPipe() *memoryPipe {
	w := &memoryPipe{}
	w.cond = sync.NewCond(&w.mu)
	return w
}

func (w *memoryPipe) read(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for {
		switch {
		case w.readerClosed:
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
		w.cond.Wait()
	}
}

func (w *memoryPipe) write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || w.readerClosed {
		return 0, io.ErrClosedPipe
	}
	w.data = append(w.data, p...)
	w.cond.Broadcast()
	return len(p), nil
}

// end closes the direction. If the reading side closes it, pending data is discarded.
func (w *memoryPipe) end(reader bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	w.readerClosed = w.readerClosed || reader
	w.cond.Broadcast()
}

func (w *memoryPipe) setDeadline(t time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.deadline = t
	if !t.IsZero() {
		time.AfterFunc(time.Until(t), w.cond.Broadcast)
	}
}

// memoryConn is one end of an in-memory connection.
type memoryConn struct {
	net.Conn // nil: the other methods are not used
	in, out  *memoryPipe
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

// memoryNetwork connects to listeners by name, without using network ports.
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
	toServer, toClient := newMemoryPipe(), newMemoryPipe()
	serve(&memoryConn{in: toServer, out: toClient})
	return &memoryConn{in: toClient, out: toServer}, nil
}
