package listener

import (
	"bufio"
	"net"
	"net/http"
	"testing"
	"time"

	"lentilwood.example/lentilwood/internal/timekeeper"
)

// dialFrom opens a connection to l from an address of this machine.
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

// isServed asks on a new connection from an address and reports whether it was taken in.
func isServed(t *testing.T, l *Listener, from string) bool {
	t.Helper()
	conn := dialFrom(t, l, from)
	defer func() { _ = conn.Close() }()
	_, _ = conn.Write([]byte(rawGetClose)) // one that is turned away may be closed already
	res, _ := readResponse(t, conn)
	return res.StatusCode == http.StatusOK
}

// TestFloodFromOneAddressDoesNotShedOthers has a router without processor
// time be asked by one caller for twenty times what another asks for. The one that asks
// for little is not to pay for the flood.
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
		t.Errorf("got %d of %d connections of the caller that asks for little taken in, want four fifths", smallServed, rounds)
	}
	if limit := 2 * share * rounds * (flood + 1); float64(smallServed+floodServed) > limit {
		t.Errorf("got %d connections taken in, want at most %v, twice the share", smallServed+floodServed, limit)
	}
}

// TestFloodOfOneAccountDoesNotShedOthers has two accounts ask from the same
// address, one of them for twenty times what the other asks for. Their requests have
// come in when the router looks at the connections, as on a VM that is busy.
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
		t.Errorf("got %v connections taken in, want four fifths of %d of the small account", accepted, rounds)
	}
	if limit := 2 * share * rounds * (flood + 1); float64(accepted["small"]+accepted["large"]) > limit {
		t.Errorf("got %v connections taken in, want at most %v, twice the share", accepted, limit)
	}
}

// TestParsePartialHeader looks at the first bytes of a request.
func TestParsePartialHeader(t *testing.T) {
	h := parsePartialHeader([]byte("POST /a HTTP/1.1\r\nHost: h\r\nauthorization: Token x \r\nLong: cut of"))
	if got := h.Get("Authorization"); got != "Token x" {
		t.Errorf("got %q, want the key", got)
	}
	if got := h.Get("Long"); got != "" {
		t.Errorf("got %q of a line that has not come in whole, want nothing", got)
	}
	if got := parsePartialHeader([]byte("GE")); len(got) != 0 {
		t.Errorf("got %v of half a request line, want nothing", got)
	}
}

// TestConnReusedAndShedConns has two requests come on one connection, and another
// connection be turned away.
func TestConnReusedAndShedConns(t *testing.T) {
	reused := make(chan bool, 2)
	l := startListener(t, Config{Handler: func(c *Caller, _ *http.Request) { reused <- c.ConnReused() }})
	conn := dialFrom(t, l, "127.0.0.1")
	for _, want := range []bool{false, true} {
		_, _ = conn.Write([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"))
		_, _ = readResponse(t, conn)
		if got := <-reused; got != want {
			t.Errorf("got again %v, want %v", got, want)
		}
	}
	l.SetShedShare(1)
	if isServed(t, l, "127.0.0.1") || l.ShedConns() != 1 {
		t.Errorf("got %d connections turned away, want 1", l.ShedConns())
	}
}
