package listener

import (
	"errors"
	"io"

	"github.com/sirupsen/logrus"
)

// Side is the end of a connection that closed it.
type Side string

// The two ends of a connection.
const (
	SideCaller Side = "caller"
	SideRouter Side = "router"
)

// Causes for closing a connection, as logged.
const (
	causeResponded = "closed after an answer"
	causeAborted   = "answer broken off"
	causeRejected  = "request refused unread"
	causeTimeout   = "request came in too slowly"
	causeIdle      = "idle"
	causeShutdown  = "idle at shutdown"
	causeLingered  = "the other end did not close"
	causeStalled   = "the other end takes nothing"
	causeUnwanted  = "sends on after its request was refused"
	causeShed      = "unfinished request while memory is short"
	causeUnknown   = "connection closed"
)

// Values of the log field "event".
const (
	eventConnectionEnded = "connectionEnded"
	eventShed            = "memoryShed"
	eventRequestDropped  = "requestDropped"
)

// closeReason says which side closed a connection, and why.
type closeReason struct {
	side  Side
	cause string
}

// setCloseReason records why the connection is closed. Only the first call has an effect.
func (sc *serverConn) setCloseReason(side Side, cause string) {
	sc.closeReason.CompareAndSwap(nil, &closeReason{side: side, cause: cause})
}

// recordClosed records that the connection is closed, and logs this if a request on it has no
// complete response.
func (sc *serverConn) recordClosed(err error) {
	cause := causeUnknown
	if err != nil {
		cause = err.Error()
	}
	sc.setCloseReason(SideCaller, cause)
	if n := sc.unanswered.Load(); n > 0 {
		sc.logClose(eventConnectionEnded, "connection closed with unanswered requests", int(n))
	}
}

// logDropped logs that n requests were received completely but are not handled.
func (sc *serverConn) logDropped(n int) {
	if n > 0 {
		sc.logClose(eventRequestDropped, "requests dropped because their connection is closing", n)
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
		"event": event, "port": sc.l.cfg.Name, "remote": remoteText(sc.nbc), "side": reason.side, "cause": reason.cause,
		"requests": requests, "openMs": sc.l.cfg.Clock.Now().Sub(sc.openedAt).Milliseconds(),
		"unsentBytes": sc.pendingBytes(), "answers": sc.answered.Load(),
	}).Log(level, message)
}

// closedByPoller reports whether the poller closed the connection because it read the end of
// file. Otherwise a handler or the sweeper closed the connection.
func (sc *serverConn) closedByPoller() bool {
	closed, err := sc.nbc.IsClosed()
	return closed && errors.Is(err, io.EOF)
}

// CloseReason returns which side closed the connection and why; ok is false while it is open.
// A close by the client may be noticed late; see Disconnected.
func (c *Caller) CloseReason() (side Side, cause string, ok bool) {
	reason := c.sc.closeReason.Load()
	if reason == nil {
		return "", "", false
	}
	return reason.side, reason.cause, true
}
