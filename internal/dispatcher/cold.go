package dispatcher

import (
	"errors"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"lentilwood.example/lentilwood/internal/messenger"
)

// coldPermit is a scheduler's permit to write a request once to an upstream that is cold. The
// zero value permits it only to upstreams that are warm.
type coldPermit struct {
	writeBy time.Time
	used    bool
}

// use returns why a request must not be written to an upstream now, or nil. A request that was
// chosen for a warm upstream is not written to it once it is cold, nor is one written a second
// time, or late because the router stood still.
func (p *coldPermit) use(now time.Time, current messenger.UpstreamPolicy) error {
	if !current.IsCold(now) {
		return nil
	}
	if p.used || !now.Before(p.writeBy) {
		return errNoPermit
	}
	p.used = true
	return nil
}

// logColdSend logs that a request is about to be sent to a cold upstream.
func (f *inflightRequest) logColdSend(a messenger.Dispatch, policy messenger.UpstreamPolicy) {
	if a.WriteBy.IsZero() {
		return
	}
	now := f.now()
	f.log("coldPermit").WithFields(logrus.Fields{
		"upstream": a.Upstream, "coldLeftMs": policy.ColdUntil.Sub(now).Milliseconds(),
		"assumed": policy.ColdAssumed, "permitMs": a.WriteBy.Sub(now).Milliseconds(),
	}).Info("request sent to a cold upstream within its rate")
}

// noticeOf returns the notice in the response of an attempt.
func (f *inflightRequest) noticeOf(at *attempt, u exchangeUpdate) Notice {
	n := f.d.dialect.Notice(u.status, u.header)
	n.Answered = at.policy.ColdAssumed
	return n
}

// reportEndedProcess passes on that the process of a failed attempt's upstream has ended, or looks
// whether it has if the connection broke off: its next process will be cold. It also counts an
// attempt that had no permit.
func (f *inflightRequest) reportEndedProcess(at *attempt) {
	cause := at.exchange.failure()
	switch {
	case errors.Is(cause, syscall.ECONNREFUSED):
		f.d.notify(at.upstream, at.policy.Address, Notice{Ended: true})
	case at.policy.ColdLimited && at.sent && at.exchange.brokenOff():
		f.d.probeEnd(at.upstream, at.policy)
	}
	if errors.Is(cause, errNoPermit) {
		f.d.counters.PermitsExpired.Add(1)
	}
}

// probeEnd connects to an upstream whose connection broke off, and passes on if nothing listens
// there.
func (d *Dispatcher) probeEnd(id messenger.UpstreamID, policy messenger.UpstreamPolicy) {
	key := "end of " + policy.Address // apart from the probes of the quarantine
	if !d.probes.begin(key) {
		return
	}
	d.background.Go(func() {
		defer d.probes.end(key)
		if d.stopsListening(policy.Address) {
			d.notify(id, policy.Address, Notice{Ended: true})
		}
	})
}
