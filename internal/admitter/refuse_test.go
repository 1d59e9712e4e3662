package admitter

import (
	"testing"
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
)

// TestRefusalHasGrounds fills the only engine: the refusal must name the engine, the
// forecast, and the age of the reports that the forecast was based on.
func TestRefusalHasGrounds(t *testing.T) {
	a := New(Config{Self: "r", Domain: "a"})
	a.Handle(epoch, messenger.PolicyChange{Policy: &messenger.Policy{
		Pools:     map[messenger.PoolID]messenger.PoolPolicy{simPool: {Engine: &messenger.EnginePolicy{MemoryTokens: 1000}}},
		Upstreams: map[messenger.UpstreamID]messenger.UpstreamPolicy{"u": {Pool: simPool, Domain: "a", Window: 1}},
	}})
	a.Handle(epoch, messenger.LoadReport{Upstream: "u", Running: 1, Waiting: 30, Slots: 1, Slowdown: 1})
	a.Handle(epoch, messenger.PeerLoad{From: "other"})
	now := epoch.Add(20 * time.Millisecond)
	a.Handle(now, messenger.Arrive{
		Request: 1, Pool: simPool, Account: "clinic", Objective: simObjective,
		Work: messenger.Work{Prompt: []messenger.PromptPart{{Chain: 1, Tokens: 100}}, MaxOutputTokens: 100},
	})
	var refusal messenger.Refuse
	for refusal.Request == 0 && now.Sub(epoch) < simObjective {
		now = now.Add(messenger.TickInterval)
		for _, action := range a.Handle(now, messenger.Tick{}) {
			refusal, _ = action.(messenger.Refuse)
		}
	}
	g := refusal.Grounds
	if g == nil || g.Upstream != "u" {
		t.Fatalf("got grounds %+v, want those of the only engine", g)
	}
	if g.ElapsedWait+g.QueueWait <= g.MaxQueueWait || g.OwnLatency <= 0 {
		t.Errorf("got %v waited, %v ahead, a limit of %v and %v own time, want the limit exceeded", g.ElapsedWait, g.QueueWait, g.MaxQueueWait, g.OwnLatency)
	}
	if got, want := g.ReportAge, now.Sub(epoch); got != want || g.PeerAge != want {
		t.Errorf("got a report age of %v and a peer age of %v, want %v for both", got, g.PeerAge, want)
	}
	if g.FleetDemand <= 0 || g.FleetShare <= 0 {
		t.Errorf("got a demand of %v and a share of %v, want both positive", g.FleetDemand, g.FleetShare)
	}
	if g.LocalServed != 0 || g.LocalShare <= 0 {
		t.Errorf("got %v served here of a share of %v, want 0 of a positive share", g.LocalServed, g.LocalShare)
	}
	if g.Correction != 1 || g.SlotsReserved != 0 {
		t.Errorf("got a correction of %v and %v of the slots reserved, want 1 and 0", g.Correction, g.SlotsReserved)
	}
}

// TestRefusalWithoutUpstreamHasNoGrounds offers a request to an unknown pool.
func TestRefusalWithoutUpstreamHasNoGrounds(t *testing.T) {
	a := New(Config{Self: "r"})
	for _, action := range a.Handle(epoch, messenger.Arrive{Request: 1, Pool: simPool}) {
		if refusal, ok := action.(messenger.Refuse); !ok || refusal.Grounds != nil {
			t.Errorf("got %+v, want a refusal without grounds", action)
		}
	}
}
