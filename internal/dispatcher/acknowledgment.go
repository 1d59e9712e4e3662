package dispatcher

import (
	"net"
	"time"
)

const (
	// tcpClose is the state of a connection that was reset.
	tcpClose = 7
	// acknowledgmentPollInterval is how often a connection is checked for the acknowledgment of a
	// request.
	acknowledgmentPollInterval = 10 * time.Millisecond
)

// awaitAcknowledged waits until the upstream has received the whole request. It fails if the
// connection is reset before.
//
// A response that only the end of its connection ends may arrive, with that end, before the request
// was received. If the upstream then resets the connection, the response was broken off, but the
// system reports its end as if nothing had happened: only the state of the connection tells.
func (r *bodyReader) awaitAcknowledged() error {
	ticker := time.NewTicker(acknowledgmentPollInterval)
	defer ticker.Stop()
	for {
		if done, err := isAcknowledged(r.conn.Conn); done || err != nil {
			return err
		}
		select {
		case <-ticker.C:
		case <-r.stopped:
			return errCanceled
		}
	}
}

// isAcknowledged reports whether the other end has acknowledged all that was written to a
// connection. It is true as well if the system does not tell.
func isAcknowledged(conn net.Conn) (bool, error) {
	info, err := tcpInfo(conn)
	switch {
	case err != nil:
		return true, nil //nolint:nilerr // a connection in memory acknowledges at once
	case info.State == tcpClose:
		return false, errResetAfterEnd
	}
	return info.Unacked == 0 && info.Notsent_bytes == 0, nil
}
