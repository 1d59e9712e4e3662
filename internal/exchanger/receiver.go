package exchanger

import (
	"crypto/tls"
	"errors"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/ugorji/go/codec"
)

// Batch is the argument of a call: the messages that waited for a peer.
type Batch[M any] struct {
	_ struct{} `codec:",toarray"`
	// FirstSequence numbers the first of Messages within the sender's epoch.
	FirstSequence uint64
	Messages      []M
}

// Ack is the reply to a Batch.
type Ack struct {
	_ struct{} `codec:",toarray"`
}

// Names on the wire; short, because each call carries them.
const (
	serviceName = "X"
	methodName  = serviceName + ".D"
)

// receiver delivers the messages of all peers.
type receiver[M any] struct {
	handler  func(from string, m M)
	counters *counters

	mu      sync.Mutex
	senders map[string]mark
}

// mark is how far the messages of a sender have been delivered.
type mark struct{ epoch, next uint64 }

// maxSenders bounds the marks; all are forgotten beyond it.
const maxSenders = 4096

// deliver hands the messages on that are new. A sender has one call in
// progress, so its messages stay in order.
func (r *receiver[M]) deliver(from sender, b *Batch[M]) {
	r.mu.Lock()
	m, known := r.senders[from.name]
	skip := 0
	if known && m.epoch == from.epoch && m.next > b.FirstSequence {
		skip = int(min(m.next-b.FirstSequence, uint64(len(b.Messages))))
	}
	if len(r.senders) >= maxSenders && !known {
		clear(r.senders)
	}
	r.senders[from.name] = mark{from.epoch, b.FirstSequence + uint64(len(b.Messages))}
	r.mu.Unlock()
	r.counters.repeated.Add(uint64(skip))
	for _, msg := range b.Messages[skip:] {
		r.counters.received.Add(1)
		r.handler(from.name, msg)
	}
}

// Session is the net/rpc service of one connection.
type Session[M any] struct {
	from     sender
	receiver *receiver[M]
}

// D delivers a batch of messages.
func (s *Session[M]) D(b *Batch[M], _ *Ack) error {
	s.receiver.deliver(s.from, b)
	return nil
}

func (x *Exchanger[M]) accept(ln net.Listener) {
	for {
		conn, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) || x.ctx.Err() != nil {
			return
		}
		if err != nil {
			<-x.cfg.Clock.After(x.cfg.RetryInterval)
			continue
		}
		if !x.admit(conn) {
			_ = conn.Close()
			continue
		}
		go x.serve(conn)
	}
}

func (x *Exchanger[M]) admit(conn net.Conn) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if len(x.inbound) >= x.cfg.MaxConns || x.ctx.Err() != nil {
		return false
	}
	x.inbound[conn] = struct{}{}
	return true
}

// serve authenticates a peer's connection and serves its calls.
func (x *Exchanger[M]) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		x.mu.Lock()
		delete(x.inbound, conn)
		x.mu.Unlock()
	}()
	count := &wireCount{}
	counted := &countedConn{Conn: conn, count: count}
	var secured net.Conn = counted
	if x.cfg.TLS != nil {
		secured = tls.Server(counted, x.cfg.TLS)
	}
	_ = conn.SetDeadline(time.Now().Add(x.cfg.CallTimeout))
	from, err := greetAsServer(secured, x.cfg.Key, x.cfg.Name)
	if err != nil {
		x.counters.rejected.Add(1)
		x.cfg.Log.WithField("remote", conn.RemoteAddr().String()).WithError(err).Warn("router rejected")
		return
	}
	_ = conn.SetDeadline(time.Time{})
	total := x.counters.kind(x.cfg.PeerKind(from.name))
	total.sent.Add(count.sent.Load())
	total.received.Add(count.received.Load())
	counted.count = total
	counted.writeTimeout = x.cfg.CallTimeout
	counted.readTimeout = x.cfg.IdleTimeout + x.cfg.CallTimeout
	server := rpc.NewServer()
	if err := server.RegisterName(serviceName, &Session[M]{from: from, receiver: x.receiver}); err != nil {
		x.cfg.Log.WithError(err).Error("service of routers not registered")
		return
	}
	server.ServeCodec(codec.GoRpc.ServerCodec(secured, x.handle))
}
