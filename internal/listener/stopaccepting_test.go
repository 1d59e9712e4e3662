package listener

import (
	"bufio"
	"fmt"
	"net/http"
	"testing"
)

// TestStopAcceptingClosesConnAfterStartedResponse has the port close while an answer is on
// its way whose head said nothing of that, and its caller send the next request at once.
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
	l.StopAccepting() // the look at idle connections that follows comes late
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
		t.Errorf("got the next request taken in (answer %v, error %v), want the connection ended with the answer before it", res != nil, err)
	default:
	}
}
