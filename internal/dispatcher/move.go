package dispatcher

import (
	"net/http"
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
)

// Limits for moving a stream from one engine to another.
const (
	// moveTimeout limits the export and the import separately.
	moveTimeout = 20 * time.Second
	// moveRetryDelay is the wait before a failed move is retried.
	moveRetryDelay = 5 * time.Second
	// maxMoveBytes limits the exported state of a stream.
	maxMoveBytes = 256 << 20
)

// move is a transfer of a stream's state to another engine. The stream continues at the
// old engine until the transfer is done.
type move struct {
	target messenger.UpstreamPolicy
	// done receives the result once.
	done chan bool
}

// updateMove starts moving a stream once the policy says that its engine is to be left.
// When the transfer is done, it switches the stream to the new engine.
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
	if !ok || !target.Engine || target.IsCold(f.now()) || target.SoftwareVersion != policy.SoftwareVersion {
		return
	}
	at.move = &move{target: target, done: make(chan bool, 1)}
	done, from, updated := at.move.done, at.policy.Address, f.exchangeUpdated
	f.d.background.Go(func() {
		done <- f.d.copyStreamState(from, target.Address, f.req.WireID)
		select {
		case updated <- struct{}{}:
		default:
		}
	})
}

// completeMove resumes the stream at the new engine if the transfer succeeded.
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
	if at.stream.isComplete() || !f.resume(at, arrivalMove) {
		at.policy = old
		f.d.cancelStream(target.Address, f.req.WireID)
		return
	}
	at.moved = true
	f.d.counters.Moves.Add(1)
	f.d.cancelStream(old.Address, f.req.WireID)
}

// copyStreamState copies the state of a stream from one engine to another. The state is charged to
// the budget of buffers; if that has no room for it, it is not copied.
func (d *Dispatcher) copyStreamState(from, to, wireID string) bool {
	var state []byte
	defer func() { d.cfg.BufferBudget.Reserve(-cap(state)) }()
	exported := d.fetch(&upstreamRequest{
		address: from, method: http.MethodPost, uri: streamURI(wireID) + "/export", header: requestIDHeader(wireID), newConn: true,
	}, moveTimeout, func(p []byte) (ok bool) {
		state, ok = appendReserved(state, p, maxMoveBytes, d.cfg.BufferBudget.Reserve)
		return ok
	})
	// Without a length, a state may be a part of one whose engine has ended.
	if exported.status != http.StatusOK || exported.closeDelimited {
		return false
	}
	status, _ := d.fetchHead(&upstreamRequest{
		address: to, method: http.MethodPost, uri: streamURI(wireID) + "/import",
		header: requestIDHeader(wireID), body: state, newConn: true,
	}, moveTimeout)
	return status >= http.StatusOK && status < http.StatusMultipleChoices
}

func requestIDHeader(wireID string) http.Header {
	header := make(http.Header)
	header.Set(messenger.RequestIDHeader, wireID)
	return header
}
