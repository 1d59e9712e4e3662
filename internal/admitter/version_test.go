package admitter

import (
	"testing"
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
)

// newMixedPolicy returns a policy with three upstreams, of which only u1 has the software version v2.
func newMixedPolicy() *messenger.Policy {
	policy := newPolicy(0, 3)
	for id, u := range policy.Upstreams {
		u.SoftwareVersion = "v1"
		if id == "u1" {
			u.SoftwareVersion = "v2"
		}
		policy.Upstreams[id] = u
	}
	return policy
}

// onlyAction returns the only action, or nil if there is not exactly one.
func onlyAction(actions []messenger.Action) messenger.Action {
	if len(actions) != 1 {
		return nil
	}
	return actions[0]
}

// TestStreamStaysAtItsSoftwareVersion guards against a stream that goes on at another software
// version: after a failed attempt, while it waits, and once no upstream of its version is left.
func TestStreamStaysAtItsSoftwareVersion(t *testing.T) {
	a := New(Config{Self: "r"})
	policy := newMixedPolicy()
	a.Handle(epoch, messenger.PolicyChange{Policy: policy})
	arrive := messenger.Arrive{
		Request: 1, Pool: simPool, Idempotent: true, Objective: time.Second, Deadline: epoch.Add(time.Minute), SoftwareVersion: "v2",
	}
	now := epoch
	for attempt := range 3 {
		var got messenger.Action
		if attempt == 0 {
			got = onlyAction(a.Handle(now, arrive))
		} else {
			got = onlyAction(a.Handle(now, messenger.Finish{Request: 1, Upstream: "u1", Failed: true, Retry: true}))
		}
		for end := now.Add(3 * time.Second); got == nil && now.Before(end); {
			now = now.Add(messenger.TickInterval)
			got = onlyAction(a.Handle(now, messenger.Tick{}))
		}
		d, ok := got.(messenger.Dispatch)
		if !ok || d.Upstream != "u1" {
			t.Fatalf("attempt %d: got %+v, want a dispatch to u1, the only upstream of v2", attempt, got)
		}
	}
	leaving := policy.Upstreams["u1"]
	leaving.Leaving = true
	policy.Upstreams["u1"] = leaving
	a.Handle(now, messenger.PolicyChange{Policy: policy})
	got, ok := onlyAction(a.Handle(now, messenger.Finish{Request: 1, Upstream: "u1", Failed: true, Retry: true})).(messenger.Refuse)
	if want := messenger.RefuseVersionGone; !ok || got.Reason != want {
		t.Errorf("with no upstream of v2 left: got %+v, want a refusal with %q", got, want)
	}
	arrive.Request = 2
	got, ok = onlyAction(a.Handle(now, arrive)).(messenger.Refuse)
	if want := messenger.RefuseVersionGone; !ok || got.Reason != want {
		t.Errorf("new request: got %+v, want a refusal with %q", got, want)
	}
}
