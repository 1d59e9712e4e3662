package admitter

import (
	"testing"
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
)

// TestRetryInARemovedPoolIsAnswered has a configuration take a pool away while a request runs
// there whose attempt then fails: it must be placed or refused, not kept to its deadline.
func TestRetryInARemovedPoolIsAnswered(t *testing.T) {
	a := New(Config{Self: "r"})
	a.Handle(epoch, messenger.PolicyChange{Policy: newPolicy(0, 3)})
	arrive := messenger.Arrive{Request: 1, Pool: simPool, Account: "clinic", Idempotent: true, Objective: time.Second, Deadline: epoch.Add(time.Minute)}
	var at messenger.UpstreamID
	for _, action := range a.Handle(epoch, arrive) {
		if d, ok := action.(messenger.Dispatch); ok {
			at = d.Upstream
		}
	}
	if at == "" {
		t.Fatal("got no upstream for a request before idle ones")
	}
	now := epoch.Add(time.Millisecond)
	a.Handle(now, messenger.PolicyChange{Policy: &messenger.Policy{}})
	answered := len(a.Handle(now, messenger.Finish{Request: 1, Upstream: at, Failed: true, Retry: true})) > 0
	for end := now.Add(5 * time.Second); !answered && now.Before(end); {
		now = now.Add(messenger.TickInterval)
		answered = len(a.Handle(now, messenger.Tick{})) > 0
	}
	if !answered {
		t.Errorf("got nothing decided for %v, want the request refused", now.Sub(epoch))
	}
}
