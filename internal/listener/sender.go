package listener

import (
	"net"
	"net/netip"
	"syscall"
	"time"
)

const (
	// peekBytes is how much of a request is looked at before its connection is taken in.
	peekBytes = 2 << 10
	// headTime is how long a new connection may take to send the head of its request before
	// it is decided, while some are turned away.
	headTime = 2 * time.Millisecond
)

// callerOn returns who sent what has come in on a new connection, or the address that it
// comes from if accounts are not told apart.
func (a *acceptor) callerOn(fd int, from netip.Addr) string {
	if a.cfg.IdentifyCaller == nil {
		return from.String()
	}
	n, _, err := syscall.Recvfrom(fd, a.peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	if err != nil {
		n = 0 // nothing has come in yet
	}
	if caller, ok := a.cfg.IdentifyCaller(parseHeader(a.peeked[:max(n, 0)])); ok {
		return caller
	}
	return from.String()
}

// callerOnConn is callerOn for a connection that the runtime has set up. While some are
// turned away, it gives the request time to come in.
func (a *acceptor) callerOnConn(conn net.Conn) string {
	from := addressOf(conn.RemoteAddr())
	raw, ok := conn.(syscall.Conn)
	if !ok || !a.screening.Load() {
		return from.String()
	}
	rc, err := raw.SyscallConn()
	if err != nil {
		return from.String()
	}
	<-a.cfg.Clock.After(headTime)
	caller := from.String()
	_ = rc.Control(func(fd uintptr) { caller = a.callerOn(int(fd), from) }) // a closed connection has no caller
	return caller
}

// addressOfPeer returns the address of a peer as the system gives it, or the zero address
// if it has none.
func addressOfPeer(peer syscall.Sockaddr) netip.Addr {
	switch peer := peer.(type) {
	case *syscall.SockaddrInet4:
		return netip.AddrFrom4(peer.Addr)
	case *syscall.SockaddrInet6:
		return netip.AddrFrom16(peer.Addr).Unmap()
	}
	return netip.Addr{}
}

// addressOf returns the address of a peer as the runtime gives it, or the zero address if
// it has none.
func addressOf(peer net.Addr) netip.Addr {
	tcp, ok := peer.(*net.TCPAddr)
	if !ok {
		return netip.Addr{}
	}
	return tcp.AddrPort().Addr().Unmap()
}
