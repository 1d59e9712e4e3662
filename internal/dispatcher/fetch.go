package dispatcher

import (
	"net/http"
	"time"
)

// maxUnusedBodyBytes limits a body that is read only to see that the response ends.
const maxUnusedBodyBytes = 64 << 10

// fetch sends a request that serves no caller and passes the body of the response to consume,
// which returns false if it takes no more. It returns the state at the end of the response. The
// status is 0 if that did not end within timeout, or was not taken to its end.
func (d *Dispatcher) fetch(out *upstreamRequest, timeout time.Duration, consume func(p []byte) bool) exchangeUpdate {
	updated := make(chan struct{}, 1)
	x := &exchange{updated: updated, maxBuffered: readAheadBytes}
	defer x.cancel()
	d.transport.Start(x, out)
	expired := d.cfg.Clock.After(timeout)
	for {
		select {
		case <-updated:
		case <-expired:
			return exchangeUpdate{}
		}
		u := x.poll(true)
		switch {
		case !consume(u.body), u.done && u.err != nil:
			return exchangeUpdate{}
		case u.done:
			return u
		}
	}
}

// fetchHead sends a request and returns the head of the response after its end. The status is 0
// if there was none within timeout.
func (d *Dispatcher) fetchHead(out *upstreamRequest, timeout time.Duration) (int, http.Header) {
	n := 0
	u := d.fetch(out, timeout, func(p []byte) bool {
		n += len(p)
		return n <= maxUnusedBodyBytes
	})
	return u.status, u.header
}
