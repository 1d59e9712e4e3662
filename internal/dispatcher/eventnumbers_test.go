package dispatcher

import (
	"context"
	"net/http"
	"testing"
)

// TestTextIsNoEventOfANumberedStream has an upstream go on after its events with what has
// no number, as an answer to another request behind one without a length would be read.
func TestTextIsNoEventOfANumberedStream(t *testing.T) {
	answer := "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
	for _, text := range []string{answer, "failed\n\n", "data: failed\n\n", "event: error\n\n", "id: x\ndata: t3\n\n"} {
		first := cutAfter(t, numbered(1, 2)+text+numbered(3, 4))
		second := serve(t, func(w http.ResponseWriter, r *http.Request) {
			beginStream(w, r)
			writeEvent(w, numbered(3, 4))
		})
		d := newTestDispatcher(t, Config{Dialect: resendDialect{}, Upstreams: fixedUpstreams{"a": {Address: first}, "b": {Address: second}}})
		c := newFakeCaller()
		res := d.Serve(context.Background(), stream(), newFakeQueue("a", "b"), c)
		if got, want := c.text(), numbered(1, 4); got != want || res.Aborted {
			t.Errorf("got %q, aborted %v, want the rest from the other upstream: %q", got, res.Aborted, want)
		}
	}
}

// TestCommentsArePartOfAStream has an upstream send comments and the time to come back.
func TestCommentsArePartOfAStream(t *testing.T) {
	text := ": hello\n\nretry: 100\n\n" + numbered(1, 2) + ": still here\r\n\r\nretry: 200\n\n" + numbered(3, 4)
	addr := serve(t, func(w http.ResponseWriter, r *http.Request) {
		beginStream(w, r)
		writeEvent(w, text)
	})
	d := newTestDispatcher(t, Config{Dialect: resendDialect{}, Upstreams: fixedUpstreams{"a": {Address: addr}}})
	c := newFakeCaller()
	res := d.Serve(context.Background(), stream(), newFakeQueue("a"), c)
	if got := c.text(); got != text || res.Aborted {
		t.Errorf("got %q, aborted %v, want %q", got, res.Aborted, text)
	}
}
