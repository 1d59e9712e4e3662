package dispatcher

import (
	"context"
	"net/http"
	"testing"
)

// TestUnnumberedTextBreaksNumberedStream checks that text without an event id after
// numbered events breaks the stream. Such text can arrive if the response has neither a
// Content-Length nor chunked framing and the response to another request follows it on the
// connection.
func TestUnnumberedTextBreaksNumberedStream(t *testing.T) {
	response := "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
	for _, text := range []string{response, "failed\n\n", "data: failed\n\n", "event: error\n\n", "id: x\ndata: t3\n\n"} {
		first := serveTruncatedStream(t, numberedEvents(1, 2)+text+numberedEvents(3, 4))
		second := serve(t, func(w http.ResponseWriter, r *http.Request) {
			startStream(w, r)
			writeEvent(w, numberedEvents(3, 4))
		})
		d := newTestDispatcher(t, Config{Dialect: resendDialect{}, Upstreams: fixedUpstreams{"a": {Address: first}, "b": {Address: second}}})
		c := newFakeCaller()
		res := d.Serve(context.Background(), resumableStream(), newFakeQueue("a", "b"), c)
		if got, want := c.text(), numberedEvents(1, 4); got != want || res.Aborted {
			t.Errorf("got %q, aborted %v, want the rest from the other upstream: %q", got, res.Aborted, want)
		}
	}
}

// TestCommentsAreRelayed checks that comments and retry fields are relayed and do not
// break the stream.
func TestCommentsAreRelayed(t *testing.T) {
	text := ": hello\n\nretry: 100\n\n" + numberedEvents(1, 2) + ": still here\r\n\r\nretry: 200\n\n" + numberedEvents(3, 4)
	addr := serve(t, func(w http.ResponseWriter, r *http.Request) {
		startStream(w, r)
		writeEvent(w, text)
	})
	d := newTestDispatcher(t, Config{Dialect: resendDialect{}, Upstreams: fixedUpstreams{"a": {Address: addr}}})
	c := newFakeCaller()
	res := d.Serve(context.Background(), resumableStream(), newFakeQueue("a"), c)
	if got := c.text(); got != text || res.Aborted {
		t.Errorf("got %q, aborted %v, want %q", got, res.Aborted, text)
	}
}

// TestUnnumberedStreamIsNotSentTwice guards against events that the caller gets twice: a stream
// whose events have no ids breaks off, and another upstream would begin it anew.
func TestUnnumberedStreamIsNotSentTwice(t *testing.T) {
	first := serve(t, func(w http.ResponseWriter, r *http.Request) {
		startStream(w, r)
		writeEvent(w, "data: a\n\n")
		panic(http.ErrAbortHandler)
	})
	second := serve(t, func(w http.ResponseWriter, r *http.Request) {
		startStream(w, r)
		writeEvent(w, "data: a\n\ndata: b\n\n")
	})
	d := newTestDispatcher(t, Config{
		Dialect: resendDialect{}, Upstreams: fixedUpstreams{"a": {Address: first}, "b": {Address: second}},
	})
	c := newFakeCaller()
	res := d.Serve(context.Background(), resumableStream(), newFakeQueue("a", "b"), c)
	if got, want := c.text(), "data: a\n\n"; got != want || !res.Aborted {
		t.Errorf("response = %q, aborted %v, want %q, aborted", got, res.Aborted, want)
	}
}
