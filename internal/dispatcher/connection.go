package dispatcher

import (
	"bufio"
	"bytes"
	"context"
	"crypto/tls"
	"io"
	"math"
	"net"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"

	"lentilwood.example/lentilwood/internal/timekeeper"
)

const (
	// maxHeadBytes bounds the status line and header of an answer.
	maxHeadBytes = 64 << 10
	// connReadBytes is the read buffer of a connection.
	connReadBytes = 1 << 10
	// minBodyBytes and maxBodyBytes bound the buffer between a connection and
	// its exchange, which grows only while answers come fast.
	minBodyBytes = 512
	maxBodyBytes = 16 << 10
	// lingerTimeout is how long the end of a body is waited for once its
	// content is whole.
	lingerTimeout = time.Second
)

// upstreamConn is a connection to an upstream, with what was read ahead.
type upstreamConn struct {
	net.Conn
	limit  io.LimitedReader
	reader *bufio.Reader
	reused bool
	// idleSince is when the connection came into the pool, and keptFor how long
	// the upstream said that it keeps it; zero if it did not say.
	idleSince time.Time
	keptFor   time.Duration
}

func newUpstreamConn(conn net.Conn) *upstreamConn {
	c := &upstreamConn{Conn: conn}
	c.limit.R = conn
	c.reader = bufio.NewReaderSize(&c.limit, connReadBytes)
	return c
}

// connTransport carries each exchange over a connection of its own, with
// net/http's codec for messages. It knows whether bytes have left, sends
// nothing twice by itself but idempotent requests that met a dead idle
// connection, and reads no faster than its exchanges are drained.
type connTransport struct {
	connect func(ctx context.Context, address string) (net.Conn, error)
	tls     *tls.Config
	pool    connPool
}

func newConnTransport(clock timekeeper.Clock, cfg Config) *connTransport {
	connect := cfg.Dial
	if connect == nil {
		dialer := &net.Dialer{Timeout: cfg.ConnectTimeout}
		connect = func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		}
	}
	return &connTransport{
		connect: connect,
		tls:     cfg.UpstreamTLS,
		pool:    connPool{clock: clock, timeout: cfg.IdleTimeout},
	}
}

// Start begins an exchange. The body is read in a goroutine of its own, whose
// stack stays small while a stream is idle.
func (t *connTransport) Start(x *exchange, out *outgoing) {
	go func() {
		r, err := t.carry(x, out)
		if err != nil {
			x.finish(err)
			return
		}
		go func() { x.finish(t.readBody(x, r)) }()
	}()
}

// Retire closes the idle connections to an address.
func (t *connTransport) Retire(address string) { t.pool.retire(address) }

// Close closes all idle connections.
func (t *connTransport) Close() { t.pool.close() }

// bodyReader is the body of an answer whose head was read.
type bodyReader struct {
	conn    *upstreamConn
	address string
	body    io.Reader
	// last is true if the connection ends with this answer.
	last bool
	// wake ends a pause, stopped is closed once the exchange is canceled.
	wake, stopped chan struct{}
}

// carry sends a request and reads the head of its answer.
func (t *connTransport) carry(x *exchange, out *outgoing) (*bodyReader, error) {
	req, err := http.NewRequest(out.method, "http://"+out.address+out.uri, bytes.NewReader(out.body))
	if err != nil {
		return nil, err
	}
	req.Header = out.header
	if host := out.header.Get("Host"); host != "" {
		req.Host = host
	}
	if _, ok := req.Header["User-Agent"]; !ok {
		req.Header["User-Agent"] = []string{""}
	}
	if conn := t.idle(out); conn != nil {
		r, err := t.exchange(x, conn, req, out)
		if err == nil || out.once || conn.limit.N < maxHeadBytes || !x.release() {
			return r, err
		}
		if req.Body, err = req.GetBody(); err != nil {
			return nil, err
		}
	}
	conn, err := t.dial(x, out.address)
	if err != nil {
		return nil, err
	}
	return t.exchange(x, conn, req, out)
}

// idle returns a connection for out that waits in the pool, or nil.
func (t *connTransport) idle(out *outgoing) *upstreamConn {
	if out.fresh {
		return nil
	}
	return t.pool.take(out.address)
}

// dial opens a connection, unless the exchange is canceled.
func (t *connTransport) dial(x *exchange, address string) (*upstreamConn, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if !x.setControl(control{stop: cancel}) {
		return nil, errCanceled
	}
	conn, err := t.connect(ctx, address)
	if err != nil {
		return nil, merry.Prepend(err, "connect to upstream")
	}
	if t.tls != nil {
		secure := tls.Client(conn, t.tls)
		if err := secure.HandshakeContext(ctx); err != nil {
			_ = conn.Close()
			return nil, merry.Prepend(err, "connect to upstream")
		}
		conn = secure
	}
	return newUpstreamConn(conn), nil
}

// exchange sends req over conn and reads the head of the answer. A connection
// that fails is closed; one on which something came in before gets no request, since that
// answers none.
func (t *connTransport) exchange(x *exchange, conn *upstreamConn, req *http.Request, out *outgoing) (*bodyReader, error) {
	r := &bodyReader{
		conn: conn, address: req.URL.Host,
		wake: make(chan struct{}, 1), stopped: make(chan struct{}),
	}
	if err := out.reasonToWithhold(); err != nil {
		_ = conn.Close()
		return nil, err
	}
	if !conn.reused && !quiet(conn) {
		_ = conn.Close()
		return nil, errUnasked
	}
	if !x.setControl(r.control()) || !x.markSent(t.pool.clock.Now()) {
		_ = conn.Close()
		return nil, errCanceled
	}
	conn.limit.N = maxHeadBytes
	x.noteKept(conn.reused)
	resp, err := roundTrip(conn, req, out.answers) //nolint:bodyclose // the connection itself is closed or kept
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	conn.limit.N = math.MaxInt64
	resp.Request = nil // the body refers to resp for as long as it lasts
	r.body, r.last = resp.Body, resp.Close
	conn.keptFor = keepAliveTimeout(resp.Header)
	unframed := resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Body != http.NoBody
	x.setHead(resp.StatusCode, resp.Header, unframed)
	return r, nil
}

// control returns how an exchange steers the reading of its answer.
func (r *bodyReader) control() control {
	return control{
		stop: func() {
			_ = r.conn.Close()
			close(r.stopped)
		},
		resume: func() {
			select {
			case r.wake <- struct{}{}:
			default:
			}
		},
		linger: func() { _ = r.conn.SetReadDeadline(time.Now().Add(lingerTimeout)) },
	}
}

// readBody passes a body on, and keeps the connection for reuse if the body
// was read to its end.
func (t *connTransport) readBody(x *exchange, r *bodyReader) error {
	if err := r.copyTo(x); err != nil {
		_ = r.conn.Close()
		return err
	}
	if r.last || r.conn.reader.Buffered() > 0 || !x.release() || r.conn.SetReadDeadline(time.Time{}) != nil {
		_ = r.conn.Close()
		return nil
	}
	t.pool.put(r.address, r.conn)
	return nil
}

// roundTrip writes a request and reads the head of its answer.
func roundTrip(conn *upstreamConn, req *http.Request, answers func(int, http.Header, bool) bool) (*http.Response, error) {
	var head bytes.Buffer
	if err := req.Write(&head); err != nil {
		return nil, err
	}
	if _, err := conn.Write(head.Bytes()); err != nil {
		return nil, err
	}
	for {
		resp, err := http.ReadResponse(conn.reader, req)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, errSwitched
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if answers == nil || answers(resp.StatusCode, resp.Header, conn.reused) {
			return resp, nil
		}
		if err := skipAnswer(resp); err != nil {
			return nil, err
		}
	}
}

// skipAnswer reads an answer that belongs to no request to its end.
func skipAnswer(resp *http.Response) error {
	unframed := resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
	if unframed || resp.Close {
		return errStrayAnswer
	}
	_, err := io.Copy(io.Discard, resp.Body)
	return err
}

// copyTo passes a body on, no faster than the exchange is drained.
func (r *bodyReader) copyTo(x *exchange) error {
	buf := make([]byte, minBodyBytes)
	for {
		n, err := r.body.Read(buf)
		if n > 0 && !x.addBody(buf[:n]) {
			select {
			case <-r.wake:
			case <-r.stopped:
				return errCanceled
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		if n == len(buf) && n < maxBodyBytes {
			buf = make([]byte, 2*n)
		}
	}
}
