package listener

import (
	"net"
	"net/netip"
	"syscall"
	"time"
)

const (
	// maxPeekBytes is the maximum number of bytes peeked at to identify the sender of a request.
	maxPeekBytes = 2 << 10
	// headWait is how long the accept loop waits for a request's head before it decides whether
	// to shed the connection.
	headWait = 2 * time.Millisecond
)

// callerOfFD identifies the sender of a new connection by the part of its request that has
// been received. It returns the source address if Config.IdentifyCaller is nil or returns
// false.
func (a *acceptor) callerOfFD(fd int, from netip.Addr) string {
	if a.cfg.IdentifyCaller == nil {
		return from.String()
	}
	n, _, err := syscall.Recvfrom(fd, a.headBuf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	if err != nil {
		n = 0 // nothing received yet
	}
	if caller, ok := a.cfg.IdentifyCaller(parsePartialHeader(a.headBuf[:max(n, 0)])); ok {
		return caller
	}
	return from.String()
}

// callerOfConn is callerOfFD for a net.Conn. While connections are shed, it waits headWait for
// the request's head; otherwise it returns the source address.
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

// addrFromSockaddr returns the IP address of a socket address, or the zero Addr if it has
// none.
func addrFromSockaddr(peer syscall.Sockaddr) netip.Addr {
	switch peer := peer.(type) {
	case *syscall.SockaddrInet4:
		return netip.AddrFrom4(peer.Addr)
	case *syscall.SockaddrInet6:
		return netip.AddrFrom16(peer.Addr).Unmap()
	}
	return netip.Addr{}
}

// addrFromNetAddr returns the IP address of a TCP address, or the zero Addr for other kinds.
func addrFromNetAddr(peer net.Addr) netip.Addr {
	tcp, ok := peer.(*net.TCPAddr)
	if !ok {
		return netip.Addr{}
	}
	return tcp.AddrPort().Addr().Unmap()
}
