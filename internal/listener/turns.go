package listener

import (
	"errors"
	"net/http"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/lesismal/nbio"
)

const (
	// maxPipelined bounds the requests that wait on one connection.
	maxPipelined = 16
	// firstRequestTime is how long a new connection is kept for its first request
	// during a shutdown.
	firstRequestTime = 500 * time.Millisecond
)

// execute runs job after the jobs before it, on a goroutine of its own. Until then
// the connection counts as being read from, so that a shutdown lets it be.
func (b *boundary) execute(job func()) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.enqueue(job)
}

// enqueue is execute for a caller that holds b.mu.
func (b *boundary) enqueue(job func()) bool {
	if b.ending || b.ctx.Err() != nil {
		b.noteDropped(1)
		return false
	}
	b.unanswered.Add(1)
	b.jobs = append(b.jobs, job)
	b.readingSince = time.Time{}
	b.served = true
	if !b.running {
		b.running = true
		go b.run()
	}
	return true
}

// run runs the jobs of a connection in order until none is left.
func (b *boundary) run() {
	for {
		job := b.nextJob()
		if job == nil {
			return
		}
		b.runJob(job)
	}
}

func (b *boundary) nextJob() func() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closeAfter {
		b.noteEnding(SideRouter, causeAnswered)
		b.noteDropped(len(b.jobs))
		b.jobs = nil
	}
	if len(b.jobs) > 0 {
		job := b.jobs[0]
		b.jobs = b.jobs[1:]
		return job
	}
	b.jobs = nil
	b.running = false
	b.idleSince = b.l.cfg.Clock.Now()
	if b.closeAfter {
		b.end(causeAnswered)
	}
	return nil
}

func (b *boundary) runJob(job func()) {
	defer func() {
		r := recover()
		if r == nil {
			return
		}
		if err, ok := r.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
			b.l.cfg.Log.WithField("port", b.l.cfg.Name).
				WithField("panic", r).
				WithField("stack", string(debug.Stack())).
				Error("handler failed")
		}
		b.closeAfterAnswer(causeAborted)
	}()
	job()
	b.unanswered.Add(-1)
	b.answers.Add(1)
}

// closeAfterAnswer asks for the end of the connection after the answer at hand.
func (b *boundary) closeAfterAnswer(cause string) {
	b.noteEnding(SideRouter, cause)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closeAfter = true
}

// end closes the connection once everything written was sent. The caller
// holds b.mu.
func (b *boundary) end(cause string) {
	if b.ending {
		return
	}
	b.noteEnding(SideRouter, cause)
	b.ending = true
	b.endWhenSent.Store(true)
	if b.pending() == 0 {
		go b.halfClose()
	}
}

// noteSent is called with nbio's lock of the connection held.
func (b *boundary) noteSent(n int) {
	b.sent.Add(int64(n))
	if b.endWhenSent.Load() && b.pending() == 0 {
		go b.halfClose()
	}
}

func (b *boundary) pending() int {
	return int(max(0, b.written.Load()-b.sent.Load()))
}

// halfClose tells the other end that nothing more comes, and leaves it to that
// end or the sweeper to close: closing at once could discard an answer that
// the other end has not read yet.
func (b *boundary) halfClose() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.halfClosed {
		return
	}
	b.halfClosed = true
	b.lingerSince = b.l.cfg.Clock.Now()
	b.nbc.Lock()
	defer b.nbc.Unlock()
	if closed, _ := b.nbc.IsClosed(); !closed {
		_ = syscall.Shutdown(b.nbc.Hash(), syscall.SHUT_WR)
	}
}

// endIfIdle closes a connection on which nothing is in progress: no request is
// being answered or read, none has come in that the poller has yet to read or look at, and
// none is about to come since the connection was only just opened.
func (b *boundary) endIfIdle() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.running || !b.readingSince.IsZero() || b.ending {
		return
	}
	if !b.served && b.l.cfg.Clock.Now().Sub(b.openedAt) < firstRequestTime {
		return
	}
	reads := b.reads.Load()
	if n, err := b.peek(); err == nil && n > 0 || reads%2 != 0 || b.reads.Load() != reads {
		return
	}
	b.end(causeShutdown)
}

// noteReading notes that a poller begins or ends to read from a connection.
func noteReading(c *nbio.Conn) {
	if b, ok := c.Session().(*boundary); ok && b.opened.Load() {
		b.reads.Add(1)
	}
}

// peek returns how many bytes wait to be read, one at most. It is 0 once the other
// end has closed its side.
func (b *boundary) peek() (int, error) {
	b.nbc.Lock()
	defer b.nbc.Unlock()
	if closed, _ := b.nbc.IsClosed(); closed {
		return 0, nil
	}
	var next [1]byte
	n, _, err := syscall.Recvfrom(b.nbc.Hash(), next[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return n, err
}

// waiting returns how many requests wait for their turn.
func (b *boundary) waiting() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.jobs)
}

// closeNow closes the connection and drops what was not sent.
func (b *boundary) closeNow(cause string) {
	b.l.cfg.Log.WithField("port", b.l.cfg.Name).
		WithField("remote", b.nbc.RemoteAddr().String()).
		WithField("cause", cause).
		Debug("connection closed")
	b.noteEnding(SideRouter, cause)
	_ = b.nbc.Close()
}

// expired says whether since was set and lies further back than limit.
func expired(since, now time.Time, limit time.Duration) bool {
	return !since.IsZero() && now.Sub(since) > limit
}
