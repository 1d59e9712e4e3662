package listener

import (
	"bytes"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
)

// statusConn writes the statuses that nbhttp cannot: it ignores those without a standard text.
type statusConn struct {
	net.Conn
	// status is the status to put into the head that is written next, or 0.
	status atomic.Int32
}

// placeholderStatus is written by nbhttp in place of a status without a standard text. Nothing
// in the format of a response depends on it.
const placeholderStatus = http.StatusInternalServerError

// replaceNext makes status the status of the head that is written next.
func (c *statusConn) replaceNext(status int) { c.status.Store(int32(status)) }

// Write writes p. If a status is to be replaced, p begins with the head of its response: nbhttp
// passes on heads from their beginning.
func (c *statusConn) Write(p []byte) (int, error) {
	status := c.status.Swap(0)
	if status == 0 {
		return c.Conn.Write(p)
	}
	line, rest, ok := bytes.Cut(p, []byte(crlf))
	version, _, hasStatus := bytes.Cut(line, []byte(" "))
	if !ok || !hasStatus {
		return c.Conn.Write(p)
	}
	replaced := make([]byte, 0, len(p))
	replaced = append(replaced, version...)
	replaced = append(replaced, ' ')
	replaced = strconv.AppendInt(replaced, int64(status), 10)
	replaced = append(replaced, " "+crlf...) // an empty reason phrase
	replaced = append(replaced, rest...)
	if n, err := c.Conn.Write(replaced); err != nil {
		return min(n, len(p)), err
	}
	return len(p), nil
}

// writeStatus passes a status to nbhttp, or a placeholder if nbhttp would ignore it.
func (c *Caller) writeStatus(status int) {
	if http.StatusText(status) != "" {
		c.res.WriteHeader(status)
		return
	}
	c.sc.statusConn.replaceNext(status)
	c.res.WriteHeader(placeholderStatus)
}
