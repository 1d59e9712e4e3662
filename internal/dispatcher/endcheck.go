package dispatcher

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"lentilwood.example/lentilwood/internal/messenger"
)

// maxUnseenRestart is the time within which no process of an upstream ends and is replaced by
// another one that answers health probes. The shortest replacement observed took 2 s; on a VM
// short of CPU time a probe takes some 0.5 s.
const maxUnseenRestart = time.Second

const (
	// endPollInterval is how often a connection that is not being read is checked for its end.
	endPollInterval = 100 * time.Millisecond
	// witnessDelay is how long a response without a length must have begun for a second
	// connection to its upstream to be worth it.
	witnessDelay = 500 * time.Millisecond
)

// endEvidence is what is known about the process of an upstream at the end of a response
// without a length. Such an end looks the same whether the response is complete or the
// process has ended.
type endEvidence struct {
	// sent is the registration when the request was sent, current the latest one; its address
	// is empty if there is none. An upstream may go on serving without one, so that alone says
	// nothing.
	sent, current messenger.UpstreamPolicy
	health        healthAnswer
	// endedAt is when the end of the connection was received; zero if unknown.
	endedAt time.Time
	// standstill is the last standstill of the router's VM.
	standstill Standstill
}

// healthAnswer is the answer to a health probe.
type healthAnswer struct {
	// named is true if the upstream that the request was sent to has answered.
	named bool
	// olderConn is true if it answered over a connection that was opened before the request
	// was sent, or while the connection of the response was known to be open.
	olderConn  bool
	answeredAt time.Time
}

// conclusion returns "" if the process that sent the response is known to be alive, so that
// the response is complete. Otherwise it returns why not.
func (e endEvidence) conclusion() string {
	registered := e.current.Address != ""
	switch {
	case registered && (e.current.Address != e.sent.Address || !e.current.Started.Equal(e.sent.Started)):
		return "new start registered"
	case !e.health.named:
		return "no health answer of the upstream"
	case e.health.olderConn:
		// Whichever process opened that connection was alive together with the one that sent
		// the response, at the same address.
		return ""
	case e.endedAt.IsZero():
		return "time of the end unknown"
	case e.standstill.mayHide(e.endedAt, e.health.answeredAt):
		return "router stood still"
	case e.health.answeredAt.Sub(e.endedAt) > maxUnseenRestart:
		return "end noticed late"
	}
	return ""
}

// endCheck finds out whether the process that sent a response without a length is alive.
type endCheck struct {
	health healthAnswer
	done   atomic.Bool
}

// watchUnframed prepares for the end of a response without a length. It notes until when the
// connection was open, lets a long response's upstream have a second connection, and starts
// the check as soon as the end has arrived.
func (f *inflightRequest) watchUnframed(at *attempt, u exchangeUpdate) {
	if at.header == nil || !u.closeDelimited || !f.d.traits.AllowsCloseDelimited || !f.isOpen(at) {
		return
	}
	if !u.endedAt.IsZero() {
		if f.acceptsCloseDelimited(at) {
			f.isEndKnown(at, u)
		}
		return
	}
	now := f.now()
	if !f.lastStandstill().mayHide(now, now) && at.exchange.isConnOpen() {
		at.openUntil = now
	}
	if at.witnessed || now.Sub(at.headAt) < witnessDelay {
		return
	}
	at.witnessed = true
	upstream, policy := at.upstream, at.policy
	f.d.background.Go(func() { f.d.askHealth(upstream, policy, now) })
}

// lastStandstill returns the last standstill of the router's VM.
func (f *inflightRequest) lastStandstill() Standstill {
	if f.d.cfg.LastStandstill == nil {
		return Standstill{}
	}
	return f.d.cfg.LastStandstill()
}

// isConnOpen reports whether the connection of the exchange is known to be open.
func (x *exchange) isConnOpen() bool {
	x.mu.Lock()
	open := x.control.open
	x.mu.Unlock()
	return open != nil && open()
}

// isEndKnown reports whether it is known if the process that answered an attempt is alive. If
// not, it starts to find out; the attempt's exchange is signaled once it is known.
func (f *inflightRequest) isEndKnown(at *attempt, u exchangeUpdate) bool {
	if at.endCheck != nil {
		return at.endCheck.done.Load()
	}
	c := &endCheck{}
	at.endCheck = c
	at.recordProgress(f.now(), max(f.progressTimeout(), 2*f.d.cfg.ConnectTimeout))
	before := u.writeStartedAt
	if at.openUntil.After(before) {
		before = at.openUntil
	}
	upstream, policy, x := at.upstream, at.policy, at.exchange
	f.d.background.Go(func() {
		c.health = f.d.askHealth(upstream, policy, before)
		c.done.Store(true)
		x.signal()
	})
	return false
}

// sentByLivingProcess reports whether the process that sent the response of an attempt is
// known to be alive after the end of the response.
func (f *inflightRequest) sentByLivingProcess(at *attempt, u exchangeUpdate) bool {
	e := endEvidence{sent: at.policy, health: at.endCheck.health, endedAt: u.endedAt, standstill: f.lastStandstill()}
	// A leaving upstream is registered, although it gets no requests.
	e.current, _ = f.d.cfg.Upstreams.Upstream(at.upstream)
	reason := e.conclusion()
	if reason == "" {
		return true
	}
	f.d.counters.UnprovenEnds.Add(1)
	f.log("endUnproven").WithFields(logrus.Fields{
		"upstream": at.upstream, "reason": reason, "startedMs": e.sent.Started.UnixMilli(), "startedNowMs": e.current.Started.UnixMilli(),
		"healthNamed": e.health.named, "healthOlderConn": e.health.olderConn, "endAgeMs": f.now().Sub(e.endedAt).Milliseconds(),
	}).Info("response without a length counts as truncated")
	return false
}

// askHealth sends a health probe to an upstream: over an idle connection opened before a given
// time if there is one that works, otherwise over a new one.
func (d *Dispatcher) askHealth(id messenger.UpstreamID, policy messenger.UpstreamPolicy, before time.Time) healthAnswer {
	a := healthAnswer{olderConn: true}
	if a.named = d.isNamedInHealthAnswer(id, policy, before); !a.named {
		a.olderConn = false
		a.named = d.isNamedInHealthAnswer(id, policy, time.Time{})
	}
	a.answeredAt = d.cfg.Clock.Now()
	return a
}

// isNamedInHealthAnswer reports whether an upstream answers a health probe with its id. Any status
// will do: one that drains or fails answers 503, and its process is alive. If openedBefore is not
// zero, the probe is sent over an idle connection opened before that.
func (d *Dispatcher) isNamedInHealthAnswer(id messenger.UpstreamID, policy messenger.UpstreamPolicy, openedBefore time.Time) bool {
	status, header := d.fetchHead(&upstreamRequest{
		address: policy.Address, method: http.MethodGet, uri: healthURI(policy), header: make(http.Header),
		newConn: openedBefore.IsZero(), openedBefore: openedBefore,
		ownsResponse: func(_ int, h http.Header, _ bool) bool { return d.dialect.AnsweredRequestID(h) == "" },
	}, d.cfg.ConnectTimeout)
	if status == 0 || d.dialect.AnsweringUpstream(header) != id {
		return false
	}
	if n := d.dialect.Notice(status, header); n.HasCold {
		d.notify(id, policy.Address, Notice{HasCold: true, Cold: n.Cold})
	}
	return true
}

// awaitWake waits until reading may continue. It returns false if the exchange was canceled.
// Meanwhile it watches for the end of a connection that alone ends the body: whether the
// process that sent the body is alive has to be found out when the end arrives.
func (r *bodyReader) awaitWake(x *exchange) bool {
	var poll <-chan time.Time
	if r.closeDelimited {
		ticker := time.NewTicker(endPollInterval)
		defer ticker.Stop()
		poll = ticker.C
	}
	for {
		select {
		case <-r.wake:
			return true
		case <-r.stopped:
			return false
		case <-poll:
			if hasEnded(r.conn.Conn) {
				x.setEndedAt(endReceivedAt(r.conn.Conn, r.clock.Now()))
				x.signal()
				poll = nil
			}
		}
	}
}
