package router

import (
	"context"
	"sync"
	"time"

	"lentilwood.example/lentilwood/internal/coordinator"
	"lentilwood.example/lentilwood/internal/messenger"
	"lentilwood.example/lentilwood/internal/timekeeper"
)

// Capacities of the control goroutine's channels.
const (
	// eventQueueLength is how many events may be queued for the control goroutine before the
	// goroutines of requests block.
	eventQueueLength = 8192
	// actionQueueLength is how many actions may be queued for one request, which has at most
	// two attempts and one refusal outstanding.
	actionQueueLength = 4
)

// idleTickInterval is the time between two ticks while no request waits for a decision.
const idleTickInterval = 2 * messenger.TickInterval

// decider makes the decisions about requests.
type decider interface {
	Handle(now time.Time, e messenger.Event) []messenger.Action
}

// fleetHandler makes the decisions about the fleet and carries them out.
type fleetHandler interface {
	handleFleetEvent(e coordinator.Event)
	handlePeerEnvelope(m peerEnvelope)
	sendSchedulerMessages(to messenger.RouterID, messages []messenger.PeerMessage)
}

// control owns the control state of a router. A single goroutine runs it; the goroutines of
// requests reach it through submit and call.
type control struct {
	clock   timekeeper.Clock
	decider decider
	fleet   fleetHandler
	// onTick, if set, is called at every tick.
	onTick func(tickTiming)
	// onDecision, if set, is called with the duration of each decision.
	onDecision func(took time.Duration)
	// isIdle, if set, reports whether no request waits for a decision; ticks are then less
	// frequent.
	isIdle func() bool
	// nextTickAt is when the next tick is due, tickInterval the planned time between it and
	// the one before.
	nextTickAt   time.Time
	tickInterval time.Duration
	inbox        chan any
	done         chan struct{}
	// maxBacklog is the largest number of events queued in the inbox since resetMaxBacklog was
	// last called.
	maxBacklog int
	// undelivered holds a Finish for each dispatch whose request had already ended.
	undelivered []messenger.Finish
	// outgoing holds the messages to other routers that the decisions since the last
	// sendOutgoing produced.
	outgoing map[messenger.RouterID][]messenger.PeerMessage
	// lastFleetTick is when the coordinator last received a tick.
	lastFleetTick time.Time

	mu     sync.Mutex
	queues map[messenger.RequestID]*requestQueue
}

// controlCall is a function for the control goroutine to run between events.
type controlCall struct {
	run  func()
	done chan struct{}
}

func newControl(clock timekeeper.Clock, d decider) *control {
	return &control{
		clock:    clock,
		decider:  d,
		outgoing: make(map[messenger.RouterID][]messenger.PeerMessage),
		inbox:    make(chan any, eventQueueLength),
		done:     make(chan struct{}),
		queues:   make(map[messenger.RequestID]*requestQueue),
	}
}

// run handles events until ctx ends.
func (c *control) run(ctx context.Context) {
	defer close(c.done)
	tick := c.scheduleTick()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick:
			c.handle(messenger.Tick{})
			c.sendFleetTick()
			if c.onTick != nil {
				c.onTick(tickTiming{interval: c.tickInterval, lag: max(0, c.clock.Now().Sub(c.nextTickAt))})
			}
			c.sendOutgoing()
			tick = c.scheduleTick()
		case m := <-c.inbox:
			c.maxBacklog = max(c.maxBacklog, len(c.inbox)+1)
			c.process(m)
			c.sendOutgoing()
			if c.tickInterval > messenger.TickInterval && !c.isIdle() {
				tick = c.scheduleTick()
			}
		}
	}
}

// resetMaxBacklog returns the largest number of events queued in the inbox since the last
// call, and resets it.
func (c *control) resetMaxBacklog() int {
	n := c.maxBacklog
	c.maxBacklog = 0
	return n
}

// tickTiming describes when a tick came.
type tickTiming struct {
	// interval is the planned time since the tick before, lag how much later than planned the
	// tick came.
	interval, lag time.Duration
}

// scheduleTick starts the timer of the next tick.
func (c *control) scheduleTick() <-chan time.Time {
	c.tickInterval = messenger.TickInterval
	if c.isIdle != nil && c.isIdle() {
		c.tickInterval = idleTickInterval
	}
	c.nextTickAt = c.clock.Now().Add(c.tickInterval)
	return c.clock.After(c.tickInterval)
}

func (c *control) process(m any) {
	switch m := m.(type) {
	case messenger.Event:
		c.handle(m)
	case peerEnvelope:
		c.fleet.handlePeerEnvelope(m)
	case controlCall:
		m.run()
		close(m.done)
	default:
		c.fleet.handleFleetEvent(m)
	}
}

// sendFleetTick passes ticks on to the coordinator, which needs them less often than the
// scheduler.
func (c *control) sendFleetTick() {
	if c.fleet == nil {
		return
	}
	now := c.clock.Now()
	if now.Sub(c.lastFleetTick) >= coordinator.TickInterval/2 {
		c.lastFleetTick = now
		c.fleet.handleFleetEvent(coordinator.Tick{})
	}
}

// sendOutgoing sends the messages that the decisions produced since the last call, in one
// envelope per router.
func (c *control) sendOutgoing() {
	for to, messages := range c.outgoing {
		c.fleet.sendSchedulerMessages(to, messages)
		delete(c.outgoing, to)
	}
}

// handle processes an event and the events that follow from it.
func (c *control) handle(e messenger.Event) {
	c.decide(e)
	for len(c.undelivered) > 0 {
		next := c.undelivered[0]
		c.undelivered = c.undelivered[1:]
		c.decide(next)
	}
}

func (c *control) decide(e messenger.Event) {
	start := c.clock.Now()
	actions := c.decider.Handle(start, e)
	if c.onDecision != nil {
		c.onDecision(c.clock.Now().Sub(start))
	}
	for _, a := range actions {
		c.execute(a)
	}
}

func (c *control) execute(a messenger.Action) {
	switch a := a.(type) {
	case messenger.Dispatch:
		if !c.deliver(a.Request, a) {
			// The request ended before it was dispatched: release its slot.
			c.undelivered = append(c.undelivered, messenger.Finish{Request: a.Request, Upstream: a.Upstream})
		}
	case messenger.Refuse:
		c.deliver(a.Request, a)
	case messenger.Send:
		c.outgoing[a.To] = append(c.outgoing[a.To], a.Message)
	}
}

// deliver passes an action to the queue of its request. It returns false if the request has
// ended or its queue is full.
func (c *control) deliver(id messenger.RequestID, a messenger.Action) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	q := c.queues[id]
	if q == nil {
		return false
	}
	select {
	case q.actions <- a:
		return true
	default:
		return false
	}
}

// submit queues an event for the control goroutine: a messenger.Event, a coordinator.Event, a
// peerEnvelope or a controlCall.
func (c *control) submit(e any) {
	select {
	case c.inbox <- e:
	case <-c.done:
	}
}

// call runs f on the control goroutine and waits for it to return. It returns false if the
// control goroutine has stopped.
func (c *control) call(f func()) bool {
	select {
	case <-c.callAsync(f):
		return true
	case <-c.done:
		return false
	}
}

// callAsync queues f for the control goroutine and returns a channel that is closed once f has
// run.
func (c *control) callAsync(f func()) <-chan struct{} {
	done := make(chan struct{})
	c.submit(controlCall{run: f, done: done})
	return done
}

// requestQueue connects one request with the scheduler.
type requestQueue struct {
	control *control
	actions chan messenger.Action
}

// openQueue creates the queue of a request.
func (c *control) openQueue(id messenger.RequestID) *requestQueue {
	q := &requestQueue{control: c, actions: make(chan messenger.Action, actionQueueLength)}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.queues[id] = q
	return q
}

// closeQueue removes the queue of a request and releases the slots of dispatches still in it.
func (c *control) closeQueue(id messenger.RequestID) {
	c.mu.Lock()
	q := c.queues[id]
	delete(c.queues, id)
	c.mu.Unlock()
	if q == nil {
		return
	}
	for {
		select {
		case a := <-q.actions:
			if d, ok := a.(messenger.Dispatch); ok {
				c.submit(messenger.Finish{Request: id, Upstream: d.Upstream})
			}
		default:
			return
		}
	}
}

// Actions returns the channel of the scheduler's decisions about the request.
func (q *requestQueue) Actions() <-chan messenger.Action { return q.actions }

// Notify passes an event about the request to the scheduler.
func (q *requestQueue) Notify(e messenger.Event) { q.control.submit(e) }
