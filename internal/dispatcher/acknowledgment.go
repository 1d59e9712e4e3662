package dispatcher

import (
	"net"
	"time"
)

// acknowledgmentPollInterval is how often a connection is checked for the acknowledgment of a request.
const acknowledgmentPollInterval = 10 * time.Millisecond

// awaitAcknowledged waits until the upstream has received the whole request, or the response is
// complete for the caller whatever the upstream does. It fails if the connection is reset before.
//
// A response without a length may end before its request was received. If the upstream resets the
// connection then, the response was cut short. But if its FIN and its RST both arrive before they
// are read, the read returns io.EOF, and only the state of the connection shows the reset.
func (r *bodyReader) awaitAcknowledged(x *exchange) error {
	for !x.isLingering() {
		if done, err := isAcknowledged(r.conn.Conn); done || err != nil {
			return err
		}
		select {
		case <-time.After(acknowledgmentPollInterval):
		case <-r.stopped:
			return errCanceled
		}
	}
	return nil
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
