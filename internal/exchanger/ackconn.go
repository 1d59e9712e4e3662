package exchanger

import (
	"net"
	"sync/atomic"

	"github.com/ansel1/merry/v2"
)

// maxAckBytes limits what a peer may send in answer to one call.
const maxAckBytes = 64 << 10

var errAckTooLong = merry.Sentinel("answer of the peer has no end")

// ackConn is a connection on which a peer answers calls. The decoder keeps what belongs to one
// value until that is complete, so the bytes of an answer are limited.
type ackConn struct {
	net.Conn
	left atomic.Int64
}

// newAckConn returns a connection on which one answer may be read.
func newAckConn(conn net.Conn) *ackConn {
	c := &ackConn{Conn: conn}
	c.beginCall()
	return c
}

// beginCall allows another answer to be read.
func (c *ackConn) beginCall() { c.left.Store(maxAckBytes) }

// Read implements io.Reader.
func (c *ackConn) Read(p []byte) (int, error) {
	left := c.left.Load()
	if left <= 0 {
		return 0, errAckTooLong
	}
	n, err := c.Conn.Read(p[:min(int64(len(p)), left)])
	c.left.Add(-int64(n))
	return n, err
}
