package listener

import (
	"net"
	"sync"
	"time"
)

const (
	acceptRetry  = 50 * time.Millisecond
	rejectWithin = 100 * time.Millisecond
)

// acceptor keeps nbhttp's accept loop from spinning: it waits out errors of
// the system, turns away connections past the limit, and once told to stop it
// holds the loop until the engine stops.
type acceptor struct {
	net.Listener
	full     func() bool
	refused  func(problem string)
	once     sync.Once
	stopping chan struct{}
	closed   chan struct{}
	// running is closed once nbio's loop asks for its first connection. Like a
	// poller, a loop that is told to stop before never ends.
	running     chan struct{}
	runningOnce sync.Once
}

func newAcceptor(ln net.Listener, full func() bool, refused func(problem string)) *acceptor {
	return &acceptor{
		Listener: ln,
		full:     full,
		refused:  refused,
		stopping: make(chan struct{}),
		closed:   make(chan struct{}),
		running:  make(chan struct{}),
	}
}

// Accept returns the next connection that may be served.
func (a *acceptor) Accept() (net.Conn, error) {
	a.runningOnce.Do(func() { close(a.running) })
	for {
		conn, err := a.Listener.Accept()
		if err == nil && a.full() {
			a.refused(problemFull.kind)
			reject(conn)
			continue
		}
		if err == nil {
			return conn, nil
		}
		select {
		case <-a.stopping:
			<-a.closed
			return nil, err
		case <-time.After(acceptRetry):
		}
	}
}

// Close ends Accept for good.
func (a *acceptor) Close() error {
	a.stopAccepting()
	select {
	case <-a.closed:
	default:
		close(a.closed)
	}
	return nil
}

func (a *acceptor) stopAccepting() {
	a.once.Do(func() {
		close(a.stopping)
		_ = a.Listener.Close()
	})
}

func reject(conn net.Conn) {
	_ = conn.SetWriteDeadline(time.Now().Add(rejectWithin))
	_, _ = conn.Write(problemFull.encode())
	_ = conn.Close()
}
