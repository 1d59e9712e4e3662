package listener

import (
	"net"
	"net/netip"
	"syscall"
	"time"
)

const (
	// maxPeekBytes is how much of a request is looked at before its connection is taken in.
	maxPeekBytes = 2 << 10
	// headWait is how long a new connection may take to send the head of its request before
	// it is decided, while some are turned away.
	headWait = 2 * time.Millisecond
)

// callerOfFD returns who sent what has come in on a new connection, or the address that it
// comes from if accounts are not told apart.
func (a *acceptor) callerOfFD(fd int, from netip.Addr) string {
	if a.cfg.IdentifyCaller == nil {
		return from.String()
	}
	n, _, err := syscall.Recvfrom(fd, a.headBuf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	if err != nil {
		n = 0 // nothing has come in yet
	}
	if caller, ok := a.cfg.IdentifyCaller(parsePartialHeader(a.headBuf[:max(n, 0)])); ok {
		return caller
	}
	return from.String()
}

// callerOfConn is callerOn for a connection that the runtime has set up. While some are
// turned away, it gives the request time to come in.
func (a *acceptor) callerOfConn(conn net.Conn) string {
	from := addrFromNetAddr(conn.RemoteAddr())
	raw, ok := conn.(syscall.Conn)
	if !ok || !a.shedding.Load() {
		return from.String()
	}
	rc, err := raw.SyscallConn()
	if err != nil {
		return from.String()
	}
	<-a.cfg.Clock.After(headWait)
	caller := from.String()
	_ = rc.Control(func(fd uintptr) { caller = a.callerOfFD(int(fd), from) }) // a closed connection has no caller
	return caller
}

// addrFromSockaddr returns the address of a peer as the system gives it, or the zero address
// if it has none.
func addrFromSockaddr(peer syscall.Sockaddr) netip.Addr {
	switch peer := peer.(type) {
	case *syscall.SockaddrInet4:
		return netip.AddrFrom4(peer.Addr)
	case *syscall.SockaddrInet6:
		return netip.AddrFrom16(peer.Addr).Unmap()
	}
	return netip.Addr{}
}

// addrFromNetAddr returns the address of a peer as the runtime gives it, or the zero address if
// it has none.
func addrFromNetAddr(peer net.Addr) netip.Addr {
	tcp, ok := peer.(*net.TCPAddr)
	if !ok {
		return netip.Addr{}
	}
	return tcp.AddrPort().Addr().Unmap()
}
