package router

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"lentilwood.example/lentilwood/internal/dispatcher"
	"lentilwood.example/lentilwood/internal/explainer"
	"lentilwood.example/lentilwood/internal/listener"
	"lentilwood.example/lentilwood/internal/loader"
	"lentilwood.example/lentilwood/internal/messenger"
	"lentilwood.example/lentilwood/internal/timekeeper"
)

// emptyHeaderReader ignores the headers of callers.
type emptyHeaderReader struct{}

func (emptyHeaderReader) Read(http.Header) CallerHeaders { return CallerHeaders{} }

func (emptyHeaderReader) Key(http.Header) string { return "" }

// plainDialect writes problem documents unchanged.
type plainDialect struct{ dispatcher.Dialect }

func (plainDialect) Traits() dispatcher.Traits { return dispatcher.Traits{} }

func (plainDialect) WriteProblem(w http.ResponseWriter, _ *dispatcher.Request, p explainer.Document) error {
	return p.Write(w)
}

// refusingRouter returns a router that refuses every request because it has no configuration.
// On its VM, goroutines wait for the CPU for the time given by w.
func refusingRouter(t *testing.T, w *fixedWait) (*Hosted, *timekeeper.Manual, *listener.Listener) {
	t.Helper()
	clock := timekeeper.NewManual(time.Unix(1_700_000_000, 0))
	log := logrus.New()
	log.SetOutput(io.Discard)
	h := NewHosted(HostedConfig{
		Settings: loader.Router{Name: "self"}, Decoder: emptyDecoder{}, Clock: clock, Log: log,
		Dialect: plainDialect{}, HeaderReader: emptyHeaderReader{},
	})
	h.overload.runQueue = w
	l, err := listener.Start(listener.Config{Name: t.Name(), Address: "127.0.0.1:0", Handler: h.serveCaller, Log: log})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Shutdown(t.Context()) })
	h.callers = l
	return h, clock, l
}

// sendRequest sends a request on an open connection and returns the status, and whether the
// answer closes the connection.
func sendRequest(t *testing.T, conn net.Conn) (status int, closed bool) {
	t.Helper()
	return sendRequestAs(t, conn, "")
}

// sendRequestAs is sendRequest with an account.
func sendRequestAs(t *testing.T, conn net.Conn, account string) (status int, closed bool) {
	t.Helper()
	if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\nAccount: "+account+"\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, res.Body)
	return res.StatusCode, res.Close
}

// TestSaturatedRouterClosesRefusedConnections replays a flood on connections that are already
// open. Rejecting new connections does not help a router without CPU time if refused callers
// retry on their open connections.
func TestSaturatedRouterClosesRefusedConnections(t *testing.T) {
	w := &fixedWait{}
	h, clock, l := refusingRouter(t, w)
	conn, err := net.Dial("tcp", l.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if status, closed := sendRequest(t, conn); status != http.StatusServiceUnavailable || closed {
		t.Fatalf("got %d, closed %v, from a router with spare CPU time, want 503 and the connection kept open", status, closed)
	}
	w.d = 20 * time.Millisecond
	for range 20 {
		clock.Advance(admissionInterval)
		h.updateOverload(tickTiming{interval: admissionInterval})
	}
	if status, closed := sendRequest(t, conn); status != http.StatusServiceUnavailable || !closed {
		t.Errorf("got %d, closed %v, from a router without CPU time, want 503 and the connection closed", status, closed)
	}
}

// floodListener makes a listener reject nearly all connections, and opens most connections
// from one account and a few from another until the first is dominant. Accounts are named in a
// header.
func floodListener(t *testing.T, l *listener.Listener) {
	t.Helper()
	l.SetShedShare(0.99)
	for i := 0; !l.IsDominantCaller("flood"); i++ {
		if i == 1000 {
			t.Fatal("no account is dominant after 1000 connections")
		}
		account := "flood"
		if i%10 == 0 {
			account = "few"
		}
		conn, err := net.Dial("tcp", l.Addr())
		if err != nil {
			t.Fatal(err)
		}
		_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
		_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\nAccount: "+account+"\r\nConnection: close\r\n\r\n") // the listener may have closed it already
		_, _ = io.ReadAll(conn)
		_ = conn.Close()
	}
}

// TestDominantAccountLosesItsConnections has one account flood a router that admits hardly any
// new connections. Its open connection must be closed after a request, that of another account
// must not.
func TestDominantAccountLosesItsConnections(t *testing.T) {
	h, _, _ := refusingRouter(t, &fixedWait{})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go h.control.run(ctx)
	var err error
	h.callers, err = listener.Start(listener.Config{
		Name: t.Name(), Address: "127.0.0.1:0", Log: h.log,
		IdentifyCaller: func(header http.Header) (string, bool) { return header.Get("Account"), true },
		Handler: func(c *listener.Caller, req *http.Request) {
			out := &dispatcher.Request{ID: messenger.RequestID(h.lastRequestID.Add(1)), Header: req.Header}
			out.Arrive = messenger.Arrive{Request: out.ID, Account: messenger.AccountID(req.Header.Get("Account"))}
			h.serveRequest(c, out, &CallerHeaders{})
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = h.callers.Shutdown(t.Context()) }()
	conns := make(map[string]net.Conn)
	for _, account := range []string{"flood", "few"} {
		if conns[account], err = net.Dial("tcp", h.callers.Addr()); err != nil {
			t.Fatal(err)
		}
		if _, closed := sendRequestAs(t, conns[account], account); closed {
			t.Fatalf("connection of %q closed by a router that admits all", account)
		}
	}
	floodListener(t, h.callers)
	h.atMinAdmission.Store(true)
	for account, want := range map[string]bool{"flood": true, "few": false} {
		if _, closed := sendRequestAs(t, conns[account], account); closed != want {
			t.Errorf("connection of %q: closed is %v, want %v", account, closed, want)
		}
	}
}
