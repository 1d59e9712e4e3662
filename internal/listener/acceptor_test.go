package listener

import (
	"bufio"
	"net"
	"net/http"
	"testing"
	"time"

	"lentilwood.example/lentilwood/internal/timekeeper"
)

// dialFrom connects to l from a local address.
func dialFrom(t *testing.T, l *Listener, from string) net.Conn {
	t.Helper()
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(from)}}
	conn, err := dialer.DialContext(t.Context(), "tcp", l.Addr())
	if err != nil {
		t.Fatal(err)
	}
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// isServed sends a request on a new connection from a local address and reports whether it was
// served.
func isServed(t *testing.T, l *Listener, from string) bool {
	t.Helper()
	conn := dialFrom(t, l, from)
	defer func() { _ = conn.Close() }()
	_, _ = conn.Write([]byte(rawGetClose)) // a shed connection may be closed already
	res, _ := readResponse(t, conn)
	return res.StatusCode == http.StatusOK
}

// TestFloodFromOneAddressDoesNotShedOthers has one address send twenty times as many requests
// as another while connections are shed. Shedding at random would hit both alike; the small
// caller must keep its connections.
func TestFloodFromOneAddressDoesNotShedOthers(t *testing.T) {
	l := startListener(t, Config{Handler: echo})
	const rounds, flood, share = 30, 20, 0.1
	l.SetShedShare(1 - share)
	smallServed, floodServed := 0, 0
	for range rounds {
		for range flood {
			if isServed(t, l, "127.0.0.1") {
				floodServed++
			}
		}
		if isServed(t, l, "127.0.0.2") {
			smallServed++
		}
	}
	if smallServed < rounds*4/5 {
		t.Errorf("got %d of %d connections of the small caller accepted, want four fifths", smallServed, rounds)
	}
	if limit := 2 * share * rounds * (flood + 1); float64(smallServed+floodServed) > limit {
		t.Errorf("got %d connections accepted, want at most %v, twice the share", smallServed+floodServed, limit)
	}
}

// TestFloodOfOneAccountDoesNotShedOthers has one of two accounts behind the same address send
// twenty times as many requests as the other. Their requests have been received before the
// connections are accepted, as on a busy VM.
func TestFloodOfOneAccountDoesNotShedOthers(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	cfg := &Config{Clock: timekeeper.System{}, OnRejected: func(string) {}, IdentifyCaller: func(h http.Header) (string, bool) {
		return h.Get("Account"), h.Get("Account") != ""
	}}
	a := newAcceptor(ln, cfg, func() bool { return false })
	const rounds, flood, share = 30, 20, 0.1
	a.setShedShare(1 - share)
	accepted := make(map[string]int)
	for range rounds {
		for i := range flood + 1 {
			account := "large"
			if i == flood {
				account = "small"
			}
			conn, err := net.Dial("tcp", ln.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			sendRaw(t, conn, "GET / HTTP/1.1\r\nHost: h\r\nAccount: "+account+"\r\n\r\n")
		}
		for conn := a.acceptOrShed(); conn != nil; conn = a.acceptOrShed() {
			req, err := http.ReadRequest(bufio.NewReader(conn))
			if err != nil {
				t.Fatal(err)
			}
			accepted[req.Header.Get("Account")]++
			_ = conn.Close()
		}
	}
	if accepted["small"] < rounds*4/5 {
		t.Errorf("got %v connections accepted, want four fifths of %d of the small account", accepted, rounds)
	}
	if limit := 2 * share * rounds * (flood + 1); float64(accepted["small"]+accepted["large"]) > limit {
		t.Errorf("got %v connections accepted, want at most %v, twice the share", accepted, limit)
	}
}

func TestParsePartialHeader(t *testing.T) {
	h := parsePartialHeader([]byte("POST /a HTTP/1.1\r\nHost: h\r\nauthorization: Token x \r\nLong: cut of"))
	if got := h.Get("Authorization"); got != "Token x" {
		t.Errorf("Authorization = %q, want the complete value", got)
	}
	if got := h.Get("Long"); got != "" {
		t.Errorf("got %q from an incomplete header line, want nothing", got)
	}
	if got := parsePartialHeader([]byte("GE")); len(got) != 0 {
		t.Errorf("got %v from a partial request line, want nothing", got)
	}
}

// TestConnReusedAndShedConns sends two requests on one connection, and one on a connection
// that is shed.
func TestConnReusedAndShedConns(t *testing.T) {
	reused := make(chan bool, 2)
	l := startListener(t, Config{Handler: func(c *Caller, _ *http.Request) { reused <- c.ConnReused() }})
	conn := dialFrom(t, l, "127.0.0.1")
	for _, want := range []bool{false, true} {
		_, _ = conn.Write([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"))
		_, _ = readResponse(t, conn)
		if got := <-reused; got != want {
			t.Errorf("ConnReused() = %v, want %v", got, want)
		}
	}
	l.SetShedShare(1)
	if isServed(t, l, "127.0.0.1") || l.ShedConns() != 1 {
		t.Errorf("ShedConns() = %d, want 1", l.ShedConns())
	}
}
