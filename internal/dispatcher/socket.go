package dispatcher

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// States of a TCP connection, as the system reports them.
const (
	// tcpEstablished is the state of a connection of which neither side has ended.
	tcpEstablished = 1
	// tcpClose is the state of a connection that was reset; this side has not closed it yet.
	tcpClose = 7
)

// hasEnded reports whether the end of a connection was received, even if bytes before it were
// not read yet.
func hasEnded(conn net.Conn) bool {
	info, err := tcpInfo(conn)
	return err == nil && info.State != tcpEstablished
}

// isOpenConn reports whether a connection is known to be open.
func isOpenConn(conn net.Conn) bool {
	info, err := tcpInfo(conn)
	return err == nil && info.State == tcpEstablished
}

// tcpInfo returns what the system knows about a connection.
func tcpInfo(conn net.Conn) (info *unix.TCPInfo, err error) {
	err = controlSocket(conn, func(fd int) (err error) {
		info, err = unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		return err
	})
	return info, err
}

// endReceivedAt returns when the end of a connection was received, or zero if the system does
// not tell. It may be long before the end is read.
func endReceivedAt(conn net.Conn, now time.Time) time.Time {
	info, err := tcpInfo(conn)
	if err != nil {
		return time.Time{}
	}
	// The segment that ends a connection carries its last acknowledgment.
	return now.Add(-time.Duration(info.Last_ack_recv) * time.Millisecond)
}

// controlSocket calls f with the descriptor of a connection.
func controlSocket(conn net.Conn, f func(fd int) error) error {
	if wrapped, ok := conn.(interface{ NetConn() net.Conn }); ok {
		conn = wrapped.NetConn()
	}
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return errNoSocket
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return err
	}
	var callErr error
	if err := raw.Control(func(fd uintptr) { callErr = f(int(fd)) }); err != nil {
		return err
	}
	return callErr
}
