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
	_ = conn.SetDeadline(time.Now().Add(patience))
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// served asks on a new connection from an address and reports whether it was taken in.
func served(t *testing.T, l *Listener, from string) bool {
	t.Helper()
	conn := dialFrom(t, l, from)
	defer func() { _ = conn.Close() }()
	_, _ = conn.Write([]byte(getClose)) // one that is turned away may be closed already
	res, _ := readBody(t, conn)
	return res.StatusCode == http.StatusOK
}

// TestFloodFromOneAddressLeavesOthersTheirConnections has a router without processor
// time be asked by one caller for twenty times what another asks for. The one that asks
// for little is not to pay for the flood.
func TestFloodFromOneAddressLeavesOthersTheirConnections(t *testing.T) {
	l := start(t, Config{Handler: echo})
	const rounds, flood, share = 30, 20, 0.1
	l.SetShedShare(1 - share)
	few, many := 0, 0
	for range rounds {
		for range flood {
			if served(t, l, "127.0.0.1") {
				many++
			}
		}
		if served(t, l, "127.0.0.2") {
			few++
		}
	}
	if few < rounds*4/5 {
		t.Errorf("got %d of %d connections of the caller that asks for little taken in, want four fifths", few, rounds)
	}
	if most := 2 * share * rounds * (flood + 1); float64(few+many) > most {
		t.Errorf("got %d connections taken in, want at most %v, twice the share", few+many, most)
	}
}

// TestFloodOfOneAccountLeavesOthersTheirConnections has two accounts ask from the same
// address, one of them for twenty times what the other asks for. Their requests have
// come in when the router looks at the connections, as on a VM that is busy.
func TestFloodOfOneAccountLeavesOthersTheirConnections(t *testing.T) {
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
	a.turnAway(1 - share)
	taken := make(map[string]int)
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
			send(t, conn, "GET / HTTP/1.1\r\nHost: h\r\nAccount: "+account+"\r\n\r\n")
		}
		for conn := a.takeScreened(); conn != nil; conn = a.takeScreened() {
			req, err := http.ReadRequest(bufio.NewReader(conn))
			if err != nil {
				t.Fatal(err)
			}
			taken[req.Header.Get("Account")]++
			_ = conn.Close()
		}
	}
	if taken["small"] < rounds*4/5 {
		t.Errorf("got %v connections taken in, want four fifths of %d of the small account", taken, rounds)
	}
	if most := 2 * share * rounds * (flood + 1); float64(taken["small"]+taken["large"]) > most {
		t.Errorf("got %v connections taken in, want at most %v, twice the share", taken, most)
	}
}

// TestHeaderIsReadAsFarAsItHasCome looks at the first bytes of a request.
func TestHeaderIsReadAsFarAsItHasCome(t *testing.T) {
	h := parseHeader([]byte("POST /a HTTP/1.1\r\nHost: h\r\nauthorization: Token x \r\nLong: cut of"))
	if got := h.Get("Authorization"); got != "Token x" {
		t.Errorf("got %q, want the key", got)
	}
	if got := h.Get("Long"); got != "" {
		t.Errorf("got %q of a line that has not come in whole, want nothing", got)
	}
	if got := parseHeader([]byte("GE")); len(got) != 0 {
		t.Errorf("got %v of half a request line, want nothing", got)
	}
}

// TestLaterRequestOnAConnectionIsTold has two requests come on one connection, and another
// connection be turned away.
func TestLaterRequestOnAConnectionIsTold(t *testing.T) {
	again := make(chan bool, 2)
	l := start(t, Config{Handler: func(c *Caller, _ *http.Request) { again <- c.ConnReused() }})
	conn := dialFrom(t, l, "127.0.0.1")
	for _, want := range []bool{false, true} {
		_, _ = conn.Write([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"))
		_, _ = readBody(t, conn)
		if got := <-again; got != want {
			t.Errorf("got again %v, want %v", got, want)
		}
	}
	l.SetShedShare(1)
	if served(t, l, "127.0.0.1") || l.ShedConns() != 1 {
		t.Errorf("got %d connections turned away, want 1", l.ShedConns())
	}
}
