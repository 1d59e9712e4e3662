package listener

import (
	"errors"
	"io"
	"sync"
)

// descriptors knows which file descriptors belonged to a connection that may have been closed
// by another goroutine than its poller. The poller may still have to look at what the system
// told it of that connection, and nbio matches that by descriptor alone: it would end a new
// connection that took the descriptor. The zero value knows none.
type descriptors struct {
	mu     sync.Mutex
	owners map[int]*boundary
}

// take notes the owner of a descriptor, and reports whether the one before may have been
// closed by another goroutine than its poller.
func (d *descriptors) take(fd int, b *boundary) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.owners == nil {
		d.owners = make(map[int]*boundary)
	}
	_, was := d.owners[fd]
	d.owners[fd] = b
	return was
}

// noteClosed notes why a connection is closed. A poller closes at the end of the other side:
// it has done with the connection then.
func (d *descriptors) noteClosed(fd int, b *boundary, cause error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if errors.Is(cause, io.EOF) && d.owners[fd] == b {
		delete(d.owners, fd)
	}
}
