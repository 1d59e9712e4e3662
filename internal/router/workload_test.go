package router

import (
	"context"
	"testing"
	"time"

	"lentilwood.example/lentilwood/internal/dispatcher"
	"lentilwood.example/lentilwood/internal/messenger"
	"lentilwood.example/lentilwood/internal/timekeeper"
)

func TestWorkloadCountsHowRequestsEnd(t *testing.T) {
	var w workload
	w.record(dispatcher.Result{DispatchedAt: time.Unix(1, 0), Problem: "upstream-silent"})
	w.record(dispatcher.Result{Problem: string(messenger.RefuseTokens)})
	w.record(dispatcher.Result{Problem: string(messenger.RefuseDeadline)})
	w.record(dispatcher.Result{CallerGone: true})
	got := []int64{w.sent.Load(), w.refusedOverShare.Load(), w.refusedPastDeadline.Load(), w.endedOtherwise.Load()}
	for i, n := range got {
		if n != 1 {
			t.Errorf("got %d in count %d of %v, want 1 in each", n, i, got)
		}
	}
}

// TestMaxWriteDelayIsRecorded checks that of several requests the longest delay between the
// choice of an upstream and the writing of the request is kept.
func TestMaxWriteDelayIsRecorded(t *testing.T) {
	var w workload
	for _, delay := range []time.Duration{0, 30 * time.Millisecond, 20 * time.Millisecond} {
		w.record(dispatcher.Result{DispatchedAt: time.Unix(1, 0), MaxWriteDelay: delay})
	}
	if got, want := time.Duration(w.maxWriteDelay.Load()), 30*time.Millisecond; got != want {
		t.Errorf("got %v for the longest write delay, want %v", got, want)
	}
}

// TestMaxBacklogIsReset checks that reading the maximum backlog of events resets it. The
// events are queued before the control goroutine runs.
func TestMaxBacklogIsReset(t *testing.T) {
	c := newControl(timekeeper.System{}, &fakeDecider{})
	for range 5 {
		c.submit(messenger.LoadReport{})
	}
	ctx, cancel := context.WithCancel(context.Background())
	go c.run(ctx)
	var got, afterReset int
	c.call(func() { got, afterReset = c.resetMaxBacklog(), c.resetMaxBacklog() })
	cancel()
	<-c.done
	if got < 5 || afterReset != 0 {
		t.Errorf("got a backlog of %d and then %d, want at least 5 and then none", got, afterReset)
	}
}
