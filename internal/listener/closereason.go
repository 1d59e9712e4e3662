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
	causeResponded = "closed after an answer"
	causeAborted   = "answer broken off"
	causeRejected  = "request refused unread"
	causeTimeout   = "request came in too slowly"
	causeIdle      = "idle"
	causeShutdown  = "idle at shutdown"
	causeLingered  = "the other end did not close"
	causeStalled   = "the other end takes nothing"
	causeUnknown   = "connection closed"
)

// Events of the log.
const (
	eventConnectionEnded = "connectionEnded"
	eventRequestDropped  = "requestDropped"
)

// closeReason says who decided to end a connection, and why.
type closeReason struct {
	side  Side
	cause string
}

// setCloseReason keeps the first decision to end the connection.
func (sc *serverConn) setCloseReason(side Side, cause string) {
	sc.closeReason.CompareAndSwap(nil, &closeReason{side: side, cause: cause})
}

// recordClosed notes that the connection is gone, and logs it if a request on it has no
// whole answer.
func (sc *serverConn) recordClosed(err error) {
	cause := causeUnknown
	if err != nil {
		cause = err.Error()
	}
	sc.setCloseReason(SideCaller, cause)
	if n := sc.unanswered.Load(); n > 0 {
		sc.logClose(eventConnectionEnded, "connection ended with requests that are not answered", int(n))
	}
}

// logDropped logs that requests were read whole and are not handed on.
func (sc *serverConn) logDropped(n int) {
	if n > 0 {
		sc.logClose(eventRequestDropped, "requests dropped since their connection ends", n)
	}
}

func (sc *serverConn) logClose(event, message string, requests int) {
	reason, level := sc.closeReason.Load(), logrus.WarnLevel
	if reason == nil {
		reason = &closeReason{side: SideCaller, cause: causeUnknown}
	}
	if reason.side == SideCaller {
		level = logrus.InfoLevel
	}
	sc.l.cfg.Log.WithFields(logrus.Fields{
		"event": event, "port": sc.l.cfg.Name, "remote": sc.nbc.RemoteAddr().String(), "side": reason.side, "cause": reason.cause,
		"requests": requests, "openMs": sc.l.cfg.Clock.Now().Sub(sc.openedAt).Milliseconds(),
		"unsentBytes": sc.pendingBytes(), "answers": sc.answered.Load(),
	}).Log(level, message)
}

// closedByPoller reports whether the poller ended the connection, having looked at its last
// event. Handlers and the sweeper end one otherwise.
func (sc *serverConn) closedByPoller() bool {
	closed, err := sc.nbc.IsClosed()
	return closed && errors.Is(err, io.EOF)
}

// CloseReason returns who decided to end the connection and why, or false if nobody has yet.
// A caller that closed its side may not be noticed at once: see Left.
func (c *Caller) CloseReason() (side Side, cause string, ok bool) {
	reason := c.sc.closeReason.Load()
	if reason == nil {
		return "", "", false
	}
	return reason.side, reason.cause, true
}
