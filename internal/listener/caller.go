package listener

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/lesismal/nbio/nbhttp"

	"lentilwood.example/lentilwood/internal/governor"
)

const (
	// maxPieceBytes and maxBufferedBytes keep each write to nbhttp well below 64 KiB. From
	// that size on, nbhttp reuses a buffer that it has already returned to its pool.
	maxPieceBytes    = 16 << 10
	maxBufferedBytes = 32 << 10
)

// Caller is the client of one request. A handler writes the response to it.
type Caller struct {
	sc  *serverConn
	res *nbhttp.Response
	// bufferedBytes is the amount that nbhttp buffers until the next flush.
	bufferedBytes int
	bodyBytes     int
	// heldBytes is what is charged for an answer to an HTTP/1.0 client until it is complete.
	heldBytes   int
	status      int
	wroteHeader bool
	noBody      bool
	isHead      bool
	http10      bool
	closeConn   bool
	connReused  bool
}

// Header returns the header fields of the response; changes after the first Write or
// WriteHeader have no effect.
func (c *Caller) Header() http.Header { return c.res.Header() }

// WriteHeader sets the status of the response. Interim statuses are ignored.
func (c *Caller) WriteHeader(status int) {
	if c.wroteHeader || status < http.StatusOK {
		return
	}
	c.wroteHeader = true
	sanitizeHeader(c.res.Header())
	if !c.closeConn && c.sc.l.keepAliveDisabled.Load() {
		c.CloseAfterResponse()
	}
	if c.closeConn {
		c.res.Header().Set("Connection", "close")
	}
	c.noBody = status == http.StatusNoContent || status == http.StatusNotModified
	c.status = status
	if !c.isHead {
		c.writeStatus(status)
	}
}

// finish completes the response after the handler has returned.
func (c *Caller) finish() {
	c.WriteHeader(http.StatusOK)
	if c.isHead {
		if c.res.Header().Get("Content-Length") == "" {
			c.res.Header().Set("Content-Length", strconv.Itoa(c.bodyBytes))
		}
		c.writeStatus(c.status)
	}
	if c.truncated() {
		panic(http.ErrAbortHandler)
	}
}

// Write adds p to the response body. It never blocks; the unsent bytes count towards Pending.
func (c *Caller) Write(p []byte) (int, error) {
	c.WriteHeader(http.StatusOK)
	written := 0
	for len(p) > 0 {
		if c.sc.ctx.Err() != nil {
			return written, net.ErrClosed
		}
		piece := p[:min(len(p), maxPieceBytes)]
		if err := c.writePiece(piece); err != nil {
			return written, err
		}
		written += len(piece)
		p = p[len(piece):]
	}
	return written, nil
}

func (c *Caller) writePiece(piece []byte) error {
	if c.noBody {
		return http.ErrBodyNotAllowed
	}
	c.bodyBytes += len(piece)
	if c.isHead {
		return nil
	}
	if c.http10 && c.bodyBytes > c.sc.l.cfg.MaxPendingBytes {
		return io.ErrShortBuffer
	}
	if c.http10 {
		c.hold(len(piece))
	}
	if c.bufferedBytes+len(piece) > maxBufferedBytes {
		c.Flush()
	}
	c.bufferedBytes += len(piece)
	_, err := c.res.Write(piece)
	return err
}

// hold charges n more bytes of an answer that nbhttp keeps, or releases them if n is negative.
func (c *Caller) hold(n int) {
	c.heldBytes += n
	if g := c.sc.l.cfg.Memory; g != nil && n != 0 {
		g.Charge(governor.KindAnswers, int64(n))
	}
}

// Flush sends what was written so far. A response to an HTTP/1.0 client is sent only when
// complete, because that version has no chunked coding to mark the end of a stream.
func (c *Caller) Flush() {
	c.WriteHeader(http.StatusOK)
	if c.isHead || c.http10 || c.sc.ctx.Err() != nil {
		return
	}
	c.bufferedBytes = 0
	c.res.Flush()
}

// Pending returns the number of bytes written that the kernel has not accepted yet.
func (c *Caller) Pending() int { return c.sc.pendingBytes() }

// Done returns a channel that is closed once the connection is closed.
func (c *Caller) Done() <-chan struct{} { return c.sc.ctx.Done() }

// Disconnected reports whether the client has closed its side of the connection. It asks the
// kernel, so it notices this earlier than Done on a CPU-starved VM whose poller is late. It is
// safe for concurrent use.
func (c *Caller) Disconnected() bool {
	if c.sc.ctx.Err() != nil {
		return true
	}
	n, err := c.sc.peek()
	return n == 0 && err == nil || errors.Is(err, syscall.ECONNRESET)
}

// CloseAfterResponse closes the connection once the response is sent. If the header has not
// been written yet, the response carries "Connection: close".
func (c *Caller) CloseAfterResponse() {
	c.closeConn = true
	c.sc.mu.Lock()
	defer c.sc.mu.Unlock()
	c.sc.closeRequested = true
}

// Body returns the complete body of the request. It is not copied: it counts as held until the
// handler returns.
func (c *Caller) Body() []byte { return c.sc.current.bytes() }

// ConnReused reports whether this is not the first request on its connection.
func (c *Caller) ConnReused() bool { return c.connReused }

// ConnOpenedAt returns when the connection was opened.
func (c *Caller) ConnOpenedAt() time.Time { return c.sc.openedAt }

// serve is the handler given to nbhttp; it calls Config.Handler.
func (l *Listener) serve(w http.ResponseWriter, r *http.Request) {
	res, ok := w.(*nbhttp.Response)
	if !ok {
		return
	}
	processor, ok := res.Parser.Processor.(*requestProcessor)
	if !ok {
		return
	}
	c := &Caller{sc: processor.sc, res: res, isHead: r.Method == http.MethodHead, http10: r.ProtoMinor == 0, connReused: processor.sc.handlerCalled}
	processor.sc.handlerCalled = true
	c.closeConn = c.http10 || wantsClose(r.Header) || l.keepAliveDisabled.Load() || l.nearCapacity()
	r.Close = false
	if c.closeConn {
		c.CloseAfterResponse()
	}
	defer func() { c.hold(-c.heldBytes) }()
	l.cfg.Handler(c, copyRequest(r, processor.sc))
	if l.acceptStopped.Load() {
		c.CloseAfterResponse() // the client may send its next request as soon as it has this response
	}
	c.finish()
}

// truncated reports whether fewer bytes were written than Content-Length announced.
func (c *Caller) truncated() bool {
	contentLength, err := strconv.Atoi(c.res.Header().Get("Content-Length"))
	return err == nil && !c.isHead && !c.noBody && c.bodyBytes < contentLength
}

// copyRequest returns a copy of r with its body, because nbhttp reclaims the original when the
// handler returns.
func copyRequest(r *http.Request, sc *serverConn) *http.Request {
	out := r.WithContext(sc.ctx)
	out.Body = http.NoBody
	out.ContentLength = 0
	if body := sc.current.bytes(); len(body) > 0 {
		out.Body = io.NopCloser(bytes.NewReader(body))
		out.ContentLength = int64(len(body))
	}
	return out
}

func wantsClose(h http.Header) bool {
	for _, line := range h["Connection"] {
		for token := range strings.SplitSeq(line, ",") {
			if strings.EqualFold(strings.TrimSpace(token), "close") {
				return true
			}
		}
	}
	return false
}

// sanitizeHeader removes fields with invalid names and replaces control characters in values,
// so that a handler cannot break the format of the response.
func sanitizeHeader(h http.Header) {
	for name, values := range h {
		if !isToken(name) {
			delete(h, name)
			continue
		}
		for i, v := range values {
			if !isFieldValue(v) {
				values[i] = strings.Map(func(c rune) rune {
					if c < ' ' || c == 0x7f {
						return ' '
					}
					return c
				}, v)
			}
		}
	}
}
