// Package exchanger carries control messages between routers: net/rpc over
// TCP, encoded as msgpack with structs as arrays.
//
// Send never blocks. Each peer has a bounded queue, from which the oldest
// message is dropped when it is full; what waits goes out together as one call
// while no more than one call to a peer is in progress. A call that is not
// acknowledged in time puts the connection in doubt: the messages are sent
// once more on a new connection, and the receiver drops what it already has,
// so a message is delivered at most once. Messages to a peer arrive in order,
// but some may be missing.
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
// Both ends of a connection prove that they know the shared key before any
// message is read. With TLS the connection is encrypted as well.
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

// Errors that callers tell apart with errors.Is.
var (
	// ErrStopped means that the exchanger does not run.
	ErrStopped = merry.Sentinel("exchanger stopped")
	// ErrQueueFull means that the oldest message was dropped for this one.
	ErrQueueFull = merry.Sentinel("queue of the peer full")
	// ErrNoCredential means that neither a key nor TLS was given.
	ErrNoCredential = merry.Sentinel("exchanger needs a shared key or TLS")
)

// Bounds used where Config leaves them zero.
const (
	DefaultQueueLength   = 256
	DefaultCallTimeout   = time.Second
	DefaultIdleTimeout   = 30 * time.Second
	DefaultRetryInterval = 200 * time.Millisecond
	DefaultMaxConns      = 2048
	// DefaultPeerKind is the kind of a peer where Config has no PeerKind.
	DefaultPeerKind = "router"
)

// maxBatch bounds the messages of one call.
const maxBatch = 64

// codecBufferBytes is kept small: each connection has four such buffers.
const codecBufferBytes = 512

// Config says how an Exchanger works. Zero values mean the defaults above.
type Config[M any] struct {
	// Name is the router's own name; peers get it with each message.
	Name string
	// Address is host:port to listen on.
	Address string
	// Key is the secret that all routers of the fleet share.
	Key []byte
	// TLS, if set, encrypts connections in both directions.
	TLS *tls.Config
	// Handler gets each message that arrives. It may be called for several
	// peers at a time.
	Handler func(from string, m M)
	// Dial opens a connection; nil means TCP. Tests cut links here.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// PeerKind names the kind of a peer, by which bytes are counted. It gets
	// the peer's address for what is sent, its name for what is received.
	PeerKind func(peer string) string
	// QueueLength bounds the messages that wait for one peer.
	QueueLength int
	// CallTimeout bounds connecting and the wait for an acknowledgement.
	CallTimeout time.Duration
	// IdleTimeout is how long a connection without messages stays open.
	IdleTimeout time.Duration
	// RetryInterval is the pause after a peer could not be reached.
	RetryInterval time.Duration
	// MaxConns bounds the connections from peers.
	MaxConns int
	// Clock measures the pauses; nil means the system's clock.
	Clock timekeeper.Clock
	// Log gets one line for each event; nil means logrus's standard logger.
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

// Exchanger sends messages of one type to peers and receives theirs.
type Exchanger[M any] struct {
	cfg      Config[M]
	handle   *codec.MsgpackHandle
	counters counters
	ctx      context.Context
	cancel   context.CancelFunc
	receiver *receiver[M]

	mu       sync.Mutex
	listener net.Listener
	peers    map[string]*peer[M]
	inbound  map[net.Conn]struct{}
}

// New returns an exchanger that is not started yet.
func New[M any](cfg Config[M]) *Exchanger[M] {
	cfg.setDefaults()
	x := &Exchanger[M]{
		cfg:     cfg,
		handle:  &codec.MsgpackHandle{WriteExt: true},
		peers:   map[string]*peer[M]{},
		inbound: map[net.Conn]struct{}{},
	}
	x.handle.StructToArray = true
	x.handle.ReaderBufferSize = codecBufferBytes
	x.handle.WriterBufferSize = codecBufferBytes
	x.handle.MaxInitLen = maxBatch
	x.ctx, x.cancel = context.WithCancel(context.Background()) //nolint:gosec // Stop calls it
	x.receiver = &receiver[M]{handler: cfg.Handler, counters: &x.counters, senders: map[string]mark{}}
	return x
}

// Start opens the port and serves peers.
func (x *Exchanger[M]) Start() error {
	if len(x.cfg.Key) == 0 && x.cfg.TLS == nil {
		return ErrNoCredential
	}
	ln, err := net.Listen("tcp", x.cfg.Address)
	if err != nil {
		return merry.Prependf(err, "listen for routers on %s", x.cfg.Address)
	}
	x.mu.Lock()
	x.listener = ln
	x.mu.Unlock()
	go x.accept(ln)
	return nil
}

// Addr returns the address the port is open on.
func (x *Exchanger[M]) Addr() string {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.listener == nil {
		return ""
	}
	return x.listener.Addr().String()
}

// Send queues m for the router at address. ErrQueueFull says that an older
// message was dropped to make room.
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

// retire forgets a peer that had nothing to send for a while. It returns false
// if a message came in meanwhile.
func (x *Exchanger[M]) retire(p *peer[M]) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if p.waiting() > 0 {
		return false
	}
	if x.peers[p.address] == p {
		delete(x.peers, p.address)
	}
	return true
}

// Flush waits until every queued message was sent or given up, or ctx ends.
func (x *Exchanger[M]) Flush(ctx context.Context) error {
	for {
		if x.unsent() == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return merry.Prepend(ctx.Err(), "messages to routers left unsent")
		case <-x.cfg.Clock.After(flushPoll):
		}
	}
}

const flushPoll = time.Millisecond

func (x *Exchanger[M]) unsent() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	n := 0
	for _, p := range x.peers {
		n += p.unsent()
	}
	return n
}

// Stop closes the port and every connection. Queued messages are lost.
func (x *Exchanger[M]) Stop() {
	x.cancel()
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.listener != nil {
		_ = x.listener.Close()
	}
	for conn := range x.inbound {
		_ = conn.Close()
	}
}

// Stats returns what was counted so far.
func (x *Exchanger[M]) Stats() Stats { return x.counters.stats() }
