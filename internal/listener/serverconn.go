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

	"lentilwood.example/lentilwood/internal/governor"
)

// parseState says which part of a request the next byte of a connection belongs to.
type parseState int

const (
	stateHead parseState = iota
	stateBody
	stateChunkSize
	stateChunkData
	stateChunkEnd
	stateLastChunk
	stateRejected
)

const (
	crlf           = "\r\n"
	headTerminator = "\r\n\r\n"
)

// serverConn is one connection of a Listener. It checks the bytes received and collects them
// until a request is complete; only then is its head passed to nbhttp's parser. Invalid requests
// are rejected before the parser sees them.
type serverConn struct {
	l            *Listener
	nbc          *nbio.Conn
	parser       *nbhttp.Parser
	countingConn *countingConn
	statusConn   *statusConn
	ctx          context.Context
	cancel       context.CancelFunc
	openedAt     time.Time

	// writtenBytes counts the bytes passed to nbio, sentBytes those that the kernel accepted.
	writtenBytes, sentBytes atomic.Int64
	// initialized publishes the fields set by the accepting goroutine to the poller's
	// goroutine. The two communicate only through the kernel, which the Go memory model does
	// not count as synchronization.
	initialized atomic.Bool
	// readSeq is incremented when the poller starts and when it ends reading from the socket.
	// It is odd while bytes taken from the kernel may not have been parsed yet.
	readSeq atomic.Uint32
	// closeWhenSent requests a half-close once everything written has been sent.
	closeWhenSent atomic.Bool
	// closeReason is the first recorded reason for closing the connection. unanswered counts
	// the requests received completely whose response is incomplete, answered those whose
	// response is complete.
	closeReason          atomic.Pointer[closeReason]
	unanswered, answered atomic.Int32

	// holder is the connection's part of the memory account. receiving is the request that
	// arrives, or nil; it is dropped when the connection closes.
	holder    *governor.Holder
	receiving atomic.Pointer[requestBytes]
	// abandoned is true once the request that arrives was refused by the sweeper.
	abandoned atomic.Bool
	// receivedBytes counts the bytes of bodies.
	receivedBytes atomic.Int64

	// The following fields belong to the poller's goroutine.
	state parseState
	// partial holds the received bytes of an incomplete head or chunk line; remainingBytes are
	// still to come of a body or chunk, and bodyBytes is the size of the chunks so far.
	partial        []byte
	remainingBytes int
	bodyBytes      int
	// discardedBytes counts the bytes received after a rejection.
	discardedBytes int
	// completed is the request that is being passed to the parser.
	completed *requestBytes
	// requestDispatched is true once the parser has passed a request to its handler, until
	// yieldToHandler resets it.
	requestDispatched bool

	// handlerCalled is true once the handler was called on this connection. It belongs to the
	// goroutine that runs the jobs, as does current, the request that is handled.
	handlerCalled bool
	current       *requestBytes

	// mu guards the following fields.
	mu      sync.Mutex
	jobs    []job
	running bool
	// requestReceived is true once a request was received on the connection.
	requestReceived bool
	closing         bool
	closeRequested  bool
	halfClosed      bool
	readingSince    time.Time
	idleSince       time.Time
	lingerSince     time.Time
	lastSentBytes   int64
	stalledSince    time.Time
	// lastReceivedBytes is receivedBytes at the last sweep, lastReceivedAt when it last changed.
	lastReceivedBytes int64
	lastReceivedAt    time.Time
}

func newServerConn(l *Listener, c *nbio.Conn, parser *nbhttp.Parser) *serverConn {
	now := l.cfg.Clock.Now()
	sc := &serverConn{l: l, nbc: c, parser: parser, openedAt: now, idleSince: now}
	sc.countingConn = &countingConn{Conn: c, sc: sc}
	sc.ctx, sc.cancel = context.WithCancel(context.Background())
	if l.cfg.Memory != nil {
		sc.holder = l.cfg.Memory.Open(addressOf(c))
	}
	return sc
}

// UnderlayerConn implements nbhttp's ParserCloser; it returns the connection below statusConn,
// whose type nbhttp's TLS handler needs, or nil before initialization.
func (sc *serverConn) UnderlayerConn() net.Conn {
	if !sc.initialized.Load() {
		return nil
	}
	return sc.statusConn.Conn
}

// CloseAndClean implements nbhttp's ParserCloser; it is called after the connection was
// closed.
func (sc *serverConn) CloseAndClean(err error) {
	if !sc.initialized.Load() {
		return
	}
	sc.recordClosed(err)
	sc.cancel()
	sc.l.removeConn(sc)
	sc.dropReceiving()
	sc.holder.Close()
	sc.parser.CloseAndClean(err)
}

// Parse implements nbhttp's ParserCloser; it processes received bytes in order.
func (sc *serverConn) Parse(data []byte) error {
	if !sc.initialized.Load() {
		return net.ErrClosed
	}
	if sc.abandoned.Load() {
		sc.stopReading()
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
			data = sc.consumeBody(data, stateChunkEnd)
		case stateChunkEnd:
			data = sc.consumeChunkEnd(data)
		case stateLastChunk:
			data = sc.consumeLastChunk(data)
		default:
			sc.discard(len(data))
			return nil
		}
	}
	sc.yieldToHandler()
	return nil
}

// yieldToHandler lets a handler that was just started run first. Otherwise the poller's
// goroutine enters a system call while the handler is next in the run queue of its thread, and
// the handler waits until another thread steals it.
func (sc *serverConn) yieldToHandler() {
	if sc.requestDispatched {
		sc.requestDispatched = false
		runtime.Gosched()
	}
}

// consumeHead collects the head of a request, checks it when complete and passes it to the
// parser. It returns the bytes that follow the head.
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
			return nil
		}
		sc.reserve(int64(cap(sc.partial)), 0)
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
	if !sc.reserve(headCost(len(raw)), sc.remainingBytes) {
		return
	}
	switch {
	case h.chunked:
		sc.state = stateChunkSize
	case sc.remainingBytes > 0:
		sc.state = stateBody
	default:
		sc.completeRequest(raw)
		return
	}
	if b := sc.receiving.Load(); b != nil { // nil if the connection was closed meanwhile
		b.setHead(raw)
	}
	if h.expectContinue {
		sc.sendContinue()
	}
}

func (sc *serverConn) consumeBody(data []byte, next parseState) []byte {
	n := min(len(data), sc.remainingBytes)
	sc.remainingBytes -= n
	if sc.remainingBytes == 0 {
		sc.state = next
	}
	if !sc.collect(data[:n]) {
		return nil
	}
	if sc.state == stateHead {
		sc.completeRequest(nil)
	}
	return data[n:]
}

// feedParser passes a checked part of a request to nbhttp's parser.
func (sc *serverConn) feedParser(piece []byte) {
	if err := sc.parser.Parse(piece); err != nil {
		sc.reject(*malformed("The request can't be read."))
	}
}

// reject answers with a problem document after the responses that are still due, and closes
// the connection. Bytes received later are discarded.
func (sc *serverConn) reject(p problem) {
	if sc.state == stateRejected {
		return
	}
	sc.stopReading()
	sc.l.cfg.OnRejected(p.kind)
	sc.l.cfg.Log.WithFields(map[string]any{
		"port": sc.l.cfg.Name, "remote": remoteText(sc.nbc), "status": p.status, "problem": p.kind,
	}).Debug("request rejected")
	sc.execute(func() {
		sc.requestClose(causeRejected)
		_, _ = sc.parser.Conn.Write(p.response())
	})
}

// stopReading makes the connection discard what it receives from now on.
func (sc *serverConn) stopReading() {
	sc.state = stateRejected
	sc.partial = nil
	sc.dropReceiving()
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

// requestProcessor is nbhttp's server processor, except that it trims header values as RFC
// 9110 specifies and records when a request is dispatched.
type requestProcessor struct {
	nbhttp.ServerProcessor
	sc *serverConn
}

// OnHeader adds a header field to the request.
func (p *requestProcessor) OnHeader(parser *nbhttp.Parser, key, value string) {
	p.ServerProcessor.OnHeader(parser, key, strings.Trim(value, " \t"))
}

// OnComplete dispatches a complete request to its handler.
func (p *requestProcessor) OnComplete(parser *nbhttp.Parser) {
	p.sc.requestDispatched = true
	p.ServerProcessor.OnComplete(parser)
}
