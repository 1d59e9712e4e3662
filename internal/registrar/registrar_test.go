package registrar

import (
	"errors"
	"testing"
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
	"lentilwood.example/lentilwood/internal/storer"
)

var start = time.Date(2026, 5, 4, 8, 0, 0, 0, time.UTC)

// newRegistrar returns a registrar "a" that has received a heartbeat from each named member.
func newRegistrar(names ...messenger.RouterID) *Registrar {
	r := New(Config{Self: Member{Router: "a", Address: "a", Incarnation: 1}, Seed: 1})
	for _, name := range names {
		r.Handle(start, Receive{Heartbeat{From: Member{Router: name, Address: string(name), Incarnation: 1}}})
	}
	return r
}

// run sends ticks for a duration and returns the heartbeats that were sent.
func run(r *Registrar, from time.Time, d time.Duration) []Heartbeat {
	var sent []Heartbeat
	for t := from; t.Before(from.Add(d)); t = t.Add(TickInterval) {
		for _, a := range r.Handle(t, Tick{}) {
			if s, ok := a.(Send); ok {
				sent = append(sent, s.Heartbeat)
			}
		}
	}
	return sent
}

func TestSupersedes(t *testing.T) {
	base := Member{Incarnation: 2, Refutation: 1, Status: Suspect}
	tests := []struct {
		name string
		n    Member
		want bool
	}{
		{"the same", base, false},
		{"an earlier start, dead", Member{Incarnation: 1, Refutation: 9, Status: Dead}, false},
		{"a later start", Member{Incarnation: 3}, true},
		{"a refutation", Member{Incarnation: 2, Refutation: 2}, true},
		{"an old refutation", Member{Incarnation: 2, Refutation: 0}, false},
		{"a worse status", Member{Incarnation: 2, Refutation: 1, Status: Dead}, true},
		{"a better status", Member{Incarnation: 2, Refutation: 1, Status: Alive}, false},
		{"leaving", Member{Incarnation: 2, Refutation: 1, Status: Suspect, Leaving: true}, true},
		{"left, from before the refutation", Member{Incarnation: 2, Refutation: 0, Status: Left}, true},
	}
	for _, tt := range tests {
		if got := tt.n.supersedes(base); got != tt.want {
			t.Errorf("%s: got %v, want %v", tt.name, got, tt.want)
		}
	}
	if left := (Member{Incarnation: 2, Status: Left}); (Member{Incarnation: 2, Refutation: 5}).supersedes(left) {
		t.Error("a router that left is back without a new incarnation")
	}
}

// TestUnconfirmedSuspicionStaysLocal guards against a router that is itself cut off announcing
// other routers as suspect.
func TestUnconfirmedSuspicionStaysLocal(t *testing.T) {
	r := newRegistrar("b", "c", "d")
	for _, h := range run(r, start, time.Minute) {
		for _, n := range h.Updates {
			if n.Status != Alive {
				t.Fatalf("announced %s as %v, though no other router reported it unresponsive", n.Router, n.Status)
			}
		}
	}
}

func TestUnresponsiveMemberConfirmedByPeerIsDead(t *testing.T) {
	r := newRegistrar("b", "c", "d")
	at := start
	tickAndReply := func() {
		at = at.Add(TickInterval)
		for _, a := range r.Handle(at, Tick{}) {
			s, ok := a.(Send)
			if !ok || s.Address == "d" {
				continue
			}
			h := Heartbeat{From: Member{Router: messenger.RouterID(s.Address), Address: s.Address, Incarnation: 1}}
			h.Unresponsive = s.Heartbeat.ProbeTarget
			r.Handle(at, Receive{h})
		}
	}
	for range 100 {
		tickAndReply()
	}
	if got := r.members["d"].Status; got != Dead {
		t.Errorf("d: got status %v, want dead", got)
	}
	if got := r.members["b"].Status; got != Alive {
		t.Errorf("b: got status %v, want alive", got)
	}
}

func TestRefutation(t *testing.T) {
	r := newRegistrar("b")
	suspected := Member{Router: "a", Address: "a", Incarnation: 1, Status: Dead}
	actions := r.Handle(start.Add(time.Second), Receive{Heartbeat{From: Member{Router: "b", Address: "b", Incarnation: 1}, Updates: []Member{suspected}}})
	if len(actions) == 0 {
		t.Fatal("the refutation is not sent immediately")
	}
	if got := actions[0].(Send).Heartbeat.From; !got.supersedes(suspected) || got.Status != Alive {
		t.Errorf("got %+v, want an update that supersedes %+v", got, suspected)
	}
}

// TestPauseExtendsSuspicion guards against declaring a suspect dead right after this process
// was paused, while the suspect's refutation still waits in the socket.
func TestPauseExtendsSuspicion(t *testing.T) {
	r := newRegistrar("b", "c")
	suspect := Member{Router: "c", Address: "c", Incarnation: 1, Status: Suspect}
	r.Handle(start.Add(time.Second), Receive{Heartbeat{From: Member{Router: "b", Address: "b", Incarnation: 1}, Updates: []Member{suspect}}})
	r.Handle(start.Add(time.Minute), Tick{})
	if got := r.members["c"].Status; got != Suspect {
		t.Errorf("after the pause: got status %v, want suspect", got)
	}
	run(r, start.Add(time.Minute), suspicionTimeout+time.Second)
	if got := r.members["c"].Status; got != Dead {
		t.Errorf("later: got status %v, want dead", got)
	}
}

// TestExpiredRowIsDeletedAndMemberRemoved guards against keeping an expired row, or a dead
// router whose row was deleted, forever.
func TestExpiredRowIsDeletedAndMemberRemoved(t *testing.T) {
	r := newRegistrar()
	rows := []storer.Row{{Table: Table, Key: "b", Version: 7, Value: []byte(`{"address":"b","incarnation":1}`)}}
	r.Handle(start, RowsRead{Rows: rows})
	if _, ok := r.members["b"]; !ok {
		t.Fatal("b is not known after its row was read")
	}
	actions := r.Handle(start.Add(rowTTL), RowsRead{})
	if len(actions) == 0 {
		t.Fatal("the expired row is not removed")
	}
	w, ok := actions[0].(WriteRow)
	if !ok || !w.Op.Delete || w.Op.IfVersion != 7 || w.Op.Always {
		t.Errorf("got %+v, want a deletion conditional on version 7", actions[0])
	}
	r.setStatus(start, r.members["b"], Dead)
	r.Handle(start.Add(rowTTL+time.Second), RowsRead{Rows: []storer.Row{{Table: Table, Key: "b", Version: 8, Deleted: true}}})
	run(r, start.Add(rowTTL+time.Second), retentionTime)
	if _, ok := r.members["b"]; ok {
		t.Error("b is still a member")
	}
}

func TestRowIsRenewedAndRetried(t *testing.T) {
	r := newRegistrar()
	writes := func(from time.Time, d time.Duration, err error) int {
		n := 0
		for at := from; at.Before(from.Add(d)); at = at.Add(TickInterval) {
			for _, a := range r.Handle(at, Tick{}) {
				if w, ok := a.(WriteRow); ok {
					n++
					r.Handle(at, RowWritten{Op: w.Op, Err: err})
				}
			}
		}
		return n
	}
	if got := writes(start, time.Minute, errors.New("down")); got < 6 || got > 24 {
		t.Errorf("writes in a minute of outage: got %d, want about 12", got)
	}
	if got := writes(start.Add(time.Minute), time.Hour, nil); got < 8 || got > 25 {
		t.Errorf("writes in an hour: got %d, want about 12", got)
	}
}
