package listener

import (
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"lentilwood.example/lentilwood/internal/screener"
)

const (
	acceptRetryDelay   = 50 * time.Millisecond
	rejectWriteTimeout = 100 * time.Millisecond
)

// acceptor wraps the listening socket of nbhttp's accept loop. It pauses after accept errors
// so that the loop does not spin, rejects connections above Config.MaxConns and the share set
// by setShedShare, and blocks the loop after a stop until the engine stops.
type acceptor struct {
	net.Listener
	cfg *Config
	// atCapacity reports whether Config.MaxConns connections are open.
	atCapacity func() bool
	// screener selects the connections to shed; shedding is true while the shed share is above
	// zero.
	screener screener.Screener
	shedding atomic.Bool
	// headBuf receives the peeked head of a request. Only the accept loop uses it.
	headBuf [maxPeekBytes]byte
	// accepted counts the connections accepted, shed those that the screener rejected.
	accepted, shed atomic.Uint64

	stopOnce sync.Once
	stopping chan struct{}
	closed   chan struct{}
	// loopStarted is closed at the first call of Accept. An nbio accept loop, like a poller,
	// never ends if it is told to stop before it runs.
	loopStarted     chan struct{}
	loopStartedOnce sync.Once
	// backlogServed is closed once Accept has returned the last connection of the backlog.
	backlogServed     chan struct{}
	backlogServedOnce sync.Once

	mu sync.Mutex
	// backlog holds the connections that were waiting to be accepted when the port was closed.
	backlog []net.Conn
}

func newAcceptor(ln net.Listener, cfg *Config, atCapacity func() bool) *acceptor {
	return &acceptor{
		Listener:    ln,
		cfg:         cfg,
		atCapacity:  atCapacity,
		stopping:    make(chan struct{}),
		closed:      make(chan struct{}),
		loopStarted: make(chan struct{}),

		backlogServed: make(chan struct{}),
	}
}

// Accept returns the next connection to serve. Rejected connections are answered and closed
// inside Accept. After stopAccepting it returns the backlog and then blocks until Close.
func (a *acceptor) Accept() (net.Conn, error) {
	a.loopStartedOnce.Do(func() { close(a.loopStarted) })
	for {
		if a.shedding.Load() {
			if conn := a.acceptOrShed(); conn != nil {
				a.accepted.Add(1)
				return conn, nil
			}
		}
		conn, err := a.Listener.Accept()
		if err == nil {
			p := a.checkAdmission(a.callerOfConn(conn))
			if p == nil {
				a.accepted.Add(1)
				return conn, nil
			}
			a.cfg.OnRejected(p.kind)
			rejectConn(conn, p)
			continue
		}
		select {
		case <-a.stopping:
			if conn := a.nextFromBacklog(); conn != nil {
				return conn, nil
			}
			a.backlogServedOnce.Do(func() { close(a.backlogServed) })
			<-a.closed
			return nil, err
		case <-time.After(acceptRetryDelay):
		}
	}
}

// nextFromBacklog removes and returns the first connection of the backlog, or nil if it is
// empty.
func (a *acceptor) nextFromBacklog() net.Conn {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.backlog) == 0 {
		return nil
	}
	conn := a.backlog[0]
	a.backlog = a.backlog[1:]
	return conn
}

// checkAdmission returns the problem for which a new connection of caller is rejected, or nil
// if it is admitted.
func (a *acceptor) checkAdmission(caller string) *problem {
	if a.atCapacity() {
		return &problemTooManyConns
	}
	if !a.screener.Admit(a.cfg.Clock.Now(), caller) {
		a.shed.Add(1)
		return &problemOverload
	}
	return nil
}

// acceptOrShed accepts waiting connections from the listening socket until one is admitted,
// which it returns, or none is left (nil). It works on raw file descriptors: creating a
// net.Conn costs several times as much as rejecting the connection here, which matters when
// the offered load is many times the capacity.
func (a *acceptor) acceptOrShed() net.Conn {
	var conn net.Conn
	a.withListenFD(func(fd int) {
		for conn == nil {
			next, from, ok := acceptFD(fd)
			if !ok {
				return
			}
			if p := a.checkAdmission(a.callerOfFD(next, from)); p != nil {
				a.cfg.OnRejected(p.kind)
				rejectFD(next, p.response())
				continue
			}
			conn = connFromFD(next)
		}
	})
	return conn
}

// setShedShare sets the share, 0 to 1, of new connections to reject.
func (a *acceptor) setShedShare(share float64) {
	a.shedding.Store(share > 0)
	a.screener.SetAdmittedShare(a.cfg.Clock.Now(), 1-share)
}

// Close stops accepting and unblocks Accept, which then returns an error.
func (a *acceptor) Close() error {
	a.stopAccepting()
	select {
	case <-a.closed:
	default:
		close(a.closed)
	}
	return nil
}

// stopAccepting closes the port. Connections in the accept backlog are served: closing the
// port would reset them although their callers may have sent requests already.
func (a *acceptor) stopAccepting() {
	a.stopOnce.Do(func() {
		a.mu.Lock()
		a.backlog = a.drainBacklog()
		a.mu.Unlock()
		close(a.stopping)
		_ = a.Listener.Close()
	})
}

// drainBacklog accepts all connections that are waiting in the kernel's accept queue.
func (a *acceptor) drainBacklog() []net.Conn {
	var conns []net.Conn
	a.withListenFD(func(fd int) {
		for {
			conn, _, ok := acceptFD(fd)
			if !ok {
				return
			}
			if c := connFromFD(conn); c != nil {
				conns = append(conns, c)
			}
		}
	})
	return conns
}

// withListenFD calls f with the file descriptor of the listening socket. It does nothing if
// the socket is closed or has no descriptor; Accept meets and reports the same error.
func (a *acceptor) withListenFD(f func(fd int)) {
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

// rejectConn writes the problem and closes the connection without reading the request, which
// costs far less than serving it.
func rejectConn(conn net.Conn, p *problem) {
	_ = conn.SetWriteDeadline(time.Now().Add(rejectWriteTimeout))
	_, _ = conn.Write(p.response())
	_ = conn.Close()
}
