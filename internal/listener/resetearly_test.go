package listener

import (
	"testing"

	"github.com/lesismal/nbio"

	"lentilwood.example/lentilwood/internal/governor"
	"lentilwood.example/lentilwood/internal/timekeeper"
)

// TestConnResetBeforeItIsAccepted guards against a process that ends because a client has reset its
// connection before it was accepted, which then has no address.
func TestConnResetBeforeItIsAccepted(t *testing.T) {
	l := &Listener{cfg: Config{Clock: timekeeper.System{}, Memory: governor.New(governor.Config{})}}
	sc := newServerConn(l, &nbio.Conn{}, nil)
	if got, want := remoteText(sc.nbc), ""; got != want {
		t.Errorf("got address %q, want %q", got, want)
	}
}
