package emulator

import (
	"net/http"
	"strings"
	"time"
)

const (
	// defaultCrashDelay is the time from the head of an answer to the end of the process.
	defaultCrashDelay = 20 * time.Millisecond
	// defaultDowntime is the time from the end of a process to the start of the next one.
	defaultDowntime = 500 * time.Millisecond
	// restartRetryDelay is the pause before the port is tried again if it is still taken.
	restartRetryDelay = 20 * time.Millisecond
)

// crashesOn reports whether the process of a worker ends when it begins to answer a request
// with this prompt.
func (f Faults) crashesOn(prompt string) bool {
	return f.CrashPrompt != "" && strings.Contains(prompt, f.CrashPrompt)
}

// crashDuringAnswer ends the worker's process after the head of an answer. The caller's
// connection ends with all others.
func (a *answer) crashDuringAnswer(f Faults) {
	<-a.w.clock.After(orDefault(time.Duration(f.CrashDelayMs)*time.Millisecond, defaultCrashDelay))
	a.w.Crash(orDefault(time.Duration(f.DowntimeMs)*time.Millisecond, defaultDowntime))
	<-a.ctx.Done()
	panic(http.ErrAbortHandler)
}

// Crash ends the worker's process: every connection breaks off, new ones are refused, and all
// streams are lost. It comes back at the same address after the downtime, with empty state. A
// worker that is down already stays down as long as it was to.
func (w *Worker) Crash(downtime time.Duration) {
	if !w.down.CompareAndSwap(false, true) {
		return
	}
	w.crashes.Add(1)
	go w.restart(downtime)
}

// Crashes returns how often the worker's process ended.
func (w *Worker) Crashes() int { return int(w.crashes.Load()) }

// restart closes the port and opens it again after the downtime, unless the worker is stopped.
func (w *Worker) restart(downtime time.Duration) {
	address := w.Addr()
	w.standin.Stop()
	w.engine.reset()
	wait := downtime
	for {
		select {
		case <-w.clock.After(wait):
		case <-w.engine.stop:
			return
		}
		if w.standin.Start(address) == nil {
			w.down.Store(false)
			return
		}
		wait = restartRetryDelay
	}
}

// reset loses all streams and cached prefixes, as the end of the process does.
func (e *engine) reset() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.streams {
		s.cancelled = true
		s.reader.signal()
	}
	clear(e.streams)
	e.waiting, e.running, e.ended = nil, nil, nil
	e.cache = newPrefixCache(e.cfg.CacheTokens, e.cfg.CacheLag, e.cfg.CacheGaps, e.cfg.Seed)
}
