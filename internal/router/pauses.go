package router

import (
	"sync"
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
)

// pauses knows which upstreams asked to be sent nothing for a while. Requests that an
// upstream was chosen for before it asked look here as well, so it is safe for concurrent
// use. The zero value knows none.
type pauseTable struct {
	mu         sync.Mutex
	byUpstream map[messenger.UpstreamID]processPause
}

// pausedProcess is the process of an upstream that asked for a pause: one that started later
// did not.
type processPause struct {
	started time.Time
	until   time.Time
}

// note notes that the process of an upstream that started at a time wants nothing until
// another one.
func (p *pauseTable) record(id messenger.UpstreamID, started, until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.byUpstream == nil {
		p.byUpstream = make(map[messenger.UpstreamID]processPause)
	}
	before, ok := p.byUpstream[id]
	if ok && before.started.Equal(started) && before.until.After(until) {
		return
	}
	p.byUpstream[id] = processPause{started: started, until: until}
}

// holds reports whether an upstream, whose process started at a time, wants nothing now.
func (p *pauseTable) isPaused(id messenger.UpstreamID, started, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	paused, ok := p.byUpstream[id]
	if !ok {
		return false
	}
	if !now.Before(paused.until) {
		delete(p.byUpstream, id)
		return false
	}
	return paused.started.Equal(started)
}
