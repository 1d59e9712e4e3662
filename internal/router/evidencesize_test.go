package router

import (
	"testing"
	"time"

	"github.com/ugorji/go/codec"

	"lentilwood.example/lentilwood/internal/assigner"
	"lentilwood.example/lentilwood/internal/messenger"
	"lentilwood.example/lentilwood/internal/quarantiner"
)

// oldMember is a Member and oldEnvelope the beginning of a hostedEnvelope, as routers of earlier releases
// know them.
type oldMember struct {
	_           struct{} `codec:",toarray"`
	Name        string
	Address     string
	Domain      string
	Incarnation uint64
	Weight      int
}

type oldEnvelope struct {
	_        struct{} `codec:",toarray"`
	From     oldMember
	Kind     messageKind
	Sequence uint64
}

// newEvidence returns the evidence of a number of crashes, each with one request that had begun.
func newEvidence(crashes int) quarantiner.Message {
	var table quarantiner.Table
	now := time.Unix(1_800_000_000, 0)
	for i := range crashes {
		id := messenger.UpstreamID(rune('a' + i))
		table.Observe(now, quarantiner.Break{
			Upstream: id, Started: now.Add(-time.Minute), Account: "clinic", Begun: true,
			Parts: []messenger.ContentID{1 << 62, 1<<62 + 1, 1<<62 + 2},
		})
		table.Observe(now, quarantiner.Refused{Upstream: id, Started: now.Add(-time.Minute)})
	}
	return table.Message(now)
}

// peerHandle returns the encoding that routers use.
func peerHandle() *codec.MsgpackHandle {
	h := &codec.MsgpackHandle{WriteExt: true}
	h.StructToArray = true
	return h
}

func encode(t *testing.T, v any) []byte {
	t.Helper()
	var data []byte
	if err := codec.NewEncoderBytes(&data, peerHandle()).Encode(v); err != nil {
		t.Fatal(err)
	}
	return data
}

// TestEvidenceIsSmall checks what the evidence of five crashes adds to a message, and that it
// arrives as it was sent.
func TestEvidenceIsSmall(t *testing.T) {
	const maxBytes = 600
	m := newEvidence(5)
	with := encode(t, hostedEnvelope{EvidenceChecksum: 1 << 63, Evidence: &m})
	without := encode(t, hostedEnvelope{})
	t.Logf("%d bytes for five crashes with three suspects each", len(with)-len(without))
	if got := len(with) - len(without); got > maxBytes {
		t.Errorf("got %d bytes, want at most %d", got, maxBytes)
	}
	var e hostedEnvelope
	if err := codec.NewDecoderBytes(with, peerHandle()).Decode(&e); err != nil {
		t.Fatal(err)
	}
	if e.Evidence == nil || len(e.Evidence.Crashes) != 5 || len(e.Evidence.Crashes[0].Suspects) != 3 {
		t.Errorf("got %+v back", e.Evidence)
	}
}

// TestOlderRouterReadsNewMessages checks that a router that doesn't know the evidence, or plans for
// streams, still reads the rest of a message, and that it is told apart by its own messages.
func TestOlderRouterReadsNewMessages(t *testing.T) {
	m := newEvidence(2)
	var history assigner.History
	history, _ = history.Next(1, assigner.Demand{Capacity: map[string]int{"v1": 1, "v2": 1}})
	data := encode(t, hostedEnvelope{
		From: Member{Name: "r1", AssignsVersions: true}, Kind: kindReport, Sequence: 7, Evidence: &m,
		PlanEpochs: 1, Plans: map[messenger.PoolID]assigner.History{"p": history},
	})
	var old oldEnvelope
	if err := codec.NewDecoderBytes(data, peerHandle()).Decode(&old); err != nil {
		t.Fatal(err)
	}
	if old.From.Name != "r1" || old.Kind != kindReport || old.Sequence != 7 {
		t.Errorf("got %+v", old)
	}
	var back, fromOld hostedEnvelope
	if err := codec.NewDecoderBytes(data, peerHandle()).Decode(&back); err != nil {
		t.Fatal(err)
	}
	if got := back.Plans["p"]; !back.From.AssignsVersions || got.Epoch() != 1 || len(got.Plans[0].Slots) != len(history.Plans[0].Slots) {
		t.Errorf("got %+v back, want the plans", back)
	}
	if err := codec.NewDecoderBytes(encode(t, old), peerHandle()).Decode(&fromOld); err != nil {
		t.Fatal(err)
	}
	if fromOld.From.Name != "r1" || fromOld.From.AssignsVersions || fromOld.Kind != kindReport || fromOld.Sequence != 7 {
		t.Errorf("got %+v from an older router", fromOld)
	}
}
