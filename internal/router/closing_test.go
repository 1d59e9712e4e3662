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

// blankEntrance reads nothing of callers' headers.
type blankEntrance struct{}

func (blankEntrance) Read(http.Header) CallerHeaders { return CallerHeaders{} }

func (blankEntrance) Key(http.Header) string { return "" }

// plainDialect writes problem documents as they are.
type plainDialect struct{ dispatcher.Dialect }

func (plainDialect) Traits() dispatcher.Traits { return dispatcher.Traits{} }

func (plainDialect) WriteProblem(w http.ResponseWriter, _ *dispatcher.Request, p explainer.Document) error {
	return p.Write(w)
}

// refusingRouter returns a router that has no configuration, so that it refuses each
// request, on a VM where goroutines wait for the processor as long as w says.
func refusingRouter(t *testing.T, w *fixedWait) (*Hosted, *timekeeper.Manual, *listener.Listener) {
	t.Helper()
	clock := timekeeper.NewManual(time.Unix(1_700_000_000, 0))
	log := logrus.New()
	log.SetOutput(io.Discard)
	h := NewHosted(HostedConfig{
		Settings: loader.Router{Name: "self"}, Decoder: blankDecoder{}, Clock: clock, Log: log,
		Dialect: plainDialect{}, HeaderReader: blankEntrance{},
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

// askOn sends a request on an open connection and reports whether the answer closes it.
func askOn(t *testing.T, conn net.Conn) (status int, closed bool) {
	t.Helper()
	return askAs(t, conn, "")
}

// askAs is askOn for an account.
func askAs(t *testing.T, conn net.Conn, account string) (status int, closed bool) {
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

// TestRefusedCallerOfAStarvedRouterGivesUpItsConnection replays a flood on connections
// that are open already: a router without processor time turns new connections away,
// which is no use while those that it refuses ask again on theirs.
func TestRefusedCallerOfAStarvedRouterGivesUpItsConnection(t *testing.T) {
	w := &fixedWait{}
	h, clock, l := refusingRouter(t, w)
	conn, err := net.Dial("tcp", l.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if status, closed := askOn(t, conn); status != http.StatusServiceUnavailable || closed {
		t.Fatalf("got %d, closed %v, from a router with time to spare, want 503 on a connection that is kept", status, closed)
	}
	w.d = 20 * time.Millisecond
	for range 20 {
		clock.Advance(admissionInterval)
		h.updateOverload(tickTiming{interval: admissionInterval})
	}
	if status, closed := askOn(t, conn); status != http.StatusServiceUnavailable || !closed {
		t.Errorf("got %d, closed %v, from a router without processor time, want 503 and the end of the connection", status, closed)
	}
}

// floodedListener turns away nearly all connections, of which most come from one account
// and some from another that asks for less. It names accounts by a header.
func floodedListener(t *testing.T, l *listener.Listener) {
	t.Helper()
	l.SetShedShare(0.99)
	for i := 0; !l.IsDominantCaller("flood"); i++ {
		if i == 1000 {
			t.Fatal("got no account that crowds out others after 1000 connections")
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
		_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\nAccount: "+account+"\r\nConnection: close\r\n\r\n") // it may be closed already
		_, _ = io.ReadAll(conn)
		_ = conn.Close()
	}
}

// TestAccountThatCrowdsOutOthersKeepsNoConnection has one account flood a router that takes
// in hardly any new connection, and ask on an open one, as another account does.
func TestAccountThatCrowdsOutOthersKeepsNoConnection(t *testing.T) {
	h, _, _ := refusingRouter(t, &fixedWait{})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go h.control.run(ctx)
	var err error
	h.callers, err = listener.Start(listener.Config{
		Name: t.Name(), Address: "127.0.0.1:0", Log: h.log,
		IdentifyCaller: func(header http.Header) (string, bool) { return header.Get("Account"), true },
		Handler: func(c *listener.Caller, req *http.Request) {
			out := &dispatcher.Request{ID: messenger.RequestID(h.lastRequest.Add(1)), Header: req.Header}
			out.Arrive = messenger.Arrive{Request: out.ID, Account: messenger.AccountID(req.Header.Get("Account"))}
			h.serveRequest(c, out)
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
		if _, closed := askAs(t, conns[account], account); closed {
			t.Fatalf("got the connection of %q closed by a router that takes in all", account)
		}
	}
	floodedListener(t, h.callers)
	h.atMinAdmission.Store(true)
	for account, want := range map[string]bool{"flood": true, "few": false} {
		if _, closed := askAs(t, conns[account], account); closed != want {
			t.Errorf("got the connection of %q closed %v, want %v", account, closed, want)
		}
	}
}
