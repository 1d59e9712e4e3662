package soaker

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
)

// harm is what a proxy does to the bytes that pass it.
type harm int32

// The kinds of harm.
const (
	harmNone harm = iota
	// harmDelay holds back each piece for a time.
	harmDelay
	// harmReset ends every connection with a reset, once.
	harmReset
	// harmCutThere and harmCutBack drop what goes one way.
	harmCutThere
	harmCutBack
	// harmSilence drops what goes either way.
	harmSilence
)

const (
	delayedBy = 120 * time.Millisecond
	pieceSize = 32 << 10
)

// proxy passes connections on to one of some targets on the loopback range.
type proxy struct {
	address  string
	listener net.Listener
	// target returns where the next connection goes; empty means nowhere.
	target func() string
	harm   atomic.Int32

	mu    sync.Mutex
	links map[*link]struct{}
}

// link is one connection with its other half. One that lost bytes stays silent
// for good: what follows a gap must not arrive.
type link struct {
	near, far    net.Conn
	there, back  atomic.Bool
	closeOnce    sync.Once
	remove       func()
	reset        atomic.Bool
	finishedWays atomic.Int32
}

func startProxy(address string, target func() string) (*proxy, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, merry.Prependf(err, "listen on %s", address)
	}
	p := &proxy{address: address, listener: ln, target: target, links: make(map[*link]struct{})}
	go p.accept()
	return p, nil
}

func (p *proxy) accept() {
	for {
		near, err := p.listener.Accept()
		if err != nil {
			return // the proxy was stopped
		}
		go p.connect(near)
	}
}

func (p *proxy) connect(near net.Conn) {
	address := p.target()
	if address == "" {
		_ = near.Close()
		return
	}
	far, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		_ = near.Close()
		return
	}
	l := &link{near: near, far: far}
	l.remove = func() {
		p.mu.Lock()
		delete(p.links, l)
		p.mu.Unlock()
	}
	p.mu.Lock()
	p.links[l] = struct{}{}
	p.mu.Unlock()
	go p.pass(l, near, far, &l.there, harmCutThere)
	go p.pass(l, far, near, &l.back, harmCutBack)
}

// pass copies one way of a link until it ends.
func (p *proxy) pass(l *link, from, to net.Conn, silenced *atomic.Bool, cut harm) {
	piece := make([]byte, pieceSize)
	for {
		n, err := from.Read(piece)
		switch harm(p.harm.Load()) {
		case cut, harmSilence:
			silenced.Store(true)
		case harmDelay:
			time.Sleep(delayedBy)
		}
		if n > 0 && !silenced.Load() {
			if _, werr := to.Write(piece[:n]); werr != nil {
				l.close()
				return
			}
		}
		if err != nil {
			break
		}
	}
	if !silenced.Load() {
		if half, ok := to.(*net.TCPConn); ok {
			_ = half.CloseWrite() // the other way may still carry an answer
		}
	}
	if l.finishedWays.Add(1) == 2 {
		l.close()
	}
}

// close ends both halves.
func (l *link) close() {
	l.closeOnce.Do(func() {
		if l.reset.Load() {
			for _, c := range []net.Conn{l.near, l.far} {
				if tcp, ok := c.(*net.TCPConn); ok {
					_ = tcp.SetLinger(0)
				}
			}
		}
		_ = l.near.Close()
		_ = l.far.Close()
		l.remove()
	})
}

// set begins or ends a harm. A silence that ends resets what it silenced.
func (p *proxy) set(h harm) {
	before := harm(p.harm.Swap(int32(h)))
	if h == harmReset {
		p.harm.Store(int32(harmNone))
	}
	for _, l := range p.snapshot() {
		silenced := before != harmNone && (l.there.Load() || l.back.Load())
		if h == harmReset || silenced && h == harmNone {
			l.reset.Store(true)
			l.close()
		}
	}
}

func (p *proxy) snapshot() []*link {
	p.mu.Lock()
	defer p.mu.Unlock()
	links := make([]*link, 0, len(p.links))
	for l := range p.links {
		links = append(links, l)
	}
	return links
}

func (p *proxy) stop() {
	_ = p.listener.Close()
	for _, l := range p.snapshot() {
		l.close()
	}
}
