package listener

import (
	"errors"
	"math"
	"math/rand/v2"
	"net"
	"os"
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
	// taken counts the connections that were taken in.
	taken    atomic.Uint64
	once     sync.Once
	stopping chan struct{}
	closed   chan struct{}
	// running is closed once nbio's loop asks for its first connection. Like a
	// poller, a loop that is told to stop before never ends.
	running     chan struct{}
	runningOnce sync.Once
	// handedOver is closed once the loop has every connection that it will get.
	handedOver     chan struct{}
	handedOverOnce sync.Once

	mu sync.Mutex
	// queued are the connections that waited when the port was closed.
	queued []net.Conn
}

func newAcceptor(ln net.Listener, full func() bool, refused func(problem string)) *acceptor {
	return &acceptor{
		Listener: ln,
		full:     full,
		refused:  refused,
		stopping: make(chan struct{}),
		closed:   make(chan struct{}),
		running:  make(chan struct{}),

		handedOver: make(chan struct{}),
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
				a.taken.Add(1)
				return conn, nil
			}
			a.refused(p.kind)
			reject(conn, p)
			continue
		}
		select {
		case <-a.stopping:
			if conn := a.nextQueued(); conn != nil {
				return conn, nil
			}
			a.handedOverOnce.Do(func() { close(a.handedOver) })
			<-a.closed
			return nil, err
		case <-time.After(acceptRetry):
		}
	}
}

// nextQueued returns a connection that waited when the port was closed, or nil.
func (a *acceptor) nextQueued() net.Conn {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.queued) == 0 {
		return nil
	}
	conn := a.queued[0]
	a.queued = a.queued[1:]
	return conn
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
	done := false
	a.withPort(func(fd int) { done = rejectRaw(fd, problemOverload.answer()) })
	if !done {
		return false
	}
	a.refused(problemOverload.kind)
	return true
}

// rejectRaw accepts a connection, writes an answer, which a new connection has
// room for, and closes it. It returns false if there is no connection.
func rejectRaw(listener int, answer []byte) bool {
	conn, ok := acceptRaw(listener)
	if !ok {
		return false
	}
	_, _ = syscall.Write(conn, answer) // the caller may have left; it is refused either way
	_ = syscall.Close(conn)
	return true
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

// stopAccepting closes the port. Connections that wait to be accepted are served:
// closing the port would reset them, though their callers may have sent requests.
func (a *acceptor) stopAccepting() {
	a.once.Do(func() {
		a.mu.Lock()
		a.queued = a.takeQueue()
		a.mu.Unlock()
		close(a.stopping)
		_ = a.Listener.Close()
	})
}

// takeQueue accepts the connections that wait.
func (a *acceptor) takeQueue() []net.Conn {
	var conns []net.Conn
	a.withPort(func(fd int) {
		for {
			conn, ok := acceptRaw(fd)
			if !ok {
				return
			}
			if c := toConn(conn); c != nil {
				conns = append(conns, c)
			}
		}
	})
	return conns
}

// withPort calls f with the descriptor of the port, unless the port is closed or is no
// socket of the system; Accept meets the same error and reports it.
func (a *acceptor) withPort(f func(fd int)) {
	listener, ok := a.Listener.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := listener.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) { f(int(fd)) })
}

// acceptRaw accepts one connection without waiting for it. It returns false if
// there is none.
func acceptRaw(listener int) (fd int, ok bool) {
	for {
		fd, _, err := syscall.Accept4(listener, syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
		if errors.Is(err, syscall.EINTR) || errors.Is(err, syscall.ECONNABORTED) {
			continue
		}
		return fd, err == nil
	}
}

// toConn makes a connection of a descriptor, which it takes over. It returns nil
// if the system has no descriptor left to do so.
func toConn(fd int) net.Conn {
	file := os.NewFile(uintptr(fd), "queued connection")
	defer func() { _ = file.Close() }()
	conn, err := net.FileConn(file)
	if err != nil {
		return nil
	}
	return conn
}

// reject answers before anything was read: it costs little beside a request.
func reject(conn net.Conn, p *problem) {
	_ = conn.SetWriteDeadline(time.Now().Add(rejectWithin))
	_, _ = conn.Write(p.answer())
	_ = conn.Close()
}
