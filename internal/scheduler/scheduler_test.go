package scheduler

import (
	"testing"
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
)

var epoch = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)

// testPolicy returns a policy with a pool "p" of n upstreams, named "ua", "ub" and so on.
func testPolicy(n, window int) *messenger.Policy {
	policy := &messenger.Policy{
		Version:   1,
		Accounts:  map[messenger.AccountID]messenger.AccountPolicy{},
		Classes:   map[messenger.ClassID]messenger.ClassPolicy{"short": {ExpectedTokens: 100}},
		Pools:     map[messenger.PoolID]messenger.PoolPolicy{"p": {}},
		Upstreams: map[messenger.UpstreamID]messenger.UpstreamPolicy{},
	}
	for i := range n {
		id := messenger.UpstreamID("u" + string(rune('a'+i)))
		policy.Upstreams[id] = messenger.UpstreamPolicy{Pool: "p", Window: window, Engine: true}
	}
	return policy
}

// countDispatches counts the Dispatch actions among actions.
func countDispatches(actions []messenger.Action) int {
	n := 0
	for _, a := range actions {
		if _, ok := a.(messenger.Dispatch); ok {
			n++
		}
	}
	return n
}

func TestLoneRouterUsesWholeWindow(t *testing.T) {
	s := New(Config{Self: "r1"})
	s.Handle(epoch, messenger.PolicyChange{Policy: testPolicy(1, 3)})
	got := 0
	for i := range 5 {
		got += countDispatches(s.Handle(epoch, messenger.Arrive{Request: messenger.RequestID(i + 1), Account: "a", Class: "short", Pool: "p"}))
	}
	if got != 3 {
		t.Fatalf("got %d dispatches, want the window of 3", got)
	}
	got = countDispatches(s.Handle(epoch, messenger.Finish{Request: 1, Upstream: "ua", Tokens: 10}))
	if got != 1 {
		t.Errorf("got %d dispatches after a finish, want 1", got)
	}
}

func TestUnknownPoolIsRefused(t *testing.T) {
	s := New(Config{Self: "r1"})
	actions := s.Handle(epoch, messenger.Arrive{Request: 1, Account: "a", Pool: "p"})
	if len(actions) != 1 {
		t.Fatalf("got %d actions, want 1", len(actions))
	}
	got, ok := actions[0].(messenger.Refuse)
	if !ok || got.Reason != messenger.RefuseUnknownPool || got.RetryAfter <= 0 {
		t.Errorf("got %+v, want a refusal for an unknown pool with a RetryAfter", actions[0])
	}
}

func TestStaticSharesSumUpToTheWindow(t *testing.T) {
	routers := []messenger.RouterID{"r1", "r2", "r3", "r4", "r5"}
	for window := range 23 {
		sum := 0
		for _, r := range routers {
			sum += staticShare("u", window, r, routers)
		}
		if sum != window {
			t.Errorf("window %d: got shares of %d in total", window, sum)
		}
	}
}
