package listener

import (
	"errors"
	"net"
	"net/netip"
	"os"
	"syscall"
)

// acceptFD accepts one connection without blocking and returns its file descriptor and source
// address. ok is false if no connection is waiting or accepting fails.
func acceptFD(listenFD int) (fd int, from netip.Addr, ok bool) {
	for {
		fd, peer, err := syscall.Accept4(listenFD, syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
		if errors.Is(err, syscall.EINTR) || errors.Is(err, syscall.ECONNABORTED) {
			continue
		}
		return fd, addrFromSockaddr(peer), err == nil
	}
}

// connFromFD converts a file descriptor to a connection and takes ownership of it. It returns
// nil on failure, for example if the process has no free file descriptor: net.FileConn
// duplicates the given one.
func connFromFD(fd int) net.Conn {
	file := os.NewFile(uintptr(fd), "queued connection")
	defer func() { _ = file.Close() }()
	conn, err := net.FileConn(file)
	if err != nil {
		return nil
	}
	return conn
}

// rejectFD writes a response to a new connection and closes it. The response fits into the
// empty send buffer, so the write does not block.
func rejectFD(fd int, response []byte) {
	_, _ = syscall.Write(fd, response) // the client may have disconnected; it is rejected either way
	_ = syscall.Close(fd)
}
