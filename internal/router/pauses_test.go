package router

import (
	"testing"
	"time"

	"lentilwood.example/lentilwood/internal/dispatcher"
	"lentilwood.example/lentilwood/internal/follower"
	"lentilwood.example/lentilwood/internal/messenger"
)

// startTimeDecoder decodes a value of one byte N as the registration of a process that started
// at second N.
type startTimeDecoder struct{ poolDecoder }

func (startTimeDecoder) Registration(_ string, value []byte) (messenger.UpstreamPolicy, error) {
	return messenger.UpstreamPolicy{Pool: "p", Started: time.Unix(int64(value[0]), 0)}, nil
}

func (f *twoRouterFleet) isUsable(id messenger.UpstreamID) bool {
	_, ok := f.collector.Upstream(id)
	return ok
}

// TestPauseAppliesToRequestsAlreadyAssigned checks that a pause that an upstream asked for
// applies to requests already assigned to it, before the control goroutine handles the notice.
func TestPauseAppliesToRequestsAlreadyAssigned(t *testing.T) {
	f := newTwoRouterFleet(t)
	f.collector.handleNotice("u1", "", dispatcher.Notice{Pause: time.Second})
	if f.isUsable("u1") || !f.isUsable("u2") {
		t.Errorf("got usable: u1 %v, u2 %v, want only u2", f.isUsable("u1"), f.isUsable("u2"))
	}
	f.collector.handleNotice("u1", "", dispatcher.Notice{Pause: time.Millisecond})
	f.clock.Advance(999 * time.Millisecond)
	if f.isUsable("u1") {
		t.Error("a shorter pause ended a longer one")
	}
	f.clock.Advance(time.Millisecond)
	if !f.isUsable("u1") {
		t.Error("the upstream is not usable after the pause that it asked for")
	}
}

// TestPauseEndsWithItsProcess checks that a pause ends when the upstream restarts, but not
// when its registration is written again.
func TestPauseEndsWithItsProcess(t *testing.T) {
	f := newTwoRouterFleet(t)
	f.collector.follower = follower.New(startTimeDecoder{})
	f.collector.merge(follower.Batch{Table: follower.ConfigurationTable, Full: true, Version: 1, Rows: []follower.Row{{Key: "c", Version: 1}}}, sourceStore)
	f.change(follower.Row{Key: "u1", Value: []byte{1}}, false)
	f.collector.handleNotice("u1", "", dispatcher.Notice{Pause: time.Minute})
	f.change(follower.Row{Key: "u1", Value: []byte{1}}, false)
	if f.isUsable("u1") {
		t.Error("a newer row of the same process ended the pause")
	}
	f.change(follower.Row{Key: "u1", Value: []byte{2}}, false)
	if !f.isUsable("u1") {
		t.Error("the pause of the previous process applies to the next one")
	}
}

// TestPauseOfPreviousProcessIsIgnored checks that a pause in an answer is ignored if the
// upstream has been restarted at another address since.
func TestPauseOfPreviousProcessIsIgnored(t *testing.T) {
	f := newTwoRouterFleet(t)
	f.collector.handleNotice("u1", "elsewhere", dispatcher.Notice{Pause: time.Minute})
	if !f.isUsable("u1") {
		t.Error("a notice from another address pauses the upstream")
	}
}
