package listener

import (
	"bufio"
	"fmt"
	"net/http"
	"testing"
)

// TestStopAcceptingClosesConnAfterStartedResponse guards against serving further requests
// after the port was closed: the port closes while a response is being sent whose header had
// no "Connection: close", and the caller sends its next request on the connection at once.
func TestStopAcceptingClosesConnAfterStartedResponse(t *testing.T) {
	started, finish, nextReceived := make(chan struct{}), make(chan struct{}), make(chan struct{}, 1)
	l := startListener(t, Config{Handler: func(c *Caller, r *http.Request) {
		if r.URL.Path == "/next" {
			nextReceived <- struct{}{}
			return
		}
		fmt.Fprint(c, "first ")
		c.Flush()
		close(started)
		<-finish
		fmt.Fprint(c, "last")
	}})
	conn := dial(t, l)
	sendRaw(t, conn, rawGetKeepAlive)
	<-started
	l.StopAccepting() // without the sweep over idle connections that Shutdown does next
	close(finish)
	reader := bufio.NewReader(conn)
	res, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	for buf := make([]byte, 64); err == nil; {
		_, err = res.Body.Read(buf)
	}
	sendRaw(t, conn, "GET /next HTTP/1.1\r\nHost: h\r\n\r\n")
	res, err = http.ReadResponse(reader, nil)
	select {
	case <-nextReceived:
		t.Errorf("next request reached the handler (response %v, error %v), want the connection closed after the response before it", res != nil, err)
	default:
	}
}
