package listener

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
)

// testTimeout bounds waits that take much less when the test passes.
const testTimeout = 10 * time.Second

func discardLogger() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

func startListener(t *testing.T, cfg Config) *Listener {
	t.Helper()
	cfg.Name = t.Name()
	if cfg.Log == nil {
		cfg.Log = discardLogger()
	}
	cfg.Address = "127.0.0.1:0"
	l, err := Start(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		_ = l.Shutdown(ctx)
	})
	return l
}

func dial(t *testing.T, l *Listener) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", l.Addr())
	if err != nil {
		t.Fatal(err)
	}
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// exchange sends raw bytes and reads until the listener closes the connection.
func exchange(t *testing.T, l *Listener, raw string) string {
	t.Helper()
	conn := dial(t, l)
	if _, err := io.WriteString(conn, raw); err != nil {
		t.Fatal(err)
	}
	got, err := io.ReadAll(conn)
	if err != nil {
		t.Fatalf("after %q: %v", got, err)
	}
	return string(got)
}

func echo(c *Caller, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	fmt.Fprintf(c, "%s %s %q", r.Method, r.RequestURI, body)
}

func TestEchoOverRawBytes(t *testing.T) {
	tests := map[string]struct{ raw, want string }{
		"get":       {"GET /a?b=c HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", `GET /a?b=c ""`},
		"length":    {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nConnection: close\r\n\r\nabc", `POST / "abc"`},
		"chunked":   {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n2;x=y\r\nab\r\nA\r\n0123456789\r\n0\r\n\r\n", `POST / "ab0123456789"`},
		"http/1.0":  {"GET / HTTP/1.0\r\n\r\n", `GET / ""`},
		"pipelined": {"GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", `GET /2 ""`},
		"continue":  {"POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 1\r\nConnection: close\r\n\r\nx", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK"},
		"head":      {"HEAD /abc HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", "Content-Length: 12\r\n"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			got := exchange(t, startListener(t, Config{Handler: echo}), tt.raw)
			if !strings.Contains(got, tt.want) {
				t.Errorf("got %q, want %q in it", got, tt.want)
			}
		})
	}
}

func TestOneByteAtATime(t *testing.T) {
	l := startListener(t, Config{Handler: echo})
	conn := dial(t, l)
	raw := "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n0\r\n\r\nPOST /y HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\nConnection: close\r\n\r\nef"
	for i := range len(raw) {
		if _, err := conn.Write([]byte{raw[i]}); err != nil {
			t.Fatal(err)
		}
	}
	got, err := io.ReadAll(conn)
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{`POST /x "abcd"`, `POST /y "ef"`} {
		if !strings.Contains(string(got), want) {
			t.Errorf("got %q, want %q in it", got, want)
		}
	}
}

// rejectedRequests holds raw requests that must not reach a handler, with the status of the
// response.
var rejectedRequests = map[string]struct {
	raw    string
	status int
}{
	"length and coding":       {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400},
	"coding and length":       {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n", 400},
	"space before colon":      {"GET / HTTP/1.1\r\nHost : h\r\n\r\n", 400},
	"space in header name":    {"GET / HTTP/1.1\r\nHost: h\r\nA B: c\r\n\r\n", 400},
	"tab before colon":        {"GET / HTTP/1.1\r\nHost: h\r\nContent-Length\t: 1\r\n\r\nx", 400},
	"no host":                 {"GET / HTTP/1.1\r\n\r\n", 400},
	"two hosts":               {"GET / HTTP/1.1\r\nHost: a\r\nHost: a\r\n\r\n", 400},
	"two hosts in 1.0":        {"GET / HTTP/1.0\r\nHost: a\r\nHost: b\r\n\r\n", 400},
	"bad host":                {"GET / HTTP/1.1\r\nHost: a/b\r\n\r\n", 400},
	"length list":             {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3, 3\r\n\r\nabc", 400},
	"length twice":            {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\nabc", 400},
	"length signed":           {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: +3\r\n\r\nabc", 400},
	"length empty":            {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length:\r\n\r\nabc", 400},
	"length huge":             {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 99999999999999999999\r\n\r\n", 413},
	"length over":             {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1025\r\n\r\n", 413},
	"chunks over":             {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3ff\r\n" + strings.Repeat("x", 0x3ff) + "\r\n2\r\n", 413},
	"chunk size bad":          {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0x2\r\nab\r\n0\r\n\r\n", 400},
	"chunk size space":        {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2 \r\nab\r\n0\r\n\r\n", 400},
	"chunk size empty":        {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n\r\nab\r\n0\r\n\r\n", 400},
	"chunk bare line feed":    {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\nab\r\n0\r\n\r\n", 400},
	"chunk without its end":   {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nabcd\r\n0\r\n\r\n", 400},
	"chunk line long":         {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2;" + strings.Repeat("x", 300), 400},
	"trailer":                 {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nHost: evil\r\n\r\n", 400},
	"trailer announced":       {"POST / HTTP/1.1\r\nHost: h\r\nTrailer: X\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX: y\r\n\r\n", 400},
	"coding twice":            {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400},
	"coding other":            {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", 501},
	"coding in 1.0":           {"POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400},
	"bare carriage return":    {"GET / HTTP/1.1\r\nHost: h\rX: y\r\n\r\n", 400},
	"bare line feed":          {"GET / HTTP/1.1\nHost: h\r\n\r\n", 400},
	"folded header":           {"GET / HTTP/1.1\r\nHost: h\r\nX: a\r\n b\r\n\r\n", 400},
	"folded first header":     {"GET / HTTP/1.1\r\n Host: h\r\n\r\n", 400},
	"nul in value":            {"GET / HTTP/1.1\r\nHost: h\r\nX: a\x00b\r\n\r\n", 400},
	"no colon":                {"GET / HTTP/1.1\r\nHost: h\r\nX\r\n\r\n", 400},
	"empty name":              {"GET / HTTP/1.1\r\nHost: h\r\n: x\r\n\r\n", 400},
	"two spaces":              {"GET  / HTTP/1.1\r\nHost: h\r\n\r\n", 400},
	"space after version":     {"GET / HTTP/1.1 \r\nHost: h\r\n\r\n", 400},
	"space in target":         {"GET /a b HTTP/1.1\r\nHost: h\r\n\r\n", 400},
	"fragment":                {"GET /a#b HTTP/1.1\r\nHost: h\r\n\r\n", 400},
	"bad escape":              {"GET /%zz HTTP/1.1\r\nHost: h\r\n\r\n", 400},
	"absolute target":         {"GET http://h/ HTTP/1.1\r\nHost: h\r\n\r\n", 400},
	"version 0.9":             {"GET /\r\n\r\n", 400},
	"version 2":               {"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", 505},
	"method lower case":       {"get / HTTP/1.1\r\nHost: h\r\n\r\n", 501},
	"method connect":          {"CONNECT h:1 HTTP/1.1\r\nHost: h\r\n\r\n", 501},
	"method not a token":      {"G(T / HTTP/1.1\r\nHost: h\r\n\r\n", 400},
	"expectation":             {"POST / HTTP/1.1\r\nHost: h\r\nExpect: more\r\nContent-Length: 1\r\n\r\nx", 417},
	"headers over, unended":   {"GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 600), 431},
	"headers over, ended":     {"GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 600) + "\r\n\r\n", 431},
	"request line over":       {"GET /" + strings.Repeat("x", 600), 431},
	"tls on a plain port":     {"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n", 400},
	"smuggled second request": {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /evil HTTP/1.1\r\nHost: h\r\n\r\n", 400},
}

func TestMalformedRequestsNeverReachHandler(t *testing.T) {
	var calls, rejected atomic.Int64
	l := startListener(t, Config{
		MaxHeaderBytes: 512, MaxBodyBytes: 1024,
		OnRejected: func(string) { rejected.Add(1) },
		Handler:    func(*Caller, *http.Request) { calls.Add(1) },
	})
	for name, tt := range rejectedRequests {
		t.Run(name, func(t *testing.T) {
			got := exchange(t, l, tt.raw)
			res, err := http.ReadResponse(bufio.NewReader(strings.NewReader(got)), nil)
			if err != nil {
				t.Fatalf("got %q: %v", got, err)
			}
			body, _ := io.ReadAll(res.Body)
			if res.StatusCode != tt.status {
				t.Errorf("got status %d, want %d", res.StatusCode, tt.status)
			}
			if got, want := res.Header.Get("Content-Type"), "application/problem+json"; got != want {
				t.Errorf("got content type %q, want %q", got, want)
			}
			if got := res.Header.Get("Lentilwood-Run"); got != "not-run" {
				t.Errorf("got run header %q, want not-run", got)
			}
			if !bytes.Contains(body, []byte(`"type":"urn:lentilwood:problem:`)) || !bytes.Contains(body, []byte(`"run":"not-run"`)) {
				t.Errorf("got body %s, want the problem type and the run state", body)
			}
		})
	}
	if got := calls.Load(); got != 0 {
		t.Errorf("got %d handler calls, want 0", got)
	}
	if got, want := int(rejected.Load()), len(rejectedRequests); got != want {
		t.Errorf("got %d calls of OnRejected, want %d", got, want)
	}
}
