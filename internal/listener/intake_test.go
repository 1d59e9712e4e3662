package listener

import (
	"net"
	"net/http"
	"testing"
	"time"
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
	l.TurnAway(1 - share)
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
