package registrar

import (
	"errors"
	"testing"
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
	"lentilwood.example/lentilwood/internal/storer"
)

var start = time.Date(2026, 5, 4, 8, 0, 0, 0, time.UTC)

// newRegistrar returns a registrar "a" that has heard of the members named.
func newRegistrar(names ...messenger.RouterID) *Registrar {
	r := New(Config{Self: Member{Router: "a", Address: "a", Incarnation: 1}, Seed: 1})
	for _, name := range names {
		r.Handle(start, Receive{Heartbeat{From: Member{Router: name, Address: string(name), Incarnation: 1}}})
	}
	return r
}

// run ticks for a time and returns what was sent.
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

func TestNewer(t *testing.T) {
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
		{"graver", Member{Incarnation: 2, Refutation: 1, Status: Dead}, true},
		{"lighter", Member{Incarnation: 2, Refutation: 1, Status: Alive}, false},
		{"leaving", Member{Incarnation: 2, Refutation: 1, Status: Suspect, Leaving: true}, true},
		{"left, from before the refutation", Member{Incarnation: 2, Refutation: 0, Status: Left}, true},
	}
	for _, tt := range tests {
		if got := tt.n.newer(base); got != tt.want {
			t.Errorf("%s: got %v, want %v", tt.name, got, tt.want)
		}
	}
	if left := (Member{Incarnation: 2, Status: Left}); (Member{Incarnation: 2, Refutation: 5}).newer(left) {
		t.Error("a router that left is back without a new start")
	}
}

// TestSilenceWithoutOthersWordIsLocal cuts a router off: it must not say of
// anybody that they are suspect.
func TestSilenceWithoutOthersWordIsLocal(t *testing.T) {
	r := newRegistrar("b", "c", "d")
	for _, h := range run(r, start, time.Minute) {
		for _, n := range h.Updates {
			if n.Status != Alive {
				t.Fatalf("says that %s is %v, though nobody else reported silence", n.Router, n.Status)
			}
		}
	}
}

func TestSilenceConfirmedByAnotherEndsInDeath(t *testing.T) {
	r := newRegistrar("b", "c", "d")
	at := start
	answer := func() {
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
		answer()
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
	accused := Member{Router: "a", Address: "a", Incarnation: 1, Status: Dead}
	actions := r.Handle(start.Add(time.Second), Receive{Heartbeat{From: Member{Router: "b", Address: "b", Incarnation: 1}, Updates: []Member{accused}}})
	if len(actions) == 0 {
		t.Fatal("the refutation is not sent at once")
	}
	if got := actions[0].(Send).Heartbeat.From; !got.newer(accused) || got.Status != Alive {
		t.Errorf("got %+v, want a statement that replaces %+v", got, accused)
	}
}

// TestPauseGivesSuspectsTheirTime pauses the process while it suspects a
// router, whose refutation waits in its socket.
func TestPauseGivesSuspectsTheirTime(t *testing.T) {
	r := newRegistrar("b", "c")
	suspect := Member{Router: "c", Address: "c", Incarnation: 1, Status: Suspect}
	r.Handle(start.Add(time.Second), Receive{Heartbeat{From: Member{Router: "b", Address: "b", Incarnation: 1}, Updates: []Member{suspect}}})
	r.Handle(start.Add(time.Minute), Tick{})
	if got := r.members["c"].Status; got != Suspect {
		t.Errorf("after the pause: got status %v, want it still suspect", got)
	}
	run(r, start.Add(time.Minute), suspicionTime+time.Second)
	if got := r.members["c"].Status; got != Dead {
		t.Errorf("later: got status %v, want dead", got)
	}
}

// TestRowsConfirmWhoIsGone lets a row lapse.
func TestRowsConfirmWhoIsGone(t *testing.T) {
	r := newRegistrar()
	rows := []storer.Row{{Table: Table, Key: "b", Version: 7, Value: []byte(`{"address":"b","incarnation":1}`)}}
	r.Handle(start, RowsRead{Rows: rows})
	if _, ok := r.members["b"]; !ok {
		t.Fatal("the row did not make b known")
	}
	actions := r.Handle(start.Add(lapseTime), RowsRead{})
	if len(actions) == 0 {
		t.Fatal("the lapsed row is not removed")
	}
	w, ok := actions[0].(WriteRow)
	if !ok || !w.Op.Delete || w.Op.IfVersion != 7 || w.Op.Always {
		t.Errorf("got %+v, want a removal conditional on version 7", actions[0])
	}
	r.set(start, r.members["b"], Dead)
	r.Handle(start.Add(lapseTime+time.Second), RowsRead{Rows: []storer.Row{{Table: Table, Key: "b", Version: 8, Deleted: true}}})
	run(r, start.Add(lapseTime+time.Second), forgetTime)
	if _, ok := r.members["b"]; ok {
		t.Error("b is still counted")
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
