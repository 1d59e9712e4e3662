package admitter

import (
	"testing"
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
)

// dispatchOf returns the first Dispatch among actions.
func dispatchOf(actions []messenger.Action) (messenger.Dispatch, bool) {
	for _, action := range actions {
		if d, ok := action.(messenger.Dispatch); ok {
			return d, true
		}
	}
	return messenger.Dispatch{}, false
}

// TestSilentUpstreamKeepsItsRequestUntilAnotherIsUsable has an upstream exceed the progress
// timeout of a request while the only other one is paused.
func TestSilentUpstreamKeepsItsRequestUntilAnotherIsUsable(t *testing.T) {
	a := newPlainAdmitter()
	first, ok := dispatchOf(a.Handle(epoch, plainRequest(1, epoch)))
	if !ok {
		t.Fatal("got no dispatch with idle upstreams")
	}
	other := messenger.UpstreamID("v")
	if first.Upstream == other {
		other = "u"
	}
	a.Handle(epoch, messenger.Pause{Upstream: other, Duration: time.Second})
	silent := messenger.UpstreamSilent{Request: 1, Upstream: first.Upstream, CanMove: true}
	if got := a.Handle(epoch.Add(400*time.Millisecond), silent); len(got) != 0 || a.upstreams[first.Upstream].running != 1 {
		t.Errorf("got %+v and %d running, want the request to stay on its upstream", got, a.upstreams[first.Upstream].running)
	}
	got, ok := dispatchOf(a.Handle(epoch.Add(1200*time.Millisecond), silent))
	if want := (messenger.Dispatch{Request: 1, Upstream: other, Replaces: first.Upstream}); !ok || got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
	if before, after := a.upstreams[first.Upstream].running, a.upstreams[other].running; before != 0 || after != 1 {
		t.Errorf("got %d running at the silent upstream and %d at the other, want 0 and 1", before, after)
	}
	// The slot of the replaced attempt is already free, so its end must not change
	// anything.
	a.Handle(epoch.Add(1300*time.Millisecond), messenger.Finish{Request: 1, Upstream: first.Upstream, Failed: true})
	a.Handle(epoch.Add(1300*time.Millisecond), messenger.Finish{Request: 1, Upstream: other})
	if n := a.upstreams[first.Upstream].running + a.upstreams[other].running; n != 0 || len(a.requests) != 0 {
		t.Errorf("got %d running and %d requests known after the end, want 0", n, len(a.requests))
	}
}

// TestRequestReturnsToReplacedUpstream guards against a request that the admitter has forgotten
// while it runs: the upstream that was to take it over fails, and the silent one goes on. The
// request occupies its slot again, and is sent elsewhere if that upstream fails later.
func TestRequestReturnsToReplacedUpstream(t *testing.T) {
	a := newPlainAdmitter()
	first, ok := dispatchOf(a.Handle(epoch, plainRequest(1, epoch)))
	if !ok {
		t.Fatal("got no dispatch with idle upstreams")
	}
	a.Handle(epoch, messenger.Progress{Request: 1, First: true})
	now := epoch.Add(time.Second)
	second, ok := dispatchOf(a.Handle(now, messenger.UpstreamSilent{Request: 1, Upstream: first.Upstream, CanMove: true}))
	if !ok {
		t.Fatal("got no dispatch that replaces the silent upstream")
	}
	a.Handle(now, messenger.Finish{Request: 1, Upstream: second.Upstream, Failed: true, ContinuesAt: first.Upstream})
	back, other := a.upstreams[first.Upstream], a.upstreams[second.Upstream]
	if back.running != 1 || len(back.pending) != 0 || other.running != 0 {
		t.Errorf("got %d running and %d pending at the first upstream and %d running at the other, want 1, 0 and 0", back.running, len(back.pending), other.running)
	}
	now = now.Add(time.Minute) // the failure of the other upstream is forgotten
	got, ok := dispatchOf(a.Handle(now, messenger.Finish{Request: 1, Upstream: first.Upstream, Failed: true, Retry: true}))
	if !ok || got.Upstream != second.Upstream || got.Replaces != "" {
		t.Errorf("got %+v after the failure of the first upstream, want a dispatch to the other", got)
	}
	a.Handle(now, messenger.Finish{Request: 1, Upstream: second.Upstream})
	if n := back.running + other.running; n != 0 || len(a.requests) != 0 {
		t.Errorf("got %d running and %d requests known after the end, want 0", n, len(a.requests))
	}
}
