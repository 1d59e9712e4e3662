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

// acceptor keeps nbhttp's accept loop from spinning: it waits out errors of
// the system, turns away connections past the limit and the share that it is
// told to, and once told to stop it holds the loop until the engine stops.
type acceptor struct {
	net.Listener
	cfg        *Config
	atCapacity func() bool
	// screener decides which connections to turn away, and screening is true while it
	// is to turn away some.
	screener screener.Screener
	shedding atomic.Bool
	// headBuf is room for a head, which one goroutine uses.
	headBuf [maxPeekBytes]byte
	// accepted counts the connections that were accepted in, shed those that were not since
	// the screener said so.
	accepted, shed atomic.Uint64

	stopOnce sync.Once
	stopping chan struct{}
	closed   chan struct{}
	// loopStarted is closed once nbio's loop asks for its first connection. Like a
	// poller, a loop that is told to stop before never ends.
	loopStarted     chan struct{}
	loopStartedOnce sync.Once
	// backlogServed is closed once the loop has every connection that it will get.
	backlogServed     chan struct{}
	backlogServedOnce sync.Once

	mu sync.Mutex
	// backlog are the connections that waited when the port was closed.
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

// Accept returns the next connection that may be served.
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

// nextFromBacklog returns a connection that waited when the port was closed, or nil.
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

// checkAdmission returns why a new connection of a caller is turned away, or nil.
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

// acceptOrShed answers connections that wait to be accepted until one is to be served,
// which it returns, or none waits. Setting up a connection as the runtime does costs
// several times what turning one away here does, which counts for a router that is
// asked for many times what it can do.
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

// setShedShare sets the share of new connections that are turned away.
func (a *acceptor) setShedShare(share float64) {
	a.shedding.Store(share > 0)
	a.screener.SetAdmittedShare(a.cfg.Clock.Now(), 1-share)
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

// stopAccepting closes the port. Connections that wait to be accepted are served:
// closing the port would reset them, though their callers may have sent requests.
func (a *acceptor) stopAccepting() {
	a.stopOnce.Do(func() {
		a.mu.Lock()
		a.backlog = a.drainBacklog()
		a.mu.Unlock()
		close(a.stopping)
		_ = a.Listener.Close()
	})
}

// drainBacklog accepts the connections that wait.
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

// withListenFD calls f with the descriptor of the port, unless the port is closed or is no
// socket of the system; Accept meets the same error and reports it.
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

// rejectConn answers before anything was read: it costs little beside a request.
func rejectConn(conn net.Conn, p *problem) {
	_ = conn.SetWriteDeadline(time.Now().Add(rejectWriteTimeout))
	_, _ = conn.Write(p.response())
	_ = conn.Close()
}
