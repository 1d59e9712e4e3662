package admitter

import (
	"testing"
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
)

// TestRetryInARemovedPoolIsAnswered removes a pool while it runs a request whose attempt
// then fails: the request must be sent or refused, and not be kept until its deadline.
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
		t.Fatal("got a request not sent with idle upstreams")
	}
	now := epoch.Add(time.Millisecond)
	a.Handle(now, messenger.PolicyChange{Policy: &messenger.Policy{}})
	answered := len(a.Handle(now, messenger.Finish{Request: 1, Upstream: at, Failed: true, Retry: true})) > 0
	for end := now.Add(5 * time.Second); !answered && now.Before(end); {
		now = now.Add(messenger.TickInterval)
		answered = len(a.Handle(now, messenger.Tick{})) > 0
	}
	if !answered {
		t.Errorf("got no action within %v, want the request refused", now.Sub(epoch))
	}
}
