package router

import (
	"testing"
	"time"

	"lentilwood.example/lentilwood/internal/dispatcher"
	"lentilwood.example/lentilwood/internal/follower"
	"lentilwood.example/lentilwood/internal/messenger"
)

// bornDecoder reads registrations of a process that started at second N.
type bornDecoder struct{ poolDecoder }

func (bornDecoder) Registration(_ string, value []byte) (messenger.UpstreamPolicy, error) {
	return messenger.UpstreamPolicy{Pool: "p", Started: time.Unix(int64(value[0]), 0)}, nil
}

func (n *newsFleet) usable(id messenger.UpstreamID) bool {
	_, ok := n.teller.Upstream(id)
	return ok
}

// TestWhatWasDecidedBeforeAPauseHeedsIt has an upstream ask for a pause while the decision
// about other requests has been made and the control goroutine is busy.
func TestWhatWasDecidedBeforeAPauseHeedsIt(t *testing.T) {
	n := newNewsFleet(t)
	n.teller.handleNotice("u1", "", dispatcher.Notice{Pause: time.Second})
	if n.usable("u1") || !n.usable("u2") {
		t.Errorf("got usable: u1 %v, u2 %v, want u2 alone", n.usable("u1"), n.usable("u2"))
	}
	n.teller.handleNotice("u1", "", dispatcher.Notice{Pause: time.Millisecond})
	n.clock.Advance(999 * time.Millisecond)
	if n.usable("u1") {
		t.Error("a shorter pause ended a longer one")
	}
	n.clock.Advance(time.Millisecond)
	if !n.usable("u1") {
		t.Error("the upstream stays out of use after the pause that it asked for")
	}
}

// TestPauseEndsWithItsProcess has an upstream start again in its pause.
func TestPauseEndsWithItsProcess(t *testing.T) {
	n := newNewsFleet(t)
	n.teller.follower = follower.New(bornDecoder{})
	n.teller.merge(follower.Batch{Table: follower.ConfigurationTable, Whole: true, Version: 1, Rows: []follower.Row{{Key: "c", Version: 1}}}, sourceStore)
	n.change(follower.Row{Key: "u1", Value: []byte{1}}, false)
	n.teller.handleNotice("u1", "", dispatcher.Notice{Pause: time.Minute})
	n.change(follower.Row{Key: "u1", Value: []byte{1}}, false)
	if n.usable("u1") {
		t.Error("a newer row of the same process ended the pause")
	}
	n.change(follower.Row{Key: "u1", Value: []byte{2}}, false)
	if !n.usable("u1") {
		t.Error("the pause of the process before holds for the next one")
	}
}

// TestPauseOfTheProcessBeforeIsNone has an answer that asks for a pause be taken in after its
// upstream was started again elsewhere.
func TestPauseOfTheProcessBeforeIsNone(t *testing.T) {
	n := newNewsFleet(t)
	n.teller.handleNotice("u1", "elsewhere", dispatcher.Notice{Pause: time.Minute})
	if !n.usable("u1") {
		t.Error("what was said at another address pauses the upstream")
	}
}
