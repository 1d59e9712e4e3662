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
	acceptRetry  = 50 * time.Millisecond
	rejectWithin = 100 * time.Millisecond
)

// acceptor keeps nbhttp's accept loop from spinning: it waits out errors of
// the system, turns away connections past the limit and the share that it is
// told to, and once told to stop it holds the loop until the engine stops.
type acceptor struct {
	net.Listener
	cfg  *Config
	full func() bool
	// screener decides which connections to turn away, and screening is true while it
	// is to turn away some.
	screener  screener.Screener
	screening atomic.Bool
	// peeked is room for a head, which one goroutine uses.
	peeked [peekBytes]byte
	// taken counts the connections that were taken in, turnedAway those that were not since
	// the screener said so.
	taken, turnedAway atomic.Uint64

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

func newAcceptor(ln net.Listener, cfg *Config, full func() bool) *acceptor {
	return &acceptor{
		Listener: ln,
		cfg:      cfg,
		full:     full,
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
		if a.screening.Load() {
			if conn := a.takeScreened(); conn != nil {
				a.taken.Add(1)
				return conn, nil
			}
		}
		conn, err := a.Listener.Accept()
		if err == nil {
			p := a.refusalOf(a.callerOnConn(conn))
			if p == nil {
				a.taken.Add(1)
				return conn, nil
			}
			a.cfg.OnRejected(p.kind)
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

// refusalOf returns why a new connection of a caller is turned away, or nil.
func (a *acceptor) refusalOf(caller string) *problem {
	if a.full() {
		return &problemFull
	}
	if !a.screener.Admit(a.cfg.Clock.Now(), caller) {
		a.turnedAway.Add(1)
		return &problemOverload
	}
	return nil
}

// takeScreened answers connections that wait to be accepted until one is to be served,
// which it returns, or none waits. Setting up a connection as the runtime does costs
// several times what turning one away here does, which counts for a router that is
// asked for many times what it can do.
func (a *acceptor) takeScreened() net.Conn {
	var conn net.Conn
	a.withPort(func(fd int) {
		for conn == nil {
			next, from, ok := acceptRaw(fd)
			if !ok {
				return
			}
			if p := a.refusalOf(a.callerOn(next, from)); p != nil {
				a.cfg.OnRejected(p.kind)
				rejectRaw(next, p.answer())
				continue
			}
			conn = toConn(next)
		}
	})
	return conn
}

// turnAway sets the share of new connections that are turned away.
func (a *acceptor) turnAway(share float64) {
	a.screening.Store(share > 0)
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
			conn, _, ok := acceptRaw(fd)
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

// reject answers before anything was read: it costs little beside a request.
func reject(conn net.Conn, p *problem) {
	_ = conn.SetWriteDeadline(time.Now().Add(rejectWithin))
	_, _ = conn.Write(p.answer())
	_ = conn.Close()
}
