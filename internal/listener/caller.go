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
)

const (
	// maxPiece and maxBuffered keep each write to nbhttp well under the 64 KiB
	// at which it reuses a buffer that it has already given back.
	maxPiece    = 16 << 10
	maxBuffered = 32 << 10
)

// Caller is the client that waits for the answer to one request.
type Caller struct {
	b   *boundary
	res *nbhttp.Response
	// buffered is what nbhttp holds back until the next flush.
	buffered  int
	body      int
	status    int
	committed bool
	noBody    bool
	isHead    bool
	http10    bool
	close     bool
	again     bool
}

// Header returns the headers of the answer; changes after the first Write or
// WriteHeader have no effect.
func (c *Caller) Header() http.Header { return c.res.Header() }

// WriteHeader sets the status of the answer. A status that has no standard
// text is sent as the first status of its class, which RFC 9110 lets a client
// do as well.
func (c *Caller) WriteHeader(status int) {
	if c.committed || status < http.StatusOK {
		return
	}
	c.committed = true
	if http.StatusText(status) == "" {
		status = status / 100 * 100
	}
	cleanHeader(c.res.Header())
	if !c.close && c.b.l.draining.Load() {
		c.CloseAfterResponse()
	}
	if c.close {
		c.res.Header().Set("Connection", "close")
	}
	c.noBody = status == http.StatusNoContent || status == http.StatusNotModified
	c.status = status
	if !c.isHead {
		c.res.WriteHeader(status)
	}
}

// finish completes the answer after the handler has returned.
func (c *Caller) finish() {
	c.WriteHeader(http.StatusOK)
	if c.isHead {
		if c.res.Header().Get("Content-Length") == "" {
			c.res.Header().Set("Content-Length", strconv.Itoa(c.body))
		}
		c.res.WriteHeader(c.status)
	}
	if c.cutShort() {
		panic(http.ErrAbortHandler)
	}
}

// Write adds p to the answer's body. It never blocks: see Pending.
func (c *Caller) Write(p []byte) (int, error) {
	c.WriteHeader(http.StatusOK)
	done := 0
	for len(p) > 0 {
		if c.b.ctx.Err() != nil {
			return done, net.ErrClosed
		}
		piece := p[:min(len(p), maxPiece)]
		if err := c.writePiece(piece); err != nil {
			return done, err
		}
		done += len(piece)
		p = p[len(piece):]
	}
	return done, nil
}

func (c *Caller) writePiece(piece []byte) error {
	if c.noBody {
		return http.ErrBodyNotAllowed
	}
	c.body += len(piece)
	if c.isHead {
		return nil
	}
	if c.http10 && c.body > c.b.l.cfg.MaxPendingBytes {
		return io.ErrShortBuffer
	}
	if c.buffered+len(piece) > maxBuffered {
		c.Flush()
	}
	c.buffered += len(piece)
	_, err := c.res.Write(piece)
	return err
}

// Flush sends what was written so far. An HTTP/1.0 client gets its answer
// whole, because that version can't mark the end of a stream.
func (c *Caller) Flush() {
	c.WriteHeader(http.StatusOK)
	if c.isHead || c.http10 || c.b.ctx.Err() != nil {
		return
	}
	c.buffered = 0
	c.res.Flush()
}

// Pending returns the bytes written that the system has not taken yet.
func (c *Caller) Pending() int { return c.b.pending() }

// Done is closed once the connection is gone.
func (c *Caller) Done() <-chan struct{} { return c.b.ctx.Done() }

// Disconnected reports whether the other end has closed its side, even if the poller
// has not come to notice it yet, as on a VM that is short of processor time. It is
// safe for concurrent use.
func (c *Caller) Disconnected() bool {
	if c.b.ctx.Err() != nil {
		return true
	}
	n, err := c.b.peek()
	return n == 0 && err == nil || errors.Is(err, syscall.ECONNRESET)
}

// CloseAfterResponse ends the connection once the answer is sent. The caller is told so if the answer
// has not begun.
func (c *Caller) CloseAfterResponse() {
	c.close = true
	c.b.mu.Lock()
	defer c.b.mu.Unlock()
	c.b.closeAfter = true
}

// ConnReused reports whether the connection had brought a request before this one.
func (c *Caller) ConnReused() bool { return c.again }

// ConnOpenedAt returns when the connection was opened.
func (c *Caller) ConnOpenedAt() time.Time { return c.b.openedAt }

// serve is nbhttp's handler; it calls ours.
func (l *Listener) serve(w http.ResponseWriter, r *http.Request) {
	res, ok := w.(*nbhttp.Response)
	if !ok {
		return
	}
	g, ok := res.Parser.Processor.(*guard)
	if !ok {
		return
	}
	c := &Caller{b: g.b, res: res, isHead: r.Method == http.MethodHead, http10: r.ProtoMinor == 0, again: g.b.handled}
	g.b.handled = true
	c.close = c.http10 || wantsClose(r.Header) || l.draining.Load() || l.crowded()
	r.Close = false
	if c.close {
		c.CloseAfterResponse()
	}
	l.cfg.Handler(c, detach(r, g.b))
	if l.closing.Load() {
		c.CloseAfterResponse() // its caller may send the next request as soon as this answer is whole
	}
	c.finish()
}

// cutShort says whether less was written than the headers promise.
func (c *Caller) cutShort() bool {
	promised, err := strconv.Atoi(c.res.Header().Get("Content-Length"))
	return err == nil && !c.isHead && !c.noBody && c.body < promised
}

// detach copies what nbhttp takes back when the handler returns.
func detach(r *http.Request, b *boundary) *http.Request {
	out := r.WithContext(b.ctx)
	out.Body = http.NoBody
	out.ContentLength = 0
	received, ok := r.Body.(*nbhttp.BodyReader)
	if !ok || received.Left() == 0 {
		return out
	}
	body := make([]byte, received.Left())
	if _, err := io.ReadFull(received, body); err != nil {
		return out
	}
	out.Body = io.NopCloser(bytes.NewReader(body))
	out.ContentLength = int64(len(body))
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

// cleanHeader drops headers that would break the answer's format.
func cleanHeader(h http.Header) {
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
