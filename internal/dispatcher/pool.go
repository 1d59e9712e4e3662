package dispatcher

import (
	"sync"
	"time"

	"lentilwood.example/lentilwood/internal/timekeeper"
)

// maxIdleConns bounds the idle connections to one upstream.
const maxIdleConns = 32

// connPool keeps connections whose last answer was read to its end.
type connPool struct {
	clock   timekeeper.Clock
	timeout time.Duration

	mu     sync.Mutex
	closed bool
	idle   map[string][]*upstreamConn
}

// take returns the connection to address that was used last, or nil.
func (p *connPool) take(address string) *upstreamConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[address]
	if len(conns) == 0 {
		return nil
	}
	conn := conns[len(conns)-1]
	if p.clock.Now().Sub(conn.idleSince) >= p.timeout {
		p.dropLocked(address)
		return nil
	}
	conns[len(conns)-1] = nil
	p.idle[address] = conns[:len(conns)-1]
	conn.reused = true
	return conn
}

// put keeps a connection for reuse, or closes it.
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
	p.dropLocked(address)
}

// close closes all idle connections and keeps none from now on.
func (p *connPool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for address := range p.idle {
		p.dropLocked(address)
	}
}

func (p *connPool) dropLocked(address string) {
	for _, conn := range p.idle[address] {
		_ = conn.Close()
	}
	delete(p.idle, address)
}
