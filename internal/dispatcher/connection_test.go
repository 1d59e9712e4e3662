package dispatcher

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"lentilwood.example/lentilwood/internal/timekeeper"
	"lentilwood.example/lentilwood/internal/verifier"
)

// responses lists responses of an upstream, complete or broken, and the expected results.
var responses = []struct {
	name, method, raw string
	wantStatus        int
	wantBody          string
	wantErr           bool
}{
	{name: "length", raw: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", wantStatus: 200, wantBody: "ok"},
	{name: "chunked", raw: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", wantStatus: 200, wantBody: "ok"},
	{name: "no reason phrase", raw: "HTTP/1.1 200 \r\nContent-Length: 2\r\n\r\nok", wantStatus: 200, wantBody: "ok"},
	{name: "no reason phrase, no space", raw: "HTTP/1.1 200\r\nContent-Length: 2\r\n\r\nok", wantStatus: 200, wantBody: "ok"},
	{name: "early hints first", raw: "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", wantStatus: 200, wantBody: "ok"},
	{name: "length of HEAD", method: http.MethodHead, raw: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n", wantStatus: 200},
	{name: "no content", raw: "HTTP/1.1 204 No Content\r\n\r\n", wantStatus: 204},
	{name: "until close", raw: "HTTP/1.1 200 OK\r\n\r\nok", wantStatus: 200, wantBody: "ok"},
	{name: "cut length", raw: "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok", wantStatus: 200, wantBody: "ok", wantErr: true},
	{name: "cut chunk", raw: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", wantStatus: 200, wantBody: "ok", wantErr: true},
	{name: "cut head", raw: "HTTP/1.1 200 OK\r\nContent-Le", wantErr: true},
	{name: "nothing", wantErr: true},
	{name: "garbage", raw: "\x00\x16\x03\x01 nonsense\r\n\r\n", wantErr: true},
	{name: "switch of protocols", raw: "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n", wantErr: true},
	{name: "status 000", raw: "HTTP/1.1 000 None\r\nContent-Length: 2\r\n\r\nno", wantErr: true},
	{name: "status 000 with a response as its body", raw: "HTTP/1.1 000 None\r\nContent-Length: 40\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno", wantErr: true},
	{name: "status 000 after an interim response", raw: "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 None\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno", wantErr: true},
	{name: "status below 100", raw: "HTTP/1.1 099 None\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno", wantErr: true},
	{name: "status with a sign", raw: "HTTP/1.1 +20 None\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno", wantErr: true},
	{name: "status 600", raw: "HTTP/1.1 600 None\r\nContent-Length: 2\r\n\r\nno", wantErr: true},
	{name: "status 999", raw: "HTTP/1.1 999 None\r\nContent-Length: 2\r\n\r\nno", wantErr: true},
	{name: "unknown status of success", raw: "HTTP/1.1 299 Fine\r\nContent-Length: 2\r\n\r\nok", wantStatus: 299, wantBody: "ok"},
	{name: "unknown status of failure", raw: "HTTP/1.1 599\r\nContent-Length: 2\r\n\r\nno", wantStatus: 599, wantBody: "no"},
	{name: "blank in a name", raw: "HTTP/1.1 200 OK\r\nX Foo: 1\r\nContent-Length: 2\r\n\r\nok", wantErr: true},
	{name: "blank after a name", raw: "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nok!", wantErr: true},
	{name: "blank before a name", raw: "HTTP/1.1 200 OK\r\nX: 1\r\n Content-Length: 2\r\n\r\nok!", wantErr: true},
	{name: "tab before a name", raw: "HTTP/1.1 200 OK\r\nX: 1\r\n\tContent-Length: 2\r\n\r\nok!", wantErr: true},
	{name: "line feed before a name", raw: "HTTP/1.1 200 OK\r\nX: 1\r\n\nContent-Length: 2\r\n\r\nok", wantErr: true},
	{name: "control byte in a name", raw: "HTTP/1.1 200 OK\r\nX\x01Foo: 1\r\nContent-Length: 2\r\n\r\nok", wantErr: true},
	{name: "blank in a name of an interim response", raw: "HTTP/1.1 103 Early Hints\r\nLi nk: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", wantErr: true},
	{name: "blank in a name after an interim response", raw: "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nok!", wantErr: true},
	{name: "blank in a name of a trailer", raw: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX Sum: 1\r\n\r\n", wantStatus: 200, wantBody: "ok", wantErr: true},
	{name: "trailer", raw: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-Sum: 1\r\n\r\n", wantStatus: 200, wantBody: "ok"},
	{name: "lines that end in a line feed", raw: "HTTP/1.1 200 OK\nContent-Length: 2\n\nok", wantStatus: 200, wantBody: "ok"},
	{name: "two lengths", raw: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok!", wantErr: true},
	{name: "header without end", raw: "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 2*verifier.MaxHeadBytes) + "\r\n\r\n", wantErr: true},
}

// TestTransportResponses sends each response through each transport. It checks only the
// results of the transport in use and logs those of the others for comparison in the
// design note.
func TestTransportResponses(t *testing.T) {
	all := transports(t)
	for _, tt := range responses {
		t.Run(tt.name, func(t *testing.T) {
			addr := serveRaw(t, func(conn net.Conn, _ *http.Request) { _, _ = io.WriteString(conn, tt.raw) })
			method := tt.method
			if method == "" {
				method = http.MethodGet
			}
			for name, tr := range all {
				status, body, err := fetch(t, tr, &upstreamRequest{address: addr, method: method, uri: "/", header: make(http.Header), newConn: true})
				ok := status == tt.wantStatus && string(body) == tt.wantBody && (err != nil) == tt.wantErr
				if ok {
					continue
				}
				if name == "connection" {
					t.Errorf("got %d %q, error %v; want %d %q, error %v", status, body, err, tt.wantStatus, tt.wantBody, tt.wantErr)
					continue
				}
				t.Logf("%s: %d, %d bytes, error %v; want %d %q, error %v", name, status, len(body), err, tt.wantStatus, tt.wantBody, tt.wantErr)
			}
		})
	}
}

// TestConnectionReuse checks which connections are reused.
func TestConnectionReuse(t *testing.T) {
	tests := []struct {
		name, raw  string
		fresh      bool
		idle       time.Duration
		wantReused bool
	}{
		{name: "complete response", raw: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", wantReused: true},
		{name: "new connection requested", raw: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", fresh: true},
		{name: "idle for too long", raw: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", idle: time.Minute},
		{name: "more than one response", raw: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n"},
		{name: "closing", raw: "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			accepted := make(chan struct{}, 8)
			addr := serveKeepAlive(t, accepted, tt.raw)
			clock := timekeeper.NewManual(time.Unix(0, 0))
			tr := newConnTransport(clock, Config{ConnectTimeout: time.Second, IdleTimeout: time.Minute})
			defer tr.Close()
			for i := range 2 {
				out := &upstreamRequest{address: addr, method: http.MethodGet, uri: "/", header: make(http.Header), newConn: tt.fresh && i > 0}
				if _, body, err := fetch(t, tr, out); err != nil || string(body) != "ok" {
					t.Fatalf("exchange %d: body %q, error %v", i, body, err)
				}
				clock.Advance(tt.idle)
			}
			want := 2
			if tt.wantReused {
				want = 1
			}
			if got := len(accepted); got != want {
				t.Errorf("connections = %d, want %d", got, want)
			}
		})
	}
}

// TestStaleConnection checks that an idempotent request is sent over a new connection if
// the upstream has closed the idle one.
func TestStaleConnection(t *testing.T) {
	closed := make(chan struct{}, 8)
	addr := serveRaw(t, func(conn net.Conn, _ *http.Request) {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		_ = conn.Close()
		closed <- struct{}{}
	})
	tr := newConnTransport(timekeeper.System{}, Config{ConnectTimeout: time.Second, IdleTimeout: time.Minute})
	defer tr.Close()
	out := func() *upstreamRequest {
		return &upstreamRequest{address: addr, method: http.MethodPost, uri: "/", header: make(http.Header), body: []byte("x")}
	}
	if _, _, err := fetch(t, tr, out()); err != nil {
		t.Fatal(err)
	}
	<-closed
	if _, body, err := fetch(t, tr, out()); err != nil || string(body) != "ok" {
		t.Errorf("second exchange: body %q, error %v, want ok", body, err)
	}
	<-closed
}

// TestMalformedHeadIsAResponse checks that a kept connection with a malformed head does not count as
// one that broke off unanswered, after which the same upstream gets the request once more.
func TestMalformedHeadIsAResponse(t *testing.T) {
	addr := serveConns(t, func(conn net.Conn) {
		br := bufio.NewReader(conn)
		for _, head := range []string{"HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nX Foo: 1\r\n"} {
			if _, err := http.ReadRequest(br); err != nil {
				return
			}
			_, _ = io.WriteString(conn, head+"Content-Length: 2\r\n\r\nok")
		}
	})
	tr := newConnTransport(timekeeper.System{}, Config{ConnectTimeout: time.Second, IdleTimeout: time.Minute})
	defer tr.Close()
	out := &upstreamRequest{address: addr, method: http.MethodGet, uri: "/", header: make(http.Header)}
	if _, _, err := fetch(t, tr, out); err != nil {
		t.Fatal(err)
	}
	u := fetchUpdate(tr, out)
	if !u.reused || u.unanswered || !errors.Is(u.err, verifier.ErrHead) {
		t.Errorf("reused %v, unanswered %v, error %v; want a reused connection, answered with %v", u.reused, u.unanswered, u.err, verifier.ErrHead)
	}
}

// TestBackPressure checks that an upstream is read no faster than its response is
// consumed.
func TestBackPressure(t *testing.T) {
	const size = 64 << 20
	addr := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		chunk := make([]byte, 64<<10)
		for range size / len(chunk) {
			if _, err := w.Write(chunk); err != nil {
				return
			}
		}
	})
	tr := newConnTransport(timekeeper.System{}, Config{ConnectTimeout: time.Second, IdleTimeout: time.Minute})
	defer tr.Close()
	ready := make(chan struct{}, 1)
	x := &exchange{updated: ready, maxBuffered: readAheadBytes}
	tr.Start(x, &upstreamRequest{address: addr, method: http.MethodGet, uri: "/", header: make(http.Header)})
	for !x.isPaused() {
		<-ready
	}
	total := 0
	for {
		u := x.poll(true)
		if got := len(u.body); got > readAheadBytes+maxReadBytes {
			t.Fatalf("held %d bytes, want at most %d", got, readAheadBytes+maxReadBytes)
		}
		total += len(u.body)
		if u.done {
			break
		}
		<-ready
	}
	if total != size {
		t.Errorf("got %d bytes, want %d", total, size)
	}
}

// isPaused reports whether the transport has paused reading.
func (x *exchange) isPaused() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.paused
}
