package listener

import (
	"bufio"
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"io"
	"math/big"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"
)

const rawGetClose = "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
const rawGetKeepAlive = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

func sendRaw(t *testing.T, conn net.Conn, raw string) {
	t.Helper()
	if _, err := io.WriteString(conn, raw); err != nil {
		t.Fatal(err)
	}
}

// readResponse reads one response including its body.
func readResponse(t *testing.T, conn net.Conn) (*http.Response, []byte) {
	t.Helper()
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(res.Body)
	if err != nil {
		t.Fatalf("after %d bytes: %v", len(body), err)
	}
	return res, body
}

// TestKeepAliveEndsAboveHalfOfMaxConns checks that each connection is closed after its
// response while more than half of MaxConns are open.
func TestKeepAliveEndsAboveHalfOfMaxConns(t *testing.T) {
	l, err := Start(Config{Name: "crowded", Address: "127.0.0.1:0", MaxConns: 8, Handler: func(c *Caller, _ *http.Request) { c.WriteHeader(http.StatusOK) }})
	if err != nil {
		t.Fatal(err)
	}
	defer l.Shutdown(context.Background()) //nolint:errcheck // a test
	closedAfterResponse := func() bool {
		conn, err := net.Dial("tcp", l.Addr())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
		_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		return resp.Close
	}
	for i := range 6 {
		if got, want := closedAfterResponse(), i >= 4; got != want {
			t.Errorf("connection %d of at most 8: closed after its response = %v, want %v", i+1, got, want)
		}
	}
}

func TestShutdownWaitsForRequestInProgress(t *testing.T) {
	started, finish := make(chan struct{}), make(chan struct{})
	l := startListener(t, Config{Handler: func(c *Caller, _ *http.Request) {
		fmt.Fprint(c, "first ")
		c.Flush()
		close(started)
		<-finish
		fmt.Fprint(c, "last")
	}})
	idle, busy, partial := dial(t, l), dial(t, l), dial(t, l)
	sendRaw(t, busy, rawGetKeepAlive)
	<-started
	sendRaw(t, partial, "GET / HT")
	for l.OpenConns() < 3 {
		time.Sleep(time.Millisecond)
	}
	shutdownErr := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		shutdownErr <- l.Shutdown(ctx)
	}()
	if _, err := idle.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("got %v on the idle connection, want EOF", err)
	}
	if conn, err := net.Dial("tcp", l.Addr()); err == nil {
		_ = conn.Close()
		t.Error("got a new connection while shutting down")
	}
	select {
	case err := <-shutdownErr:
		t.Fatalf("Shutdown returned %v with a request in progress", err)
	default:
	}
	close(finish)
	if _, body := readResponse(t, busy); string(body) != "first last" {
		t.Errorf("got %q, want the complete response", body)
	}
	_ = busy.Close()
	_ = partial.Close()
	if err := <-shutdownErr; err != nil {
		t.Errorf("got error %v from Shutdown, want none", err)
	}
}

func TestStopAcceptingEndsKeepAlive(t *testing.T) {
	l := startListener(t, Config{Handler: echo})
	conn := dial(t, l)
	sendRaw(t, conn, rawGetKeepAlive)
	if res, _ := readResponse(t, conn); res.Close {
		t.Error("got Connection: close before StopAccepting")
	}
	l.StopAccepting()
	sendRaw(t, conn, rawGetKeepAlive)
	if res, _ := readResponse(t, conn); !res.Close {
		t.Error("got no Connection: close after StopAccepting")
	}
}

func TestSlowSenderGetsTimeout(t *testing.T) {
	l := startListener(t, Config{ReadTimeout: 20 * time.Millisecond, Handler: echo})
	for _, raw := range []string{"GET / HT", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nab"} {
		if got := exchange(t, l, raw); !strings.HasPrefix(got, "HTTP/1.1 408 ") {
			t.Errorf("got %q for %q, want status 408", got, raw)
		}
	}
}

func TestIdleConnectionIsClosed(t *testing.T) {
	l := startListener(t, Config{IdleTimeout: 200 * time.Millisecond, Handler: echo})
	conn := dial(t, l)
	sendRaw(t, conn, rawGetKeepAlive)
	readResponse(t, conn)
	if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("got %v, want EOF", err)
	}
}

func TestStreamOutlivesTheIdleTimeout(t *testing.T) {
	const events = 80
	l := startListener(t, Config{IdleTimeout: 200 * time.Millisecond, ReadTimeout: 200 * time.Millisecond,
		Handler: func(c *Caller, _ *http.Request) {
			for range events {
				fmt.Fprint(c, "x")
				c.Flush()
				time.Sleep(5 * time.Millisecond)
			}
		}})
	conn := dial(t, l)
	sendRaw(t, conn, rawGetClose)
	if _, body := readResponse(t, conn); len(body) != events {
		t.Errorf("got %d events, want %d", len(body), events)
	}
}

func TestMaxConns(t *testing.T) {
	l := startListener(t, Config{MaxConns: 1, Handler: echo})
	first := dial(t, l)
	sendRaw(t, first, rawGetKeepAlive)
	readResponse(t, first)
	if res, _ := readResponse(t, dial(t, l)); res.StatusCode != http.StatusServiceUnavailable || res.Header.Get("Retry-After") == "" {
		t.Errorf("got %v, want 503 with Retry-After", res)
	}
}

func TestSlowReaderIsClosedAtMaxPendingBytes(t *testing.T) {
	const limit = 1 << 20
	var maxPending int
	connClosed := make(chan struct{})
	l := startListener(t, Config{MaxPendingBytes: limit, Handler: func(c *Caller, _ *http.Request) {
		piece := bytes.Repeat([]byte("x"), 64<<10)
		for {
			if _, err := c.Write(piece); err != nil {
				<-c.Done()
				close(connClosed)
				return
			}
			c.Flush()
			maxPending = max(maxPending, c.Pending())
		}
	}})
	sendRaw(t, dial(t, l), rawGetKeepAlive)
	select {
	case <-connClosed:
	case <-time.After(testTimeout):
		t.Fatal("connection of a caller that does not read stayed open")
	}
	if maxPending < limit/2 || maxPending > limit+128<<10 {
		t.Errorf("peak of pending bytes = %d, want about the limit of %d", maxPending, limit)
	}
}

func TestPendingReachesZero(t *testing.T) {
	const size = 2 << 20
	pending := make(chan int, 1)
	l := startListener(t, Config{Handler: func(c *Caller, _ *http.Request) {
		_, _ = c.Write(make([]byte, size))
		c.Flush()
		for c.Pending() > 0 {
			time.Sleep(time.Millisecond)
		}
		pending <- c.Pending()
	}})
	conn := dial(t, l)
	sendRaw(t, conn, rawGetClose)
	if _, body := readResponse(t, conn); len(body) != size {
		t.Errorf("got %d bytes, want %d", len(body), size)
	}
	if got := <-pending; got != 0 {
		t.Errorf("got %d pending, want 0", got)
	}
}

func TestSlowReaderGetsCompleteResponseBeforeClose(t *testing.T) {
	const size = 3 << 20
	l := startListener(t, Config{Handler: func(c *Caller, _ *http.Request) { _, _ = c.Write(make([]byte, size)) }})
	conn := dial(t, l)
	sendRaw(t, conn, rawGetClose)
	time.Sleep(50 * time.Millisecond)
	if _, body := readResponse(t, conn); len(body) != size {
		t.Errorf("got %d bytes, want %d", len(body), size)
	}
}

func TestDoneIsClosedWhenCallerDisconnectsDuringHandler(t *testing.T) {
	started, noticed := make(chan struct{}), make(chan struct{})
	l := startListener(t, Config{Handler: func(c *Caller, r *http.Request) {
		close(started)
		<-c.Done()
		<-r.Context().Done()
		close(noticed)
	}})
	conn := dial(t, l)
	sendRaw(t, conn, rawGetKeepAlive)
	<-started
	_ = conn.Close()
	select {
	case <-noticed:
	case <-time.After(testTimeout):
		t.Fatal("Done was not closed after the caller disconnected")
	}
}

func TestTruncatedResponseIsDetectable(t *testing.T) {
	tests := map[string]Handler{
		"abort":        func(c *Caller, _ *http.Request) { fmt.Fprint(c, "part"); c.Flush(); panic(http.ErrAbortHandler) },
		"panic":        func(c *Caller, _ *http.Request) { fmt.Fprint(c, "part"); c.Flush(); panic("broken") },
		"fewer bytes":  func(c *Caller, _ *http.Request) { c.Header().Set("Content-Length", "9"); fmt.Fprint(c, "part") },
		"nothing sent": func(*Caller, *http.Request) { panic(http.ErrAbortHandler) },
	}
	for name, handler := range tests {
		t.Run(name, func(t *testing.T) {
			conn := dial(t, startListener(t, Config{Handler: handler}))
			sendRaw(t, conn, rawGetKeepAlive)
			res, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err == nil {
				_, err = io.ReadAll(res.Body)
			}
			if !errors.Is(err, io.ErrUnexpectedEOF) {
				t.Errorf("got error %v, want %v", err, io.ErrUnexpectedEOF)
			}
		})
	}
}

// TestLargeWritesAreNotCorrupted guards against a fault of nbhttp's own Response: for writes
// of 64 KiB and more it goes on using a buffer that it has already freed.
func TestLargeWritesAreNotCorrupted(t *testing.T) {
	const callers, writes, size = 16, 8, 100_000
	l := startListener(t, Config{Handler: func(c *Caller, r *http.Request) {
		piece := bytes.Repeat([]byte(r.URL.Path[1:]), size)
		for range writes {
			fmt.Fprint(c, r.URL.Path[1:])
			_, _ = c.Write(piece)
		}
	}})
	var wg sync.WaitGroup
	for i := range callers {
		mark := string(rune('a' + i))
		conn := dial(t, l)
		wg.Go(func() {
			fmt.Fprintf(conn, "GET /%s HTTP/1.1\r\nHost: h\r\n\r\n", mark)
			res, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Error(err)
				return
			}
			body, err := io.ReadAll(res.Body)
			if want := strings.Repeat(mark, writes*(size+1)); err != nil || string(body) != want {
				t.Errorf("got %d bytes and error %v, want %d times %s", len(body), err, len(want), mark)
			}
		})
	}
	wg.Wait()
}

func TestResponseHeadersCannotBeSplit(t *testing.T) {
	l := startListener(t, Config{Handler: func(c *Caller, _ *http.Request) {
		c.Header().Set("X-A", "b\r\nX-Evil: yes")
		c.Header()["Bad Name"] = []string{"x"}
	}})
	got := exchange(t, l, rawGetClose)
	if strings.Contains(got, "\nX-Evil") || strings.Contains(got, "Bad Name") {
		t.Errorf("got %q, want no header added", got)
	}
}

func TestTLSStreams(t *testing.T) {
	const size = 1 << 20
	serverConfig, clientConfig := tlsConfigs(t)
	l := startListener(t, Config{TLS: serverConfig, Handler: func(c *Caller, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		_, _ = c.Write(body)
		c.Flush()
		_, _ = c.Write(make([]byte, size))
	}})
	conn, err := tls.Dial("tcp", l.Addr(), clientConfig)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nConnection: close\r\n\r\nhello")
	if _, body := readResponse(t, conn); len(body) != size+5 || string(body[:5]) != "hello" {
		t.Errorf("got %d bytes, want %d", len(body), size+5)
	}
}

func tlsConfigs(t *testing.T) (server, client *tls.Config) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	pool := x509.NewCertPool()
	pool.AddCert(cert)
	server = &tls.Config{Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}}, MinVersion: tls.VersionTLS12}
	client = &tls.Config{RootCAs: pool, ServerName: "127.0.0.1", MinVersion: tls.VersionTLS12}
	return server, client
}

// TestStopRightAfterStart guards against a stop that never ends because it reaches pollers
// before their loops run. With GOMAXPROCS 1, no loop has run yet unless Start waits for it.
func TestStopRightAfterStart(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	for range 50 {
		l, err := Start(Config{Name: t.Name(), Address: "127.0.0.1:0", Handler: echo, Log: discardLogger()})
		if err != nil {
			t.Fatal(err)
		}
		shutdownErr := make(chan error, 1)
		go func() { shutdownErr <- l.Shutdown(t.Context()) }()
		select {
		case err := <-shutdownErr:
			if err != nil {
				t.Fatalf("got error %v from Shutdown, want none", err)
			}
		case <-time.After(testTimeout):
			t.Fatal("Shutdown did not return")
		}
	}
}

// TestShedConnectionsGet503 checks that an overloaded router answers new connections with 503
// unread, while open connections are still served.
func TestShedConnectionsGet503(t *testing.T) {
	l := startListener(t, Config{Handler: echo})
	kept := dial(t, l)
	sendRaw(t, kept, rawGetKeepAlive)
	readResponse(t, kept)
	l.SetShedShare(1)
	fresh := dial(t, l)
	res, _ := readResponse(t, fresh)
	if res.StatusCode != http.StatusServiceUnavailable || !res.Close {
		t.Errorf("got %d, close %v, want 503, true", res.StatusCode, res.Close)
	}
	retryAfters := make(map[string]int)
	for range 30 {
		res, _ := readResponse(t, dial(t, l))
		retryAfters[res.Header.Get("Retry-After")]++
	}
	if retryAfters["1"] == 0 || retryAfters["2"] == 0 || retryAfters["3"] == 0 || len(retryAfters) != 3 {
		t.Errorf("got Retry-After values %v, want 1, 2 and 3 seconds", retryAfters)
	}
	sendRaw(t, kept, rawGetKeepAlive)
	if res, _ := readResponse(t, kept); res.StatusCode != http.StatusOK {
		t.Errorf("got %d on an open connection, want 200", res.StatusCode)
	}
	l.SetShedShare(0)
	reopened := dial(t, l)
	sendRaw(t, reopened, rawGetKeepAlive)
	if res, _ := readResponse(t, reopened); res.StatusCode != http.StatusOK {
		t.Errorf("got %d after the end of shedding, want 200", res.StatusCode)
	}
}
