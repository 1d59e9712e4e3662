package router

import (
	"bufio"
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
	"lentilwood.example/lentilwood/internal/timekeeper"
)

// blankEntrance reads nothing of callers' headers.
type blankEntrance struct{}

func (blankEntrance) Read(http.Header) Incoming { return Incoming{} }

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
		Dialect: plainDialect{}, Entrance: blankEntrance{},
	})
	h.strain.queue = w
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
	if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
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
		clock.Advance(intakeEvery)
		h.watchStrain(beat{planned: intakeEvery})
	}
	if status, closed := askOn(t, conn); status != http.StatusServiceUnavailable || !closed {
		t.Errorf("got %d, closed %v, from a router without processor time, want 503 and the end of the connection", status, closed)
	}
}
