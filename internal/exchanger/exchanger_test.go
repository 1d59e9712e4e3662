package exchanger

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"io"
	"math/big"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
)

const patience = 10 * time.Second

type note struct {
	_    struct{} `codec:",toarray"`
	N    int
	Text string
}

// inbox collects what a handler gets.
type inbox struct {
	mu   sync.Mutex
	got  []string
	more chan struct{}
}

func newInbox() *inbox { return &inbox{more: make(chan struct{}, 1)} }

func (b *inbox) handle(from string, m note) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.got = append(b.got, fmt.Sprintf("%s %d %s", from, m.N, m.Text))
	select {
	case b.more <- struct{}{}:
	default:
	}
}

// wait returns what arrived once there are at least n messages.
func (b *inbox) wait(t *testing.T, n int) []string {
	t.Helper()
	timeout := time.After(patience)
	for {
		b.mu.Lock()
		got := append([]string(nil), b.got...)
		b.mu.Unlock()
		if len(got) >= n {
			return got
		}
		select {
		case <-b.more:
		case <-timeout:
			t.Fatalf("got %d messages %q, want %d", len(got), got, n)
		}
	}
}

func start(t *testing.T, cfg Config[note], b *inbox) *Exchanger[note] {
	t.Helper()
	cfg.Log = logrus.New()
	cfg.Log.SetOutput(io.Discard)
	cfg.Handler = b.handle
	if cfg.Address == "" {
		cfg.Address = "127.0.0.1:0"
	}
	if cfg.Key == nil {
		cfg.Key = []byte("shared")
	}
	x := New(cfg)
	if err := x.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(x.Stop)
	return x
}

func flush(t *testing.T, x *Exchanger[note]) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	if err := x.Flush(ctx); err != nil {
		t.Fatal(err)
	}
}

func TestMessagesArriveInOrder(t *testing.T) {
	b := newInbox()
	to := start(t, Config[note]{Name: "r2"}, b)
	from := start(t, Config[note]{Name: "r1"}, newInbox())
	const n = 200
	for i := range n {
		if err := from.Send(to.Addr(), note{N: i, Text: "x"}); err != nil {
			t.Fatal(err)
		}
	}
	for i, got := range b.wait(t, n) {
		if want := fmt.Sprintf("r1 %d x", i); got != want {
			t.Fatalf("got message %q, want %q", got, want)
		}
	}
	flush(t, from)
	s, r := from.Stats(), to.Stats()
	if s.Sent != n || r.Received != n || s.Connections != 1 {
		t.Errorf("got %d sent, %d received on %d connections, want %d on one", s.Sent, r.Received, s.Connections, n)
	}
	if got, want := s.Traffic[DefaultPeerKind].SentBytes, r.Traffic[DefaultPeerKind].ReceivedBytes; got != want || got == 0 {
		t.Errorf("got %d bytes sent, %d received", got, want)
	}
}

func TestBothEndsMustKnowTheKey(t *testing.T) {
	b := newInbox()
	to := start(t, Config[note]{Name: "r2"}, b)
	from := start(t, Config[note]{Name: "r1", Key: []byte("other"), RetryInterval: time.Millisecond}, newInbox())
	if err := from.Send(to.Addr(), note{}); err != nil {
		t.Fatal(err)
	}
	flush(t, from)
	if got := from.Stats(); got.Lost != 1 || got.Connections != 0 {
		t.Errorf("got stats %+v, want the message lost", got)
	}
	if err := New(Config[note]{}).Start(); !errors.Is(err, ErrNoCredential) {
		t.Errorf("got error %v without key or TLS, want %v", err, ErrNoCredential)
	}
}

func TestClientThatGuessesTheKeyIsRejected(t *testing.T) {
	client, server := net.Pipe()
	t.Cleanup(func() { _ = client.Close() })
	_ = server.SetDeadline(time.Now().Add(patience))
	go func() {
		greeting := newGreeting("r9", 1)
		_, _ = client.Write(greeting)
		answer, _, _ := readGreeting(client)
		_, _ = io.ReadFull(client, make([]byte, sha256.Size))
		_, _ = client.Write(proof([]byte("guess"), clientLabel, greeting, answer))
	}()
	if _, err := greetAsServer(server, []byte("shared"), "r2"); !errors.Is(err, errProof) {
		t.Errorf("got %v, want %v", err, errProof)
	}
}

// blackHole passes bytes on until it is told to lose those that come back.
type blackHole struct {
	net.Conn
	mu     sync.Mutex
	silent bool
	closed chan struct{}
	once   sync.Once
}

func (c *blackHole) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	silent := c.silent
	c.mu.Unlock()
	if silent {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

func (c *blackHole) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

func TestSilentConnectionIsReplacedAndNothingArrivesTwice(t *testing.T) {
	b := newInbox()
	to := start(t, Config[note]{Name: "r2"}, b)
	var mu sync.Mutex
	var conns []*blackHole
	from := start(t, Config[note]{
		Name: "r1", CallTimeout: time.Second,
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			var d net.Dialer
			conn, err := d.DialContext(ctx, "tcp", address)
			if err != nil {
				return nil, err
			}
			mu.Lock()
			defer mu.Unlock()
			conns = append(conns, &blackHole{Conn: conn, closed: make(chan struct{})})
			return conns[len(conns)-1], nil
		},
	}, newInbox())
	_ = from.Send(to.Addr(), note{N: 1})
	b.wait(t, 1)
	flush(t, from)
	mu.Lock()
	conns[0].mu.Lock()
	conns[0].silent = true
	conns[0].mu.Unlock()
	mu.Unlock()
	_ = from.Send(to.Addr(), note{N: 2})
	flush(t, from)
	_ = from.Send(to.Addr(), note{N: 3})
	flush(t, from)
	got := b.wait(t, 3)
	if want := "[r1 1  r1 2  r1 3 ]"; fmt.Sprint(got) != want {
		t.Errorf("got %v, want %v", got, want)
	}
	if s, r := from.Stats(), to.Stats(); s.Connections != 2 || s.ConnectionFailures != 1 || r.Duplicates != 1 || s.Lost != 0 {
		t.Errorf("got %+v and %+v, want one new connection and one repeat dropped", s, r)
	}
}

func TestQueueDropsTheOldest(t *testing.T) {
	b := newInbox()
	to := start(t, Config[note]{Name: "r2"}, b)
	open := make(chan struct{})
	from := start(t, Config[note]{
		Name: "r1", QueueLength: 2,
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			<-open
			var d net.Dialer
			return d.DialContext(ctx, "tcp", address)
		},
	}, newInbox())
	_ = from.Send(to.Addr(), note{N: 0})
	for from.unsentQueued(to.Addr()) > 0 {
		time.Sleep(time.Millisecond)
	}
	var full int
	for i := 1; i <= 5; i++ {
		if err := from.Send(to.Addr(), note{N: i}); errors.Is(err, ErrQueueFull) {
			full++
		}
	}
	close(open)
	if got, want := fmt.Sprint(b.wait(t, 3)), "[r1 0  r1 4  r1 5 ]"; got != want || full != 3 {
		t.Errorf("got %s and %d drops, want %s and 3", got, full, want)
	}
	if got := from.Stats().Dropped; got != 3 {
		t.Errorf("got %d dropped, want 3", got)
	}
}

func (x *Exchanger[M]) unsentQueued(address string) int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.peers[address].waiting()
}

func TestCutAndRejoin(t *testing.T) {
	b := newInbox()
	to := start(t, Config[note]{Name: "r2"}, b)
	var mu sync.Mutex
	cut := true
	from := start(t, Config[note]{
		Name: "r1", RetryInterval: time.Millisecond,
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			mu.Lock()
			defer mu.Unlock()
			if cut {
				return nil, errors.New("cut")
			}
			var d net.Dialer
			return d.DialContext(ctx, "tcp", address)
		},
	}, newInbox())
	_ = from.Send(to.Addr(), note{N: 1})
	flush(t, from)
	mu.Lock()
	cut = false
	mu.Unlock()
	_ = from.Send(to.Addr(), note{N: 2})
	if got, want := fmt.Sprint(b.wait(t, 1)), "[r1 2 ]"; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
	if got := from.Stats().Lost; got != 1 {
		t.Errorf("got %d lost, want 1", got)
	}
}

func TestIdlePeerIsRetiredAndComesBack(t *testing.T) {
	b := newInbox()
	to := start(t, Config[note]{Name: "r2"}, b)
	from := start(t, Config[note]{Name: "r1", IdleTimeout: 5 * time.Millisecond}, newInbox())
	for i := range 3 {
		_ = from.Send(to.Addr(), note{N: i})
		b.wait(t, i+1)
		for from.peerCount() > 0 {
			time.Sleep(time.Millisecond)
		}
	}
	if got := to.Stats().Duplicates; got != 0 {
		t.Errorf("got %d taken for repeats, want 0", got)
	}
}

func (x *Exchanger[M]) peerCount() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return len(x.peers)
}

func TestTLS(t *testing.T) {
	cfg := selfSigned(t)
	b := newInbox()
	to := start(t, Config[note]{Name: "r2", TLS: cfg}, b)
	from := start(t, Config[note]{Name: "r1", TLS: cfg}, newInbox())
	_ = from.Send(to.Addr(), note{N: 1, Text: "secret"})
	if got, want := fmt.Sprint(b.wait(t, 1)), "[r1 1 secret]"; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}

func selfSigned(t *testing.T) *tls.Config {
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
	return &tls.Config{
		Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}},
		RootCAs:      pool, ServerName: "127.0.0.1",
		ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: pool, MinVersion: tls.VersionTLS13,
	}
}
