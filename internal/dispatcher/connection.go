package dispatcher

import (
	"bufio"
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"

	"lentilwood.example/lentilwood/internal/governor"
	"lentilwood.example/lentilwood/internal/timekeeper"
	"lentilwood.example/lentilwood/internal/verifier"
)

const (
	// connReadBytes is the size of a connection's read buffer.
	connReadBytes = 1 << 10
	// minReadBytes and maxReadBytes limit the buffer that copies a body from a connection
	// to its exchange. It grows only while data arrives fast.
	minReadBytes = 512
	maxReadBytes = 16 << 10
	// lingerTimeout is how long to wait for the end of an HTTP body after the last event of
	// a stream.
	lingerTimeout = time.Second
)

// upstreamConn is a connection to an upstream with its read buffer.
type upstreamConn struct {
	net.Conn
	head    headMeter
	limited io.LimitedReader
	checked *verifier.HeadReader
	reader  *bufio.Reader
	reused  bool
	// openedAt is when the connection was opened.
	openedAt time.Time
	// idleSince is when the connection was put into the pool. keepAlive is how long the
	// upstream announced to keep it open; zero if it announced nothing.
	idleSince time.Time
	keepAlive time.Duration
}

func newUpstreamConn(conn net.Conn) *upstreamConn {
	c := &upstreamConn{Conn: conn}
	c.head.r = conn
	c.limited.R = &c.head
	c.checked = verifier.NewHeadReader(&c.limited)
	c.reader = bufio.NewReaderSize(c.checked, connReadBytes)
	return c
}

// connTransport uses one connection per exchange and net/http to encode and parse
// messages. It knows whether bytes of a request may have been sent, and sends no request
// twice. It reads no faster than its exchanges are polled.
type connTransport struct {
	connect func(ctx context.Context, address string) (net.Conn, error)
	tls     *tls.Config
	pool    connPool
	memory  *governor.Governor
}

// dialFunc returns the function that opens connections to upstreams.
func dialFunc(cfg Config) func(ctx context.Context, address string) (net.Conn, error) {
	if cfg.Dial != nil {
		return cfg.Dial
	}
	dialer := &net.Dialer{Timeout: cfg.ConnectTimeout}
	return func(ctx context.Context, address string) (net.Conn, error) {
		return dialer.DialContext(ctx, "tcp", address)
	}
}

func newConnTransport(clock timekeeper.Clock, cfg Config) *connTransport {
	return &connTransport{
		connect: dialFunc(cfg),
		tls:     cfg.UpstreamTLS,
		memory:  cfg.Memory,
		pool:    connPool{clock: clock, idleTimeout: cfg.IdleTimeout},
	}
}

// Start begins an exchange. The body is read in a goroutine of its own, whose stack stays
// small while a stream is idle.
func (t *connTransport) Start(x *exchange, out *upstreamRequest) {
	go func() {
		r, err := t.sendRequest(x, out)
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

// bodyReader reads the body of a response whose head was read.
type bodyReader struct {
	conn    *upstreamConn
	address string
	resp    *http.Response
	// closeAfter is true if the connection cannot be used after this response.
	closeAfter bool
	// closeDelimited is true if only the end of the connection ends the body.
	closeDelimited bool
	clock          timekeeper.Clock
	// wake ends a pause; stopped is closed when the exchange is canceled.
	wake, stopped chan struct{}
}

// sendRequest sends a request and reads the head of the response. If a kept connection turns
// out to be dead, it uses a new one only if it is certain that nothing arrived over the kept
// one. That is the case if
//   - its end, or any other input, could be read before the write, so nothing was written; or
//   - the write failed and the socket accepted no byte. TLS counts whole records, and a part of
//     one can't be decrypted.
//
// Once the socket has accepted a byte, nothing is certain: a reset that is read after the write
// looks the same whether the upstream has read the request or not, the acknowledgment of the
// bytes included. So does an end, unless the acknowledgment is looked at, and even without one the
// upstream may have closed its sending side only.
func (t *connTransport) sendRequest(x *exchange, out *upstreamRequest) (*bodyReader, error) {
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
	if conn := t.idleConn(out); conn != nil {
		r, err := t.sendOn(x, conn, req, out)
		if !errors.Is(err, errNothingWritten) || !x.detach() {
			return r, err
		}
		if req.Body, err = req.GetBody(); err != nil {
			return nil, err
		}
	}
	if !out.openedBefore.IsZero() {
		return nil, errNoOlderConn
	}
	conn, err := t.dial(x, out.address)
	if err != nil {
		return nil, err
	}
	return t.sendOn(x, conn, req, out)
}

// idleConn returns a pooled connection for out, or nil.
func (t *connTransport) idleConn(out *upstreamRequest) *upstreamConn {
	if out.newConn {
		return nil
	}
	return t.pool.get(out.address, out.openedBefore)
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
	limitReceiveBuffer(conn)
	if t.tls != nil {
		tlsConn := tls.Client(conn, t.tls)
		if err := tlsConn.HandshakeContext(ctx); err != nil {
			_ = conn.Close()
			return nil, merry.Prepend(err, "connect to upstream")
		}
		conn = tlsConn
	}
	opened := newUpstreamConn(conn)
	opened.openedAt = t.pool.clock.Now()
	return opened, nil
}

// sendOn sends req over conn and reads the head of the response. It closes a connection
// that fails. A connection on which data or its end arrived before the request was written is
// not used, since the data cannot be a response to the request. The error is errNothingWritten
// if that happened to a kept connection, or if it accepted no byte.
func (t *connTransport) sendOn(x *exchange, conn *upstreamConn, req *http.Request, out *upstreamRequest) (*bodyReader, error) {
	r := &bodyReader{
		conn: conn, address: req.URL.Host, clock: t.pool.clock,
		wake: make(chan struct{}, 1), stopped: make(chan struct{}),
	}
	if err := out.checkWritable(); err != nil {
		_ = conn.Close()
		return nil, err
	}
	if !hasNoInput(conn) {
		_ = conn.Close()
		if conn.reused {
			return nil, errNothingWritten
		}
		return nil, errUnexpectedData
	}
	if !x.setControl(r.control()) || !x.markSent(t.pool.clock.Now()) {
		_ = conn.Close()
		return nil, errCanceled
	}
	conn.limited.N = verifier.MaxHeadBytes
	x.setReused(conn.reused)
	conn.head.begin(t.memory)
	resp, err := roundTrip(conn, req, out.ownsResponse) //nolint:bodyclose // the connection itself is closed or reused
	conn.head.end()
	if err != nil {
		_ = conn.Close()
		if conn.reused && conn.limited.N == verifier.MaxHeadBytes && !errors.Is(err, errNothingWritten) {
			x.setUnanswered()
		}
		return nil, err
	}
	conn.limited.N = math.MaxInt64
	resp.Request = nil // the body keeps resp alive
	r.resp, r.closeAfter = resp, resp.Close
	conn.keepAlive = keepAliveTimeout(resp.Header)
	r.closeDelimited = resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Body != http.NoBody
	x.setHead(resp.StatusCode, resp.Header, r.closeDelimited)
	return r, nil
}

// control returns the functions that control reading the body.
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
		open:   func() bool { return isOpenConn(r.conn.Conn) },
		unread: func() bool { return hasUnreadBytes(r.conn.Conn) },
		linger: func() { _ = r.conn.SetReadDeadline(time.Now().Add(lingerTimeout)) },
	}
}

// readBody passes a body to its exchange. It keeps the connection for reuse if the body
// was read to its end.
func (t *connTransport) readBody(x *exchange, r *bodyReader) error {
	if err := r.copyTo(x); err != nil {
		_ = r.conn.Close()
		return err
	}
	if r.closeDelimited {
		x.setEndedAt(endReceivedAt(r.conn.Conn, t.pool.clock.Now()))
		if err := r.awaitAcknowledged(x); err != nil {
			_ = r.conn.Close()
			return err
		}
	}
	if r.closeAfter || r.conn.reader.Buffered() > 0 || !x.detach() || r.conn.SetReadDeadline(time.Time{}) != nil {
		_ = r.conn.Close()
		return nil
	}
	t.pool.put(r.address, r.conn)
	return nil
}

// roundTrip writes a request and reads the head of its response.
func roundTrip(conn *upstreamConn, req *http.Request, ownsResponse func(int, http.Header, bool) bool) (*http.Response, error) {
	var head bytes.Buffer
	if err := req.Write(&head); err != nil {
		return nil, err
	}
	if n, err := conn.Write(head.Bytes()); err != nil {
		if n == 0 && conn.reused {
			return nil, merry.Wrap(errNothingWritten, merry.WithCause(err))
		}
		return nil, err
	}
	for {
		resp, err := readHead(conn, req)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, errProtocolSwitch
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if ownsResponse == nil || ownsResponse(resp.StatusCode, resp.Header, conn.reused) {
			return resp, nil
		}
		if err := skipResponse(resp); err != nil {
			return nil, err
		}
	}
}

// readHead reads the head of the next response on a connection. It fails if that is malformed.
func readHead(conn *upstreamConn, req *http.Request) (*http.Response, error) {
	buffered, err := conn.reader.Peek(conn.reader.Buffered())
	if err != nil {
		return nil, err
	}
	if err := conn.checked.Begin(buffered); err != nil {
		return nil, err
	}
	resp, err := http.ReadResponse(conn.reader, req)
	if err != nil {
		return nil, err
	}
	return resp, verifier.CheckStatus(resp.StatusCode)
}

// skipResponse discards a response that does not belong to the request. It returns an
// error if no other response can follow on the connection.
func skipResponse(resp *http.Response) error {
	closeDelimited := resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
	if closeDelimited || resp.Close {
		return errStrayResponse
	}
	_, err := io.Copy(io.Discard, resp.Body)
	return err
}

// copyTo copies a body to an exchange, no faster than the exchange is polled. It fails at the end
// if the trailer is malformed.
func (r *bodyReader) copyTo(x *exchange) error {
	buf := make([]byte, minReadBytes)
	for {
		n, err := r.resp.Body.Read(buf)
		if n > 0 && !x.addBody(buf[:n]) && !r.awaitWake(x) {
			return errCanceled
		}
		if err == io.EOF {
			return verifier.CheckNames(r.resp.Trailer)
		}
		if err != nil {
			return err
		}
		if n == len(buf) && n < maxReadBytes {
			buf = make([]byte, 2*n)
		}
	}
}
