package tracker

import (
	"errors"
	"testing"

	"lentilwood.example/lentilwood/internal/messenger"
)

// maxEvents is how many events in a row are explored.
const maxEvents = 14

// maxAttempts bounds the attempts of one exploration.
const maxAttempts = 4

var allEvents = []Event{Claim, Open, FirstByte, Unsent, Fail, Answer, Decline, Deliver, Break, Complete, Refuse}

// history is what really happened to a request, counted apart from the
// Tracker: an upstream runs every attempt of which a byte left.
type history struct {
	opened, sent, ended int
	answers, declines   int
	completes, refusals int
	delivered           bool
}

func (h history) apply(e Event) history {
	switch e {
	case Open:
		h.opened++
	case FirstByte:
		h.sent++
	case Unsent, Fail:
		h.ended++
	case Answer:
		h.answers++
	case Decline:
		h.declines++
	case Deliver:
		h.delivered = true
	case Complete:
		h.completes++
		h.ended++
	case Refuse:
		h.refusals++
	}
	return h
}

// node is one point of the exploration.
type node struct {
	t Tracker
	h history
}

// check returns what is wrong at a point.
func (n node) check() string {
	run := n.t.RunState()
	switch {
	case !n.t.idempotent && n.h.sent > 1:
		return "work that is not idempotent left twice"
	case run == messenger.NotRun && n.h.sent > 0:
		return "said not-run after a byte had left"
	case run == messenger.Run && n.h.answers == 0:
		return "said run without an answer that proves it"
	case run == messenger.Unknown && n.h.sent == 0:
		return "said unknown though nothing had left"
	case n.h.completes+n.h.refusals > 1:
		return "ended twice"
	case n.h.ended > n.h.opened || n.h.sent > n.h.opened:
		return "more attempts ended or left than were opened"
	case n.t.MaySend() && (n.h.delivered || n.t.Ended()):
		return "may send after a delivery or the end"
	case n.t.MaySend() && !n.t.idempotent && n.h.sent > 0:
		return "may send again what is not idempotent"
	case n.t.MayResume() && n.h.sent == 0:
		return "may resume what never left"
	}
	return ""
}

// TestAllOrders explores every order of events up to maxEvents and checks the
// statement and the permissions against what really happened.
func TestAllEventOrders(t *testing.T) {
	for _, idempotent := range []bool{false, true} {
		seen := make(map[node]bool)
		level := []node{{t: *New(idempotent)}}
		for range maxEvents {
			var next []node
			for _, n := range level {
				next = append(next, expand(t, n, seen)...)
			}
			level = next
		}
		t.Logf("idempotent %v: %d points", idempotent, len(seen))
		if len(seen) < 100 {
			t.Errorf("idempotent %v: explored %d points, want 100 or more", idempotent, len(seen))
		}
	}
}

// expand tries every event at n and returns the points that were not seen.
func expand(t *testing.T, n node, seen map[node]bool) []node {
	t.Helper()
	var unseen []node
	for _, e := range allEvents {
		if e == Open && n.h.opened == maxAttempts {
			continue
		}
		tr := n.t
		err := tr.Handle(e)
		if err != nil {
			if !errors.Is(err, ErrInvalidTransition) {
				t.Fatalf("%v in %+v: error %v, want ErrInvalidTransition", e, n, err)
			}
			if tr != n.t {
				t.Fatalf("%v in %+v: refused but changed to %+v", e, n, tr)
			}
			continue
		}
		next := node{t: tr, h: n.h.apply(e)}
		if violation := next.check(); violation != "" {
			t.Fatalf("%v in %+v: %s", e, n, violation)
		}
		if !seen[next] {
			seen[next] = true
			unseen = append(unseen, next)
		}
	}
	return unseen
}

func TestStateAfterEvents(t *testing.T) {
	tests := []struct {
		name       string
		idempotent bool
		events     []Event
		wantState  State
		wantRun    messenger.RunState
		wantSend   bool
	}{
		{name: "new", wantState: Queued, wantRun: messenger.NotRun, wantSend: true},
		{name: "claimed", events: []Event{Claim}, wantState: Claimed, wantRun: messenger.NotRun, wantSend: true},
		{name: "connecting", events: []Event{Claim, Open}, wantState: Sending, wantRun: messenger.NotRun},
		{name: "connection refused", events: []Event{Claim, Open, Unsent}, wantState: Claimed, wantRun: messenger.NotRun, wantSend: true},
		{name: "broken after the first byte", events: []Event{Open, FirstByte, Fail}, wantState: MayHaveRun, wantRun: messenger.Unknown},
		{name: "the same, idempotent", idempotent: true, events: []Event{Open, FirstByte, Fail}, wantState: MayHaveRun, wantRun: messenger.Unknown, wantSend: true},
		{name: "busy", events: []Event{Open, FirstByte, Decline, Complete}, wantState: Completed, wantRun: messenger.Unknown},
		{name: "answered", events: []Event{Open, FirstByte, Answer, Deliver, Complete}, wantState: Completed, wantRun: messenger.Run},
		{name: "broken after a delivery", idempotent: true, events: []Event{Open, FirstByte, Answer, Deliver, Break}, wantState: MayHaveRun, wantRun: messenger.Unknown},
		{name: "resumed", events: []Event{Open, FirstByte, Answer, Deliver, Break, Answer, Complete}, wantState: Completed, wantRun: messenger.Run},
		{name: "refused", events: []Event{Refuse}, wantState: Refused, wantRun: messenger.NotRun},
		{name: "refused after a retry", idempotent: true, events: []Event{Open, FirstByte, Fail, Refuse}, wantState: Refused, wantRun: messenger.Unknown},
		{name: "loser of a hedge ends late", idempotent: true, events: []Event{Open, FirstByte, Open, FirstByte, Answer, Complete, Fail}, wantState: Completed, wantRun: messenger.Run},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tr := New(tt.idempotent)
			for _, e := range tt.events {
				if err := tr.Handle(e); err != nil {
					t.Fatalf("Handle(%v): %v", e, err)
				}
			}
			if got := tr.State(); got != tt.wantState {
				t.Errorf("State() = %v, want %v", got, tt.wantState)
			}
			if got := tr.RunState(); got != tt.wantRun {
				t.Errorf("RunState() = %v, want %v", got, tt.wantRun)
			}
			if got := tr.MaySend(); got != tt.wantSend {
				t.Errorf("MaySend() = %v, want %v", got, tt.wantSend)
			}
		})
	}
}
