package listener

import (
	"bytes"
	"context"
	"net"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"
)

type parseState int

// What the next byte of a connection belongs to.
const (
	stateHead parseState = iota
	stateBody
	stateChunkSize
	stateChunkData
	stateLastChunk
	stateRejected
)

const (
	maxChunkLineBytes = 256
	crlf              = "\r\n"
	headTerminator    = "\r\n\r\n"
)

// serverConn stands between a connection and nbhttp's parser. It hands the
// parser one checked piece of a request at a time and refuses the rest.
type serverConn struct {
	l            *Listener
	nbc          *nbio.Conn
	parser       *nbhttp.Parser
	countingConn *countingConn
	ctx          context.Context
	cancel       context.CancelFunc
	// openedAt is when the connection was opened.
	openedAt time.Time

	// writtenBytes and sentBytes count the bytes handed to nbio and to the system.
	writtenBytes, sentBytes atomic.Int64
	// initialized publishes the boundary from the accepting goroutine to the
	// poller's, which learn of each other through the system alone.
	initialized atomic.Bool
	// readSeq counts the beginnings and ends of the poller's reading: it is odd while bytes that
	// left the system may not have been looked at.
	readSeq atomic.Uint32
	// closeWhenSent asks for the end once everything written was sent.
	closeWhenSent atomic.Bool
	// closeReason says who decided to end the connection; unanswered counts the requests that
	// were read whole and have no whole answer, answers those that have one.
	closeReason          atomic.Pointer[closeReason]
	unanswered, answered atomic.Int32

	// These belong to the poller's goroutine.
	state          parseState
	partial        []byte
	remainingBytes int
	bodyBytes      int
	// requestDispatched is true once a request was handed to its handler.
	requestDispatched bool

	// handlerCalled is true once a request reached its handler. It belongs to the job that runs.
	handlerCalled bool

	mu      sync.Mutex
	jobs    []func()
	running bool
	// requestReceived is true once a request came in on the connection.
	requestReceived bool
	closing         bool
	closeRequested  bool
	halfClosed      bool
	readingSince    time.Time
	idleSince       time.Time
	lingerSince     time.Time
	lastSentBytes   int64
	stalledSince    time.Time
}

func newServerConn(l *Listener, c *nbio.Conn, parser *nbhttp.Parser) *serverConn {
	now := l.cfg.Clock.Now()
	sc := &serverConn{l: l, nbc: c, parser: parser, openedAt: now, idleSince: now}
	sc.countingConn = &countingConn{Conn: c, sc: sc}
	sc.ctx, sc.cancel = context.WithCancel(context.Background())
	return sc
}

// UnderlayerConn returns the connection as nbhttp's parser knows it.
func (sc *serverConn) UnderlayerConn() net.Conn {
	if !sc.initialized.Load() {
		return nil
	}
	return sc.parser.UnderlayerConn()
}

// CloseAndClean is called once the connection is gone.
func (sc *serverConn) CloseAndClean(err error) {
	if !sc.initialized.Load() {
		return
	}
	sc.recordClosed(err)
	sc.cancel()
	sc.l.removeConn(sc)
	sc.parser.CloseAndClean(err)
}

// Parse takes the bytes that came in, in order.
func (sc *serverConn) Parse(data []byte) error {
	if !sc.initialized.Load() {
		return net.ErrClosed
	}
	for len(data) > 0 {
		switch sc.state {
		case stateHead:
			data = sc.consumeHead(data)
		case stateBody:
			data = sc.consumeBody(data, stateHead)
		case stateChunkSize:
			data = sc.consumeChunkSize(data)
		case stateChunkData:
			data = sc.consumeBody(data, stateChunkSize)
		case stateLastChunk:
			data = sc.consumeLastChunk(data)
		default:
			return nil
		}
	}
	sc.yieldToHandler()
	return nil
}

// yieldToHandler lets a handler that was just started go first. The poller's goroutine
// would otherwise enter a system call with the handler next in its queue, and
// the handler would wait until another thread takes it from there.
func (sc *serverConn) yieldToHandler() {
	if sc.requestDispatched {
		sc.requestDispatched = false
		runtime.Gosched()
	}
}

// consumeHead collects a request's head, checks it whole and hands it on.
func (sc *serverConn) consumeHead(data []byte) []byte {
	if len(sc.partial) == 0 {
		data = bytes.TrimLeft(data, crlf)
		if len(data) == 0 {
			return nil
		}
		if sc.queuedJobs() >= maxPipelined {
			sc.reject(problemPipelineTooLong)
			return nil
		}
		sc.markReadStart()
	}
	seen := max(0, len(sc.partial)-len(headTerminator)+1)
	sc.partial = append(sc.partial, data...)
	end := bytes.Index(sc.partial[seen:], []byte(headTerminator))
	if end < 0 {
		if len(sc.partial) > sc.l.cfg.MaxHeaderBytes {
			sc.reject(problemHeadersTooLarge)
		}
		return nil
	}
	end += seen + len(headTerminator)
	if end > sc.l.cfg.MaxHeaderBytes {
		sc.reject(problemHeadersTooLarge)
		return nil
	}
	raw, rest := sc.partial[:end], sc.partial[end:]
	sc.partial = nil
	sc.startBody(raw)
	return rest
}

func (sc *serverConn) startBody(raw []byte) {
	h, p := checkHead(raw)
	if p == nil && h.length > sc.l.cfg.MaxBodyBytes {
		p = &problemBodyTooLarge
	}
	if p != nil {
		sc.reject(*p)
		return
	}
	sc.bodyBytes = 0
	sc.remainingBytes = max(h.length, 0)
	switch {
	case h.chunked:
		sc.state = stateChunkSize
	case sc.remainingBytes > 0:
		sc.state = stateBody
	}
	if h.expectContinue && sc.state != stateHead {
		sc.sendContinue()
	}
	sc.feedParser(raw)
}

func (sc *serverConn) consumeBody(data []byte, next parseState) []byte {
	n := min(len(data), sc.remainingBytes)
	sc.remainingBytes -= n
	if sc.remainingBytes == 0 {
		sc.state = next
	}
	sc.feedParser(data[:n])
	return data[n:]
}

// consumeChunkSize collects the line with a chunk's size.
func (sc *serverConn) consumeChunkSize(data []byte) []byte {
	line, rest := sc.consumeLine(data)
	if line == nil {
		return nil
	}
	size, p := parseChunkSize(line)
	if p == nil && size > sc.l.cfg.MaxBodyBytes-sc.bodyBytes {
		p = &problemBodyTooLarge
	}
	if p != nil {
		sc.reject(*p)
		return nil
	}
	sc.bodyBytes += size
	sc.remainingBytes = size + len(crlf)
	sc.state = stateChunkData
	if size == 0 {
		sc.state = stateLastChunk
	}
	sc.feedParser(line)
	return rest
}

// consumeLastChunk takes the empty line after the chunk of size zero.
func (sc *serverConn) consumeLastChunk(data []byte) []byte {
	line, rest := sc.consumeLine(data)
	if line == nil {
		return nil
	}
	if string(line) != crlf {
		sc.reject(*malformed("Trailer fields are not served."))
		return nil
	}
	sc.state = stateHead
	sc.feedParser(line)
	return rest
}

// consumeLine returns a line with its end and what follows, or nil if the line is
// not whole yet.
func (sc *serverConn) consumeLine(data []byte) (line, rest []byte) {
	end := bytes.IndexByte(data, '\n')
	if end < 0 {
		sc.partial = append(sc.partial, data...)
		if len(sc.partial) > maxChunkLineBytes {
			sc.reject(*malformed("A chunk's first line is too long."))
		}
		return nil, nil
	}
	line = sc.partial
	sc.partial = nil
	return append(line, data[:end+1]...), data[end+1:]
}

func parseChunkSize(line []byte) (int, *problem) {
	text, ok := strings.CutSuffix(string(line), crlf)
	digits, extension, _ := strings.Cut(text, ";")
	if !ok || digits == "" || len(digits) > 2*8-1 || !isFieldValue(extension) {
		return 0, malformed("A chunk's first line is malformed.")
	}
	size := 0
	for i := range len(digits) {
		value := bytes.IndexByte([]byte("0123456789abcdef"), digits[i]|0x20)
		if digits[i] >= '0' && digits[i] <= '9' {
			value = int(digits[i] - '0')
		}
		if value < 0 {
			return 0, malformed("A chunk's size is not a hexadecimal number.")
		}
		size = size<<4 | value
	}
	return size, nil
}

// feedParser hands a checked piece to the parser.
func (sc *serverConn) feedParser(piece []byte) {
	if err := sc.parser.Parse(piece); err != nil {
		sc.reject(*malformed("The request can't be read."))
	}
}

// reject answers with a problem document after the answers that are still due,
// and closes the connection. What comes in later is thrown away.
func (sc *serverConn) reject(p problem) {
	if sc.state == stateRejected {
		return
	}
	sc.state = stateRejected
	sc.partial = nil
	sc.l.cfg.OnRejected(p.kind)
	sc.l.cfg.Log.WithFields(map[string]any{
		"port": sc.l.cfg.Name, "remote": sc.nbc.RemoteAddr().String(), "status": p.status, "problem": p.kind,
	}).Debug("request refused")
	sc.execute(func() {
		sc.requestClose(causeRejected)
		_, _ = sc.parser.Conn.Write(p.response())
	})
}

func (sc *serverConn) sendContinue() {
	sc.mu.Lock()
	idle := !sc.running
	sc.mu.Unlock()
	if idle {
		_, _ = sc.parser.Conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
}

func (sc *serverConn) markReadStart() {
	sc.mu.Lock()
	sc.readingSince = sc.l.cfg.Clock.Now()
	sc.mu.Unlock()
}

// requestProcessor is nbhttp's processor with header values trimmed as RFC 9110 says.
type requestProcessor struct {
	nbhttp.ServerProcessor
	sc *serverConn
}

// OnHeader adds a header to the request.
func (p *requestProcessor) OnHeader(parser *nbhttp.Parser, key, value string) {
	p.ServerProcessor.OnHeader(parser, key, strings.Trim(value, " \t"))
}

// OnComplete hands a whole request to its handler.
func (p *requestProcessor) OnComplete(parser *nbhttp.Parser) {
	p.sc.requestDispatched = true
	p.ServerProcessor.OnComplete(parser)
}
