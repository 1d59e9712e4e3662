package listener

import (
	"errors"
	"io"

	"github.com/sirupsen/logrus"
)

// Side says which end of a connection ended it.
type Side string

// The sides of a connection.
const (
	SideCaller Side = "caller"
	SideRouter Side = "router"
)

// Why a connection ends.
const (
	causeAnswered = "closed after an answer"
	causeAborted  = "answer broken off"
	causeRefused  = "request refused unread"
	causeTimeout  = "request came in too slowly"
	causeIdle     = "idle"
	causeShutdown = "idle at shutdown"
	causeLingered = "the other end did not close"
	causeStalled  = "the other end takes nothing"
	causeUnknown  = "connection closed"
)

// Events of the log.
const (
	eventConnectionEnded = "connectionEnded"
	eventRequestDropped  = "requestDropped"
)

// ending says who decided to end a connection, and why.
type ending struct {
	side  Side
	cause string
}

// noteEnding keeps the first decision to end the connection.
func (b *boundary) noteEnding(side Side, cause string) {
	b.ended.CompareAndSwap(nil, &ending{side: side, cause: cause})
}

// noteGone notes that the connection is gone, and logs it if a request on it has no
// whole answer.
func (b *boundary) noteGone(err error) {
	cause := causeUnknown
	if err != nil {
		cause = err.Error()
	}
	b.noteEnding(SideCaller, cause)
	if n := b.unanswered.Load(); n > 0 {
		b.logEnding(eventConnectionEnded, "connection ended with requests that are not answered", int(n))
	}
}

// noteDropped logs that requests were read whole and are not handed on.
func (b *boundary) noteDropped(n int) {
	if n > 0 {
		b.logEnding(eventRequestDropped, "requests dropped since their connection ends", n)
	}
}

func (b *boundary) logEnding(event, message string, requests int) {
	e, level := b.ended.Load(), logrus.WarnLevel
	if e == nil {
		e = &ending{side: SideCaller, cause: causeUnknown}
	}
	if e.side == SideCaller {
		level = logrus.InfoLevel
	}
	b.l.cfg.Log.WithFields(logrus.Fields{
		"event": event, "port": b.l.cfg.Name, "remote": b.nbc.RemoteAddr().String(), "side": e.side, "cause": e.cause,
		"requests": requests, "openMs": b.l.cfg.Clock.Now().Sub(b.openedAt).Milliseconds(),
		"unsentBytes": b.pending(), "answers": b.answers.Load(),
	}).Log(level, message)
}

// endedByPoller reports whether the poller ended the connection, having looked at its last
// event. Handlers and the sweeper end one otherwise.
func (b *boundary) endedByPoller() bool {
	closed, err := b.nbc.IsClosed()
	return closed && errors.Is(err, io.EOF)
}

// CloseReason returns who decided to end the connection and why, or false if nobody has yet.
// A caller that closed its side may not be noticed at once: see Left.
func (c *Caller) CloseReason() (side Side, cause string, ok bool) {
	e := c.b.ended.Load()
	if e == nil {
		return "", "", false
	}
	return e.side, e.cause, true
}
