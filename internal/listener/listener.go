// Package listener is the HTTP server that every port of lentilwood uses:
// callers, operators, metrics and the stand-ins.
//
// It runs nbio's nbhttp, which keeps an idle connection without a goroutine,
// and adds what nbhttp leaves open: requests that RFC 9112 calls ambiguous or
// malformed are refused before any handler sees them, sizes and times are
// bounded in both directions, and a shutdown cuts off no request in progress.
//
// # Usage
//
//	l, err := listener.Start(listener.Config{
//		Name:    "callers",
//		Address: "127.0.0.1:8080",
//		Handler: func(c *listener.Caller, r *http.Request) { io.WriteString(c, "hello\n") },
//	})
//	defer l.Shutdown(ctx)
//
// A handler runs on its own goroutine. The request's body is whole when the
// handler is called. A handler that can't finish its answer panics with
// http.ErrAbortHandler, so that the caller sees an answer that was cut off and
// not one that looks whole.
package listener

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"
	"github.com/sirupsen/logrus"

	"lentilwood.example/lentilwood/internal/timekeeper"
)

// Bounds used where Config leaves them zero.
const (
	DefaultMaxHeaderBytes  = 16 << 10
	DefaultMaxBodyBytes    = 8 << 20
	DefaultMaxPendingBytes = 4 << 20
	DefaultMaxConns        = 16384
	DefaultReadTimeout     = 30 * time.Second
	DefaultIdleTimeout     = 2 * time.Minute
)

const (
	readBufferBytes = 16 << 10
	numPollers      = 2
	// maxConnTableEntries bounds nbio's table of connections, which is indexed by
	// file descriptor.
	maxConnTableEntries = 1 << 20
	// nearCapacityDivisor is the part of the most connections, as a divisor, above which
	// none is kept open.
	nearCapacityDivisor = 2
	// noTimeout is a deadline for nbhttp's own timers; the sweeper has ours.
	noTimeout = 100 * 365 * 24 * time.Hour
)

// Handler answers one request.
type Handler func(c *Caller, r *http.Request)

// Config says how a Listener serves. Zero values mean the defaults above.
type Config struct {
	// Name appears in log lines.
	Name string
	// Address is host:port; port 0 lets the system choose one.
	Address string
	// TLS turns on TLS with its certificates, client CAs and versions.
	TLS *tls.Config
	// MaxHeaderBytes bounds the request line and headers.
	MaxHeaderBytes int
	// MaxBodyBytes bounds a request's body.
	MaxBodyBytes int
	// MaxPendingBytes bounds what is written but not sent on a connection;
	// one that passes it is closed.
	MaxPendingBytes int
	// MaxConns bounds the open connections.
	MaxConns int
	// ReadTimeout bounds the time from a request's first byte to its last.
	ReadTimeout time.Duration
	// IdleTimeout bounds the time without a request, and the time in which a
	// caller takes nothing of an answer that waits for it.
	IdleTimeout time.Duration
	// Handler answers the requests.
	Handler Handler
	// OnRejected, if set, is called with the name of the problem for each request
	// that is refused before any handler sees it. It must not block.
	OnRejected func(problem string)
	// IdentifyCaller, if set, names who sends a request, "" if that is not known, by as much of
	// its header as has come in. While a share of the connections is turned away, it tells
	// callers apart that come from the same address. Without it, or if it returns false,
	// each address is a caller. It must not block.
	IdentifyCaller func(h http.Header) (caller string, ok bool)
	// Log gets one line for each event; nil means logrus's standard logger.
	Log *logrus.Logger
	// Clock measures the timeouts; nil means the system's clock.
	Clock timekeeper.Clock
}

func (cfg *Config) setDefaults() {
	cfg.MaxHeaderBytes = orDefault(cfg.MaxHeaderBytes, DefaultMaxHeaderBytes)
	cfg.MaxBodyBytes = orDefault(cfg.MaxBodyBytes, DefaultMaxBodyBytes)
	cfg.MaxPendingBytes = orDefault(cfg.MaxPendingBytes, DefaultMaxPendingBytes)
	cfg.MaxConns = orDefault(cfg.MaxConns, DefaultMaxConns)
	cfg.ReadTimeout = orDefault(cfg.ReadTimeout, DefaultReadTimeout)
	cfg.IdleTimeout = orDefault(cfg.IdleTimeout, DefaultIdleTimeout)
	if cfg.OnRejected == nil {
		cfg.OnRejected = func(string) {}
	}
	if cfg.Log == nil {
		cfg.Log = logrus.StandardLogger()
	}
	if cfg.Clock == nil {
		cfg.Clock = timekeeper.System{}
	}
}

// setMaxOpenFiles gives nbio's tables an entry for each file that the process may
// open; by itself nbio takes 16 MiB for each listener.
var setMaxOpenFiles = sync.OnceFunc(func() {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err == nil {
		nbio.MaxOpenFiles = int(min(limit.Cur, maxConnTableEntries))
	}
})

func orDefault[T int | time.Duration](v, def T) T {
	if v <= 0 {
		return def
	}
	return v
}

// Listener is a running HTTP server.
type Listener struct {
	cfg               Config
	engine            *nbhttp.Engine
	acceptor          *acceptor
	keepAliveDisabled atomic.Bool
	// acceptStopped is true once no connection is accepted any more.
	acceptStopped atomic.Bool
	stopOnce      sync.Once
	stopped       chan struct{}

	mu     sync.Mutex
	conns  map[*serverConn]struct{}
	probes probes
	// lastConnByFD are the connections that had each descriptor last.
	lastConnByFD map[int]*serverConn
}

// Start opens the port and serves it.
func Start(cfg Config) (*Listener, error) {
	cfg.setDefaults()
	setLogger(cfg.Log)
	l := &Listener{cfg: cfg, stopped: make(chan struct{}), conns: map[*serverConn]struct{}{}, lastConnByFD: map[int]*serverConn{}}
	l.engine = nbhttp.NewEngine(nbhttp.Config{
		Name:               cfg.Name,
		Network:            "tcp",
		Addrs:              []string{cfg.Address},
		Listen:             l.listen,
		Handler:            http.HandlerFunc(l.serve),
		ServerExecutor:     func(f func()) { go f() },
		SupportServerOnly:  true,
		NPoller:            numPollers,
		ReadBufferSize:     readBufferBytes,
		MaxWriteBufferSize: cfg.MaxPendingBytes,
		MaxHTTPBodySize:    cfg.MaxBodyBytes,
		KeepaliveTime:      noTimeout,
		DisableSendfile:    true,
	})
	tlsConfig := convertTLSConfig(cfg.TLS)
	l.engine.Engine.OnOpen(func(c *nbio.Conn) { l.open(c, tlsConfig) })
	l.engine.OnWrittenSize(func(c *nbio.Conn, _ []byte, n int) {
		if sc, ok := c.Session().(*serverConn); ok {
			sc.recordSent(n)
		}
	})
	l.engine.OnReadBufferAlloc(func(c *nbio.Conn) *[]byte {
		trackRead(c)
		return l.engine.PollerBufferPtr(c)
	})
	l.engine.OnReadBufferFree(func(c *nbio.Conn, _ *[]byte) { trackRead(c) })
	setMaxOpenFiles()
	if err := l.engine.Start(); err != nil {
		return nil, merry.Prependf(err, "listen on %s for %s", cfg.Address, cfg.Name)
	}
	<-l.acceptor.loopStarted
	started, err := awaitPollers(l.engine)
	l.setProbes(started)
	if err != nil {
		started.close()
		l.acceptor.stopAccepting()
		return nil, merry.Prependf(err, "start the pollers of %s", cfg.Name)
	}
	go l.sweep()
	return l, nil
}

func (l *Listener) listen(network, address string) (net.Listener, error) {
	ln, err := net.Listen(network, address)
	if err != nil {
		return nil, err
	}
	l.acceptor = newAcceptor(ln, &l.cfg, l.atCapacity)
	return l.acceptor, nil
}

// Addr returns the address the port is open on.
func (l *Listener) Addr() string { return l.acceptor.Addr().String() }

// OpenConns returns how many connections are open.
func (l *Listener) OpenConns() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// nearCapacity reports whether so many connections are open that each is closed after
// its next answer: callers that keep theirs would take the place of others.
func (l *Listener) nearCapacity() bool { return l.OpenConns() > l.cfg.MaxConns/nearCapacityDivisor }

func (l *Listener) atCapacity() bool { return l.OpenConns() >= l.cfg.MaxConns }

// DisableKeepAlive goes on accepting, but tells each connection with its next
// answer that it will be closed.
func (l *Listener) DisableKeepAlive() { l.SetKeepAliveDisabled(true) }

// SetKeepAliveDisabled sets whether connections are told with their next answer that they
// will be closed.
func (l *Listener) SetKeepAliveDisabled(disabled bool) { l.keepAliveDisabled.Store(disabled) }

// SetShedShare sets the share, 0 to 1, of new connections that are answered with
// 503 before anything is read of them. Callers that open most are turned away most.
func (l *Listener) SetShedShare(share float64) { l.acceptor.setShedShare(share) }

// AcceptedConns returns how many connections were taken in since the start.
func (l *Listener) AcceptedConns() uint64 { return l.acceptor.accepted.Load() }

// ShedConns returns how many connections were turned away since the start by SetShedShare.
func (l *Listener) ShedConns() uint64 { return l.acceptor.shed.Load() }

// IsDominantCaller reports whether a caller, as Config.IdentifyCaller names it, takes the place of others
// that are turned away.
func (l *Listener) IsDominantCaller(caller string) bool {
	return l.acceptor.screener.IsDominant(caller)
}

// LargestCaller returns how many callers opened connections of late, and which part of
// them, 0 to 1, is of the caller that opened most.
func (l *Listener) LargestCaller() (callers int, share float64) {
	return l.acceptor.screener.LargestShare()
}

// StopAccepting closes the port. Open connections live on; each is told with
// its next answer that it will be closed, and ends with the answer at hand even if the
// head of that said nothing yet.
func (l *Listener) StopAccepting() {
	l.keepAliveDisabled.Store(true)
	l.acceptStopped.Store(true)
	l.acceptor.stopAccepting()
}

// Shutdown stops accepting, closes idle connections, waits until every request
// in progress has its answer, and stops the server. If ctx ends first, what is
// left is cut off and the error says so.
func (l *Listener) Shutdown(ctx context.Context) error {
	l.StopAccepting()
	select {
	case <-l.acceptor.backlogServed:
	case <-ctx.Done():
	}
	ticker := time.NewTicker(shutdownPollInterval)
	defer ticker.Stop()
	for {
		open := l.listConns()
		if len(open) == 0 {
			l.stop()
			return nil
		}
		for _, sc := range open {
			sc.closeIfIdle()
		}
		select {
		case <-ctx.Done():
			l.stop()
			return merry.Prependf(ctx.Err(), "%d connections of %s cut off", len(open), l.cfg.Name)
		case <-ticker.C:
		}
	}
}

func (l *Listener) stop() {
	l.stopOnce.Do(func() {
		close(l.stopped)
		l.engine.Stop()
		l.setProbes(probes{}).close()
	})
}

func (l *Listener) listConns() []*serverConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	open := make([]*serverConn, 0, len(l.conns))
	for sc := range l.conns {
		open = append(open, sc)
	}
	return open
}

// open puts a boundary between nbio and nbhttp's parser on a new connection.
func (l *Listener) open(c *nbio.Conn, tlsConfig *llibTLSConfig) {
	parser, ok := c.Session().(*nbhttp.Parser)
	if !ok {
		return
	}
	sc := newServerConn(l, c, parser)
	l.awaitStaleEvents(sc)
	parser.Conn = sc.countingConn
	if tlsConfig != nil {
		parser.Conn = sc.wrapTLS(tlsConfig)
		c.OnData(l.engine.TLSDataHandler)
	}
	parser.Processor = &requestProcessor{sc: sc}
	parser.Execute = sc.execute
	l.mu.Lock()
	l.conns[sc] = struct{}{}
	l.mu.Unlock()
	sc.initialized.Store(true)
	c.SetSession(sc)
}

// setProbes replaces the probes of the pollers and returns those before.
func (l *Listener) setProbes(ps probes) *probes {
	l.mu.Lock()
	defer l.mu.Unlock()
	previous := l.probes
	l.probes = ps
	return &previous
}

// removeConn notes that a connection is gone.
func (l *Listener) removeConn(sc *serverConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, sc)
	if fd := sc.nbc.Hash(); l.lastConnByFD[fd] == sc && sc.closedByPoller() {
		delete(l.lastConnByFD, fd)
	}
}

// awaitStaleEvents waits, before a connection is read from, until no poller holds an event of an earlier
// one with the same descriptor: pollers know connections by these alone, and would take
// the end of the earlier connection for that of this one.
func (l *Listener) awaitStaleEvents(sc *serverConn) {
	fd := sc.nbc.Hash()
	l.mu.Lock()
	previous := l.lastConnByFD[fd]
	l.lastConnByFD[fd] = sc
	p := l.probes[fd%numPollers]
	l.mu.Unlock()
	if previous == nil || p == nil || previous.closedByPoller() {
		return
	}
	if err := p.awaitProcessed(l.stopped); err != nil {
		l.cfg.Log.WithField("port", l.cfg.Name).WithError(err).Warn("poller not asked whether it holds an event of an earlier connection")
	}
}
