package listener

import (
	"net"
	"os"
	"syscall"

	"github.com/ansel1/merry/v2"
	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"
)

// maxProbes bounds the connections that awaitPollers opens; nbio chooses a
// connection's poller by its file descriptor, so some reach the same one.
const maxProbes = 16 * numPollers

// errPollerUnreached means that no connection reached one of the pollers.
var errPollerUnreached = merry.New("no connection reached one of the pollers")

// probes are connections inside the process, one for each poller.
type probes [numPollers]*probe

// awaitPollers returns once each poller of engine reads its connections, with a probe of
// each. A poller of nbio clears the request to stop when it begins to run: one that is
// told to stop before that never ends, and neither does engine.Stop.
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

// close ends the probes.
func (ps *probes) close() {
	for _, p := range ps {
		if p != nil {
			p.close()
		}
	}
}

// probe is a connection inside the process: a byte written to its peer's file
// descriptors shows that the poller of conn runs, and that it is through with all events
// that it had taken from the system before.
type probe struct {
	conn    *nbio.Conn
	peerFDs []int
	// readSignal gets a token for what the poller has readSignal.
	readSignal chan struct{}
}

func newProbe() (*probe, error) {
	ends, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC|syscall.SOCK_NONBLOCK, 0)
	if err != nil {
		return nil, merry.Prepend(err, "open a pair of sockets")
	}
	file := os.NewFile(uintptr(ends[0]), "probe")
	conn, err := net.FileConn(file)
	_ = file.Close()
	if err != nil {
		_ = syscall.Close(ends[1])
		return nil, merry.Prepend(err, "make a connection of a socket")
	}
	nbc, err := nbio.NBConn(conn)
	if err != nil {
		_ = conn.Close()
		_ = syscall.Close(ends[1])
		return nil, merry.Prepend(err, "hand a socket to nbio")
	}
	return &probe{conn: nbc, peerFDs: []int{ends[1]}, readSignal: make(chan struct{}, 1)}, nil
}

// start adds the probe to its poller and returns once that has read a byte.
func (p *probe) start(engine *nbhttp.Engine) error {
	p.conn.OnData(func(*nbio.Conn, []byte) {
		select {
		case p.readSignal <- struct{}{}:
		default: // a pass that was given up left its token
		}
	})
	if _, err := engine.AddConn(p.conn); err != nil {
		return merry.Prepend(err, "add a connection to a poller")
	}
	return p.awaitProcessed(nil)
}

// awaitProcessed returns once the poller is through with all events that it had taken from the system
// before, or stopped is closed. It is for one goroutine at a time.
func (p *probe) awaitProcessed(stopped <-chan struct{}) error {
	if _, err := syscall.Write(p.peerFDs[0], []byte{0}); err != nil {
		return merry.Prepend(err, "write to a poller's connection")
	}
	select {
	case <-p.readSignal:
	case <-stopped:
	}
	return nil
}

// occupyFD takes one more file descriptor, so that the next probe's is
// another poller's.
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
