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

type phase int

// What the next byte of a connection belongs to.
const (
	phaseHead phase = iota
	phaseBody
	phaseChunkSize
	phaseChunkData
	phaseLastChunk
	phaseRefused
)

const (
	maxChunkLine = 256
	crlf         = "\r\n"
	endOfHead    = "\r\n\r\n"
)

// boundary stands between a connection and nbhttp's parser. It hands the
// parser one checked piece of a request at a time and refuses the rest.
type boundary struct {
	l      *Listener
	nbc    *nbio.Conn
	parser *nbhttp.Parser
	wire   *wire
	ctx    context.Context
	cancel context.CancelFunc
	// openedAt is when the connection was opened.
	openedAt time.Time

	// written and sent count the bytes handed to nbio and to the system.
	written, sent atomic.Int64
	// opened publishes the boundary from the accepting goroutine to the
	// poller's, which learn of each other through the system alone.
	opened atomic.Bool
	// reads counts the beginnings and ends of the poller's reading: it is odd while bytes that
	// left the system may not have been looked at.
	reads atomic.Uint32
	// endWhenSent asks for the end once everything written was sent.
	endWhenSent atomic.Bool
	// ended says who decided to end the connection; unanswered counts the requests that
	// were read whole and have no whole answer, answers those that have one.
	ended               atomic.Pointer[ending]
	unanswered, answers atomic.Int32

	// These belong to the poller's goroutine.
	phase phase
	held  []byte
	left  int
	body  int
	// handedOver is true once a request was handed to its handler.
	handedOver bool

	// handled is true once a request reached its handler. It belongs to the job that runs.
	handled bool

	mu      sync.Mutex
	jobs    []func()
	running bool
	// served is true once a request came in on the connection.
	served       bool
	ending       bool
	closeAfter   bool
	halfClosed   bool
	readingSince time.Time
	idleSince    time.Time
	lingerSince  time.Time
	lastSent     int64
	stalledSince time.Time
}

func newBoundary(l *Listener, c *nbio.Conn, parser *nbhttp.Parser) *boundary {
	now := l.cfg.Clock.Now()
	b := &boundary{l: l, nbc: c, parser: parser, openedAt: now, idleSince: now}
	b.wire = &wire{Conn: c, b: b}
	b.ctx, b.cancel = context.WithCancel(context.Background())
	return b
}

// UnderlayerConn returns the connection as nbhttp's parser knows it.
func (b *boundary) UnderlayerConn() net.Conn {
	if !b.opened.Load() {
		return nil
	}
	return b.parser.UnderlayerConn()
}

// CloseAndClean is called once the connection is gone.
func (b *boundary) CloseAndClean(err error) {
	if !b.opened.Load() {
		return
	}
	b.noteGone(err)
	b.cancel()
	b.l.forget(b)
	b.parser.CloseAndClean(err)
}

// Parse takes the bytes that came in, in order.
func (b *boundary) Parse(data []byte) error {
	if !b.opened.Load() {
		return net.ErrClosed
	}
	for len(data) > 0 {
		switch b.phase {
		case phaseHead:
			data = b.takeHead(data)
		case phaseBody:
			data = b.takeBody(data, phaseHead)
		case phaseChunkSize:
			data = b.takeChunkSize(data)
		case phaseChunkData:
			data = b.takeBody(data, phaseChunkSize)
		case phaseLastChunk:
			data = b.takeLastChunk(data)
		default:
			return nil
		}
	}
	b.yield()
	return nil
}

// yield lets a handler that was just started go first. The poller's goroutine
// would otherwise enter a system call with the handler next in its queue, and
// the handler would wait until another thread takes it from there.
func (b *boundary) yield() {
	if b.handedOver {
		b.handedOver = false
		runtime.Gosched()
	}
}

// takeHead collects a request's head, checks it whole and hands it on.
func (b *boundary) takeHead(data []byte) []byte {
	if len(b.held) == 0 {
		data = bytes.TrimLeft(data, crlf)
		if len(data) == 0 {
			return nil
		}
		if b.waiting() >= maxPipelined {
			b.refuse(problemPipeline)
			return nil
		}
		b.startReading()
	}
	seen := max(0, len(b.held)-len(endOfHead)+1)
	b.held = append(b.held, data...)
	end := bytes.Index(b.held[seen:], []byte(endOfHead))
	if end < 0 {
		if len(b.held) > b.l.cfg.MaxHeaderBytes {
			b.refuse(problemHeaders)
		}
		return nil
	}
	end += seen + len(endOfHead)
	if end > b.l.cfg.MaxHeaderBytes {
		b.refuse(problemHeaders)
		return nil
	}
	raw, rest := b.held[:end], b.held[end:]
	b.held = nil
	b.startBody(raw)
	return rest
}

func (b *boundary) startBody(raw []byte) {
	h, p := checkHead(raw)
	if p == nil && h.length > b.l.cfg.MaxBodyBytes {
		p = &problemBody
	}
	if p != nil {
		b.refuse(*p)
		return
	}
	b.body = 0
	b.left = max(h.length, 0)
	switch {
	case h.chunked:
		b.phase = phaseChunkSize
	case b.left > 0:
		b.phase = phaseBody
	}
	if h.expectContinue && b.phase != phaseHead {
		b.sendContinue()
	}
	b.feed(raw)
}

func (b *boundary) takeBody(data []byte, next phase) []byte {
	n := min(len(data), b.left)
	b.left -= n
	if b.left == 0 {
		b.phase = next
	}
	b.feed(data[:n])
	return data[n:]
}

// takeChunkSize collects the line with a chunk's size.
func (b *boundary) takeChunkSize(data []byte) []byte {
	line, rest := b.takeLine(data)
	if line == nil {
		return nil
	}
	size, p := chunkSize(line)
	if p == nil && size > b.l.cfg.MaxBodyBytes-b.body {
		p = &problemBody
	}
	if p != nil {
		b.refuse(*p)
		return nil
	}
	b.body += size
	b.left = size + len(crlf)
	b.phase = phaseChunkData
	if size == 0 {
		b.phase = phaseLastChunk
	}
	b.feed(line)
	return rest
}

// takeLastChunk takes the empty line after the chunk of size zero.
func (b *boundary) takeLastChunk(data []byte) []byte {
	line, rest := b.takeLine(data)
	if line == nil {
		return nil
	}
	if string(line) != crlf {
		b.refuse(*malformed("Trailer fields are not served."))
		return nil
	}
	b.phase = phaseHead
	b.feed(line)
	return rest
}

// takeLine returns a line with its end and what follows, or nil if the line is
// not whole yet.
func (b *boundary) takeLine(data []byte) (line, rest []byte) {
	end := bytes.IndexByte(data, '\n')
	if end < 0 {
		b.held = append(b.held, data...)
		if len(b.held) > maxChunkLine {
			b.refuse(*malformed("A chunk's first line is too long."))
		}
		return nil, nil
	}
	line = b.held
	b.held = nil
	return append(line, data[:end+1]...), data[end+1:]
}

func chunkSize(line []byte) (int, *problem) {
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

// feed hands a checked piece to the parser.
func (b *boundary) feed(piece []byte) {
	if err := b.parser.Parse(piece); err != nil {
		b.refuse(*malformed("The request can't be read."))
	}
}

// refuse answers with a problem document after the answers that are still due,
// and closes the connection. What comes in later is thrown away.
func (b *boundary) refuse(p problem) {
	if b.phase == phaseRefused {
		return
	}
	b.phase = phaseRefused
	b.held = nil
	b.l.cfg.OnRejected(p.kind)
	b.l.cfg.Log.WithFields(map[string]any{
		"port": b.l.cfg.Name, "remote": b.nbc.RemoteAddr().String(), "status": p.status, "problem": p.kind,
	}).Debug("request refused")
	b.execute(func() {
		b.closeAfterAnswer(causeRefused)
		_, _ = b.parser.Conn.Write(p.answer())
	})
}

func (b *boundary) sendContinue() {
	b.mu.Lock()
	idle := !b.running
	b.mu.Unlock()
	if idle {
		_, _ = b.parser.Conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
}

func (b *boundary) startReading() {
	b.mu.Lock()
	b.readingSince = b.l.cfg.Clock.Now()
	b.mu.Unlock()
}

// guard is nbhttp's processor with header values trimmed as RFC 9110 says.
type guard struct {
	nbhttp.ServerProcessor
	b *boundary
}

// OnHeader adds a header to the request.
func (g *guard) OnHeader(parser *nbhttp.Parser, key, value string) {
	g.ServerProcessor.OnHeader(parser, key, strings.Trim(value, " \t"))
}

// OnComplete hands a whole request to its handler.
func (g *guard) OnComplete(parser *nbhttp.Parser) {
	g.b.handedOver = true
	g.ServerProcessor.OnComplete(parser)
}
