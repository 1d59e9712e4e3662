package listener

import (
	"net"
	"os"
	"syscall"

	"github.com/ansel1/merry/v2"
	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"
)

// maxProbes bounds the connections that awaitPollers opens. nbio assigns a connection to a
// poller by its file descriptor, so several may reach the same poller.
const maxProbes = 16 * numPollers

// errPollerUnreached means that no probe was assigned to one of the pollers.
var errPollerUnreached = merry.New("a poller was assigned no probe connection")

// probes holds one probe for each poller.
type probes [numPollers]*probe

// awaitPollers starts a probe on each poller of engine and returns once each poller reads its
// connections. A poller of nbio clears the stop request when its loop begins: told to stop
// before that, it never ends, and neither does engine.Stop.
func awaitPollers(engine *nbhttp.Engine) (probes, error) {
	var started probes
	var surplus []*probe
	defer func() {
		for _, p := range surplus {
			p.close()
		}
	}()
	missing := numPollers
	for range maxProbes {
		p, err := newProbe()
		if err != nil {
			return started, err
		}
		poller := p.conn.Hash() % numPollers
		if started[poller] != nil {
			surplus = append(surplus, p)
			p.occupyFD()
			continue
		}
		started[poller] = p
		if err := p.start(engine); err != nil {
			return started, err
		}
		if missing--; missing == 0 {
			return started, nil
		}
	}
	return started, errPollerUnreached
}

// close closes all probes.
func (ps *probes) close() {
	for _, p := range ps {
		if p != nil {
			p.close()
		}
	}
}

// probe is one end of a socket pair that is registered with a poller. When the poller has read
// a byte written to the other end, it is running and has processed all events that it had
// fetched from the kernel before.
type probe struct {
	conn    *nbio.Conn
	peerFDs []int
	// readSignal receives a token when the poller has read from the probe.
	readSignal chan struct{}
}

func newProbe() (*probe, error) {
	ends, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC|syscall.SOCK_NONBLOCK, 0)
	if err != nil {
		return nil, merry.Prepend(err, "create socket pair")
	}
	file := os.NewFile(uintptr(ends[0]), "probe")
	conn, err := net.FileConn(file)
	_ = file.Close()
	if err != nil {
		_ = syscall.Close(ends[1])
		return nil, merry.Prepend(err, "create connection from socket")
	}
	nbc, err := nbio.NBConn(conn)
	if err != nil {
		_ = conn.Close()
		_ = syscall.Close(ends[1])
		return nil, merry.Prepend(err, "convert connection for nbio")
	}
	return &probe{conn: nbc, peerFDs: []int{ends[1]}, readSignal: make(chan struct{}, 1)}, nil
}

// start adds the probe to its poller and returns once the poller has read a byte from it.
func (p *probe) start(engine *nbhttp.Engine) error {
	p.conn.OnData(func(*nbio.Conn, []byte) {
		select {
		case p.readSignal <- struct{}{}:
		default: // an abandoned awaitProcessed left its token
		}
	})
	if _, err := engine.AddConn(p.conn); err != nil {
		return merry.Prepend(err, "add probe connection to poller")
	}
	return p.awaitProcessed(nil)
}

// awaitProcessed returns once the poller has processed all events that it had fetched from the
// kernel before the call, or stopped is closed. It must not be called concurrently.
func (p *probe) awaitProcessed(stopped <-chan struct{}) error {
	if _, err := syscall.Write(p.peerFDs[0], []byte{0}); err != nil {
		return merry.Prepend(err, "write to probe connection")
	}
	select {
	case <-p.readSignal:
	case <-stopped:
	}
	return nil
}

// occupyFD uses up one more file descriptor, so that the next probe is assigned to another
// poller.
func (p *probe) occupyFD() {
	if fd, err := syscall.Dup(p.peerFDs[0]); err == nil {
		p.peerFDs = append(p.peerFDs, fd)
	}
}

func (p *probe) close() {
	_ = p.conn.Close()
	for _, fd := range p.peerFDs {
		_ = syscall.Close(fd)
	}
}
