package dispatcher

import (
	"cmp"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
	"lentilwood.example/lentilwood/internal/tracker"
)

const (
	streamsPath = "/v1/streams/"
	healthPath  = "/healthz"
	// maxCancelAttempts is how many times an engine is requested to stop a stream, with
	// cancelRetryDelay between two attempts.
	maxCancelAttempts = 3
	cancelRetryDelay  = 500 * time.Millisecond
	// cancelTimeout limits one attempt.
	cancelTimeout = 2 * time.Second
)

// healthURI returns where an upstream answers health probes.
func healthURI(policy messenger.UpstreamPolicy) string { return cmp.Or(policy.HealthPath, healthPath) }

func streamURI(wireID string) string { return streamsPath + url.PathEscape(wireID) }

// resume requests the rest of a stream from its engine, after the last event relayed,
// over a new connection. It returns false and leaves the attempt unchanged if the stream
// cannot be resumed.
func (f *inflightRequest) resume(at *attempt, kind arrivalKind) bool {
	if f.d.traits.ResendsStreams || !at.policy.Engine || !at.sent || !f.outcome.MayResume() {
		return false
	}
	if at.stream == nil && (!f.req.Streaming || at.header != nil || f.mayRetry()) {
		return false
	}
	if f.callerGone || at.resumes >= f.d.cfg.MaxResumes {
		return false
	}
	if !f.admitArrival(kind, at) {
		return false
	}
	at.resumes++
	at.resuming = true
	f.result.Resumes++
	f.d.counters.Resumes.Add(1)
	f.cancelExchange(at)
	var last uint64
	if at.stream != nil {
		last = at.stream.lastEventID
		at.stream.splitter = sseSplitter{}
	}
	at.status, at.header = 0, nil
	header := requestIDHeader(f.req.WireID)
	header.Set(messenger.LastEventIDHeader, strconv.FormatUint(last, 10))
	f.startExchange(at, &upstreamRequest{
		address: at.policy.Address, method: http.MethodGet,
		uri: streamURI(f.req.WireID), header: header, newConn: true,
	})
	return true
}

// handleResumeHead checks the head of the response to a resume. It returns false if the
// attempt ended.
func (f *inflightRequest) handleResumeHead(at *attempt) bool {
	at.resuming = false
	if at.status != http.StatusOK || !isEventStream(at.header) {
		streamGone := at.status == http.StatusNotFound || at.status == http.StatusGone
		f.attemptFailed(at, ProblemStreamBroken, !streamGone)
		return false
	}
	if at.timedOut {
		at.timedOut = false
		f.d.suspectConnections(at.policy.Address, at.exchange)
	}
	f.track(tracker.Answer)
	if !at.selected {
		at.selected = true
	}
	if at.stream == nil {
		at.stream = &streamState{engine: true}
	}
	return true
}

// handleSilence handles an upstream that made no progress within its timeout.
func (f *inflightRequest) handleSilence(at *attempt) {
	f.d.counters.SilentConnections.Add(1)
	f.log("upstreamSilent").WithField("upstream", at.upstream).Warn("upstream silent")
	at.timedOut = true
	if f.resume(at, arrivalResume) {
		return
	}
	if f.d.traits.KeepsSilentAttempts {
		f.requestFailover(at)
		at.deadline = f.now().Add(f.progressTimeout())
		return
	}
	if at.stream == nil && at.sent && at.silentPeriods < maxSilentPeriods {
		f.startProbe(at)
		return
	}
	f.attemptFailed(at, ProblemUpstreamSilent, false)
}

// startProbe checks over a new connection whether the upstream is alive. If the previous
// probe is still unanswered, the attempt fails instead.
func (f *inflightRequest) startProbe(at *attempt) {
	if at.probe != nil {
		f.cancelProbe(at)
		f.d.transport.Retire(at.policy.Address)
		f.attemptFailed(at, ProblemUpstreamSilent, false)
		return
	}
	at.silentPeriods++
	at.probe = &exchange{updated: f.exchangeUpdated, maxBuffered: readAheadBytes}
	at.deadline = f.now().Add(min(f.progressTimeout(), f.d.cfg.ConnectTimeout))
	f.d.transport.Start(at.probe, &upstreamRequest{
		address: at.policy.Address, method: http.MethodGet, uri: healthURI(at.policy),
		header: make(http.Header), newConn: true,
	})
}

// processProbe handles the response to a health probe. A healthy upstream gets another
// progress timeout, and so does one that drains or is unhealthy if the request cannot go on
// elsewhere: its process is alive. Otherwise the attempt fails.
func (f *inflightRequest) processProbe(at *attempt) {
	if at.probe == nil {
		return
	}
	u := at.probe.poll(true)
	if u.status != 0 {
		f.d.notify(at.upstream, at.policy.Address, f.d.dialect.Notice(u.status, u.header))
	}
	switch {
	case u.status == http.StatusOK, u.status != 0 && !f.mayRetry():
		f.cancelProbe(at)
		at.deadline = f.now().Add(f.progressTimeout())
	case u.status != 0 || u.done:
		f.cancelProbe(at)
		f.attemptFailed(at, ProblemUpstreamSilent, false)
	}
}

func (f *inflightRequest) cancelProbe(at *attempt) {
	if at.probe != nil {
		at.probe.cancel()
		at.probe = nil
	}
}

// suspectConnections handles a dead connection to address. Other connections to it may have
// failed too: the idle ones are closed, and those in use are checked.
func (d *Dispatcher) suspectConnections(address string, working *exchange) {
	d.transport.Retire(address)
	d.live.suspect(address, working)
}

// spendRetry takes one retry from the budget.
func (d *Dispatcher) spendRetry(pool messenger.PoolID) bool {
	if !d.budget.Spend(pool) {
		d.counters.RetriesDenied.Add(1)
		return false
	}
	d.counters.Retries.Add(1)
	return true
}

// cancelStream requests an engine to stop a stream. It does so in the background and
// retries a failed request.
func (d *Dispatcher) cancelStream(address, wireID string) {
	d.counters.Cancels.Add(1)
	d.background.Go(func() {
		for i := range maxCancelAttempts {
			if i > 0 {
				<-d.cfg.Clock.After(cancelRetryDelay)
			}
			if d.cancelOnce(address, wireID) {
				return
			}
		}
	})
}

// cancelOnce requests an engine once to stop a stream and reports whether it did. The response
// that the stream is unknown counts as a failure, because the request that starts the stream
// may reach the engine later.
func (d *Dispatcher) cancelOnce(address, wireID string) bool {
	updated := make(chan struct{}, 1)
	x := &exchange{updated: updated, maxBuffered: readAheadBytes}
	defer x.cancel()
	d.transport.Start(x, &upstreamRequest{
		address: address, method: http.MethodDelete, uri: streamURI(wireID), header: requestIDHeader(wireID), newConn: true,
	})
	timeout := d.cfg.Clock.After(cancelTimeout)
	for {
		select {
		case <-updated:
		case <-timeout:
			return false
		}
		u := x.poll(true)
		if u.status != 0 || u.done {
			return u.status >= http.StatusOK && u.status < http.StatusMultipleChoices
		}
	}
}
