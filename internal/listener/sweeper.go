package listener

import (
	"time"
)

const (
	shutdownPoll  = 2 * time.Millisecond
	lingerTimeout = time.Second
	sweepsPerTime = 8
	shortestSweep = 5 * time.Millisecond
	longestSweep  = time.Second
)

// sweep looks at every connection now and then and closes those that overran
// a timeout. One goroutine for all is cheaper than a timer for each.
func (l *Listener) sweep() {
	interval := min(l.cfg.ReadTimeout, l.cfg.IdleTimeout, lingerTimeout) / sweepsPerTime
	interval = min(max(interval, shortestSweep), longestSweep)
	for {
		select {
		case <-l.stopped:
			return
		case <-l.cfg.Clock.After(interval):
		}
		now := l.cfg.Clock.Now()
		for _, b := range l.snapshot() {
			b.checkTimes(now)
		}
	}
}

func (b *boundary) checkTimes(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	sent := b.sent.Load()
	if sent != b.lastSent || b.pending() == 0 {
		b.stalledSince = now
	}
	b.lastSent = sent
	idle := !b.running && b.readingSince.IsZero() && !b.ending
	switch {
	case expired(b.lingerSince, now, lingerTimeout):
		go b.closeNow(causeLingered)
	case expired(b.stalledSince, now, b.l.cfg.IdleTimeout):
		go b.closeNow(causeStalled)
	case expired(b.readingSince, now, b.l.cfg.ReadTimeout):
		b.timeOutRequest()
	case idle && expired(b.idleSince, now, b.l.cfg.IdleTimeout):
		b.end(causeIdle)
	}
}

// timeOutRequest answers a request whose bytes came too slowly, before one that is whole by
// now is handed on. The caller holds b.mu.
func (b *boundary) timeOutRequest() {
	b.l.cfg.OnRejected(problemTimeout.kind)
	b.enqueue(func() {
		b.closeAfterAnswer(causeTimeout)
		_, _ = b.parser.Conn.Write(problemTimeout.answer())
	})
}
