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

// Batch is the argument of a call.
type Batch[M any] struct {
	_ struct{} `codec:",toarray"`
	// FirstSequence is the sequence number of the first message within the sender's
	// epoch.
	FirstSequence uint64
	Messages      []M
}

// Ack is the reply to a Batch.
type Ack struct {
	_ struct{} `codec:",toarray"`
}

// Names of the service and method on the wire. They are short because each call
// contains them.
const (
	serviceName = "X"
	methodName  = serviceName + ".D"
)

// receiver passes the messages of all peers to the handler.
type receiver[M any] struct {
	handler  func(from string, m M)
	counters *counters

	mu        sync.Mutex
	positions map[string]position
}

// position is the sequence number of the next new message of a sender in its latest epoch.
type position struct{ epoch, nextSequence uint64 }

// maxSenders is the maximum number of stored positions. All positions are discarded
// before a sender beyond this number is added.
const maxSenders = 4096

// deliver passes the messages of a batch that are not duplicates to the handler. A
// sender has at most one call in progress, so its messages stay in order.
func (r *receiver[M]) deliver(from sender, b *Batch[M]) {
	r.mu.Lock()
	pos, known := r.positions[from.name]
	skip := 0
	if known && pos.epoch == from.epoch && pos.nextSequence > b.FirstSequence {
		skip = int(min(pos.nextSequence-b.FirstSequence, uint64(len(b.Messages))))
	}
	if len(r.positions) >= maxSenders && !known {
		clear(r.positions)
	}
	r.positions[from.name] = position{from.epoch, b.FirstSequence + uint64(len(b.Messages))}
	r.mu.Unlock()
	r.counters.duplicates.Add(uint64(skip))
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

// D delivers a batch of messages. Its name is part of the wire format.
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
		if !x.trackConn(conn) {
			_ = conn.Close()
			continue
		}
		go x.serve(conn)
	}
}

func (x *Exchanger[M]) trackConn(conn net.Conn) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if len(x.inboundConns) >= x.cfg.MaxConns || x.ctx.Err() != nil {
		return false
	}
	x.inboundConns[conn] = struct{}{}
	return true
}

// serve authenticates a connection from a peer and serves its calls until it is closed.
func (x *Exchanger[M]) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		x.mu.Lock()
		delete(x.inboundConns, conn)
		x.mu.Unlock()
	}()
	handshakeBytes := &byteCounters{}
	counted := &countingConn{Conn: conn, bytes: handshakeBytes}
	var transport net.Conn = counted
	if x.cfg.TLS != nil {
		transport = tls.Server(counted, x.cfg.TLS)
	}
	_ = conn.SetDeadline(time.Now().Add(x.cfg.CallTimeout))
	from, err := serverHandshake(transport, x.cfg.Key, x.cfg.Name)
	if err != nil {
		x.counters.rejectedConnections.Add(1)
		x.cfg.Log.WithField("remote", conn.RemoteAddr()).WithError(err).Warn("peer connection rejected: handshake failed")
		return
	}
	_ = conn.SetDeadline(time.Time{})
	kindBytes := x.counters.bytesByKind(x.cfg.PeerKind(from.name))
	kindBytes.sent.Add(handshakeBytes.sent.Load())
	kindBytes.received.Add(handshakeBytes.received.Load())
	counted.bytes = kindBytes
	counted.writeTimeout = x.cfg.CallTimeout
	counted.readTimeout = x.cfg.IdleTimeout + x.cfg.CallTimeout
	server := rpc.NewServer()
	if err := server.RegisterName(serviceName, &Session[M]{from: from, receiver: x.receiver}); err != nil {
		x.cfg.Log.WithError(err).Error("cannot register the RPC service for peers")
		return
	}
	server.ServeCodec(codec.GoRpc.ServerCodec(transport, x.handle))
}
