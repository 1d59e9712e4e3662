package listener

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// FuzzRawInput sends arbitrary bytes. Each input must end with valid responses or a closed
// connection, and the handler must see no more requests than net/http reads from the input.
func FuzzRawInput(f *testing.F) {
	for _, tt := range rejectedRequests {
		f.Add([]byte(tt.raw))
	}
	f.Add([]byte("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n"))
	f.Add([]byte("GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"))
	var calls atomic.Int64
	l, err := Start(Config{
		Name: "fuzz", Address: "127.0.0.1:0", Log: discardLogger(),
		MaxHeaderBytes: 512, MaxBodyBytes: 1024, ReadTimeout: 50 * time.Millisecond, IdleTimeout: 50 * time.Millisecond,
		Handler: func(c *Caller, r *http.Request) { calls.Add(1); echo(c, r) },
	})
	if err != nil {
		f.Fatal(err)
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		callsBefore := calls.Load()
		got := fuzzExchange(t, l.Addr(), raw)
		served := int(calls.Load() - callsBefore)
		if want := countRequests(raw); served > want {
			t.Errorf("got %d requests served, want at most %d", served, want)
		}
		responses := bufio.NewReader(bytes.NewReader(got))
		for {
			res, err := http.ReadResponse(responses, nil)
			if err != nil {
				break
			}
			if _, err := io.Copy(io.Discard, res.Body); err != nil {
				t.Fatalf("got %q, want complete responses: %v", got, err)
			}
		}
	})
}

func fuzzExchange(t *testing.T, address string, raw []byte) []byte {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	_, _ = conn.Write(raw)
	got, err := io.ReadAll(conn)
	if ne, ok := err.(net.Error); ok && ne.Timeout() {
		t.Fatalf("got neither a response nor a closed connection for %q", raw)
	}
	return got
}

// countRequests returns how many requests net/http reads from raw.
func countRequests(raw []byte) int {
	r := bufio.NewReader(strings.NewReader(strings.TrimLeft(string(raw), "\r\n")))
	for n := 0; ; n++ {
		req, err := http.ReadRequest(r)
		if err != nil {
			return n
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return n
		}
		for {
			c, err := r.Peek(1)
			if err != nil || c[0] != '\r' && c[0] != '\n' {
				break
			}
			_, _ = r.Discard(1)
		}
	}
}
