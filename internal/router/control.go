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
	eventBacklog = 8192
	// actionBacklog is how many actions may wait for one request. A request
	// has at most two attempts and one refusal outstanding.
	actionBacklog = 4
)

// idleInterval is the time between two ticks while nothing waits for one.
const idleInterval = 2 * messenger.TickInterval

// decider is the decision logic about requests.
type decider interface {
	Handle(now time.Time, e messenger.Event) []messenger.Action
}

// fleet is the decision logic about the fleet, with whatever carries out its
// actions.
type fleet interface {
	coordinate(e coordinator.Event)
	unpack(m received)
	postRequests(to messenger.RouterID, messages []messenger.PeerMessage)
}

// control owns all control state of a router. One goroutine runs it; traffic
// goroutines reach it through submit and call.
type control struct {
	clock   timekeeper.Clock
	decider decider
	fleet   fleet
	// ticked, if set, is called at every tick.
	ticked func(beat)
	// decided, if set, is told of each decision how long it took.
	decided func(took time.Duration)
	// idle, if set, reports whether nothing waits for a tick; ticks are rarer then.
	idle func() bool
	// due is when the next tick is, planned the time between it and the one before.
	due     time.Time
	planned time.Duration
	inbox   chan any
	done    chan struct{}
	// backlog is the most events that waited in the inbox since that was last asked for.
	backlog int
	// unclaimed holds dispatches that no request took up.
	unclaimed []messenger.Finish
	// outgoing holds what the decisions so far have to say to other routers.
	outgoing map[messenger.RouterID][]messenger.PeerMessage
	// fleetTicked is when the coordinator last had a tick.
	fleetTicked time.Time

	mu     sync.Mutex
	queues map[messenger.RequestID]*requestQueue
}

// inspection is a function that the control goroutine runs between events.
type inspection struct {
	run  func()
	done chan struct{}
}

func newControl(clock timekeeper.Clock, d decider) *control {
	return &control{
		clock:    clock,
		decider:  d,
		outgoing: make(map[messenger.RouterID][]messenger.PeerMessage),
		inbox:    make(chan any, eventBacklog),
		done:     make(chan struct{}),
		queues:   make(map[messenger.RequestID]*requestQueue),
	}
}

// run handles events until ctx ends.
func (c *control) run(ctx context.Context) {
	defer close(c.done)
	tick := c.plan()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick:
			c.handle(messenger.Tick{})
			c.tickFleet()
			if c.ticked != nil {
				c.ticked(beat{planned: c.planned, late: max(0, c.clock.Now().Sub(c.due))})
			}
			c.flush()
			tick = c.plan()
		case m := <-c.inbox:
			c.backlog = max(c.backlog, len(c.inbox)+1)
			c.take(m)
			c.flush()
			if c.planned > messenger.TickInterval && !c.idle() {
				tick = c.plan()
			}
		}
	}
}

// takeBacklog returns the most events that waited in the inbox since the last call.
func (c *control) takeBacklog() int {
	n := c.backlog
	c.backlog = 0
	return n
}

// beat is how a tick came.
type beat struct {
	// planned is the time that it was to come after the one before, late how much later
	// it came.
	planned, late time.Duration
}

// plan sets the next tick.
func (c *control) plan() <-chan time.Time {
	c.planned = messenger.TickInterval
	if c.idle != nil && c.idle() {
		c.planned = idleInterval
	}
	c.due = c.clock.Now().Add(c.planned)
	return c.clock.After(c.planned)
}

func (c *control) take(m any) {
	switch m := m.(type) {
	case messenger.Event:
		c.handle(m)
	case received:
		c.fleet.unpack(m)
	case inspection:
		m.run()
		close(m.done)
	default:
		c.fleet.coordinate(m)
	}
}

// tickFleet gives the coordinator its ticks, which are rarer than the
// scheduler's.
func (c *control) tickFleet() {
	if c.fleet == nil {
		return
	}
	now := c.clock.Now()
	if now.Sub(c.fleetTicked) >= coordinator.TickInterval/2 {
		c.fleetTicked = now
		c.fleet.coordinate(coordinator.Tick{})
	}
}

// flush sends what the decisions since the last flush have to say, one
// envelope for each router.
func (c *control) flush() {
	for to, messages := range c.outgoing {
		c.fleet.postRequests(to, messages)
		delete(c.outgoing, to)
	}
}

// handle decides about one event and about what follows from it.
func (c *control) handle(e messenger.Event) {
	c.decide(e)
	for len(c.unclaimed) > 0 {
		next := c.unclaimed[0]
		c.unclaimed = c.unclaimed[1:]
		c.decide(next)
	}
}

func (c *control) decide(e messenger.Event) {
	began := c.clock.Now()
	actions := c.decider.Handle(began, e)
	if c.decided != nil {
		c.decided(c.clock.Now().Sub(began))
	}
	for _, a := range actions {
		c.carryOut(a)
	}
}

func (c *control) carryOut(a messenger.Action) {
	switch a := a.(type) {
	case messenger.Dispatch:
		if !c.deliver(a.Request, a) {
			// The caller left in the meantime: give the slot back.
			c.unclaimed = append(c.unclaimed, messenger.Finish{Request: a.Request, Upstream: a.Upstream})
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
	case <-c.post(f):
		return true
	case <-c.done:
		return false
	}
}

// post runs f on the control goroutine, later; the channel is closed once it was run.
func (c *control) post(f func()) <-chan struct{} {
	done := make(chan struct{})
	c.submit(inspection{run: f, done: done})
	return done
}

// requestQueue is the scheduler as one request sees it.
type requestQueue struct {
	control *control
	actions chan messenger.Action
}

// open makes the queue of one request.
func (c *control) open(id messenger.RequestID) *requestQueue {
	q := &requestQueue{control: c, actions: make(chan messenger.Action, actionBacklog)}
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
