// Package budgeter implements a retry budget for each pool over a sliding window, so that a
// failing pool does not get more load than a healthy one.
//
// The budget applies to the whole fleet: a ratio of the requests plus a fixed number. Each
// router limits its retries by its own requests and its part of the fixed number, so the
// routers need not coordinate.
//
// # Usage
//
//	b := budgeter.New(clock, budgeter.Bounds{Ratio: 0.2, Extra: 56, Window: 10 * time.Second})
//	b.SetRouters(8)
//	b.Earn("desk")
//	if b.Spend("desk") { ... }
//	b.Postpone("desk", spentAt) // when that retry is sent later
package budgeter

import (
	"sync"
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
	"lentilwood.example/lentilwood/internal/timekeeper"
)

const (
	// safetyFactor is the part of the budget that is used. A request reaches its upstream somewhat
	// later than it is counted here, and the traffic of a router changes from window to window.
	safetyFactor = 0.7
	// startFactor replaces safetyFactor for the requests in the first window of a process: the
	// process before it may have spent the rest.
	startFactor = 1 - safetyFactor
	// unknownExtra is the part of Bounds.Extra that a router takes in its first window and while
	// it does not know the number of routers: with safetyFactor one retry in each window. Without
	// any, a stream that breaks in the first moments of a router is lost.
	unknownExtra = 1.5
	// slicesPerWindow is the number of slices of a window.
	slicesPerWindow = 20
	// keptSlices is the number of slices that are kept. The newest one is not over yet, so all of
	// them cover a window or more, and all but the oldest a window or less.
	keptSlices = slicesPerWindow + 1
)

// Bounds limits the retries in each window.
type Bounds struct {
	// Ratio is the number of retries allowed per request of a pool.
	Ratio float64
	// Extra is the number of retries that the whole fleet may send in addition.
	Extra float64
	// Window is the length of the sliding window.
	Window time.Duration
}

// Budgeter counts requests and retries. It is safe for concurrent use.
type Budgeter struct {
	clock  timekeeper.Clock
	bounds Bounds
	// start is when the Budgeter was created. Windows are counted by the time since then: the
	// time of day may be set while requests run, and would end windows or hold them open.
	start time.Time

	mu      sync.Mutex
	routers int
	pools   map[messenger.PoolID]*window
}

// window counts the requests and retries of a pool in slices of time.
type window struct {
	// slice is the number of the newest slice.
	slice             int64
	requests, retries [keptSlices]float64
}

// counts returns the requests of a window at most, and the retries of a window at least.
func (w *window) counts() (requests, retries float64) {
	oldest := (w.slice + 1) % keptSlices
	for i := range int64(keptSlices) {
		retries += w.retries[i]
		if i != oldest {
			requests += w.requests[i]
		}
	}
	return requests, retries
}

// New returns a Budgeter for a fleet of one router.
func New(clock timekeeper.Clock, bounds Bounds) *Budgeter {
	return &Budgeter{clock: clock, bounds: bounds, start: clock.Now(), routers: 1, pools: make(map[messenger.PoolID]*window)}
}

// SetRouters sets the number of routers among which Extra is divided; 0 means that it is not known
// yet. Until it is, Extra is mostly left to others, as all routers of a fleet may have started at
// once.
func (b *Budgeter) SetRouters(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.routers = n
}

// limit returns how many retries may be sent in a window with a number of requests.
func (b *Budgeter) limit(requests float64) float64 {
	ratio := safetyFactor * b.bounds.Ratio
	extra := b.bounds.Extra / float64(max(b.routers, 1))
	isFirstWindow := b.clock.Now().Sub(b.start) < b.bounds.Window
	if isFirstWindow {
		ratio = startFactor * b.bounds.Ratio
	}
	if isFirstWindow || b.routers <= 0 {
		extra = min(unknownExtra, extra)
	}
	return ratio*requests + safetyFactor*extra
}

// Earn counts the first attempt of a request.
func (b *Budgeter) Earn(pool messenger.PoolID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.current(pool)
	w.requests[w.slice%keptSlices]++
}

// Spend reports whether a retry is within the budget, and counts it if so.
func (b *Budgeter) Spend(pool messenger.PoolID) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.current(pool)
	requests, retries := w.counts()
	if retries+1 > b.limit(requests) {
		return false
	}
	w.retries[w.slice%keptSlices]++
	return true
}

// Postpone counts a retry that was spent at a given time as spent now: it is sent only now.
func (b *Budgeter) Postpone(pool messenger.PoolID, spent time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.current(pool)
	if slice := b.sliceAt(spent); slice > w.slice-keptSlices { // otherwise it is cleared already
		w.retries[slice%keptSlices]--
	}
	w.retries[w.slice%keptSlices]++
}

// sliceAt returns the number of the slice at a time.
func (b *Budgeter) sliceAt(t time.Time) int64 {
	length := max(int64(b.bounds.Window)/slicesPerWindow, 1)
	return int64(t.Sub(b.start)) / length
}

// current returns the window of a pool after clearing the slices that have expired.
func (b *Budgeter) current(pool messenger.PoolID) *window {
	w, ok := b.pools[pool]
	if !ok {
		w = &window{}
		b.pools[pool] = w
	}
	slice := b.sliceAt(b.clock.Now())
	for i := max(w.slice+1, slice-keptSlices+1); i <= slice; i++ {
		w.requests[i%keptSlices], w.retries[i%keptSlices] = 0, 0
	}
	w.slice = max(w.slice, slice)
	return w
}
