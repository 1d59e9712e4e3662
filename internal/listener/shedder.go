package listener

import (
	"time"

	"github.com/sirupsen/logrus"

	"lentilwood.example/lentilwood/internal/governor"
)

// shedUnfinished refuses unfinished requests while the memory account has no room. Which ones, the
// governor decides.
func (l *Listener) shedUnfinished(now time.Time) {
	g := l.cfg.Memory
	if g == nil || !g.NeedsShedding() {
		return
	}
	conns := l.listConns()
	var candidates []governor.Candidate
	for i, sc := range conns {
		if c, ok := sc.candidate(now); ok {
			c.Index = i
			candidates = append(candidates, c)
		}
	}
	used, freed, stopped := g.UsedBytes(), int64(0), 0
	chosen := g.ChooseShed(now, candidates)
	for _, i := range chosen {
		c, _ := conns[i].candidate(now)
		if c.Stopped() {
			stopped++
		}
		freed += c.Bytes
		conns[i].shed()
	}
	if len(chosen) > 0 {
		l.cfg.Log.WithFields(logrus.Fields{
			"event": eventShed, "port": l.cfg.Name, "used": used, "total": g.Config().TotalBytes,
			"unfinished": len(candidates), "shed": len(chosen), "stopped": stopped, "freed": freed,
		}).Warn("memory is short; unfinished requests refused")
	}
}

// candidate describes the request that the connection is receiving. ok is false if there is none.
func (sc *serverConn) candidate(now time.Time) (c governor.Candidate, ok bool) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	b := sc.receiving.Load()
	if b == nil || sc.closing || sc.readingSince.IsZero() {
		return c, false
	}
	progressAt := sc.readingSince
	if sc.lastReceivedAt.After(progressAt) {
		progressAt = sc.lastReceivedAt
	}
	return governor.Candidate{Bytes: b.charged.Load(), Age: now.Sub(sc.readingSince), Idle: now.Sub(progressAt)}, true
}

// shed refuses the request that the connection is receiving and closes the connection. A request
// that completes at this moment is queued behind the refusal and dropped. Requests before it are
// answered first.
func (sc *serverConn) shed() {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	if sc.closing || sc.readingSince.IsZero() {
		return
	}
	answering := sc.running || sc.pendingBytes() > 0
	sc.l.cfg.OnRejected(problemNoRoom.kind)
	sc.enqueue(job{run: func() {
		sc.requestClose(causeShed)
		_, _ = sc.parser.Conn.Write(problemNoRoom.response())
		if !answering { // an earlier answer that is not sent yet would be lost
			sc.closeNow(causeShed)
		}
	}})
	sc.abandonRequest()
}

// abandonRequest releases the request that the connection is receiving, after its refusal was
// queued. The bytes that follow are discarded.
func (sc *serverConn) abandonRequest() {
	sc.abandoned.Store(true)
	sc.dropReceiving()
}
