package dispatcher

import (
	"context"
	"errors"
	"io"
	"net/http"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"lentilwood.example/lentilwood/internal/messenger"
	"lentilwood.example/lentilwood/internal/quarantiner"
)

// Quarantine decides which requests must not run because a part of their prompt ends the
// engines that answer on it. It is called from several goroutines.
type Quarantine interface {
	// Rule decides whether a request may run.
	Rule(quarantiner.Inquiry) quarantiner.Ruling
	// MayRepeat reports whether a request that lost its connection to a process of an
	// upstream before any output may be sent to another one.
	MayRepeat(upstream messenger.UpstreamID, started time.Time, parts []messenger.ContentID) bool
	// Observe records what happened to an attempt.
	Observe(quarantiner.Event)
}

// probeDelays are the pauses before each try to connect to an upstream whose process may have
// ended: a process that is ending may still accept connections for a moment.
var probeDelays = []time.Duration{0, 5 * time.Millisecond, 20 * time.Millisecond, 75 * time.Millisecond, 200 * time.Millisecond}

// register makes RecheckQuarantine reach the request. It returns a function that undoes this.
func (d *Dispatcher) register(f *inflightRequest) func() {
	if !f.isWatched() {
		return func() {}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.quarantinable == nil {
		d.quarantinable = make(map[*inflightRequest]struct{})
	}
	d.quarantinable[f] = struct{}{}
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		delete(d.quarantinable, f)
	}
}

// RecheckQuarantine lets all requests in progress check again whether they may run. Call it
// after a quarantine has begun.
func (d *Dispatcher) RecheckQuarantine() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for f := range d.quarantinable {
		select {
		case f.recheck <- struct{}{}:
		default:
		}
	}
}

// isWatched reports whether the prompt of the request has parts that may be quarantined.
func (f *inflightRequest) isWatched() bool { return f.d.cfg.Quarantine != nil && len(f.parts) > 0 }

// quarantineRuling returns whether the request may run. begin is true if it is about to be sent.
func (f *inflightRequest) quarantineRuling(begin bool) quarantiner.Ruling {
	if !f.isWatched() || f.onTrial() {
		return quarantiner.Ruling{}
	}
	ruling := f.d.cfg.Quarantine.Rule(quarantiner.Inquiry{Account: f.req.Arrive.Account, Parts: f.parts, Begin: begin})
	if begin && !ruling.Refused() {
		f.startTrial(ruling.Trial)
	}
	return ruling
}

// endQuarantined ends the request because a part of its prompt is quarantined. Only a request
// that has not run is told when to come back, at random so that callers don't come at once.
func (f *inflightRequest) endQuarantined(ruling quarantiner.Ruling) {
	run := f.outcome.RunState()
	f.log("quarantined").WithFields(logrus.Fields{"part": ruling.Part, "parts": f.parts, "run": run, "sends": f.sends}).
		Info("request ended: a part of its prompt is quarantined")
	f.d.counters.Quarantined.Add(1)
	p := newProblem(ProblemQuarantined, run)
	if run == messenger.StateNotRun {
		p.RetryAfter = ruling.RetryAfter + f.d.jitter(ruling.RetryAfter)
	} else {
		p.Status = http.StatusBadGateway
	}
	f.endWithProblem(ProblemQuarantined, p)
}

// enqueue hands the request to the scheduler, unless a part of its prompt is quarantined.
func (f *inflightRequest) enqueue() {
	if ruling := f.quarantineRuling(false); ruling.Refused() {
		f.endQuarantined(ruling)
		return
	}
	f.queue.Notify(f.req.Arrive)
}

// mayDispatch reports whether the request may be sent to an upstream as far as its prompt is
// concerned. If not, it frees the slot, and ends the request unless it already runs elsewhere.
func (f *inflightRequest) mayDispatch(a messenger.Dispatch) bool {
	ruling := f.quarantineRuling(true)
	if !ruling.Refused() {
		return true
	}
	f.reportUnused(a)
	if len(f.attempts) == 0 {
		f.endQuarantined(ruling)
	}
	return false
}

// onTrial reports whether the request tries quarantined parts.
func (f *inflightRequest) onTrial() bool { return len(f.trial) > 0 }

func (f *inflightRequest) startTrial(parts []messenger.ContentID) {
	if len(parts) == 0 {
		return
	}
	f.trial = parts
	f.log("quarantineTrial").WithField("parts", parts).Info("request tries quarantined parts")
}

// endTrial lets other requests try the quarantined parts.
func (f *inflightRequest) endTrial() {
	if f.onTrial() {
		f.d.cfg.Quarantine.Observe(quarantiner.TrialEnd{Parts: f.trial})
	}
}

// recheckQuarantine ends the request if a part of its prompt is quarantined by now, unless an
// answer is already being written. Closing the connection spares an engine that has not begun.
func (f *inflightRequest) recheckQuarantine() {
	if f.concluded || f.hasOutput() {
		return
	}
	ruling := f.quarantineRuling(false)
	if !ruling.Refused() {
		return
	}
	f.withdraw()
	f.endQuarantined(ruling)
}

// hasOutput reports whether a current attempt has had output.
func (f *inflightRequest) hasOutput() bool {
	for _, at := range f.attempts {
		if at.countedTokens > 0 {
			return true
		}
	}
	return false
}

// reportOutput reports the first output of an attempt as evidence that its parts are sound.
func (f *inflightRequest) reportOutput(at *attempt) {
	if at.outputReported || at.status != http.StatusOK || !f.isWatched() {
		return
	}
	at.outputReported = true
	f.d.cfg.Quarantine.Observe(quarantiner.Output{Parts: f.parts, BegunShare: at.begunShare(f.now())})
}

// begunShare returns the part of the time since the upstream was chosen, 0 to 1, for which its
// response had begun.
func (at *attempt) begunShare(now time.Time) float64 {
	total := now.Sub(at.chosenAt)
	if total <= 0 {
		return 1
	}
	return float64(now.Sub(at.headAt)) / float64(total)
}

// reportBreak reports an attempt that ended without output as evidence that the upstream's
// process may have ended, and looks whether it has. silent is true if the attempt is given up
// because the upstream sends nothing.
func (f *inflightRequest) reportBreak(at *attempt, silent bool) {
	if !f.isWatched() || !at.sent || at.countedTokens > 0 || at.outputReported {
		return
	}
	if !silent && !at.exchange.brokenOff() {
		return
	}
	if current, ok := f.d.cfg.Upstreams.Upstream(at.upstream); !ok || current.Leaving || current.Address != at.policy.Address {
		return
	}
	begun := at.header != nil
	at.brokeOffBegun = at.brokeOffBegun || begun
	f.d.cfg.Quarantine.Observe(quarantiner.Break{
		Upstream: at.upstream, Started: at.policy.Started, Account: f.req.Arrive.Account, Parts: f.parts, Begun: begun,
	})
	f.d.probeProcess(at.upstream, at.policy)
}

// mayRepeat reports whether the request of a failed attempt may be sent to another upstream, as
// far as its prompt is concerned.
func (f *inflightRequest) mayRepeat(at *attempt) bool {
	return !at.brokeOffBegun || f.d.cfg.Quarantine.MayRepeat(at.upstream, at.policy.Started, f.parts)
}

// probeProcess connects to an upstream whose connections broke off. If it refuses the
// connection, its process has ended.
func (d *Dispatcher) probeProcess(id messenger.UpstreamID, policy messenger.UpstreamPolicy) {
	if !d.probes.begin(policy.Address) {
		return
	}
	d.background.Go(func() {
		defer d.probes.end(policy.Address)
		if d.stopsListening(policy.Address) {
			d.cfg.Quarantine.Observe(quarantiner.Refused{Upstream: id, Started: policy.Started})
		}
	})
}

// stopsListening reports whether an upstream refuses connections, now or within the time of
// probeDelays.
func (d *Dispatcher) stopsListening(address string) bool {
	for _, delay := range probeDelays {
		select {
		case <-d.closing:
			return false
		case <-d.cfg.Clock.After(delay):
		}
		if d.refusesConnection(address) {
			return true
		}
	}
	return false
}

// refusesConnection reports whether nothing listens at an address.
func (d *Dispatcher) refusesConnection(address string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), d.cfg.ConnectTimeout)
	defer cancel()
	conn, err := dialFunc(d.cfg)(ctx, address)
	if err == nil {
		_ = conn.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// brokenOff reports whether the upstream ended the connection before a complete response.
func (x *exchange) brokenOff() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	switch {
	case !x.done:
		return false
	case x.err == nil:
		return x.closeDelimited
	}
	for _, end := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(x.err, end) {
			return true
		}
	}
	return false
}
