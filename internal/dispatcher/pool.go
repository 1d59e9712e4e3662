package dispatcher

import (
	"errors"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"lentilwood.example/lentilwood/internal/timekeeper"
)

const (
	// maxIdleConns limits the idle connections per upstream.
	maxIdleConns = 32
	// keepAliveMargin is how long before an upstream closes an idle connection the
	// connection is no longer used.
	keepAliveMargin = 500 * time.Millisecond
)

// connPool keeps connections whose last response was read to its end.
type connPool struct {
	clock       timekeeper.Clock
	idleTimeout time.Duration

	mu     sync.Mutex
	closed bool
	idle   map[string][]*upstreamConn
}

// get returns the most recently used connection to address, or nil. If openedBefore is not
// zero, it must have been opened before that time, and may have been idle for long: a probe
// that is lost does no harm.
func (p *connPool) get(address string, openedBefore time.Time) *upstreamConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[address]
	i := len(conns) - 1
	for i >= 0 && !openedBefore.IsZero() && !conns[i].openedAt.Before(openedBefore) {
		i--
	}
	if i < 0 {
		return nil
	}
	conn := conns[i]
	if openedBefore.IsZero() && p.clock.Now().Sub(conn.idleSince) >= p.maxIdleTime(conn) {
		p.closeIdleLocked(address)
		return nil
	}
	p.idle[address] = slices.Delete(conns, i, i+1)
	if !hasNoInput(conn) {
		_ = conn.Close()
		return nil
	}
	conn.reused = true
	return conn
}

// maxIdleTime returns how long a connection may be idle and still be used. It is shorter
// than the upstream's keep-alive, so that no request is sent while the upstream closes
// the connection.
func (p *connPool) maxIdleTime(conn *upstreamConn) time.Duration {
	if conn.keepAlive <= 0 {
		return p.idleTimeout
	}
	return min(p.idleTimeout, conn.keepAlive-keepAliveMargin)
}

// hasNoInput reports whether nothing was received on an idle connection: neither its end
// nor bytes that belong to no request.
func hasNoInput(conn *upstreamConn) bool {
	if conn.reader.Buffered() > 0 {
		return false
	}
	sc, ok := conn.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		empty = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && empty
}

// keepAliveTimeout returns how long the upstream keeps an idle connection open, or zero
// if the header does not say.
func keepAliveTimeout(h http.Header) time.Duration {
	for field := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		text, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if !ok {
			continue
		}
		seconds, err := strconv.Atoi(text)
		if err == nil && seconds > 0 {
			return time.Duration(seconds) * time.Second
		}
	}
	return 0
}

// put keeps a connection for reuse. It closes the connection if the pool is closed or
// full.
func (p *connPool) put(address string, conn *upstreamConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[address]
	if p.closed || len(conns) >= maxIdleConns {
		_ = conn.Close()
		return
	}
	if p.idle == nil {
		p.idle = make(map[string][]*upstreamConn)
	}
	conn.idleSince = p.clock.Now()
	p.idle[address] = append(conns, conn)
}

// retire closes the idle connections to address.
func (p *connPool) retire(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeIdleLocked(address)
}

// close closes all idle connections and stops the pool from keeping new ones.
func (p *connPool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for address := range p.idle {
		p.closeIdleLocked(address)
	}
}

func (p *connPool) closeIdleLocked(address string) {
	for _, conn := range p.idle[address] {
		_ = conn.Close()
	}
	delete(p.idle, address)
}
