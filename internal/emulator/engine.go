package emulator

import (
	"sync"
	"time"

	"lentilwood.example/lentilwood/internal/timekeeper"
)

// engine batches streams continuously.
type engine struct {
	cfg     WorkerConfig
	clock   timekeeper.Clock
	faults  func() Faults
	watch   func() <-chan struct{}
	journal *journal
	load    *loadHistory

	mu      sync.Mutex
	streams map[string]*stream
	waiting []*stream
	running []*stream
	// ended holds the streams to forget, oldest first.
	ended []endedStream
	cache *prefixCache
	wake  chan struct{}
	stop  chan struct{}
}

type endedStream struct {
	at time.Time
	s  *stream
}

func newEngine(cfg WorkerConfig, s *standin, load *loadHistory) *engine {
	return &engine{
		cfg: cfg, clock: s.clock, faults: s.current, watch: s.watch, journal: &s.journal, load: load,
		streams: map[string]*stream{},
		cache:   newPrefixCache(cfg.CacheTokens, cfg.CacheLag, cfg.CacheGaps, cfg.Seed),
		wake:    make(chan struct{}, 1), stop: make(chan struct{}),
	}
}

// run steps the batch until the engine is stopped.
func (e *engine) run() {
	for {
		changed := e.watch()
		if d, busy := e.plan(); busy {
			if !e.pause(d) {
				return
			}
			e.step()
			continue
		}
		select {
		case <-e.wake:
		case <-changed:
		case <-e.stop:
			return
		}
	}
}

func (e *engine) pause(d time.Duration) bool {
	if d <= 0 {
		return true
	}
	select {
	case <-e.clock.After(d):
		return true
	case <-e.stop:
		return false
	}
}

func (e *engine) signal() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// plan admits waiting streams to free slots and returns how long the next step
// takes. It returns false if there is nothing to do.
func (e *engine) plan() (time.Duration, bool) {
	f := e.faults()
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	e.forget(now)
	if f.Silent {
		return 0, false
	}
	prefill := 0
	for len(e.waiting) > 0 && len(e.running) < e.cfg.Slots {
		s := e.waiting[0]
		e.waiting = e.waiting[1:]
		if e.abandoned(s, now) {
			s.cancelled = true
			delete(e.streams, s.id)
			continue
		}
		prefill += e.admit(now, s)
	}
	n := len(e.running)
	e.load.note(now, n, len(e.waiting))
	if n == 0 {
		return 0, false
	}
	d := time.Duration(prefill)*e.cfg.PrefillPerToken + e.cfg.StepTime + time.Duration(n)*e.cfg.StepTimePerStream
	return stretch(d, f), true
}

// admit gives a stream a slot and returns the prompt tokens to work through.
func (e *engine) admit(now time.Time, s *stream) int {
	s.cached = e.cache.use(now, s.prefix, s.prompt)
	e.running = append(e.running, s)
	e.journal.update(func() { s.entry.Started = now })
	e.journal.add(s.entry)
	if s.entry.Imported {
		s.cached = s.prompt
	}
	return s.prompt - s.cached
}

// step yields one token for each running stream.
func (e *engine) step() {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	kept := e.running[:0]
	for _, s := range e.running {
		if !s.cancelled {
			s.generated++
			s.done = s.generated >= s.request.MaxTokens
		}
		if e.abandoned(s, now) {
			s.cancelled = true
		}
		if !s.done && !s.cancelled {
			kept = append(kept, s)
		} else {
			e.finish(now, s)
		}
		s.reader.signal()
	}
	clear(e.running[len(kept):])
	e.running = kept
}

// abandoned says whether nobody reads a stream for longer than the grace time.
func (e *engine) abandoned(s *stream, now time.Time) bool {
	return s.reader == nil && now.Sub(s.detachedAt) > e.cfg.GraceTime
}

func (e *engine) finish(now time.Time, s *stream) {
	e.ended = append(e.ended, endedStream{now, s})
	e.journal.update(func() {
		s.entry.Finished = now
		s.entry.Tokens = s.generated
		s.entry.Outcome = Finished
		if s.cancelled && !s.done {
			s.entry.Outcome = Cancelled
		}
	})
}

// forget drops streams that ended, or were imported and not resumed, longer
// ago than the grace time.
func (e *engine) forget(now time.Time) {
	n := 0
	for n < len(e.ended) && now.Sub(e.ended[n].at) > e.cfg.GraceTime {
		s := e.ended[n].s
		if e.streams[s.id] == s && (s.done || s.cancelled || s.paused) {
			delete(e.streams, s.id)
		}
		n++
	}
	e.ended = e.ended[n:]
}

// submit queues a stream, read by r.
func (e *engine) submit(s *stream, r *reader) {
	e.mu.Lock()
	s.reader = r
	s.detachedAt = e.clock.Now()
	e.streams[s.id] = s
	if s.paused || s.done {
		e.ended = append(e.ended, endedStream{s.detachedAt, s})
	} else {
		e.waiting = append(e.waiting, s)
		e.load.note(s.detachedAt, len(e.running), len(e.waiting))
	}
	e.mu.Unlock()
	e.signal()
}

// resume hands a stream over to a new reader. It returns nil if the stream is
// not known.
func (e *engine) resume(id string) (*stream, *reader) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.streams[id]
	if !ok || s.cancelled {
		return nil, nil
	}
	if s.reader != nil {
		close(s.reader.taken)
	}
	s.reader = newReader()
	if s.paused {
		s.paused = false
		e.waiting = append(e.waiting, s)
		e.signal()
	}
	return s, s.reader
}

// detach says that r has left the stream.
func (e *engine) detach(s *stream, r *reader) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.reader == r {
		s.reader = nil
		s.detachedAt = e.clock.Now()
	}
}

// cancel ends a stream and frees its slot. It returns false if the stream is
// not known.
func (e *engine) cancel(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.streams[id]
	if !ok {
		return false
	}
	delete(e.streams, id)
	s.cancelled = true
	for i, w := range e.waiting {
		if w == s {
			e.waiting = append(e.waiting[:i:i], e.waiting[i+1:]...)
			break
		}
	}
	s.reader.signal()
	return true
}

// find returns a stream and how far it is.
func (e *engine) find(id string) (*stream, progress) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.streams[id]
	if !ok {
		return nil, progress{}
	}
	return s, s.progress()
}

func (e *engine) progressOf(s *stream) progress {
	e.mu.Lock()
	defer e.mu.Unlock()
	return s.progress()
}

func (s *stream) progress() progress {
	return progress{generated: s.generated, cached: s.cached, done: s.done, cancelled: s.cancelled}
}

func (e *engine) cacheEvents(since uint64) CacheEvents {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cache.since(e.clock.Now(), since)
}
