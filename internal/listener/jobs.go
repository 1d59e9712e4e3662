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
	// maxPipelined bounds the requests queued on one connection.
	maxPipelined = 16
	// firstRequestGrace is how long a shutdown keeps a new connection open for its first
	// request.
	firstRequestGrace = 500 * time.Millisecond
)

// execute queues job behind the connection's earlier jobs, which run in order on a goroutine
// of their own. It queues the job and resets readingSince while holding sc.mu, so that a
// shutdown never sees the connection as idle between reading a request and handling it.
func (sc *serverConn) execute(run func()) bool {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return sc.enqueue(job{run: run})
}

// job is a request to be handled, or a response to be written without a handler.
type job struct {
	run func()
	// request is what is held for the request until the job ends; nil without one.
	request *requestBytes
}

// enqueue is execute for callers that hold sc.mu.
func (sc *serverConn) enqueue(j job) bool {
	if sc.closing || sc.ctx.Err() != nil {
		sc.logDropped(1)
		j.request.release()
		return false
	}
	sc.unanswered.Add(1)
	sc.jobs = append(sc.jobs, j)
	sc.readingSince = time.Time{}
	sc.requestReceived = true
	if !sc.running {
		sc.running = true
		go sc.runJobs()
	}
	return true
}

// runJobs runs the queued jobs in order until none is left.
func (sc *serverConn) runJobs() {
	for {
		j, ok := sc.nextJob()
		if !ok {
			return
		}
		sc.runJob(j)
	}
}

func (sc *serverConn) nextJob() (job, bool) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	if sc.closeRequested {
		sc.setCloseReason(SideRouter, causeResponded)
		sc.logDropped(len(sc.jobs))
		for _, j := range sc.jobs {
			j.request.release()
		}
		sc.jobs = nil
	}
	if len(sc.jobs) > 0 {
		next := sc.jobs[0]
		sc.jobs[0] = job{}
		sc.jobs = sc.jobs[1:]
		return next, true
	}
	sc.jobs = nil
	sc.running = false
	sc.idleSince = sc.l.cfg.Clock.Now()
	if sc.closeRequested {
		sc.closeGracefully(causeResponded)
	}
	return job{}, false
}

func (sc *serverConn) runJob(j job) {
	sc.current = j.request
	defer func() {
		sc.current = nil
		j.request.release()
		r := recover()
		if r == nil {
			return
		}
		if err, ok := r.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
			sc.l.cfg.Log.WithField("port", sc.l.cfg.Name).
				WithField("panic", r).
				WithField("stack", string(debug.Stack())).
				Error("handler panicked")
		}
		sc.requestClose(causeAborted)
	}()
	j.run()
	sc.unanswered.Add(-1)
	sc.answered.Add(1)
}

// requestClose asks for the connection to be closed after the current response.
func (sc *serverConn) requestClose(cause string) {
	sc.setCloseReason(SideRouter, cause)
	sc.mu.Lock()
	defer sc.mu.Unlock()
	sc.closeRequested = true
}

// closeGracefully half-closes the connection once everything written has been sent. The caller
// holds sc.mu.
func (sc *serverConn) closeGracefully(cause string) {
	if sc.closing {
		return
	}
	sc.setCloseReason(SideRouter, cause)
	sc.closing = true
	sc.closeWhenSent.Store(true)
	if sc.pendingBytes() == 0 {
		go sc.halfClose()
	}
}

// recordSent counts n bytes that the kernel accepted, and half-closes the connection if
// closeGracefully requested this and nothing is left to send. nbio calls it while holding the
// lock of sc.nbc, which halfClose also takes; halfClose therefore runs on another goroutine.
func (sc *serverConn) recordSent(n int) {
	sc.sentBytes.Add(int64(n))
	if sc.closeWhenSent.Load() && sc.pendingBytes() == 0 {
		go sc.halfClose()
	}
}

func (sc *serverConn) pendingBytes() int {
	return int(max(0, sc.writtenBytes.Load()-sc.sentBytes.Load()))
}

// halfClose shuts down the sending side and leaves the close to the client or the sweeper. An
// immediate close could discard a response that the client has not read yet.
func (sc *serverConn) halfClose() {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	if sc.halfClosed {
		return
	}
	sc.halfClosed = true
	sc.lingerSince = sc.l.cfg.Clock.Now()
	sc.nbc.Lock()
	defer sc.nbc.Unlock()
	if closed, _ := sc.nbc.IsClosed(); !closed {
		_ = syscall.Shutdown(sc.nbc.Hash(), syscall.SHUT_WR)
	}
}

// closeIfIdle closes a connection on which nothing is in progress: no request is being handled
// or read, no received bytes wait to be read or parsed by the poller, and the connection is
// not so new that its first request may still be on the way.
func (sc *serverConn) closeIfIdle() {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	if sc.running || !sc.readingSince.IsZero() || sc.closing {
		return
	}
	if !sc.requestReceived && sc.l.cfg.Clock.Now().Sub(sc.openedAt) < firstRequestGrace {
		return
	}
	seq := sc.readSeq.Load()
	if n, err := sc.peek(); err == nil && n > 0 || seq%2 != 0 || sc.readSeq.Load() != seq {
		return
	}
	sc.closeGracefully(causeShutdown)
}

// trackRead records that the poller starts or ends reading from a connection.
func trackRead(c *nbio.Conn) {
	if sc, ok := c.Session().(*serverConn); ok && sc.initialized.Load() {
		sc.readSeq.Add(1)
	}
}

// peek returns how many bytes wait to be read, at most 1. It returns 0 without an error if the
// connection is closed or the client has closed its side.
func (sc *serverConn) peek() (int, error) {
	sc.nbc.Lock()
	defer sc.nbc.Unlock()
	if closed, _ := sc.nbc.IsClosed(); closed {
		return 0, nil
	}
	var next [1]byte
	n, _, err := syscall.Recvfrom(sc.nbc.Hash(), next[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return n, err
}

// queuedJobs returns the number of requests queued behind the one being handled.
func (sc *serverConn) queuedJobs() int {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return len(sc.jobs)
}

// closeNow closes the connection and discards unsent data.
func (sc *serverConn) closeNow(cause string) {
	sc.l.cfg.Log.WithField("port", sc.l.cfg.Name).
		WithField("remote", remoteText(sc.nbc)).
		WithField("cause", cause).
		Debug("connection closed")
	sc.setCloseReason(SideRouter, cause)
	_ = sc.nbc.Close()
}

// expired reports whether since is set and more than timeout ago.
func expired(since, now time.Time, timeout time.Duration) bool {
	return !since.IsZero() && now.Sub(since) > timeout
}
