package listener

import (
	"errors"
	"net"
	"net/netip"
	"os"
	"syscall"
)

// acceptFD accepts one connection without waiting for it, and returns the address that
// it comes from. It returns false if there is none.
func acceptFD(listenFD int) (fd int, from netip.Addr, ok bool) {
	for {
		fd, peer, err := syscall.Accept4(listenFD, syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
		if errors.Is(err, syscall.EINTR) || errors.Is(err, syscall.ECONNABORTED) {
			continue
		}
		return fd, addrFromSockaddr(peer), err == nil
	}
}

// connFromFD makes a connection of a descriptor, which it takes over. It returns nil
// if the system has no descriptor left to do so.
func connFromFD(fd int) net.Conn {
	file := os.NewFile(uintptr(fd), "queued connection")
	defer func() { _ = file.Close() }()
	conn, err := net.FileConn(file)
	if err != nil {
		return nil
	}
	return conn
}

// rejectFD writes an answer, which a new connection has room for, and closes it.
func rejectFD(fd int, answer []byte) {
	_, _ = syscall.Write(fd, answer) // the caller may have left; it is refused either way
	_ = syscall.Close(fd)
}
