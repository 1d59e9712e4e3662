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

var errSilent = merry.Sentinel("no acknowledgement in time")

// peer sends the messages for one address. Its goroutine ends when nothing was
// sent for a while.
type peer[M any] struct {
	x       *Exchanger[M]
	address string
	wake    chan struct{}

	mu    sync.Mutex
	queue []M
	// inCall counts the messages taken from the queue and not settled yet.
	inCall int

	// These belong to the goroutine.
	client *rpc.Client
	// epoch tells this peer's messages from those of earlier runs.
	epoch, next uint64
}

func newPeer[M any](x *Exchanger[M], address string) *peer[M] {
	return &peer[M]{x: x, address: address, epoch: newEpoch(), wake: make(chan struct{}, 1)}
}

// push queues a message. It returns false if the oldest one had to go.
func (p *peer[M]) push(m M) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	room := len(p.queue) < p.x.cfg.QueueLength
	if !room {
		p.queue = append(p.queue[:0], p.queue[1:]...)
	}
	p.queue = append(p.queue, m)
	select {
	case p.wake <- struct{}{}:
	default:
	}
	return room
}

func (p *peer[M]) waiting() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.queue)
}

func (p *peer[M]) unsent() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.queue) + p.inCall
}

// take returns the messages for the next call.
func (p *peer[M]) take() []M {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := min(len(p.queue), maxBatch)
	batch := append([]M(nil), p.queue[:n]...)
	p.queue = append(p.queue[:0], p.queue[n:]...)
	if len(p.queue) == 0 {
		p.queue = nil
	}
	p.inCall = n
	return batch
}

func (p *peer[M]) settle() {
	p.mu.Lock()
	p.inCall = 0
	p.mu.Unlock()
}

// run sends what is queued until there was nothing to send for the idle time.
func (p *peer[M]) run() {
	defer func() { p.hangUp() }()
	for {
		batch := p.take()
		if len(batch) == 0 {
			if !p.await() {
				return
			}
			continue
		}
		reached := p.deliver(batch)
		p.settle()
		if reached {
			continue
		}
		select {
		case <-p.x.cfg.Clock.After(p.x.cfg.RetryInterval):
		case <-p.x.ctx.Done():
			return
		}
	}
}

// await blocks until a message is queued. It returns false if the peer is done.
func (p *peer[M]) await() bool {
	select {
	case <-p.wake:
		return true
	case <-p.x.ctx.Done():
		return false
	case <-p.x.cfg.Clock.After(p.x.cfg.IdleTimeout):
		return !p.x.retire(p)
	}
}

// deliver sends one batch, on a new connection if the one in use is in doubt.
// It returns false if the peer could not be reached.
func (p *peer[M]) deliver(messages []M) bool {
	batch := &Batch[M]{FirstSequence: p.next, Messages: messages}
	p.next += uint64(len(messages))
	reused := p.client != nil
	err := p.attempt(batch)
	if err != nil && reused {
		err = p.attempt(batch)
	}
	if err != nil {
		p.x.counters.lost.Add(uint64(len(messages)))
		p.x.cfg.Log.WithField("peer", p.address).WithField("messages", len(messages)).
			WithError(err).Debug("router not reached")
		return false
	}
	p.x.counters.sent.Add(uint64(len(messages)))
	return true
}

func (p *peer[M]) attempt(batch *Batch[M]) error {
	err := p.connect()
	if err == nil {
		err = p.call(batch)
	}
	if err != nil {
		p.x.counters.failures.Add(1)
		p.hangUp()
	}
	return err
}

func (p *peer[M]) call(batch *Batch[M]) error {
	timeout := time.NewTimer(p.x.cfg.CallTimeout)
	defer timeout.Stop()
	call := p.client.Go(methodName, batch, &Ack{}, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		return call.Error
	case <-timeout.C:
		return errSilent
	case <-p.x.ctx.Done():
		return ErrStopped
	}
}

// connect opens and authenticates a connection if there is none.
func (p *peer[M]) connect() error {
	if p.client != nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(p.x.ctx, p.x.cfg.CallTimeout)
	defer cancel()
	conn, err := p.x.cfg.Dial(ctx, p.address)
	if err != nil {
		return merry.Prependf(err, "connect to %s", p.address)
	}
	count := p.x.counters.kind(p.x.cfg.PeerKind(p.address))
	counted := &countedConn{Conn: conn, count: count, writeTimeout: p.x.cfg.CallTimeout}
	var secured net.Conn = counted
	if p.x.cfg.TLS != nil {
		secured = tls.Client(counted, p.x.cfg.TLS)
	}
	_ = conn.SetReadDeadline(time.Now().Add(p.x.cfg.CallTimeout))
	if err := greetAsClient(secured, p.x.cfg.Key, sender{p.x.cfg.Name, p.epoch}); err != nil {
		_ = conn.Close()
		return merry.Prependf(err, "greet %s", p.address)
	}
	_ = conn.SetReadDeadline(time.Time{})
	p.x.counters.connects.Add(1)
	p.client = rpc.NewClientWithCodec(codec.GoRpc.ClientCodec(secured, p.x.handle))
	return nil
}

func (p *peer[M]) hangUp() {
	if p.client == nil {
		return
	}
	_ = p.client.Close()
	p.client = nil
}
