package listener

import (
	"time"
)

const (
	shutdownPollInterval = 2 * time.Millisecond
	lingerTimeout        = time.Second
	sweepsPerTimeout     = 8
	minSweepInterval     = 5 * time.Millisecond
	maxSweepInterval     = time.Second
)

// sweep periodically checks every connection and closes those that exceeded a timeout. One
// goroutine for all connections is cheaper than a timer for each.
func (l *Listener) sweep() {
	interval := min(l.cfg.ReadTimeout, l.cfg.IdleTimeout, lingerTimeout) / sweepsPerTimeout
	interval = min(max(interval, minSweepInterval), maxSweepInterval)
	for {
		select {
		case <-l.stopped:
			return
		case <-l.cfg.Clock.After(interval):
		}
		now := l.cfg.Clock.Now()
		for _, sc := range l.listConns() {
			sc.checkTimeouts(now)
		}
		l.shedUnfinished(now)
	}
}

func (sc *serverConn) checkTimeouts(now time.Time) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	sent := sc.sentBytes.Load()
	if sent != sc.lastSentBytes || sc.pendingBytes() == 0 {
		sc.stalledSince = now
	}
	sc.lastSentBytes = sent
	if received := sc.receivedBytes.Load(); received != sc.lastReceivedBytes {
		sc.lastReceivedBytes, sc.lastReceivedAt = received, now
	}
	idle := !sc.running && sc.readingSince.IsZero() && !sc.closing
	switch {
	case expired(sc.lingerSince, now, lingerTimeout):
		go sc.closeNow(causeLingered)
	case expired(sc.stalledSince, now, sc.l.cfg.IdleTimeout):
		go sc.closeNow(causeStalled)
	case expired(sc.readingSince, now, sc.l.cfg.ReadTimeout):
		sc.timeOutRequest()
	case idle && expired(sc.idleSince, now, sc.l.cfg.IdleTimeout):
		sc.closeGracefully(causeIdle)
	}
}

// timeOutRequest answers a request that was not received within ReadTimeout. It queues the
// response while holding sc.mu, which the caller has locked: if the request's last bytes
// arrive at this moment, the request is queued behind the response and dropped. Behind a request
// that still runs the response may wait for long, so what was received is released at once.
func (sc *serverConn) timeOutRequest() {
	answering := sc.running
	sc.l.cfg.OnRejected(problemTimeout.kind)
	sc.enqueue(job{run: func() {
		sc.requestClose(causeTimeout)
		_, _ = sc.parser.Conn.Write(problemTimeout.response())
	}})
	if answering {
		sc.abandonRequest()
	}
}
