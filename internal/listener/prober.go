package listener

import (
	"net"
	"os"
	"syscall"

	"github.com/ansel1/merry/v2"
	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"
)

// mostProbes bounds the connections that awaitPollers opens; nbio chooses a
// connection's poller by its file descriptor, so some reach the same one.
const mostProbes = 16 * pollers

// errNoPoller means that no connection reached one of the pollers.
var errNoPoller = merry.New("no connection reached one of the pollers")

// awaitPollers returns once each poller of engine reads its connections. A
// poller of nbio clears the request to stop when it begins to run: one that is
// told to stop before that never ends, and neither does engine.Stop.
func awaitPollers(engine *nbhttp.Engine) error {
	waiting := make(map[int]bool, pollers)
	for i := range pollers {
		waiting[i] = true
	}
	var held []*probe
	defer func() {
		for _, p := range held {
			p.close()
		}
	}()
	for range mostProbes {
		p, err := newProbe()
		if err != nil {
			return err
		}
		held = append(held, p)
		poller := p.conn.Hash() % pollers
		if !waiting[poller] {
			p.occupyDescriptor()
			continue
		}
		if err := p.run(engine); err != nil {
			return err
		}
		delete(waiting, poller)
		if len(waiting) == 0 {
			return nil
		}
	}
	return errNoPoller
}

// probe is a connection inside the process: a byte written to its peer's file
// descriptors shows that the poller of conn runs.
type probe struct {
	conn *nbio.Conn
	peer []int
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
	return &probe{conn: nbc, peer: []int{ends[1]}}, nil
}

// run returns once the poller has read a byte.
func (p *probe) run(engine *nbhttp.Engine) error {
	read := make(chan struct{})
	p.conn.OnData(func(*nbio.Conn, []byte) { close(read) })
	if _, err := engine.AddConn(p.conn); err != nil {
		return merry.Prepend(err, "add a connection to a poller")
	}
	if _, err := syscall.Write(p.peer[0], []byte{0}); err != nil {
		return merry.Prepend(err, "write to a poller's connection")
	}
	<-read
	return nil
}

// occupyDescriptor takes one more file descriptor, so that the next probe's is
// another poller's.
func (p *probe) occupyDescriptor() {
	if fd, err := syscall.Dup(p.peer[0]); err == nil {
		p.peer = append(p.peer, fd)
	}
}

func (p *probe) close() {
	_ = p.conn.Close()
	for _, fd := range p.peer {
		_ = syscall.Close(fd)
	}
}
