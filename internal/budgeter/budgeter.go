// Package budgeter bounds how many requests are sent more than once, for each
// pool and over a sliding window, so that a failing pool does not get more
// work than a healthy one.
//
// The bound holds for the whole fleet: a share of the requests plus a fixed
// number. Each router keeps to the share of its own requests and to its part
// of the fixed number, so that no router has to ask another.
//
// # Usage
//
//	b := budgeter.New(clock, budgeter.Bounds{Ratio: 0.2, Extra: 56, Window: 10 * time.Second})
//	b.SetRouters(8)
//	b.Earn("desk")
//	if b.Spend("desk") { ... }
package budgeter

import (
	"sync"
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
	"lentilwood.example/lentilwood/internal/timekeeper"
)

const (
	// margin is the part of the bound that is used: a request may arrive at
	// its upstream in a later window than it was counted in here.
	margin = 0.7
	// slices is how many parts a window is counted in.
	slices = 20
)

// Bounds is what may be sent more than once in each window.
type Bounds struct {
	// Ratio is the share of the requests of a pool.
	Ratio float64
	// Extra is how many more the whole fleet may send.
	Extra float64
	// Window is the length of the sliding window.
	Window time.Duration
}

// Budgeter counts requests and repeats. It is safe for concurrent use.
type Budgeter struct {
	clock  timekeeper.Clock
	bounds Bounds

	mu      sync.Mutex
	routers int
	pools   map[messenger.PoolID]*window
}

// window counts one pool's requests and repeats in slices of time.
type window struct {
	slice            int64
	requests, second [slices]float64
}

// New returns a Budgeter of a fleet of one router.
func New(clock timekeeper.Clock, bounds Bounds) *Budgeter {
	return &Budgeter{clock: clock, bounds: bounds, routers: 1, pools: make(map[messenger.PoolID]*window)}
}

// SetRouters sets over how many routers the extra is divided.
func (b *Budgeter) SetRouters(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.routers = max(1, n)
}

// Earn notes the first attempt of a request.
func (b *Budgeter) Earn(pool messenger.PoolID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.current(pool)
	w.requests[w.slice%slices]++
}

// Spend takes a further attempt from the budget and reports whether it may be
// sent.
func (b *Budgeter) Spend(pool messenger.PoolID) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.current(pool)
	var requests, second float64
	for i := range slices {
		requests += w.requests[i]
		second += w.second[i]
	}
	allowed := margin * (b.bounds.Ratio*requests + b.bounds.Extra/float64(b.routers))
	if second+1 > allowed {
		return false
	}
	w.second[w.slice%slices]++
	return true
}

// current returns a pool's window with what lies too far back taken out.
func (b *Budgeter) current(pool messenger.PoolID) *window {
	w, ok := b.pools[pool]
	if !ok {
		w = &window{}
		b.pools[pool] = w
	}
	length := max(int64(b.bounds.Window)/slices, 1)
	slice := b.clock.Now().UnixNano() / length
	for i := max(w.slice+1, slice-slices+1); i <= slice; i++ {
		w.requests[i%slices], w.second[i%slices] = 0, 0
	}
	w.slice = max(w.slice, slice)
	return w
}
