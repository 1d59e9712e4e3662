package dispatcher

import (
	"net/http"
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
)

// Bounds of moving a stream from one engine to another.
const (
	// moveTimeout bounds the export and the import, each.
	moveTimeout = 20 * time.Second
	// movePause is the wait before a move that failed is tried again.
	moveRetryDelay = 5 * time.Second
	// maxMoveBytes bounds the exported state of a stream.
	maxMoveBytes = 256 << 20
)

// move is the work of carrying a stream's state to another engine. The stream
// goes on at the old one until that is done.
type move struct {
	target messenger.UpstreamPolicy
	// done gets one result.
	done chan bool
}

// considerMove begins to move a stream once the policy says that its engine is
// to be left, and switches over once the state is at the other engine.
func (f *inflightRequest) updateMove(at *attempt) {
	if at.move != nil {
		f.completeMove(at)
		return
	}
	if at.stream == nil || !at.selected || !at.policy.Engine || at.resuming || at.moved || f.now().Before(at.nextMoveAt) {
		return
	}
	policy, ok := f.d.cfg.Upstreams.Upstream(at.upstream)
	if !ok || policy.MoveTo == "" {
		return
	}
	target, ok := f.d.cfg.Upstreams.Upstream(policy.MoveTo)
	if !ok || !target.Engine {
		return
	}
	at.move = &move{target: target, done: make(chan bool, 1)}
	done, from, ready := at.move.done, at.policy.Address, f.exchangeUpdated
	f.d.background.Go(func() {
		done <- f.d.copyStreamState(from, target.Address, f.req.WireID)
		select {
		case ready <- struct{}{}:
		default:
		}
	})
}

// switchOver takes the stream from its new engine if the move has succeeded.
func (f *inflightRequest) completeMove(at *attempt) {
	var ok bool
	select {
	case ok = <-at.move.done:
	default:
		return
	}
	target := at.move.target
	at.move = nil
	at.nextMoveAt = f.now().Add(moveRetryDelay)
	if !ok {
		return
	}
	old := at.policy
	at.policy = target
	if at.stream.isComplete() || !f.resume(at) {
		at.policy = old
		f.d.cancelStream(target.Address, f.req.WireID)
		return
	}
	at.moved = true
	f.d.counters.Moves.Add(1)
	f.d.cancelStream(old.Address, f.req.WireID)
}

// carryOver copies the state of a stream from one engine to another.
func (d *Dispatcher) copyStreamState(from, to, wireID string) bool {
	status, state := d.fetchResponse(&upstreamRequest{
		address: from, method: http.MethodPost, uri: streamURI(wireID) + "/export", header: requestIDHeader(wireID), newConn: true,
	})
	if status != http.StatusOK {
		return false
	}
	status, _ = d.fetchResponse(&upstreamRequest{
		address: to, method: http.MethodPost, uri: streamURI(wireID) + "/import",
		header: requestIDHeader(wireID), body: state, newConn: true,
	})
	return status >= http.StatusOK && status < http.StatusMultipleChoices
}

func requestIDHeader(wireID string) http.Header {
	header := make(http.Header)
	header.Set(messenger.RequestIDHeader, wireID)
	return header
}

// callWhole asks an upstream and waits for its whole answer. The status is 0
// if none came.
func (d *Dispatcher) fetchResponse(out *upstreamRequest) (status int, body []byte) {
	ready := make(chan struct{}, 1)
	x := &exchange{updated: ready, maxBuffered: readAheadBytes}
	defer x.cancel()
	d.transport.Start(x, out)
	timeout := d.cfg.Clock.After(moveTimeout)
	for {
		select {
		case <-ready:
		case <-timeout:
			return 0, nil
		}
		p := x.poll(true)
		body = append(body, p.body...)
		switch {
		case len(body) > maxMoveBytes || p.done && p.err != nil:
			return 0, nil
		case p.done:
			return p.status, body
		}
	}
}
