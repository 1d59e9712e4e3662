package router

import (
	"context"
	"sync"
	"time"

	"lentilwood.example/lentilwood/internal/configurer"
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

// decider is the decision logic about requests.
type decider interface {
	Handle(now time.Time, e messenger.Event) []messenger.Action
}

// fleet is the decision logic about the fleet, with whatever carries out its
// actions.
type fleet interface {
	tick()
	configuration(e configurer.Event)
}

// control owns all control state of a router. One goroutine runs it; traffic
// goroutines reach it through submit and call.
type control struct {
	clock   timekeeper.Clock
	decider decider
	fleet   fleet
	send    func(messenger.Send)
	inbox   chan any
	done    chan struct{}
	// unclaimed holds dispatches that no request took up.
	unclaimed []messenger.Finish

	mu     sync.Mutex
	queues map[messenger.RequestID]*requestQueue
}

func newControl(clock timekeeper.Clock, d decider) *control {
	return &control{
		clock:   clock,
		decider: d,
		send:    func(messenger.Send) {},
		inbox:   make(chan any, eventBacklog),
		done:    make(chan struct{}),
		queues:  make(map[messenger.RequestID]*requestQueue),
	}
}

// run handles events until ctx ends.
func (c *control) run(ctx context.Context) {
	defer close(c.done)
	tick := c.clock.After(messenger.TickInterval)
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick:
			c.handle(messenger.Tick{})
			c.fleet.tick()
			tick = c.clock.After(messenger.TickInterval)
		case m := <-c.inbox:
			c.take(m)
		}
	}
}

func (c *control) take(m any) {
	switch m := m.(type) {
	case messenger.Event:
		c.handle(m)
	case configurer.Event:
		c.fleet.configuration(m)
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
	for _, a := range c.decider.Handle(c.clock.Now(), e) {
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
		c.send(a)
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

// submit tells the control goroutine of an event: a messenger.Event or a
// configurer.Event.
func (c *control) submit(e any) {
	select {
	case c.inbox <- e:
	case <-c.done:
	}
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

// Tell passes an event about the request to the scheduler.
func (q *requestQueue) Tell(e messenger.Event) { q.control.submit(e) }
