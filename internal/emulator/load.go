package emulator

import (
	"sync"
	"time"
)

// Load is what an upstream says of itself at GET /v1/load.
type Load struct {
	Running        int   `json:"running"`
	Waiting        int   `json:"waiting"`
	Slots          int   `json:"slots"`
	MeasuredUnixMS int64 `json:"measuredUnixMs"`
	Leaving        bool  `json:"leaving"`
}

// maxSamples bounds the history; the oldest samples go first.
const maxSamples = 4096

type loadSample struct {
	at               time.Time
	running, waiting int
}

// loadHistory remembers the load for as long as reports lag behind.
type loadHistory struct {
	lag     time.Duration
	mu      sync.Mutex
	samples []loadSample
}

func (h *loadHistory) note(now time.Time, running, waiting int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.samples = append(h.samples, loadSample{now, running, waiting})
	old := 0
	for old+1 < len(h.samples) && !h.samples[old+1].at.After(now.Add(-h.lag)) {
		old++
	}
	old = max(old, len(h.samples)-maxSamples)
	if old > len(h.samples)/2 {
		h.samples = append(h.samples[:0], h.samples[old:]...)
	}
}

// report returns the newest sample that is as old as the lag.
func (h *loadHistory) report(now time.Time, slots int, leaving bool) Load {
	h.mu.Lock()
	defer h.mu.Unlock()
	seen := now.Add(-h.lag)
	out := Load{Slots: slots, MeasuredUnixMS: seen.UnixMilli(), Leaving: leaving}
	for _, s := range h.samples {
		if s.at.After(seen) {
			break
		}
		out.Running, out.Waiting = s.running, s.waiting
	}
	return out
}
