package router

import (
	"context"
	"sync"
	"time"

	"lentilwood.example/lentilwood/internal/coordinator"
	"lentilwood.example/lentilwood/internal/messenger"
	"lentilwood.example/lentilwood/internal/timekeeper"
)

// Sizes of the control goroutine's channels.
const (
	// eventBacklog is how many events may wait for the control goroutine
	// before a traffic goroutine has to wait.
	eventQueueLength = 8192
	// actionBacklog is how many actions may wait for one request. A request
	// has at most two attempts and one refusal outstanding.
	actionQueueLength = 4
)

// idleInterval is the time between two ticks while nothing waits for one.
const idleTickInterval = 2 * messenger.TickInterval

// decider is the decision logic about requests.
type decider interface {
	Handle(now time.Time, e messenger.Event) []messenger.Action
}

// fleet is the decision logic about the fleet, with whatever carries out its
// actions.
type fleetHandler interface {
	handleFleetEvent(e coordinator.Event)
	handlePeerEnvelope(m peerEnvelope)
	sendSchedulerMessages(to messenger.RouterID, messages []messenger.PeerMessage)
}

// control owns all control state of a router. One goroutine runs it; traffic
// goroutines reach it through submit and call.
type control struct {
	clock   timekeeper.Clock
	decider decider
	fleet   fleetHandler
	// ticked, if set, is called at every tick.
	onTick func(tickTiming)
	// decided, if set, is told of each decision how long it took.
	onDecision func(took time.Duration)
	// idle, if set, reports whether nothing waits for a tick; ticks are rarer then.
	isIdle func() bool
	// due is when the next tick is, planned the time between it and the one before.
	nextTickAt   time.Time
	tickInterval time.Duration
	inbox        chan any
	done         chan struct{}
	// backlog is the most events that waited in the inbox since that was last asked for.
	maxBacklog int
	// unclaimed holds dispatches that no request took up.
	undelivered []messenger.Finish
	// outgoing holds what the decisions so far have to say to other routers.
	outgoing map[messenger.RouterID][]messenger.PeerMessage
	// fleetTicked is when the coordinator last had a tick.
	lastFleetTick time.Time

	mu     sync.Mutex
	queues map[messenger.RequestID]*requestQueue
}

// inspection is a function that the control goroutine runs between events.
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

// takeBacklog returns the most events that waited in the inbox since the last call.
func (c *control) resetMaxBacklog() int {
	n := c.maxBacklog
	c.maxBacklog = 0
	return n
}

// beat is how a tick came.
type tickTiming struct {
	// planned is the time that it was to come after the one before, late how much later
	// it came.
	interval, lag time.Duration
}

// plan sets the next tick.
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

// tickFleet gives the coordinator its ticks, which are rarer than the
// scheduler's.
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

// flush sends what the decisions since the last flush have to say, one
// envelope for each router.
func (c *control) sendOutgoing() {
	for to, messages := range c.outgoing {
		c.fleet.sendSchedulerMessages(to, messages)
		delete(c.outgoing, to)
	}
}

// handle decides about one event and about what follows from it.
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
			// The caller left in the meantime: give the slot back.
			c.undelivered = append(c.undelivered, messenger.Finish{Request: a.Request, Upstream: a.Upstream})
		}
	case messenger.Refuse:
		c.deliver(a.Request, a)
	case messenger.Send:
		c.outgoing[a.To] = append(c.outgoing[a.To], a.Message)
	}
}

// deliver passes an action to the request that it is for. It returns false if
// that request is gone.
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

// submit tells the control goroutine of an event: a messenger.Event, a
// coordinator.Event, an envelope or an inspection.
func (c *control) submit(e any) {
	select {
	case c.inbox <- e:
	case <-c.done:
	}
}

// call runs f on the control goroutine and waits for it. It returns false if
// the control goroutine has ended.
func (c *control) call(f func()) bool {
	select {
	case <-c.callAsync(f):
		return true
	case <-c.done:
		return false
	}
}

// post runs f on the control goroutine, later; the channel is closed once it was run.
func (c *control) callAsync(f func()) <-chan struct{} {
	done := make(chan struct{})
	c.submit(controlCall{run: f, done: done})
	return done
}

// requestQueue is the scheduler as one request sees it.
type requestQueue struct {
	control *control
	actions chan messenger.Action
}

// open makes the queue of one request.
func (c *control) openQueue(id messenger.RequestID) *requestQueue {
	q := &requestQueue{control: c, actions: make(chan messenger.Action, actionQueueLength)}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.queues[id] = q
	return q
}

// closeQueue forgets the queue of one request and gives back what it was
// promised but never took up.
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

// Actions returns the channel of what the scheduler decided for the request.
func (q *requestQueue) Actions() <-chan messenger.Action { return q.actions }

// Notify passes an event about the request to the scheduler.
func (q *requestQueue) Notify(e messenger.Event) { q.control.submit(e) }
