package limiter

import (
	"testing"
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
)

var start = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)

// newLimiter returns a Limiter with one policy for all accounts.
func newLimiter(policy messenger.AccountPolicy, routers int) *Limiter {
	l := New()
	l.SetRouterCount(routers)
	l.SetPolicy(&messenger.Policy{Account: policy})
	return l
}

// admit returns how many of n requests are admitted at one time.
func admit(l *Limiter, now time.Time, n int) (admitted int, last messenger.RefuseReason) {
	for range n {
		reason, _, ok := l.Admit(now, "a", QueueLength{Local: l.State(now, "a").Waiting})
		if ok {
			admitted++
		} else {
			last = reason
		}
	}
	return admitted, last
}

func TestLimitsAreSharedOverTheFleet(t *testing.T) {
	tests := []struct {
		name   string
		policy messenger.AccountPolicy
		want   int
		reason messenger.RefuseReason
	}{
		{"queue", messenger.AccountPolicy{QueueLength: 80}, 10, messenger.RefuseQueueFull},
		{"rate", messenger.AccountPolicy{RequestsPerSecond: 8, Burst: 40}, 5, messenger.RefuseRate},
		{"none", messenger.AccountPolicy{}, 100, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got, reason := admit(newLimiter(tt.policy, 8), start, 100)
			if got != tt.want || reason != tt.reason {
				t.Errorf("got %d admitted and %q, want %d and %q", got, reason, tt.want, tt.reason)
			}
		})
	}
}

func TestShareFollowsFleetState(t *testing.T) {
	l := newLimiter(messenger.AccountPolicy{QueueLength: 80}, 8)
	l.SetFleetState("a", FleetState{Share: 0.5, ExpiresAt: start.Add(time.Second)})
	if got, _ := admit(l, start, 100); got != 40 {
		t.Errorf("got %d admitted with half of the limit, want 40", got)
	}
	if got, _ := admit(l, start.Add(2*time.Second), 100); got != 0 {
		t.Errorf("got %d admitted after the fleet state expired, want 0", got)
	}
}

func TestFullQueueInOnePoolDoesNotAffectAnother(t *testing.T) {
	l := newLimiter(messenger.AccountPolicy{QueueLength: 5}, 1)
	admit(l, start, 10)
	if _, _, ok := l.Admit(start, "a", QueueLength{Local: 5}); ok {
		t.Error("got a sixth request admitted to a full queue, want a refusal")
	}
	if reason, _, ok := l.Admit(start, "a", QueueLength{}); !ok {
		t.Errorf("got %q in a pool with an empty queue, want the request admitted", reason)
	}
}

func TestSmallLimitCountsOtherRouters(t *testing.T) {
	l := newLimiter(messenger.AccountPolicy{Concurrency: 2}, 8)
	l.SetFleetState("a", FleetState{Share: 0.5, Running: 2, ExpiresAt: start.Add(time.Second)})
	if !l.AtConcurrencyLimit(start, "a") {
		t.Error("got a third request allowed, want none while two run at other routers")
	}
}

func TestTokensPerMinuteRefillAndAreRefunded(t *testing.T) {
	l := newLimiter(messenger.AccountPolicy{TokensPerMinute: 600}, 1)
	l.Charge(start, "a", 700)
	reason, wait, ok := l.Admit(start, "a", QueueLength{})
	if ok || reason != messenger.RefuseTokens || wait < 9*time.Second || wait > 11*time.Second {
		t.Errorf("got %q after %v, want a refusal for about 10 s", reason, wait)
	}
	l.Charge(start, "a", -200)
	if _, _, ok := l.Admit(start, "a", QueueLength{}); !ok {
		t.Error("got a refusal after tokens were refunded, want none")
	}
}

func TestTighterPolicyAppliesImmediately(t *testing.T) {
	l := newLimiter(messenger.AccountPolicy{}, 1)
	admit(l, start, 10)
	l.SetPolicy(&messenger.Policy{Account: messenger.AccountPolicy{QueueLength: 5}})
	if got, reason := admit(l, start, 1); got != 0 || reason != messenger.RefuseQueueFull {
		t.Errorf("got %d admitted and %q, want the new limit applied", got, reason)
	}
}

func TestIdleAccountIsForgotten(t *testing.T) {
	l := newLimiter(messenger.AccountPolicy{}, 1)
	admit(l, start, 1)
	l.Forget("a")
	l.DropWaiting("a")
	l.Forget("a")
	if got := len(l.accounts); got != 0 {
		t.Errorf("got %d accounts, want none", got)
	}
}
