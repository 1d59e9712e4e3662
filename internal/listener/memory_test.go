package listener

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"lentilwood.example/lentilwood/internal/governor"
)

// startWithMemory starts a listener with a memory account that echoes bodies.
func startWithMemory(t *testing.T, total int64, handler Handler) (*Listener, *governor.Governor) {
	t.Helper()
	g := governor.New(governor.Config{TotalBytes: total, SmallBytes: 8 << 10})
	if handler == nil {
		handler = func(c *Caller, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			if string(body) != string(c.Body()) {
				t.Errorf("got different bodies of %d and %d bytes", len(body), len(c.Body()))
			}
			_, _ = c.Write(body)
		}
	}
	l, err := Start(Config{Name: "test", Address: "127.0.0.1:0", MaxBodyBytes: 1 << 20, Handler: handler, Memory: g})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.stop)
	return l, g
}

// exchangeRaw sends a text on a connection of its own, and returns the answer up to the end of
// the connection if wait is true.
func exchangeRaw(t *testing.T, l *Listener, text string, wait bool) string {
	t.Helper()
	conn, err := net.Dial("tcp", l.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close() //nolint:errcheck // a test
	_, _ = io.WriteString(conn, text)
	if !wait {
		return ""
	}
	answer, _ := io.ReadAll(conn)
	return string(answer)
}

func chunked(piece string, n int) string {
	return strings.Repeat(fmt.Sprintf("%x\r\n%s\r\n", len(piece), piece), n)
}

// TestNothingStaysHeld guards against reservations that outlive their connection or request,
// which would starve the router.
func TestNothingStaysHeld(t *testing.T) {
	l, g := startWithMemory(t, 4<<20, nil)
	const post = "POST / HTTP/1.1\r\nHost: a\r\n"
	body := strings.Repeat("x", 100_000)
	requests := map[string]bool{
		post + "Content-Length: 100000\r\nConnection: close\r\n\r\n" + body:                                                                               true,
		post + "Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n" + chunked("xy", 30_000) + "0\r\n\r\n":                                            true,
		post + "Content-Length: 3\r\n\r\nabc" + post + "Content-Length: 100000\r\nConnection: close\r\n\r\n" + body + "GET / HTTP/1.1\r\nHost: a\r\n\r\n": true,
		post + "Content-Length: 100000\r\n\r\n" + body[1:]:                                                                                                false,
		post + "Transfer-Encoding: chunked\r\n\r\n" + chunked(body, 5):                                                                                    false,
		post + "Transfer-Encoding: chunked\r\n\r\n" + chunked(body, 5) + "z\r\n":                                                                          true,
		post + "X: " + strings.Repeat("x", 9000):                                                                                                          false,
		post + "Transfer-Encoding: chunked\r\n\r\n" + chunked(body, 20):                                                                                   true,
		post + "Content-Length: 99999999\r\n\r\n" + strings.Repeat("x", 2<<20):                                                                            false,
		"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n":                                                                                          true,
		post + "Expect: 100-continue\r\nContent-Length: 3\r\nConnection: close\r\n\r\nabc":                                                                true,
		post + "Transfer-Encoding: chunked\r\n\r\n3\r\nabcX":                                                                                              true,
		post + "Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n3\r\nabc\r\n0\r\n\r\nrest":                                                         true,
	}
	for text, wait := range requests {
		for range 3 {
			exchangeRaw(t, l, text, wait)
		}
	}
	for l.OpenConns() > 0 || g.UsedBytes() != 0 {
		time.Sleep(time.Millisecond) // the timeout of go test ends a test whose count stays up
	}
	if g.PeakBytes() == 0 || g.Clients() != 0 {
		t.Errorf("got a peak of %d bytes and %d clients, want some bytes and no client", g.PeakBytes(), g.Clients())
	}
}

// TestLargeBodyWithoutRoom guards against a body that is read although there is no room for it:
// the refusal comes in place of 100, says that nothing ran and when to come again.
func TestLargeBodyWithoutRoom(t *testing.T) {
	release, running := make(chan struct{}), make(chan struct{})
	l, g := startWithMemory(t, 2<<20, func(c *Caller, _ *http.Request) {
		if len(c.Body()) > 300_000 {
			running <- struct{}{}
			<-release
		}
		_, _ = io.WriteString(c, "served")
	})
	post := func(size int) string {
		return fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: %d\r\n", size)
	}
	done := make(chan string)
	go func() { done <- exchangeRaw(t, l, post(310_000)+"\r\n"+strings.Repeat("x", 310_000), true) }()
	<-running
	got := exchangeRaw(t, l, post(800_000)+"Expect: 100-continue\r\n\r\n", true)
	if !strings.HasPrefix(got, "HTTP/1.1 503 ") || !strings.Contains(got, "Retry-After: ") || !strings.Contains(got, "not-run") && !strings.Contains(got, "notRun") {
		t.Errorf("large body: got %q, want 503 with Retry-After and not run", got)
	}
	if got = exchangeRaw(t, l, post(1000)+"\r\n"+strings.Repeat("x", 1000), true); !strings.Contains(got, "served") {
		t.Errorf("small body: got %q, want it served", got)
	}
	close(release)
	if got = <-done; !strings.Contains(got, "served") {
		t.Errorf("running request: got %q, want it served", got)
	}
	if g.Refused() == 0 {
		t.Error("the refusal was not counted")
	}
}

// TestStoppedBodiesAreShed guards against bodies that stop short of their end and keep the room
// of others until the read timeout.
func TestStoppedBodiesAreShed(t *testing.T) {
	l, g := startWithMemory(t, 4<<20, nil)
	const head = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n"
	stopped := make(chan string)
	go func() {
		stopped <- exchangeRaw(t, l, fmt.Sprintf(head, 1_000_000)+"\r\n"+strings.Repeat("x", 990_000), true)
	}()
	for g.UsedBytes() < 990_000 {
		time.Sleep(time.Millisecond)
	}
	for {
		got := exchangeRaw(t, l, fmt.Sprintf(head, 700_000)+"Connection: close\r\n\r\n"+strings.Repeat("y", 700_000), true)
		if strings.Contains(got, strings.Repeat("y", 1000)) {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	if got := <-stopped; !strings.HasPrefix(got, "HTTP/1.1 503 ") {
		t.Errorf("stopped body: got %q, want 503", got)
	}
	if g.Shed() != 1 {
		t.Errorf("shed: got %d, want 1", g.Shed())
	}
}

// TestChunkedBodyOfTheSheetsIsSmall guards against an ordinary request in chunks that is refused
// as a large one because its buffer doubles beyond SmallBytes.
func TestChunkedBodyOfTheSheetsIsSmall(t *testing.T) {
	g := governor.New(governor.Config{TotalBytes: 50 << 20})
	g.Squeeze(true)
	l, err := Start(Config{Name: "test", Address: "127.0.0.1:0", Memory: g, Handler: func(c *Caller, _ *http.Request) {
		_, _ = fmt.Fprintf(c, "%d bytes", len(c.Body()))
	}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.stop)
	const size = 72 << 10
	head := "POST / HTTP/1.1\r\nHost: a\r\nConnection: close\r\nTransfer-Encoding: chunked\r\nX: " + strings.Repeat("x", 15<<10) + "\r\n\r\n"
	got := exchangeRaw(t, l, head+chunked(strings.Repeat("x", 1<<10), size>>10)+"0\r\n\r\n", true)
	if want := fmt.Sprintf("%d bytes", size); !strings.Contains(got, want) {
		t.Errorf("got %.200q, want %q", got, want)
	}
}

// TestBodyBehindRunningRequestIsShed guards against clients whose unfinished body follows a
// request that still runs: it kept the room of others as long as that request ran.
func TestBodyBehindRunningRequestIsShed(t *testing.T) {
	release := make(chan struct{})
	l, g := startWithMemory(t, 4<<20, func(c *Caller, r *http.Request) {
		if r.URL.Path == "/wait" {
			<-release
		}
		_, _ = io.WriteString(c, "served")
	})
	conn, err := net.Dial("tcp", l.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close() //nolint:errcheck // a test
	const post = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n"
	_, _ = io.WriteString(conn, "GET /wait HTTP/1.1\r\nHost: a\r\n\r\n"+fmt.Sprintf(post, 1_000_000)+"\r\n"+strings.Repeat("x", 990_000))
	for g.UsedBytes() < 990_000 {
		time.Sleep(time.Millisecond)
	}
	deadline := time.Now().Add(10 * time.Second)
	for {
		got := exchangeRaw(t, l, fmt.Sprintf(post, 1_000_000)+"Connection: close\r\n\r\n"+strings.Repeat("y", 1_000_000), true)
		if strings.Contains(got, "served") {
			break
		}
		if time.Now().After(deadline) {
			t.Error("the body kept its room while the request before it ran")
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	// The request before it is answered, and the body is refused and does not run.
	close(release)
	_, _ = io.WriteString(conn, strings.Repeat("x", 10_000)+"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second)) // ends a test whose connection stays open
	answer, _ := io.ReadAll(conn)
	if got := string(answer); strings.Count(got, "served") != 1 || !strings.Contains(got, "HTTP/1.1 503 ") {
		t.Errorf("got %q, want one answer and then 503", got)
	}
}

// TestRefusalReachesSenderOfLegalBody guards against refusals that are lost: a connection on which
// a client goes on sending was closed at once, so that half of the callers saw a reset, which
// proves nothing, in place of 503.
func TestRefusalReachesSenderOfLegalBody(t *testing.T) {
	l, g := startWithMemory(t, 4<<20, nil)
	g.Squeeze(true)
	for i := range 50 {
		resp, err := http.Post("http://"+l.Addr(), "text/plain", strings.NewReader(strings.Repeat("x", 900_000)))
		if err != nil {
			t.Fatalf("request %d: %v", i, err)
		}
		if resp.StatusCode != http.StatusServiceUnavailable {
			t.Errorf("request %d: got status %d, want 503", i, resp.StatusCode)
		}
		_ = resp.Body.Close()
	}
}

// TestHeldAnswersAreCharged guards against answers to HTTP/1.0 clients, which are held until they
// are complete, outside the account.
func TestHeldAnswersAreCharged(t *testing.T) {
	var g *governor.Governor
	held, ready := make(chan int64, 1), make(chan struct{})
	l, account := startWithMemory(t, 4<<20, func(c *Caller, _ *http.Request) {
		_, _ = c.Write(make([]byte, 1<<20))
		<-ready
		held <- g.KindBytes(governor.KindAnswers)
	})
	g = account
	close(ready)
	exchangeRaw(t, l, "GET / HTTP/1.0\r\n\r\n", true)
	if got := <-held; got < 1<<20 {
		t.Errorf("charged: got %d bytes, want at least %d", got, 1<<20)
	}
	for g.UsedBytes() != 0 {
		time.Sleep(time.Millisecond) // the timeout of go test ends a test whose count stays up
	}
}
