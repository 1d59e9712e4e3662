package admitter

import (
	"testing"
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
)

// TestResumedStreamGoesBeforeNewOnes guards against streams that are lost with their router because their
// account is at its limit or the upstreams are nearly full, while new ones begin; and against callers who
// claim to resume all that they ask for.
func TestResumedStreamGoesBeforeNewOnes(t *testing.T) {
	a := New(Config{Self: "r"})
	a.Handle(epoch, messenger.PolicyChange{Policy: newPolicy(0, 1)})
	const rate = 1000.0
	a.shares.accountOf("clinic").capped = true
	a.shares.accountOf("clinic").creditRate = rate
	a.shares.accountOf("clinic").credit = -rate / 2
	a.pools[simPool].reservedShare = 1 // all slots are kept for accounts within their share
	arrive := func(id messenger.RequestID, resumed bool) messenger.Action {
		return onlyAction(a.Handle(epoch, messenger.Arrive{
			Request: id, Pool: simPool, Account: "clinic", Idempotent: true, Objective: 500 * time.Millisecond,
			Deadline: epoch.Add(10 * time.Second), Resumed: resumed, ReceivedTokens: 300,
			Work: messenger.Work{Prompt: []messenger.PromptPart{{Chain: 1, Tokens: 6000}}, MaxOutputTokens: 400},
		}))
	}
	if got, ok := arrive(1, false).(messenger.Refuse); !ok || got.Reason != messenger.RefuseTokens {
		t.Errorf("new stream: got %+v, want a refusal for the account's share", got)
	}
	demand := a.shares.accountOf("clinic").demand
	if got, ok := arrive(2, true).(messenger.Dispatch); !ok {
		t.Errorf("resumed stream: got %+v, want a dispatch", got)
	}
	if got, want := a.shares.accountOf("clinic").demand-demand, rateIncrement(200); got > want {
		t.Errorf("resumed stream: got demand %.0f, want %.0f for the 100 tokens left", got, want)
	}
	dispatched := 1
	for id := messenger.RequestID(3); id < 1000; id++ {
		if _, ok := arrive(id, true).(messenger.Dispatch); ok {
			dispatched++
		}
		a.Handle(epoch, messenger.Finish{Request: id, Upstream: "u0"})
	}
	if got, want := float64(dispatched*200), rate*creditTime.Seconds()+400; got > want {
		t.Errorf("got cost %.0f of resumed streams at once, want %.0f at most", got, want)
	}
}
