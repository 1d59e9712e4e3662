package router

import (
	"sync"
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
)

// pauseTable records which upstreams asked for no requests for some time. Requests already
// assigned to an upstream check it as well, so it is safe for concurrent use. The zero value
// is an empty table.
type pauseTable struct {
	mu         sync.Mutex
	byUpstream map[messenger.UpstreamID]processPause
}

// processPause is the pause of one process of an upstream; it does not apply to a process
// started later.
type processPause struct {
	startedAt time.Time
	until     time.Time
}

// record records that the process of an upstream started at startedAt wants no requests before
// until. It does not shorten a pause of the same process.
func (p *pauseTable) record(id messenger.UpstreamID, startedAt, until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.byUpstream == nil {
		p.byUpstream = make(map[messenger.UpstreamID]processPause)
	}
	before, ok := p.byUpstream[id]
	if ok && before.startedAt.Equal(startedAt) && before.until.After(until) {
		return
	}
	p.byUpstream[id] = processPause{startedAt: startedAt, until: until}
}

// isPaused reports whether the process of an upstream started at startedAt is paused at now.
func (p *pauseTable) isPaused(id messenger.UpstreamID, startedAt, now time.Time) bool {
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
	return paused.startedAt.Equal(startedAt)
}
