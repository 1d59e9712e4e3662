package listener

import (
	"errors"
	"math"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
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
		next := a.turnAwayQueued()
		conn, err := a.Listener.Accept()
		if err == nil {
			p := a.check(next)
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

// lot is the decision about one connection, drawn at some share.
type lot struct {
	turnAway bool
	share    float64
}

func (a *acceptor) draw() lot {
	share := math.Float64frombits(a.turnedAway.Load())
	return lot{turnAway: share > 0 && rand.Float64() < share, share: share}
}

// check returns why a new connection is turned away, or nil. The lot was drawn
// before it came, and is drawn again if the share has changed since.
func (a *acceptor) check(l lot) *problem {
	if a.full() {
		return &problemFull
	}
	if again := a.draw(); again.share != l.share {
		l = again
	}
	if l.turnAway {
		return &problemOverload
	}
	return nil
}

// turnAwayQueued answers connections that wait to be accepted until one is to be
// served or none waits, and returns the lot of the next one. Setting up a
// connection as the runtime does costs several times what this does, which counts
// for a router that is asked for many times what it can do.
func (a *acceptor) turnAwayQueued() lot {
	next := a.draw()
	for next.turnAway && a.turnAwayOne() {
		next = a.draw()
	}
	return next
}

// turnAwayOne answers and closes one connection that waits to be accepted. It
// returns false if there is none, or if only Accept can tell.
func (a *acceptor) turnAwayOne() bool {
	listener, ok := a.Listener.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := listener.SyscallConn()
	if err != nil {
		return false // Accept meets the same error and reports it
	}
	done := false
	err = raw.Control(func(fd uintptr) { done = rejectRaw(int(fd), problemOverload.answer()) })
	if err != nil || !done {
		return false
	}
	a.refused(problemOverload.kind)
	return true
}

// rejectRaw accepts a connection, writes an answer, which a new connection has
// room for, and closes it. It returns false if there is no connection.
func rejectRaw(listener int, answer []byte) bool {
	for {
		conn, _, err := syscall.Accept4(listener, syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
		if errors.Is(err, syscall.EINTR) || errors.Is(err, syscall.ECONNABORTED) {
			continue
		}
		if err != nil {
			return false
		}
		_, _ = syscall.Write(conn, answer) // the caller may have left; it is refused either way
		_ = syscall.Close(conn)
		return true
	}
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
	_, _ = conn.Write(p.answer())
	_ = conn.Close()
}
