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

// fakeDecider dispatches every request that arrives and notes what ends.
type fakeDecider struct {
	finished []messenger.Finish
	sends    int
}

func (d *fakeDecider) Handle(_ time.Time, e messenger.Event) []messenger.Action {
	switch e := e.(type) {
	case messenger.Arrive:
		var actions []messenger.Action
		for range d.sends {
			actions = append(actions, messenger.Send{To: "r2"})
		}
		return append(actions, messenger.Dispatch{Request: e.Request, Upstream: "w1"})
	case messenger.Finish:
		d.finished = append(d.finished, e)
	}
	return nil
}

// fakeFleet counts the envelopes.
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

func TestSlotOfARequestThatLeftIsGivenBack(t *testing.T) {
	tests := []struct {
		name string
		// leave is done before and after the request is dispatched.
		before, after func(c *control)
	}{
		{name: "left before the dispatch", before: func(c *control) { c.closeQueue(7) }, after: func(*control) {}},
		{name: "left with the dispatch untaken", before: func(*control) {}, after: func(c *control) { c.closeQueue(7) }},
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
				t.Errorf("%d slots given back, want %d", got, want)
			}
		})
	}
}

func TestOneEnvelopeForEachRouterAndDecision(t *testing.T) {
	f := &fakeFleetHandler{}
	c := startControl(t, &fakeDecider{sends: 3}, f)
	c.submit(messenger.Arrive{Request: 1})
	c.call(func() {})
	var got []int
	c.call(func() { got = f.messageCounts })
	if len(got) != 1 || got[0] != 3 {
		t.Errorf("envelopes with %v messages, want one with 3", got)
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
		t.Error("call after the end reports success, want failure")
	}
}

// TestTicksAreRareWhileNothingWaits has requests begin to wait between two ticks.
func TestTicksAreRareWhileNothingWaits(t *testing.T) {
	clock := timekeeper.NewManual(time.Unix(0, 0))
	c := newControl(clock, &fakeDecider{})
	var waiting atomic.Bool
	c.isIdle = func() bool { return !waiting.Load() }
	beats := make(chan tickTiming, 100)
	c.onTick = func(b tickTiming) { beats <- b }
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go c.run(ctx)
	for !c.call(func() {}) {
		t.Fatal("the control goroutine does not run")
	}
	clock.Advance(messenger.TickInterval)
	c.call(func() {})
	if got := len(beats); got != 0 {
		t.Errorf("got %d ticks after %v while nothing waits, want none yet", got, messenger.TickInterval)
	}
	clock.Advance(messenger.TickInterval)
	if b := <-beats; b.interval != idleTickInterval || b.lag != 0 {
		t.Errorf("got %+v, want a tick after %v", b, idleTickInterval)
	}
	waiting.Store(true)
	c.call(func() {})
	clock.Advance(messenger.TickInterval)
	if b := <-beats; b.interval != messenger.TickInterval {
		t.Errorf("got %+v, want a tick after %v once something waits", b, messenger.TickInterval)
	}
}
