package router

import (
	"testing"

	"github.com/ugorji/go/codec"

	"lentilwood.example/lentilwood/internal/messenger"
)

// olderUpstreamLoad is UpstreamLoad as routers without Pace know it.
type olderUpstreamLoad struct {
	_                     struct{} `codec:",toarray"`
	Upstream              messenger.NameHash
	Running, UnreadTokens uint32
	Parts                 []messenger.PartID
}

// TestLoadsOfOtherVersionsAreRead guards against a change of the message format that routers
// of the version before, or this one, can't read while a fleet is updated.
func TestLoadsOfOtherVersionsAreRead(t *testing.T) {
	handle := &codec.MsgpackHandle{WriteExt: true}
	handle.StructToArray = true
	transfer := func(from, to any) {
		var b []byte
		if err := codec.NewEncoderBytes(&b, handle).Encode(from); err != nil {
			t.Fatal(err)
		}
		if err := codec.NewDecoderBytes(b, handle).Decode(to); err != nil {
			t.Fatal(err)
		}
	}
	var older []olderUpstreamLoad
	transfer([]messenger.UpstreamLoad{{Upstream: 3, Running: 2, Pace: &messenger.Pace{Events: 4}}, {Upstream: 5, UnreadTokens: 7}}, &older)
	if len(older) != 2 || older[0].Running != 2 || older[1].Upstream != 5 || older[1].UnreadTokens != 7 {
		t.Errorf("older router: got %+v", older)
	}
	var newer []messenger.UpstreamLoad
	transfer([]olderUpstreamLoad{{Upstream: 3, Running: 2}, {Upstream: 5, UnreadTokens: 7}}, &newer)
	if len(newer) != 2 || newer[0].Running != 2 || newer[1].UnreadTokens != 7 || newer[0].Pace != nil {
		t.Errorf("newer router: got %+v", newer)
	}
}
