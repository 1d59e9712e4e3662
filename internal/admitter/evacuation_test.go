package admitter

import (
	"testing"
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
)

// evacuate returns newPolicy(0, 2) with some upstreams in an emptied failure domain.
func evacuate(ids ...messenger.UpstreamID) messenger.PolicyChange {
	policy := newPolicy(0, 2)
	for _, id := range ids {
		u := policy.Upstreams[id]
		u.Evacuated = true
		policy.Upstreams[id] = u
	}
	return messenger.PolicyChange{Policy: policy}
}

// arriveShared passes a request whose prompt has a shared part to an admitter.
func arriveShared(a *Admitter, now time.Time, id messenger.RequestID) messenger.Action {
	prompt := []messenger.PromptPart{{Chain: 7, Tokens: 2000}, {Chain: uint64(id) + 100, Tokens: 10}}
	actions := a.Handle(now, messenger.Arrive{
		Request: id, Pool: simPool, Account: "clinic", Objective: time.Second, Deadline: now.Add(time.Minute),
		Work: messenger.Work{Prompt: prompt, MaxOutputTokens: 10},
	})
	if len(actions) == 0 {
		return nil
	}
	return actions[0]
}

// TestEmptiedUpstreamGetsNothingAndComesBack guards against sending to an upstream of an emptied
// failure domain or fetching from it, and against forgetting its requests and its cache, which
// are needed when the domain is reinstated.
func TestEmptiedUpstreamGetsNothingAndComesBack(t *testing.T) {
	a := New(Config{Self: "r"})
	a.Handle(epoch, evacuate())
	first, ok := arriveShared(a, epoch, 1).(messenger.Dispatch)
	if !ok {
		t.Fatal("got a request not sent with idle upstreams")
	}
	a.Handle(epoch, evacuate(first.Upstream))
	for id := messenger.RequestID(2); id < 6; id++ {
		d, ok := arriveShared(a, epoch, id).(messenger.Dispatch)
		if !ok || d.Upstream == first.Upstream || d.FetchFrom == first.Upstream {
			t.Errorf("got %+v, want the request at the other upstream without a fetch from %s", d, first.Upstream)
		}
	}
	u := a.upstreams[first.Upstream]
	if u.running != 1 || len(u.cache.parts) != 1 || !u.policy.Started.Equal(epoch) {
		t.Errorf("got %d running, %d cached parts, start %v, want all kept", u.running, len(u.cache.parts), u.policy.Started)
	}
	a.Handle(epoch, evacuate())
	if d, ok := arriveShared(a, epoch, 6).(messenger.Dispatch); !ok || d.Upstream != first.Upstream {
		t.Errorf("got %+v after the domain is reinstated, want the idle upstream %s with the shared part", d, first.Upstream)
	}
}

// TestEmptiedPoolRefusesAtOnce guards against requests that wait although all upstreams of their
// pool are in emptied failure domains: new ones, queued ones and one whose attempt was withdrawn.
func TestEmptiedPoolRefusesAtOnce(t *testing.T) {
	refused := func(actions []messenger.Action) bool {
		if len(actions) != 1 {
			return false
		}
		r, ok := actions[0].(messenger.Refuse)
		return ok && r.Reason == messenger.RefuseEvacuated && r.RetryAfter > 0
	}
	a := New(Config{Self: "r"})
	a.Handle(epoch, evacuate())
	running, ok := arriveShared(a, epoch, 1).(messenger.Dispatch)
	if !ok {
		t.Fatal("got a request not sent with idle upstreams")
	}
	queued := messenger.RequestID(2)
	for arriveShared(a, epoch, queued) != nil {
		queued++
	}
	if actions := a.Handle(epoch, evacuate("u0", "u1")); !refused(actions) {
		t.Errorf("got %+v for a queued request, want it refused", actions)
	}
	if actions := []messenger.Action{arriveShared(a, epoch, queued+1)}; !refused(actions) {
		t.Errorf("got %+v for a new request, want it refused", actions)
	}
	if actions := a.Handle(epoch, messenger.Finish{Request: 1, Upstream: running.Upstream, Retry: true}); !refused(actions) {
		t.Errorf("got %+v for a request whose attempt was withdrawn, want it refused", actions)
	}
}
