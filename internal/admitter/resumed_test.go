package admitter

import (
	"math"
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
	const fairShare = 10_000.0 // cost per second, all of it demanded here
	clinic := a.shares.accountOf("clinic")
	clinic.demand, clinic.fleetDemand = 2*fairShare, 2*fairShare
	clinic.refill(fairShare, shareInterval)
	clinic.credit = -fairShare / 2
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
	demand := clinic.demand
	if got, ok := arrive(2, true).(messenger.Dispatch); !ok {
		t.Errorf("resumed stream: got %+v, want a dispatch", got)
	}
	if got, want := math.Round(clinic.demand-demand), math.Round(rateIncrement(200)); got > want {
		t.Errorf("resumed stream: got demand %.0f, want %.0f for the 100 tokens left", got, want)
	}
	dispatched := 1
	for id := messenger.RequestID(3); id < 1000; id++ {
		if _, ok := arrive(id, true).(messenger.Dispatch); ok {
			dispatched++
		}
		a.Handle(epoch, messenger.Finish{Request: id, Upstream: "u0"})
	}
	const costWithPrompt = 6000 + 200
	if got, want := float64(dispatched*costWithPrompt), fairShare*resumeCreditTime.Seconds()+costWithPrompt; got > want {
		t.Errorf("got work of %.0f for resumed streams at once, want %.0f at most", got, want)
	}
}
