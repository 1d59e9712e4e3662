// Package exchanger sends control messages between routers with net/rpc over TCP,
// encoded as msgpack with structs as arrays.
//
// Send never blocks. Each peer has a bounded queue; when it is full, the oldest
// message is dropped. Queued messages are sent in batches, one RPC call per batch,
// with at most one call to a peer in progress. If a call on a reused connection
// fails or is not acknowledged in time, the batch is sent once more on a new
// connection. The receiver drops duplicates, so a message is delivered at most
// once. Messages from a peer arrive in order, but some may be missing.
//
// # Usage
//
//	x := exchanger.New(exchanger.Config[messenger.PeerMessage]{
//		Name: "r1", Address: "127.0.0.1:7000", Key: key,
//		Handler: func(from string, m messenger.PeerMessage) { ... },
//	})
//	err := x.Start()
//	defer x.Stop()
//	err = x.Send("127.0.0.1:7001", message)
//
// The two ends of a connection authenticate each other with the shared key before
// any message is read. With TLS the connection is also encrypted.
package exchanger

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"
	"github.com/ugorji/go/codec"

	"lentilwood.example/lentilwood/internal/timekeeper"
)

// Errors that callers can distinguish with errors.Is.
var (
	// ErrStopped is returned after Stop.
	ErrStopped = merry.Sentinel("exchanger stopped")
	// ErrQueueFull means that the message was queued and the oldest one dropped.
	ErrQueueFull = merry.Sentinel("peer queue full, oldest message dropped")
	// ErrNoCredential means that neither a key nor TLS is configured.
	ErrNoCredential = merry.Sentinel("exchanger requires a shared key or TLS")
)

// Defaults for fields of Config that are zero.
const (
	DefaultQueueLength   = 256
	DefaultCallTimeout   = time.Second
	DefaultIdleTimeout   = 30 * time.Second
	DefaultRetryInterval = 200 * time.Millisecond
	DefaultMaxConns      = 2048
	// DefaultPeerKind is the kind of all peers if Config.PeerKind is nil.
	DefaultPeerKind = "router"
)

// maxBatchMessages is the maximum number of messages in one call.
const maxBatchMessages = 64

// codecBufferBytes is small because each connection has four such buffers.
const codecBufferBytes = 512

// Config configures an Exchanger. Zero values mean the defaults above.
type Config[M any] struct {
	// Name is the name of this router. Peers receive it as the sender of each message.
	Name string
	// Address is the host:port to listen on.
	Address string
	// Key is the secret shared by all routers of the fleet.
	Key []byte
	// TLS, if set, encrypts connections in both directions.
	TLS *tls.Config
	// Handler is called for each received message. Calls for different peers may
	// be concurrent.
	Handler func(from string, m M)
	// Dial opens a connection; nil means TCP. Tests use it to inject network faults.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// PeerKind returns the kind of a peer, by which bytes are counted. Its argument
	// is the peer's address for connections that this router opened, and the peer's
	// name for those that it accepted.
	PeerKind func(peer string) string
	// QueueLength is the maximum number of messages queued for one peer.
	QueueLength int
	// CallTimeout is the timeout for connecting and for an acknowledgement.
	CallTimeout time.Duration
	// IdleTimeout is the time after which a connection without messages is closed.
	IdleTimeout time.Duration
	// RetryInterval is the delay before the next attempt after a peer could not be
	// reached.
	RetryInterval time.Duration
	// MaxConns is the maximum number of connections accepted from peers.
	MaxConns int
	// Clock is used for RetryInterval and IdleTimeout; nil means the system clock.
	Clock timekeeper.Clock
	// Log is the logger; nil means the standard logger of logrus.
	Log *logrus.Logger
}

func (cfg *Config[M]) setDefaults() {
	cfg.QueueLength = orDefault(cfg.QueueLength, DefaultQueueLength)
	cfg.CallTimeout = orDefault(cfg.CallTimeout, DefaultCallTimeout)
	cfg.IdleTimeout = orDefault(cfg.IdleTimeout, DefaultIdleTimeout)
	cfg.RetryInterval = orDefault(cfg.RetryInterval, DefaultRetryInterval)
	cfg.MaxConns = orDefault(cfg.MaxConns, DefaultMaxConns)
	if cfg.Dial == nil {
		cfg.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			var d net.Dialer
			return d.DialContext(ctx, "tcp", address)
		}
	}
	if cfg.PeerKind == nil {
		cfg.PeerKind = func(string) string { return DefaultPeerKind }
	}
	if cfg.Clock == nil {
		cfg.Clock = timekeeper.System{}
	}
	if cfg.Log == nil {
		cfg.Log = logrus.StandardLogger()
	}
}

func orDefault[T int | time.Duration](v, def T) T {
	if v <= 0 {
		return def
	}
	return v
}

// Exchanger sends messages of type M to peers and receives messages from them. It
// is safe for concurrent use.
type Exchanger[M any] struct {
	cfg      Config[M]
	handle   *codec.MsgpackHandle
	counters counters
	ctx      context.Context
	cancel   context.CancelFunc
	receiver *receiver[M]

	mu           sync.Mutex
	listener     net.Listener
	peers        map[string]*peer[M]
	inboundConns map[net.Conn]struct{}
}

// New returns an Exchanger. Call Start to accept connections from peers.
func New[M any](cfg Config[M]) *Exchanger[M] {
	cfg.setDefaults()
	x := &Exchanger[M]{
		cfg:          cfg,
		handle:       &codec.MsgpackHandle{WriteExt: true},
		peers:        map[string]*peer[M]{},
		inboundConns: map[net.Conn]struct{}{},
	}
	x.handle.StructToArray = true
	x.handle.ReaderBufferSize = codecBufferBytes
	x.handle.WriterBufferSize = codecBufferBytes
	x.handle.MaxInitLen = maxBatchMessages
	x.ctx, x.cancel = context.WithCancel(context.Background()) //nolint:gosec // Stop calls it
	x.receiver = &receiver[M]{handler: cfg.Handler, counters: &x.counters, positions: map[string]position{}}
	return x
}

// Start opens the port and accepts connections from peers.
func (x *Exchanger[M]) Start() error {
	if len(x.cfg.Key) == 0 && x.cfg.TLS == nil {
		return ErrNoCredential
	}
	ln, err := net.Listen("tcp", x.cfg.Address)
	if err != nil {
		return merry.Prependf(err, "listen for peers on %s", x.cfg.Address)
	}
	x.mu.Lock()
	x.listener = ln
	x.mu.Unlock()
	go x.accept(ln)
	return nil
}

// Addr returns the listening address, or an empty string before Start.
func (x *Exchanger[M]) Addr() string {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.listener == nil {
		return ""
	}
	return x.listener.Addr().String()
}

// Send queues m for the router at address. It returns ErrQueueFull if it queued m but
// dropped the oldest queued message.
func (x *Exchanger[M]) Send(address string, m M) error {
	if x.ctx.Err() != nil {
		return ErrStopped
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	p, ok := x.peers[address]
	if !ok {
		p = newPeer(x, address)
		x.peers[address] = p
		go p.run()
	}
	if p.push(m) {
		return nil
	}
	x.counters.dropped.Add(1)
	return ErrQueueFull
}

// removeIdle removes a peer after its idle timeout. It returns false if a message has
// been queued for the peer in the meantime.
func (x *Exchanger[M]) removeIdle(p *peer[M]) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if p.queueLength() > 0 {
		return false
	}
	if x.peers[p.address] == p {
		delete(x.peers, p.address)
	}
	return true
}

// Flush waits until all queued messages have been sent or given up, or until ctx is done.
func (x *Exchanger[M]) Flush(ctx context.Context) error {
	for {
		if x.unsentCount() == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return merry.Prepend(ctx.Err(), "flush queued messages to peers")
		case <-x.cfg.Clock.After(flushPollInterval):
		}
	}
}

const flushPollInterval = time.Millisecond

func (x *Exchanger[M]) unsentCount() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	n := 0
	for _, p := range x.peers {
		n += p.unsentCount()
	}
	return n
}

// Stop closes the port and all connections. Queued messages are discarded.
func (x *Exchanger[M]) Stop() {
	x.cancel()
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.listener != nil {
		_ = x.listener.Close()
	}
	for conn := range x.inboundConns {
		_ = conn.Close()
	}
}

// Stats returns a snapshot of the counters.
func (x *Exchanger[M]) Stats() Stats { return x.counters.stats() }
