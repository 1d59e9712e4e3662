package exchanger

import (
	"context"
	"crypto/tls"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/ugorji/go/codec"
)

var errAckTimeout = merry.Sentinel("batch not acknowledged within the call timeout")

// peer sends the messages for one address. Its goroutine ends after the idle timeout.
type peer[M any] struct {
	exchanger *Exchanger[M]
	address   string
	// wake is signaled when a message is queued.
	wake chan struct{}

	mu    sync.Mutex
	queue []M
	// inFlight is the number of messages taken from the queue whose call is not
	// finished.
	inFlight int

	// The fields below are used by the peer's goroutine only.
	client *rpc.Client
	conn   *ackConn
	// epoch distinguishes the sequence numbers of this peer from those of earlier
	// ones. nextSequence is the number of the next message.
	epoch, nextSequence uint64
}

func newPeer[M any](x *Exchanger[M], address string) *peer[M] {
	return &peer[M]{exchanger: x, address: address, epoch: newEpoch(), wake: make(chan struct{}, 1)}
}

// push queues a message. It returns false if it dropped the oldest message.
func (p *peer[M]) push(m M) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	hasRoom := len(p.queue) < p.exchanger.cfg.QueueLength
	if !hasRoom {
		p.queue = append(p.queue[:0], p.queue[1:]...)
	}
	p.queue = append(p.queue, m)
	select {
	case p.wake <- struct{}{}:
	default:
	}
	return hasRoom
}

func (p *peer[M]) queueLength() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.queue)
}

func (p *peer[M]) unsentCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.queue) + p.inFlight
}

// nextBatch removes the messages for the next call from the queue and returns them.
func (p *peer[M]) nextBatch() []M {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := min(len(p.queue), maxBatchMessages)
	batch := append([]M(nil), p.queue[:n]...)
	p.queue = append(p.queue[:0], p.queue[n:]...)
	if len(p.queue) == 0 {
		p.queue = nil
	}
	p.inFlight = n
	return batch
}

func (p *peer[M]) clearInFlight() {
	p.mu.Lock()
	p.inFlight = 0
	p.mu.Unlock()
}

// run sends queued messages until the queue has been empty for the idle timeout or
// the exchanger is stopped.
func (p *peer[M]) run() {
	defer func() { p.closeConn() }()
	for {
		batch := p.nextBatch()
		if len(batch) == 0 {
			if !p.waitForMessage() {
				return
			}
			continue
		}
		reached := p.sendBatch(batch)
		p.clearInFlight()
		if reached {
			continue
		}
		select {
		case <-p.exchanger.cfg.Clock.After(p.exchanger.cfg.RetryInterval):
		case <-p.exchanger.ctx.Done():
			return
		}
	}
}

// waitForMessage blocks until a message is queued. It returns false if the exchanger
// is stopped or the idle peer was removed.
func (p *peer[M]) waitForMessage() bool {
	select {
	case <-p.wake:
		return true
	case <-p.exchanger.ctx.Done():
		return false
	case <-p.exchanger.cfg.Clock.After(p.exchanger.cfg.IdleTimeout):
		return !p.exchanger.removeIdle(p)
	}
}

// sendBatch sends one batch. If this fails on a reused connection, which may be
// broken, it retries once on a new one. It returns false if the batch was not
// acknowledged.
func (p *peer[M]) sendBatch(messages []M) bool {
	batch := &Batch[M]{FirstSequence: p.nextSequence, Messages: messages}
	p.nextSequence += uint64(len(messages))
	reused := p.client != nil
	err := p.trySend(batch)
	if err != nil && reused {
		err = p.trySend(batch)
	}
	if err != nil {
		p.exchanger.counters.lost.Add(uint64(len(messages)))
		p.exchanger.cfg.Log.WithField("peer", p.address).WithField("messages", len(messages)).
			WithError(err).Debug("messages lost: peer not reached")
		return false
	}
	p.exchanger.counters.sent.Add(uint64(len(messages)))
	return true
}

func (p *peer[M]) trySend(batch *Batch[M]) error {
	err := p.connect()
	if err == nil {
		err = p.call(batch)
	}
	if err != nil {
		p.exchanger.counters.connectionFailures.Add(1)
		p.closeConn()
	}
	return err
}

func (p *peer[M]) call(batch *Batch[M]) error {
	timeout := time.NewTimer(p.exchanger.cfg.CallTimeout)
	defer timeout.Stop()
	p.conn.beginCall()
	call := p.client.Go(methodName, batch, &Ack{}, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		return call.Error
	case <-timeout.C:
		return errAckTimeout
	case <-p.exchanger.ctx.Done():
		return ErrStopped
	}
}

// connect opens and authenticates a connection if none is open.
func (p *peer[M]) connect() error {
	if p.client != nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(p.exchanger.ctx, p.exchanger.cfg.CallTimeout)
	defer cancel()
	conn, err := p.exchanger.cfg.Dial(ctx, p.address)
	if err != nil {
		return merry.Prependf(err, "connect to %s", p.address)
	}
	traffic := p.exchanger.counters.bytesByKind(p.exchanger.cfg.PeerKind(p.address))
	counted := &countingConn{Conn: conn, bytes: traffic, writeTimeout: p.exchanger.cfg.CallTimeout}
	var transport net.Conn = counted
	if p.exchanger.cfg.TLS != nil {
		transport = tls.Client(counted, p.exchanger.cfg.TLS)
	}
	_ = conn.SetReadDeadline(time.Now().Add(p.exchanger.cfg.CallTimeout))
	if err := clientHandshake(transport, p.exchanger.cfg.Key, sender{p.exchanger.cfg.Name, p.epoch}); err != nil {
		_ = conn.Close()
		return merry.Prependf(err, "handshake with %s", p.address)
	}
	_ = conn.SetReadDeadline(time.Time{})
	p.exchanger.counters.connections.Add(1)
	p.conn = newAckConn(transport)
	p.client = rpc.NewClientWithCodec(codec.GoRpc.ClientCodec(p.conn, p.exchanger.handle))
	return nil
}

func (p *peer[M]) closeConn() {
	if p.client == nil {
		return
	}
	_ = p.client.Close()
	p.client = nil
}
