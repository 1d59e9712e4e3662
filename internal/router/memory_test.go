package router

import (
	"testing"

	"lentilwood.example/lentilwood/internal/loader"
)

// TestSqueezeHasHysteresis guards against a router that refuses and admits large bodies in turn
// while its resident memory stays about the same.
func TestSqueezeHasHysteresis(t *testing.T) {
	for _, c := range []struct {
		before   bool
		resident int64
		want     bool
	}{{false, 85, false}, {false, 90, true}, {true, 85, true}, {true, 79, false}} {
		if got := isSqueezed(c.before, c.resident<<20, 100<<20); got != c.want {
			t.Errorf("before %v, %d of 100 MB: got %v, want %v", c.before, c.resident, got, c.want)
		}
	}
}

// TestAccountHasRoomForTheSheets guards against an account that clients within the specified
// limits reach on the smallest VM: 500 requests at a time with bodies of 72 KB.
func TestAccountHasRoomForTheSheets(t *testing.T) {
	g := newGovernor(loader.Router{Memory: 134})
	if want := int64(500 * 72 << 10); g.Config().TotalBytes < want {
		t.Errorf("got %d bytes in total, want at least %d", g.Config().TotalBytes, want)
	}
	if want := int64(2 * 4 << 20); g.Config().ConnBytes < want || g.Config().ClientBytes < want {
		t.Errorf("got %+v, want room for a body of 4 MB while its buffer grows", g.Config())
	}
}
