package dispatcher

import (
	"bufio"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"lentilwood.example/lentilwood/internal/timekeeper"
)

// earlyHead is the head of an answer without a length, and a part of its body.
const earlyHead = "HTTP/1.1 200 OK\r\n\r\npart"

// answerEarly starts an upstream that reads the head of a request, but not its body, writes
// earlyHead and then calls end with the connection.
func answerEarly(t *testing.T, end func(conn *net.TCPConn, r *http.Request)) string {
	t.Helper()
	return serveConns(t, func(conn net.Conn) {
		r, err := http.ReadRequest(bufio.NewReaderSize(conn, 16))
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, earlyHead)
		end(conn.(*net.TCPConn), r)
	})
}

// reset resets a connection.
func reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

// upload sends a long body and returns the error of the exchange.
func upload(t *testing.T, cfg Config, address string, size int) (body []byte, err error) {
	t.Helper()
	cfg.ConnectTimeout = time.Second
	transport := newConnTransport(timekeeper.System{}, cfg)
	defer transport.Close()
	_, body, err = fetch(t, transport, &upstreamRequest{
		address: address, method: http.MethodPost, uri: "/", header: make(http.Header), newConn: true, body: make([]byte, size),
	})
	return body, err
}

// uploadSizes are bodies that fit into the buffers of the sockets, or do not.
var uploadSizes = map[string]int{"buffered": 1 << 20, "not buffered": 32 << 20}

// TestResetDuringUploadIsNoEnd guards against taking a part of an answer without a length for the
// whole if its upstream resets the connection while the request is still being written.
func TestResetDuringUploadIsNoEnd(t *testing.T) {
	for name, end := range map[string]func(conn *net.TCPConn){
		"reset":           reset,
		"closed unread":   func(conn *net.TCPConn) { _ = conn.Close() },
		"reset later":     func(conn *net.TCPConn) { time.Sleep(20 * time.Millisecond); reset(conn) },
		"end, then reset": func(conn *net.TCPConn) { _ = conn.CloseWrite(); reset(conn) },
		"end, reset later": func(conn *net.TCPConn) {
			_ = conn.CloseWrite()
			time.Sleep(20 * time.Millisecond)
			reset(conn)
		},
	} {
		for fits, size := range uploadSizes {
			t.Run(name+"/"+fits, func(t *testing.T) {
				address := answerEarly(t, func(conn *net.TCPConn, _ *http.Request) { end(conn) })
				if body, err := upload(t, Config{}, address, size); err == nil {
					t.Errorf("got %q as a complete response, want an error", body)
				}
			})
		}
	}
}

// TestEarlyAnswerIsComplete checks that an answer without a length that ends before its request
// was read is complete if the upstream then reads the request to its end.
func TestEarlyAnswerIsComplete(t *testing.T) {
	for fits, size := range uploadSizes {
		t.Run(fits, func(t *testing.T) {
			read := make(chan int64, 1)
			address := answerEarly(t, func(conn *net.TCPConn, r *http.Request) {
				_ = conn.CloseWrite()
				time.Sleep(20 * time.Millisecond)
				n, _ := io.Copy(io.Discard, r.Body)
				read <- n
			})
			body, err := upload(t, Config{}, address, size)
			if string(body) != "part" || err != nil {
				t.Errorf("got %q, error %v, want the response", body, err)
			}
			if got := <-read; got != int64(size) {
				t.Errorf("the upstream read %d bytes, want %d", got, size)
			}
		})
	}
}

// TestUnreadRequestHoldsNoConnection checks that a connection is closed soon after its response is
// complete for the caller, even if the upstream never reads the rest of the request.
func TestUnreadRequestHoldsNoConnection(t *testing.T) {
	over, closed := make(chan struct{}), make(chan struct{})
	defer close(over)
	address := answerEarly(t, func(conn *net.TCPConn, _ *http.Request) {
		_ = conn.CloseWrite()
		<-over
	})
	tr := newConnTransport(timekeeper.System{}, Config{ConnectTimeout: time.Second})
	defer tr.Close()
	updated := make(chan struct{}, 1)
	x := &exchange{updated: updated, maxBuffered: readAheadBytes}
	tr.Start(x, &upstreamRequest{
		address: address, method: http.MethodPost, uri: "/", header: make(http.Header), newConn: true, body: make([]byte, uploadSizes["buffered"]),
	})
	for len(x.poll(true).body) == 0 {
		<-updated
	}
	x.linger()
	go func() {
		for !x.poll(true).done {
			<-updated
		}
		close(closed)
	}()
	select {
	case <-closed:
	case <-time.After(10 * lingerTimeout):
		t.Error("the connection of a complete response stays open")
		x.cancel()
		<-closed
	}
}

// TestResetDuringUploadIsNoEndWithTLS is TestResetDuringUploadIsNoEnd over TLS.
func TestResetDuringUploadIsNoEndWithTLS(t *testing.T) {
	server := httptest.NewUnstartedServer(nil)
	server.StartTLS()
	certificates := server.TLS.Certificates
	server.Close()
	for name, end := range map[string]func(conn *tls.Conn){
		"reset":           func(conn *tls.Conn) { reset(conn.NetConn().(*net.TCPConn)) },
		"end, then reset": func(conn *tls.Conn) { _ = conn.CloseWrite(); reset(conn.NetConn().(*net.TCPConn)) },
		"end of TCP, then reset": func(conn *tls.Conn) {
			_ = conn.NetConn().(*net.TCPConn).CloseWrite()
			time.Sleep(20 * time.Millisecond)
			reset(conn.NetConn().(*net.TCPConn))
		},
	} {
		for fits, size := range uploadSizes {
			t.Run(name+"/"+fits, func(t *testing.T) {
				address := serveConns(t, func(conn net.Conn) {
					secure := tls.Server(conn, &tls.Config{Certificates: certificates})
					if _, err := http.ReadRequest(bufio.NewReaderSize(secure, 16)); err != nil {
						return
					}
					_, _ = io.WriteString(secure, earlyHead)
					end(secure)
				})
				cfg := Config{UpstreamTLS: &tls.Config{InsecureSkipVerify: true}}
				if body, err := upload(t, cfg, address, size); err == nil {
					t.Errorf("got %q as a complete response, want an error", body)
				}
			})
		}
	}
}
