// Package listener is the HTTP server behind every port of lentilwood: callers, operators,
// metrics and the stand-ins.
//
// It is built on nbio's nbhttp, which holds an idle connection without a goroutine, and adds
// checks that nbhttp does not make: requests that RFC 9112 calls ambiguous or malformed are
// rejected before any handler is called, sizes and times are bounded in both directions, and a
// graceful shutdown completes the requests in progress.
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
// A handler runs on its own goroutine and is called once the request's body has been received
// completely. A handler that cannot finish its response panics with http.ErrAbortHandler, so
// that the caller can tell that the response is truncated.
package listener

import (
	"context"
	"crypto/tls"
	"errors"
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

	"lentilwood.example/lentilwood/internal/governor"
	"lentilwood.example/lentilwood/internal/timekeeper"
)

// Default values of Config.
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
	// receiveBufferBytes is the size set for the receive buffer of each connection, which the
	// kernel doubles. It is what Linux begins with; without the setting the kernel lets the
	// buffer of each fast sender grow to megabytes, outside the memory account.
	receiveBufferBytes = 64 << 10
	// maxConnTableEntries bounds nbio's table of connections, which is indexed by file
	// descriptor.
	maxConnTableEntries = 1 << 20
	// No connection is kept alive while more than MaxConns / nearCapacityDivisor are open.
	nearCapacityDivisor = 2
	// noTimeout effectively disables nbhttp's own keep-alive timer; the sweeper applies the
	// timeouts.
	noTimeout = 100 * 365 * 24 * time.Hour
)

// Handler answers one request.
type Handler func(c *Caller, r *http.Request)

// Config holds the settings of a Listener. Zero values select the defaults above.
type Config struct {
	// Name identifies the port in log lines.
	Name string
	// Address is host:port; port 0 lets the system choose a free port.
	Address string
	// TLS enables TLS; its certificates, client authentication, client CAs and version bounds
	// are used.
	TLS *tls.Config
	// MaxHeaderBytes bounds the size of the request line and headers.
	MaxHeaderBytes int
	// MaxBodyBytes bounds the size of a request's body.
	MaxBodyBytes int
	// MaxPendingBytes bounds the bytes written but not yet sent on a connection; a connection
	// that exceeds it is closed.
	MaxPendingBytes int
	// MaxConns bounds the number of open connections.
	MaxConns int
	// ReadTimeout bounds the time from a request's first byte to its last.
	ReadTimeout time.Duration
	// IdleTimeout bounds the time a connection stays open without a request, and the time for
	// which a caller may accept no byte of a pending response.
	IdleTimeout time.Duration
	// Handler answers the requests.
	Handler Handler
	// OnRejected, if set, is called with the short name of the problem, such as
	// "body-too-large", for each request or connection that is rejected before any handler
	// is called. It must not block.
	OnRejected func(problem string)
	// IdentifyCaller, if set, returns who sent a request, "" if unknown, from the headers
	// received so far. It tells callers behind the same address apart while a share of the
	// connections is shed. If it is nil or returns false, each source address counts as one
	// caller. It must not block.
	IdentifyCaller func(h http.Header) (caller string, ok bool)
	// Memory, if set, is the memory account that heads and bodies of requests are charged to.
	Memory *governor.Governor
	// Log receives the log lines; nil selects logrus's standard logger.
	Log *logrus.Logger
	// Clock measures the timeouts; nil selects the system clock.
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

// setMaxOpenFiles sizes nbio's connection tables by the process's limit of open files; with
// nbio's default they take 16 MiB for each listener.
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
	// acceptStopped is true once the port is closed.
	acceptStopped atomic.Bool
	stopOnce      sync.Once
	stopped       chan struct{}

	mu     sync.Mutex
	conns  map[*serverConn]struct{}
	probes probes
	// lastConnByFD holds, for each file descriptor, the last connection that used it.
	lastConnByFD map[int]*serverConn
}

// Start opens the port and serves requests on it.
func Start(cfg Config) (*Listener, error) {
	cfg.setDefaults()
	setLogger(cfg.Log)
	// The port is opened before the engine starts: an engine that cannot open it stops its
	// pollers, which spin for ever if they have not run yet.
	lc := net.ListenConfig{Control: setReceiveBuffer}
	ln, err := lc.Listen(context.Background(), "tcp", cfg.Address)
	if err != nil {
		return nil, merry.Prependf(err, "listen on %s for %s", cfg.Address, cfg.Name)
	}
	l := &Listener{cfg: cfg, stopped: make(chan struct{}), conns: map[*serverConn]struct{}{}, lastConnByFD: map[int]*serverConn{}}
	l.acceptor = newAcceptor(ln, &l.cfg, l.atCapacity)
	l.engine = nbhttp.NewEngine(nbhttp.Config{
		Name:               cfg.Name,
		Network:            "tcp",
		Addrs:              []string{cfg.Address},
		Listen:             func(string, string) (net.Listener, error) { return l.acceptor, nil },
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
		_ = ln.Close()
		return nil, merry.Prependf(err, "start engine of %s", cfg.Name)
	}
	<-l.acceptor.loopStarted
	started, err := awaitPollers(l.engine)
	l.setProbes(started)
	if err != nil {
		started.close()
		l.acceptor.stopAccepting()
		return nil, merry.Prependf(err, "start pollers of %s", cfg.Name)
	}
	go l.sweep()
	return l, nil
}

// setReceiveBuffer sets the receive buffer that the connections of a listening socket inherit.
func setReceiveBuffer(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBufferBytes)
	})
	return errors.Join(err, failed)
}

// Addr returns the address on which the port is open.
func (l *Listener) Addr() string { return l.acceptor.Addr().String() }

// OpenConns returns the number of open connections.
func (l *Listener) OpenConns() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// nearCapacity reports whether so many connections are open that each is closed after its next
// response. Otherwise kept-alive connections would use up MaxConns, and new callers would be
// rejected.
func (l *Listener) nearCapacity() bool { return l.OpenConns() > l.cfg.MaxConns/nearCapacityDivisor }

func (l *Listener) atCapacity() bool { return l.OpenConns() >= l.cfg.MaxConns }

// DisableKeepAlive is SetKeepAliveDisabled(true). The port keeps accepting connections.
func (l *Listener) DisableKeepAlive() { l.SetKeepAliveDisabled(true) }

// SetKeepAliveDisabled sets whether each connection is closed after its next response, which
// then carries "Connection: close".
func (l *Listener) SetKeepAliveDisabled(disabled bool) { l.keepAliveDisabled.Store(disabled) }

// SetShedShare sets the share, 0 to 1, of new connections that are rejected with status 503
// before any request on them is parsed. The callers that open the most connections lose the
// largest part of theirs.
func (l *Listener) SetShedShare(share float64) { l.acceptor.setShedShare(share) }

// AcceptedConns returns the number of connections accepted since the start.
func (l *Listener) AcceptedConns() uint64 { return l.acceptor.accepted.Load() }

// ShedConns returns the number of connections rejected because of SetShedShare since the
// start.
func (l *Listener) ShedConns() uint64 { return l.acceptor.shed.Load() }

// IsDominantCaller reports whether a caller, as named by Config.IdentifyCaller, opens the most
// connections while connections of other callers are shed.
func (l *Listener) IsDominantCaller(caller string) bool {
	return l.acceptor.screener.IsDominant(caller)
}

// LargestCaller returns how many callers opened connections recently, and the share of these
// connections, 0 to 1, that belongs to the caller with the most.
func (l *Listener) LargestCaller() (callers int, share float64) {
	return l.acceptor.screener.LargestShare()
}

// StopAccepting closes the port. Each open connection is closed after its current or next
// response, even if the header of the current response has been sent without "Connection:
// close".
func (l *Listener) StopAccepting() {
	l.keepAliveDisabled.Store(true)
	l.acceptStopped.Store(true)
	l.acceptor.stopAccepting()
}

// Shutdown stops accepting, closes idle connections, waits until every request in progress has
// its response, and stops the server. If ctx ends first, the remaining connections are closed
// and an error is returned.
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
			return merry.Prependf(ctx.Err(), "%d open connections of %s closed", len(open), l.cfg.Name)
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

// open inserts a serverConn between nbio and nbhttp's parser on a new connection.
func (l *Listener) open(c *nbio.Conn, tlsConfig *llibTLSConfig) {
	parser, ok := c.Session().(*nbhttp.Parser)
	if !ok {
		return
	}
	sc := newServerConn(l, c, parser)
	l.awaitStaleEvents(sc)
	sc.statusConn = &statusConn{Conn: sc.countingConn}
	if tlsConfig != nil {
		sc.statusConn.Conn = sc.wrapTLS(tlsConfig)
		c.OnData(l.engine.TLSDataHandler)
	}
	parser.Conn = sc.statusConn
	parser.Processor = &requestProcessor{sc: sc}
	parser.Execute = sc.executeRequest
	l.mu.Lock()
	l.conns[sc] = struct{}{}
	l.mu.Unlock()
	sc.initialized.Store(true)
	c.SetSession(sc)
}

// setProbes replaces the pollers' probes and returns the previous ones.
func (l *Listener) setProbes(ps probes) *probes {
	l.mu.Lock()
	defer l.mu.Unlock()
	previous := l.probes
	l.probes = ps
	return &previous
}

// removeConn removes a closed connection from the tables.
func (l *Listener) removeConn(sc *serverConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, sc)
	if fd := sc.nbc.Hash(); l.lastConnByFD[fd] == sc && sc.closedByPoller() {
		delete(l.lastConnByFD, fd)
	}
}

// awaitStaleEvents delays reading from a new connection until no poller holds an event of an
// earlier connection with the same file descriptor. Pollers identify connections by descriptor
// alone, so the end of the earlier connection would close the new one.
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
		l.cfg.Log.WithField("port", l.cfg.Name).WithError(err).Warn("cannot check poller for stale events of a reused file descriptor")
	}
}
