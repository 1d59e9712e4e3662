// Package orderer brings model engines to their wanted state and keeps them
// there: models, adapters and versions loaded, and the role.
//
// The holder of one lease orders for the whole fleet, so that the rate of the
// weight store is shared over it without further messages. It reads each
// engine's state, sends the first order that is missing, and reads again;
// states are read once more at intervals, so that an engine that restarted, or
// that took a late order of an earlier holder, is put right.
//
// # Usage
//
//	o := orderer.New(orderer.Config{LoadsPerMinute: 6, MaxLoads: 2})
//	o.Handle(now, orderer.Wanted{Engines: engines})
//	o.Handle(now, orderer.Lead{Lease: acquired.Lease, Quiet: acquired.Quiet})
//	for _, a := range o.Handle(clock.Now(), orderer.Tick{}) {
//		switch a := a.(type) {
//		case orderer.ReadState: // ask the engine, then StateRead
//		case orderer.SendOrder: // if the lease still is held: send with a.Fence by a.Before, then OrderDone
//		case orderer.Resign:    // an engine knows of a later holder: give the lease up
//		}
//	}
package orderer

import (
	"slices"
	"time"

	"lentilwood.example/lentilwood/internal/leaser"
	"lentilwood.example/lentilwood/internal/messenger"
)

// Times of an Orderer.
const (
	// TickInterval is the longest time between two Ticks.
	TickInterval = time.Second
	// assertInterval is the time between two looks at an engine that has its
	// wanted state.
	assertInterval = 30 * time.Second
	// loadingInterval is the time between two looks at one that is loading.
	loadingInterval = 5 * time.Second
	// firstBackoff is the wait after a failure; it doubles up to longestBackoff.
	firstBackoff   = 2 * time.Second
	longestBackoff = time.Minute
	// callTimeout is when the reading of a state is given up.
	callTimeout = 10 * time.Second
	// LongestOrder bounds an order; it is given up then.
	LongestOrder = 10 * time.Minute
)

// Config are the settings of an Orderer.
type Config struct {
	// LoadsPerMinute bounds how many loads are begun; zero means no bound.
	LoadsPerMinute float64
	// MaxLoads bounds the loads under way; zero means no bound.
	MaxLoads int
}

// Engine is one engine and what is wanted of it.
type Engine struct {
	Want State
	// ChecksFence is true if it refuses orders with an old fencing number.
	ChecksFence bool
}

// Event is one thing told to an Orderer.
type Event interface{ isEvent() }

// Tick says that time has passed.
type Tick struct{}

// Wanted replaces what is wanted of the engines.
type Wanted struct {
	Engines map[messenger.UpstreamID]Engine
}

// Lead says that this router holds the lease, or has renewed it.
type Lead struct {
	Lease leaser.Lease
	// Quiet is until when engines that check no fences get no orders.
	Quiet time.Time
}

// Follow says that this router does not hold the lease any more.
type Follow struct{}

// StateRead answers a ReadState.
type StateRead struct {
	Upstream messenger.UpstreamID
	State    State
	// Loading are the versions of models that are on their way, by name.
	Loading map[string]string
	Err     error
}

// OrderDone answers a SendOrder.
type OrderDone struct {
	Upstream messenger.UpstreamID
	Fence    uint64
	// OldFence is true if the engine refused the order for its number.
	OldFence bool
	Err      error
}

func (Tick) isEvent()      {}
func (Wanted) isEvent()    {}
func (Lead) isEvent()      {}
func (Follow) isEvent()    {}
func (StateRead) isEvent() {}
func (OrderDone) isEvent() {}

// Action is one thing an Orderer wants done.
type Action interface{ isAction() }

// ReadState asks an engine for its state.
type ReadState struct{ Upstream messenger.UpstreamID }

// SendOrder sends an order to an engine. It must not leave after Before, so
// the sender looks at the clock right before it writes.
type SendOrder struct {
	Upstream messenger.UpstreamID
	Order    Order
	Fence    uint64
	Before   time.Time
}

// Resign asks for the lease to be given up: there is a later holder.
type Resign struct{}

func (ReadState) isAction() {}
func (SendOrder) isAction() {}
func (Resign) isAction()    {}

// Orderer is the decision logic. It does no I/O and is not safe for concurrent
// use.
type Orderer struct {
	cfg     Config
	leads   bool
	lease   leaser.Lease
	quiet   time.Time
	engines map[messenger.UpstreamID]*engine
	ids     []messenger.UpstreamID
	tokens  float64
	filled  time.Time
}

// phase is what an engine is being asked.
type phase int

const (
	idle phase = iota
	reading
	ordering
)

// engine is one engine and how far it is.
type engine struct {
	Engine
	phase   phase
	loading bool
	since   time.Time
	next    time.Time
	backoff time.Duration
	// ready is true if it was last seen in its wanted state.
	ready bool
}

// New returns an Orderer that does not lead.
func New(cfg Config) *Orderer {
	return &Orderer{cfg: cfg, engines: make(map[messenger.UpstreamID]*engine)}
}

// Ready reports whether an engine was last seen in its wanted state.
func (o *Orderer) Ready(id messenger.UpstreamID) bool {
	e, ok := o.engines[id]
	return ok && e.ready
}

// Handle takes one event and returns what is to be done.
func (o *Orderer) Handle(now time.Time, e Event) []Action {
	switch e := e.(type) {
	case Tick:
		return o.tick(now)
	case Wanted:
		o.wanted(now, e)
	case Lead:
		o.lead(now, e)
	case Follow:
		o.leads = false
	case StateRead:
		return o.stateRead(now, e)
	case OrderDone:
		return o.orderDone(now, e)
	}
	return nil
}

func (o *Orderer) wanted(now time.Time, w Wanted) {
	for id, want := range w.Engines {
		e, ok := o.engines[id]
		if !ok {
			e = &engine{next: now}
			o.engines[id] = e
			o.ids = append(o.ids, id)
		}
		if _, differs := next(e.Want, want.Want); differs {
			e.next, e.ready = now, false
		}
		e.Engine = want
	}
	o.ids = slices.DeleteFunc(o.ids, func(id messenger.UpstreamID) bool {
		_, ok := w.Engines[id]
		if !ok {
			delete(o.engines, id)
		}
		return !ok
	})
	slices.Sort(o.ids)
}

// lead starts over, unless the lease is the one held already: what an earlier
// holder has begun is not known. The rate of the weight store starts empty,
// since the earlier holder may have used it up.
func (o *Orderer) lead(now time.Time, e Lead) {
	fresh := !o.leads || e.Lease.Fence != o.lease.Fence
	o.leads, o.lease = true, e.Lease
	if !fresh {
		return
	}
	o.quiet = e.Quiet.Add(LongestOrder)
	o.tokens, o.filled = 0, now
	for _, en := range o.engines {
		en.phase, en.loading, en.next, en.backoff = idle, false, now, 0
	}
}

// holds reports whether the lease allows an order now.
func (o *Orderer) holds(now time.Time) bool { return o.leads && now.Before(o.lease.Until) }

// tick gives up calls that take too long and looks at engines that are due.
func (o *Orderer) tick(now time.Time) []Action {
	o.fill(now)
	var actions []Action
	for _, id := range o.ids {
		e := o.engines[id]
		if e.expired(now) {
			e.fail(now)
		}
		if e.phase != idle || now.Before(e.next) || !o.holds(now) {
			continue
		}
		e.phase, e.since = reading, now
		actions = append(actions, ReadState{Upstream: id})
	}
	return actions
}

func (e *engine) expired(now time.Time) bool {
	return e.phase == reading && now.Sub(e.since) >= callTimeout ||
		e.phase == ordering && now.Sub(e.since) >= LongestOrder
}

// fail waits before the next look at an engine.
func (e *engine) fail(now time.Time) {
	e.phase, e.loading, e.ready = idle, false, false
	e.backoff = min(longestBackoff, max(firstBackoff, 2*e.backoff))
	e.next = now.Add(e.backoff)
}

// stateRead compares an engine's state to the wanted one and sends the first
// order that is missing.
func (o *Orderer) stateRead(now time.Time, r StateRead) []Action {
	e, ok := o.engines[r.Upstream]
	if !ok || e.phase != reading {
		return nil
	}
	if r.Err != nil {
		e.fail(now)
		return nil
	}
	e.phase, e.backoff = idle, 0
	order, missing := next(r.State, e.Want)
	e.ready = !missing
	e.loading = missing && order.Kind == LoadModel && r.Loading[order.Model] == order.Version
	if e.loading {
		e.next = now.Add(loadingInterval)
		return nil
	}
	if !missing {
		e.next = now.Add(assertInterval)
		return nil
	}
	if !o.holds(now) || !e.ChecksFence && now.Before(o.quiet) || !o.admit(now, order) {
		e.next = now.Add(TickInterval)
		return nil
	}
	e.phase, e.loading, e.since = ordering, order.loads(), now
	return []Action{SendOrder{Upstream: r.Upstream, Order: order, Fence: o.lease.Fence, Before: o.lease.Until}}
}

// orderDone reads the state again: only that tells what an order did.
func (o *Orderer) orderDone(now time.Time, d OrderDone) []Action {
	e, ok := o.engines[d.Upstream]
	if !ok || e.phase != ordering || d.Fence != o.lease.Fence {
		return nil
	}
	if d.OldFence {
		o.leads = false
		e.fail(now)
		return []Action{Resign{}}
	}
	if d.Err != nil {
		e.fail(now)
		return nil
	}
	e.phase, e.loading, e.next = idle, false, now
	return nil
}

// admit takes a load from the weight store's rate.
func (o *Orderer) admit(now time.Time, order Order) bool {
	if !order.loads() {
		return true
	}
	under := 0
	for _, e := range o.engines {
		if e.loading {
			under++
		}
	}
	if o.cfg.MaxLoads > 0 && under >= o.cfg.MaxLoads {
		return false
	}
	if o.cfg.LoadsPerMinute <= 0 {
		return true
	}
	o.fill(now)
	if o.tokens < 1 {
		return false
	}
	o.tokens--
	return true
}

// fill adds to the rate; one load is saved up at most.
func (o *Orderer) fill(now time.Time) {
	o.tokens = min(1, o.tokens+now.Sub(o.filled).Minutes()*o.cfg.LoadsPerMinute)
	o.filled = now
}
