package admitter

import (
	"fmt"
	"testing"
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
)

// newFloodedAdmitter returns an Admitter to which one account sends far more than its
// share, while other routers refuse requests for lack of slots.
func newFloodedAdmitter(t *testing.T) (*Admitter, time.Time) {
	t.Helper()
	a := New(Config{Self: "r"})
	policy := &messenger.Policy{
		Throughput: 1e6,
		Pools:      map[messenger.PoolID]messenger.PoolPolicy{simPool: {Engine: &messenger.EnginePolicy{MemoryTokens: 600_000}}},
		Upstreams:  make(map[messenger.UpstreamID]messenger.UpstreamPolicy),
	}
	for i := range 8 {
		policy.Upstreams[messenger.UpstreamID(fmt.Sprint("u", i))] = messenger.UpstreamPolicy{Pool: simPool, Window: 24}
	}
	now := epoch
	a.Handle(now, messenger.PolicyChange{Policy: policy})
	for range 100 {
		now = now.Add(messenger.TickInterval)
		a.Handle(now, messenger.PeerLoad{
			From: "p", ReservedShare: maxReserve,
			Accounts: []messenger.AccountDemand{{Account: messenger.HashName("other"), Rate: 1e6, Served: 8e5}},
		})
		a.Handle(now, floodRequest(now, messenger.RequestID(now.UnixNano())))
		a.Handle(now, messenger.Tick{})
	}
	return a, now
}

// floodRequest returns one of a hundred requests per second that cost three times the
// account's share.
func floodRequest(now time.Time, id messenger.RequestID) messenger.Arrive {
	return messenger.Arrive{
		Request: id, Pool: simPool, Account: "flood", Objective: 400 * time.Millisecond, Deadline: now.Add(10 * time.Second),
		Work: messenger.Work{Prompt: []messenger.PromptPart{{Chain: uint64(id), Tokens: 15000}}, MaxOutputTokens: 100},
	}
}

// TestFloodOverShareIsRefusedImmediately offers a hundred requests at once. Requests that
// the account's credit cannot cover within their queueing time will be refused in any case.
// They must be refused immediately and not be evaluated again with every tick.
func TestFloodOverShareIsRefusedImmediately(t *testing.T) {
	a, now := newFloodedAdmitter(t)
	const burst = 100
	refused := 0
	for i := range burst {
		for _, action := range a.Handle(now, floodRequest(now, messenger.RequestID(i+1))) {
			if r, ok := action.(messenger.Refuse); ok && r.Reason == messenger.RefuseTokens {
				refused++
			}
		}
	}
	if refused < burst*9/10 {
		t.Errorf("got %d of %d requests over the share refused immediately, want at least nine tenths", refused, burst)
	}
}
