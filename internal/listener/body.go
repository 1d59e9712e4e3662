package listener

import (
	"bytes"
	"net"
	"sync/atomic"

	"github.com/lesismal/nbio"

	"lentilwood.example/lentilwood/internal/governor"
)

const (
	// minBodyBytes is the first allocation for a body. Later ones double it, up to the length
	// that is known, so that a client is given memory for what it has sent, not for what it
	// announced.
	minBodyBytes = 4 << 10
	// headFixedCost is what a parsed request takes beside the text of its head, which is held as
	// received and in the parsed fields.
	headFixedCost = 4 << 10
	headCopies    = 2
	// minDiscardBytes and Config.MaxBodyBytes, whichever is more, are read from a client after its
	// request was rejected, so that one that sends its whole body before it reads gets the answer.
	// One that sends more has its connection closed, and may lose the answer.
	minDiscardBytes = 256 << 10
)

// headCost is what a request with a head of n bytes is charged before its body.
func headCost(n int) int64 { return int64(headFixedCost + headCopies*n) }

// requestBytes is what a connection holds for one request: its head until the body is complete,
// the body until the request ends, and the charge for both.
type requestBytes struct {
	sc         *serverConn
	head, body []byte
	// charged is the amount charged to the connection. After released is set nothing stays
	// charged.
	charged  atomic.Int64
	released atomic.Bool
}

// setHead keeps the lines of a head but those that frame the body, which the parser does not see.
func (b *requestBytes) setHead(raw []byte) {
	b.head = make([]byte, 0, len(raw))
	for line := range bytes.SplitAfterSeq(raw, []byte(crlf)) {
		name, _, _ := bytes.Cut(line, []byte(":"))
		if !equalFold(name, "Content-Length") && !equalFold(name, "Transfer-Encoding") {
			b.head = append(b.head, line...)
		}
	}
}

// bytes returns the body; nil has none.
func (b *requestBytes) bytes() []byte {
	if b == nil {
		return nil
	}
	return b.body
}

// release ends the charge. It may be called by any goroutine, and more than once.
func (b *requestBytes) release() {
	if b != nil {
		b.released.Store(true)
		b.sc.holder.Shrink(b.charged.Swap(0))
	}
}

// reserve charges the request that is received for n bytes in all, if they are more than it is
// charged for. It rejects the request and returns false if there is no room, or none for the
// announced bytes that are still to come.
func (sc *serverConn) reserve(n int64, announced int) bool {
	b := sc.receiving.Load()
	if b == nil {
		b = &requestBytes{sc: sc}
		sc.receiving.Store(b)
		if sc.ctx.Err() != nil {
			sc.dropReceiving()
			return false
		}
	}
	more := max(0, n-b.charged.Load())
	verdict := sc.holder.Check(more + int64(announced))
	if verdict == governor.Admitted {
		verdict = sc.holder.Grow(more)
	}
	if verdict != governor.Admitted {
		sc.reject(problemNoRoom)
		return false
	}
	b.charged.Add(more)
	if b.released.Load() {
		b.release()
		return false
	}
	return true
}

// collect appends data to the body of the request that is received. It returns false if the
// request was rejected or the connection is closed.
func (sc *serverConn) collect(data []byte) bool {
	b := sc.receiving.Load()
	if b == nil {
		return false
	}
	sc.receivedBytes.Add(int64(len(data)))
	if need := len(b.body) + len(data); need > cap(b.body) {
		// What is allocated covers the rest of a chunk or body as far as it is known, at most
		// doubling what is there.
		size := max(need, min(max(minBodyBytes, 2*cap(b.body)), sc.l.cfg.MaxBodyBytes))
		if sc.state != stateChunkData && sc.state != stateChunkEnd {
			size = min(size, need+sc.remainingBytes)
		}
		if !sc.reserve(b.charged.Load()+int64(size), 0) {
			return false
		}
		grown := append(make([]byte, 0, size), b.body...)
		old := cap(b.body)
		b.body = grown
		b.shrink(int64(old))
	}
	b.body = append(b.body, data...)
	return true
}

// shrink releases a part of the charge. If release runs at the same time, the second call here
// settles the difference.
func (b *requestBytes) shrink(n int64) {
	b.charged.Add(-n)
	b.sc.holder.Shrink(n)
	if b.released.Load() {
		b.release()
	}
}

// completeRequest passes the head of a complete request to the parser, which queues it. A head
// without a body is given as raw.
func (sc *serverConn) completeRequest(raw []byte) {
	b := sc.receiving.Swap(nil)
	if b == nil {
		return
	}
	if raw == nil {
		raw = b.head
	}
	b.head = nil
	sc.completed = b
	sc.feedParser(raw)
	if sc.completed != nil {
		sc.completed = nil
		b.release()
	}
}

// dropReceiving releases the request that is received.
func (sc *serverConn) dropReceiving() { sc.receiving.Swap(nil).release() }

// executeRequest queues the handling of the request that completeRequest passes to the parser.
func (sc *serverConn) executeRequest(run func()) bool {
	b := sc.completed
	sc.completed = nil
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return sc.enqueue(job{run: run, request: b})
}

// discard counts bytes received after a rejection, and closes the connection of a client that
// goes on sending.
func (sc *serverConn) discard(n int) {
	sc.discardedBytes += n
	if sc.discardedBytes > max(minDiscardBytes, sc.l.cfg.MaxBodyBytes) {
		sc.closeNow(causeUnwanted)
	}
}

// addressOf returns the client address of a connection without the port, or "" if it has none.
func addressOf(c *nbio.Conn) string {
	host, _, err := net.SplitHostPort(remoteText(c))
	if err != nil {
		return ""
	}
	return host
}

// remoteText returns the client address of a connection for logs, or "" if it has none: a client may
// have reset it before it was accepted.
func remoteText(c *nbio.Conn) string {
	if address := c.RemoteAddr(); address != nil {
		return address.String()
	}
	return ""
}
