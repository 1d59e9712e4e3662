package router

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"lentilwood.example/lentilwood/internal/coordinator"
	"lentilwood.example/lentilwood/internal/messenger"
	"lentilwood.example/lentilwood/internal/timekeeper"
)

// fakeDecider dispatches every request that arrives and records those that finish.
type fakeDecider struct {
	finished []messenger.Finish
	// sendsPerArrival is the number of messages sent to r2 for each request that arrives.
	sendsPerArrival int
}

func (d *fakeDecider) Handle(_ time.Time, e messenger.Event) []messenger.Action {
	switch e := e.(type) {
	case messenger.Arrive:
		var actions []messenger.Action
		for range d.sendsPerArrival {
			actions = append(actions, messenger.Send{To: "r2"})
		}
		return append(actions, messenger.Dispatch{Request: e.Request, Upstream: "w1"})
	case messenger.Finish:
		d.finished = append(d.finished, e)
	}
	return nil
}

// fakeFleetHandler records the number of messages in each envelope.
type fakeFleetHandler struct{ messageCounts []int }

func (f *fakeFleetHandler) handleFleetEvent(coordinator.Event) {}

func (f *fakeFleetHandler) handlePeerEnvelope(peerEnvelope) {}

func (f *fakeFleetHandler) sendSchedulerMessages(_ messenger.RouterID, messages []messenger.PeerMessage) {
	f.messageCounts = append(f.messageCounts, len(messages))
}

func startControl(t *testing.T, d *fakeDecider, f *fakeFleetHandler) *control {
	t.Helper()
	c := newControl(timekeeper.NewManual(time.Unix(0, 0)), d)
	c.fleet = f
	ctx, cancel := context.WithCancel(context.Background())
	go c.run(ctx)
	t.Cleanup(func() {
		cancel()
		<-c.done
	})
	return c
}

func TestDispatchReachesItsRequest(t *testing.T) {
	c := startControl(t, &fakeDecider{}, &fakeFleetHandler{})
	q := c.openQueue(7)
	q.Notify(messenger.Arrive{Request: 7})
	want := messenger.Dispatch{Request: 7, Upstream: "w1"}
	if got := <-q.Actions(); got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

func TestSlotOfEndedRequestIsReleased(t *testing.T) {
	tests := []struct {
		name string
		// before and after are run before and after the request is dispatched.
		before, after func(c *control)
	}{
		{name: "request ended before the dispatch", before: func(c *control) { c.closeQueue(7) }, after: func(*control) {}},
		{name: "request ended before it read the dispatch", before: func(*control) {}, after: func(c *control) { c.closeQueue(7) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := &fakeDecider{}
			c := startControl(t, d, &fakeFleetHandler{})
			q := c.openQueue(7)
			tt.before(c)
			q.Notify(messenger.Arrive{Request: 7})
			c.call(func() {})
			tt.after(c)
			got := 0
			c.call(func() { got = len(d.finished) })
			if want := 1; got != want {
				t.Errorf("%d slots released, want %d", got, want)
			}
		})
	}
}

func TestOneEnvelopePerRouterAndDecision(t *testing.T) {
	f := &fakeFleetHandler{}
	c := startControl(t, &fakeDecider{sendsPerArrival: 3}, f)
	c.submit(messenger.Arrive{Request: 1})
	c.call(func() {})
	var got []int
	c.call(func() { got = f.messageCounts })
	if len(got) != 1 || got[0] != 3 {
		t.Errorf("got envelopes with %v messages, want one with 3", got)
	}
}

func TestCallEndsWithTheControlGoroutine(t *testing.T) {
	c := newControl(timekeeper.NewManual(time.Unix(0, 0)), &fakeDecider{})
	c.fleet = &fakeFleetHandler{}
	ctx, cancel := context.WithCancel(context.Background())
	go c.run(ctx)
	cancel()
	<-c.done
	if c.call(func() {}) {
		t.Error("call returns true after the control goroutine stopped, want false")
	}
}

// TestTicksAreLessFrequentWhenIdle checks that ticks are less frequent while no request
// waits, and that a request that begins to wait between two ticks restores the normal
// interval.
func TestTicksAreLessFrequentWhenIdle(t *testing.T) {
	clock := timekeeper.NewManual(time.Unix(0, 0))
	c := newControl(clock, &fakeDecider{})
	var waiting atomic.Bool
	c.isIdle = func() bool { return !waiting.Load() }
	timings := make(chan tickTiming, 100)
	c.onTick = func(timing tickTiming) { timings <- timing }
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go c.run(ctx)
	for !c.call(func() {}) {
		t.Fatal("the control goroutine is not running")
	}
	clock.Advance(messenger.TickInterval)
	c.call(func() {})
	if got := len(timings); got != 0 {
		t.Errorf("got %d ticks after %v while idle, want none yet", got, messenger.TickInterval)
	}
	clock.Advance(messenger.TickInterval)
	if timing := <-timings; timing.interval != idleTickInterval || timing.lag != 0 {
		t.Errorf("got %+v, want a tick after %v", timing, idleTickInterval)
	}
	waiting.Store(true)
	c.call(func() {})
	clock.Advance(messenger.TickInterval)
	if timing := <-timings; timing.interval != messenger.TickInterval {
		t.Errorf("got %+v, want a tick after %v once a request waits", timing, messenger.TickInterval)
	}
}
