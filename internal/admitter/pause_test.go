package admitter

import (
	"testing"
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
)

// newPlainAdmitter returns an Admitter with two upstreams of a plain service.
func newPlainAdmitter() *Admitter {
	a := New(Config{Self: "r", Domain: "a"})
	a.Handle(epoch, messenger.PolicyChange{Policy: &messenger.Policy{
		Pools: map[messenger.PoolID]messenger.PoolPolicy{simPool: {}},
		Upstreams: map[messenger.UpstreamID]messenger.UpstreamPolicy{
			"u": {Pool: simPool, Domain: "a", Window: 4}, "v": {Pool: simPool, Domain: "a", Window: 4},
		},
	}})
	return a
}

// plainRequest returns a request to a plain service that arrives at now.
func plainRequest(id messenger.RequestID, now time.Time) messenger.Arrive {
	return messenger.Arrive{Request: id, Pool: simPool, Objective: 200 * time.Millisecond, Deadline: now.Add(time.Second)}
}

// TestPausedUpstreamGetsNoRequests has one of two upstreams ask for a pause of a second:
// the other must get all requests in that time, even though it fails them.
func TestPausedUpstreamGetsNoRequests(t *testing.T) {
	a := newPlainAdmitter()
	a.Handle(epoch, messenger.Pause{Upstream: "u", Duration: time.Second})
	id := messenger.RequestID(0)
	for now := epoch; now.Before(epoch.Add(time.Second)); now = now.Add(20 * time.Millisecond) {
		id++
		for _, action := range a.Handle(now, plainRequest(id, now)) {
			d, ok := action.(messenger.Dispatch)
			if !ok || d.Upstream != "v" {
				t.Fatalf("after %v: got %+v, want a dispatch to v", now.Sub(epoch), action)
			}
			a.Handle(now, messenger.Finish{Request: id, Upstream: "v", Failed: true})
		}
	}
	used := false
	for now := epoch.Add(time.Second); now.Before(epoch.Add(2 * time.Second)); now = now.Add(20 * time.Millisecond) {
		id++
		for _, action := range a.Handle(now, plainRequest(id, now)) {
			d, ok := action.(messenger.Dispatch)
			used = used || ok && d.Upstream == "u"
		}
	}
	if !used {
		t.Error("got no request sent to the upstream after its pause, want some")
	}
}

// TestPausedServiceRefusesImmediately has all upstreams ask for a pause: requests must be
// refused immediately, with a Retry-After that is not before the end of the first pause.
func TestPausedServiceRefusesImmediately(t *testing.T) {
	a := newPlainAdmitter()
	a.Handle(epoch, messenger.Pause{Upstream: "u", Duration: 700 * time.Millisecond})
	a.Handle(epoch, messenger.Pause{Upstream: "v", Duration: 3 * time.Second})
	actions := a.Handle(epoch, plainRequest(1, epoch))
	if len(actions) != 1 {
		t.Fatalf("got %+v, want one immediate refusal", actions)
	}
	r, ok := actions[0].(messenger.Refuse)
	if !ok || r.RetryAfter < 700*time.Millisecond {
		t.Errorf("got %+v, want a refusal with a Retry-After of at least the shortest pause", actions[0])
	}
}

// TestRestartedUpstreamIsNotPaused restarts an upstream that asked for a pause of an hour.
func TestRestartedUpstreamIsNotPaused(t *testing.T) {
	a := newPlainAdmitter()
	a.Handle(epoch, messenger.Pause{Upstream: "u", Duration: time.Hour})
	a.Handle(epoch, messenger.PolicyChange{Policy: &messenger.Policy{
		Pools: map[messenger.PoolID]messenger.PoolPolicy{simPool: {}},
		Upstreams: map[messenger.UpstreamID]messenger.UpstreamPolicy{
			"u": {Pool: simPool, Domain: "a", Window: 4, Started: epoch.Add(time.Second)},
		},
	}})
	actions := a.Handle(epoch, plainRequest(1, epoch))
	if len(actions) != 1 {
		t.Fatalf("got %+v, want a dispatch", actions)
	}
	if _, ok := actions[0].(messenger.Dispatch); !ok {
		t.Errorf("got %+v, want a dispatch", actions[0])
	}
}
