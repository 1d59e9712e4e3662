package dispatcher

import (
	"testing"
	"time"
)

// TestLingerLeavesReusedConnectionAlone guards against a read deadline on a connection that was
// already given back: it would break the next response there.
func TestLingerLeavesReusedConnectionAlone(t *testing.T) {
	detached := make(chan struct{})
	x := &exchange{}
	x.control.linger = func() {
		go func() {
			x.detach()
			close(detached)
		}()
		select {
		case <-detached:
			t.Error("the connection was detached before its deadline was set")
		case <-time.After(50 * time.Millisecond):
		}
	}
	x.linger()
	<-detached
}

// TestLingerEndsPause guards against a connection that is never read to its end nor closed: the
// response was complete for the caller while reading was paused.
func TestLingerEndsPause(t *testing.T) {
	resumed := 0
	x := &exchange{updated: make(chan struct{}, 1), maxBuffered: 1, control: control{resume: func() { resumed++ }}}
	if x.addBody([]byte("rest")) {
		t.Fatal("reading did not pause")
	}
	x.linger()
	if resumed != 1 {
		t.Errorf("reading resumed %d times, want once", resumed)
	}
}
