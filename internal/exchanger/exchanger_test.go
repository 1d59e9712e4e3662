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

const testTimeout = 10 * time.Second

type testMessage struct {
	_    struct{} `codec:",toarray"`
	N    int
	Text string
}

// inbox records the messages that a handler receives.
type inbox struct {
	mu       sync.Mutex
	received []string
	notify   chan struct{}
}

func newInbox() *inbox { return &inbox{notify: make(chan struct{}, 1)} }

func (b *inbox) handle(from string, m testMessage) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.received = append(b.received, fmt.Sprintf("%s %d %s", from, m.N, m.Text))
	select {
	case b.notify <- struct{}{}:
	default:
	}
}

// wait waits for at least n messages and returns all that were received.
func (b *inbox) wait(t *testing.T, n int) []string {
	t.Helper()
	timeout := time.After(testTimeout)
	for {
		b.mu.Lock()
		got := append([]string(nil), b.received...)
		b.mu.Unlock()
		if len(got) >= n {
			return got
		}
		select {
		case <-b.notify:
		case <-timeout:
			t.Fatalf("got %d messages %q, want at least %d", len(got), got, n)
		}
	}
}

func startExchanger(t *testing.T, cfg Config[testMessage], b *inbox) *Exchanger[testMessage] {
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

func flush(t *testing.T, x *Exchanger[testMessage]) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	if err := x.Flush(ctx); err != nil {
		t.Fatal(err)
	}
}

func TestMessagesAreDeliveredInOrder(t *testing.T) {
	b := newInbox()
	to := startExchanger(t, Config[testMessage]{Name: "r2"}, b)
	from := startExchanger(t, Config[testMessage]{Name: "r1"}, newInbox())
	const n = 200
	for i := range n {
		if err := from.Send(to.Addr(), testMessage{N: i, Text: "x"}); err != nil {
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
		t.Errorf("got %d bytes sent, want the %d bytes received by the peer, not 0", got, want)
	}
}

func TestPeersWithDifferentKeysDoNotConnect(t *testing.T) {
	b := newInbox()
	to := startExchanger(t, Config[testMessage]{Name: "r2"}, b)
	from := startExchanger(t, Config[testMessage]{Name: "r1", Key: []byte("other"), RetryInterval: time.Millisecond}, newInbox())
	if err := from.Send(to.Addr(), testMessage{}); err != nil {
		t.Fatal(err)
	}
	flush(t, from)
	if got := from.Stats(); got.Lost != 1 || got.Connections != 0 {
		t.Errorf("got stats %+v, want one lost message and no connection", got)
	}
	if err := New(Config[testMessage]{}).Start(); !errors.Is(err, ErrNoCredential) {
		t.Errorf("got error %v without key or TLS, want %v", err, ErrNoCredential)
	}
}

func TestClientWithWrongKeyIsRejected(t *testing.T) {
	client, server := net.Pipe()
	t.Cleanup(func() { _ = client.Close() })
	_ = server.SetDeadline(time.Now().Add(testTimeout))
	go func() {
		greeting := newGreeting("r9", 1)
		_, _ = client.Write(greeting)
		answer, _, _ := readGreeting(client)
		_, _ = io.ReadFull(client, make([]byte, sha256.Size))
		_, _ = client.Write(newProof([]byte("guess"), clientLabel, greeting, answer))
	}()
	if _, err := serverHandshake(server, []byte("shared"), "r2"); !errors.Is(err, errInvalidProof) {
		t.Errorf("got %v, want %v", err, errInvalidProof)
	}
}

// stallingConn is a connection that discards received data and blocks reads once stalled
// is set. Writes still reach the peer.
type stallingConn struct {
	net.Conn
	mu      sync.Mutex
	stalled bool
	closed  chan struct{}
	once    sync.Once
}

func (c *stallingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	stalled := c.stalled
	c.mu.Unlock()
	if stalled {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

func (c *stallingConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// TestUnacknowledgedBatchIsResentAndDeliveredOnce guards against messages that are lost or
// delivered twice when a batch arrives but its acknowledgement does not.
func TestUnacknowledgedBatchIsResentAndDeliveredOnce(t *testing.T) {
	b := newInbox()
	to := startExchanger(t, Config[testMessage]{Name: "r2"}, b)
	var mu sync.Mutex
	var conns []*stallingConn
	from := startExchanger(t, Config[testMessage]{
		Name: "r1", CallTimeout: time.Second,
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			var d net.Dialer
			conn, err := d.DialContext(ctx, "tcp", address)
			if err != nil {
				return nil, err
			}
			mu.Lock()
			defer mu.Unlock()
			conns = append(conns, &stallingConn{Conn: conn, closed: make(chan struct{})})
			return conns[len(conns)-1], nil
		},
	}, newInbox())
	_ = from.Send(to.Addr(), testMessage{N: 1})
	b.wait(t, 1)
	flush(t, from)
	mu.Lock()
	conns[0].mu.Lock()
	conns[0].stalled = true
	conns[0].mu.Unlock()
	mu.Unlock()
	_ = from.Send(to.Addr(), testMessage{N: 2})
	flush(t, from)
	_ = from.Send(to.Addr(), testMessage{N: 3})
	flush(t, from)
	got := b.wait(t, 3)
	if want := "[r1 1  r1 2  r1 3 ]"; fmt.Sprint(got) != want {
		t.Errorf("got %v, want %v", got, want)
	}
	if s, r := from.Stats(), to.Stats(); s.Connections != 2 || s.ConnectionFailures != 1 || r.Duplicates != 1 || s.Lost != 0 {
		t.Errorf("got %+v and %+v, want one new connection and one duplicate dropped", s, r)
	}
}

func TestFullQueueDropsOldestMessage(t *testing.T) {
	b := newInbox()
	to := startExchanger(t, Config[testMessage]{Name: "r2"}, b)
	dialAllowed := make(chan struct{})
	from := startExchanger(t, Config[testMessage]{
		Name: "r1", QueueLength: 2,
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			<-dialAllowed
			var d net.Dialer
			return d.DialContext(ctx, "tcp", address)
		},
	}, newInbox())
	_ = from.Send(to.Addr(), testMessage{N: 0})
	for from.queueLength(to.Addr()) > 0 {
		time.Sleep(time.Millisecond)
	}
	var fullErrors int
	for i := 1; i <= 5; i++ {
		if err := from.Send(to.Addr(), testMessage{N: i}); errors.Is(err, ErrQueueFull) {
			fullErrors++
		}
	}
	close(dialAllowed)
	if got, want := fmt.Sprint(b.wait(t, 3)), "[r1 0  r1 4  r1 5 ]"; got != want || fullErrors != 3 {
		t.Errorf("got %s and %d ErrQueueFull, want %s and 3", got, fullErrors, want)
	}
	if got := from.Stats().Dropped; got != 3 {
		t.Errorf("got %d dropped messages, want 3", got)
	}
}

func (x *Exchanger[M]) queueLength(address string) int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.peers[address].queueLength()
}

func TestSendAfterFailedConnection(t *testing.T) {
	b := newInbox()
	to := startExchanger(t, Config[testMessage]{Name: "r2"}, b)
	var mu sync.Mutex
	dialFails := true
	from := startExchanger(t, Config[testMessage]{
		Name: "r1", RetryInterval: time.Millisecond,
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			mu.Lock()
			defer mu.Unlock()
			if dialFails {
				return nil, errors.New("dial failed")
			}
			var d net.Dialer
			return d.DialContext(ctx, "tcp", address)
		},
	}, newInbox())
	_ = from.Send(to.Addr(), testMessage{N: 1})
	flush(t, from)
	mu.Lock()
	dialFails = false
	mu.Unlock()
	_ = from.Send(to.Addr(), testMessage{N: 2})
	if got, want := fmt.Sprint(b.wait(t, 1)), "[r1 2 ]"; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
	if got := from.Stats().Lost; got != 1 {
		t.Errorf("got %d lost messages, want 1", got)
	}
}

// TestIdlePeerIsRemovedAndRecreated guards against a receiver that takes the messages of a
// recreated peer for duplicates because their sequence numbers start at 0 again.
func TestIdlePeerIsRemovedAndRecreated(t *testing.T) {
	b := newInbox()
	to := startExchanger(t, Config[testMessage]{Name: "r2"}, b)
	from := startExchanger(t, Config[testMessage]{Name: "r1", IdleTimeout: 5 * time.Millisecond}, newInbox())
	for i := range 3 {
		_ = from.Send(to.Addr(), testMessage{N: i})
		b.wait(t, i+1)
		for from.peerCount() > 0 {
			time.Sleep(time.Millisecond)
		}
	}
	if got := to.Stats().Duplicates; got != 0 {
		t.Errorf("got %d messages counted as duplicates, want 0", got)
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
	to := startExchanger(t, Config[testMessage]{Name: "r2", TLS: cfg}, b)
	from := startExchanger(t, Config[testMessage]{Name: "r1", TLS: cfg}, newInbox())
	_ = from.Send(to.Addr(), testMessage{N: 1, Text: "secret"})
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
