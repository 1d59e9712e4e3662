package listener

import (
	"math"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	acceptRetry  = 50 * time.Millisecond
	rejectWithin = 100 * time.Millisecond
)

// acceptor keeps nbhttp's accept loop from spinning: it waits out errors of
// the system, turns away connections past the limit and the share that it is
// told to, and once told to stop it holds the loop until the engine stops.
type acceptor struct {
	net.Listener
	full    func() bool
	refused func(problem string)
	// turnedAway is the share of new connections to turn away, 0 to 1, as the
	// bits of a float64.
	turnedAway atomic.Uint64
	once       sync.Once
	stopping   chan struct{}
	closed     chan struct{}
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
		if err == nil {
			p := a.check()
			if p == nil {
				return conn, nil
			}
			a.refused(p.kind)
			reject(conn, p)
			continue
		}
		select {
		case <-a.stopping:
			<-a.closed
			return nil, err
		case <-time.After(acceptRetry):
		}
	}
}

// check returns why a new connection is turned away, or nil.
func (a *acceptor) check() *problem {
	if a.full() {
		return &problemFull
	}
	if share := math.Float64frombits(a.turnedAway.Load()); share > 0 && rand.Float64() < share {
		return &problemOverload
	}
	return nil
}

// turnAway sets the share of new connections that are turned away.
func (a *acceptor) turnAway(share float64) { a.turnedAway.Store(math.Float64bits(share)) }

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

// reject answers before anything was read: it costs little beside a request.
func reject(conn net.Conn, p *problem) {
	_ = conn.SetWriteDeadline(time.Now().Add(rejectWithin))
	_, _ = conn.Write(p.encoded())
	_ = conn.Close()
}
