package tracker

import (
	"errors"
	"testing"

	"lentilwood.example/lentilwood/internal/messenger"
)

// maxEvents is the length of the explored sequences of events.
const maxEvents = 14

// maxAttempts is the largest number of attempts in a sequence.
const maxAttempts = 4

var allEvents = []Event{Claim, Open, FirstByte, Unsent, Fail, Answer, Decline, Deliver, Break, Complete, Refuse}

// history is what really happened to a request, counted independently of the Tracker: an
// upstream runs every attempt of which a byte was sent.
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

// node is one point of the exploration: a Tracker and the history that led to it.
type node struct {
	t Tracker
	h history
}

// check returns which rule a node violates, or "".
func (n node) check() string {
	run := n.t.RunState()
	switch {
	case !n.t.idempotent && n.h.sent > 1:
		return "a request that is not idempotent was sent twice"
	case run == messenger.StateNotRun && n.h.sent > 0:
		return "run state not-run after a byte was sent"
	case run == messenger.StateRun && n.h.answers == 0:
		return "run state run without an answer that proves it"
	case run == messenger.StateUnknown && n.h.sent == 0:
		return "run state unknown though nothing was sent"
	case n.h.completes+n.h.refusals > 1:
		return "the request ended twice"
	case n.h.ended > n.h.opened || n.h.sent > n.h.opened:
		return "more attempts ended or were sent than were opened"
	case n.t.MaySend() && (n.h.delivered || n.t.Ended()):
		return "may send after a delivery or the end of the request"
	case n.t.MaySend() && !n.t.idempotent && n.h.sent > 0:
		return "may send a request again that is not idempotent"
	case n.t.MayResume() && n.h.sent == 0:
		return "may resume a request that was never sent"
	}
	return ""
}

// TestAllEventOrders explores all sequences of up to maxEvents events and checks the run state
// and the permissions to send and resume against what really happened.
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
		t.Logf("idempotent %v: %d nodes", idempotent, len(seen))
		if len(seen) < 100 {
			t.Errorf("idempotent %v: explored %d nodes, want 100 or more", idempotent, len(seen))
		}
	}
}

// expand applies every event at n and returns the nodes that have not been seen.
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
				t.Fatalf("%v in %+v: returned an error but changed to %+v", e, n, tr)
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
		{name: "new", wantState: Queued, wantRun: messenger.StateNotRun, wantSend: true},
		{name: "claimed", events: []Event{Claim}, wantState: Claimed, wantRun: messenger.StateNotRun, wantSend: true},
		{name: "connecting", events: []Event{Claim, Open}, wantState: Sending, wantRun: messenger.StateNotRun},
		{name: "connection refused", events: []Event{Claim, Open, Unsent}, wantState: Claimed, wantRun: messenger.StateNotRun, wantSend: true},
		{name: "broken after the first byte", events: []Event{Open, FirstByte, Fail}, wantState: MayHaveRun, wantRun: messenger.StateUnknown},
		{name: "idempotent, broken after the first byte", idempotent: true, events: []Event{Open, FirstByte, Fail}, wantState: MayHaveRun, wantRun: messenger.StateUnknown, wantSend: true},
		{name: "declined as busy", events: []Event{Open, FirstByte, Decline, Complete}, wantState: Completed, wantRun: messenger.StateUnknown},
		{name: "answered", events: []Event{Open, FirstByte, Answer, Deliver, Complete}, wantState: Completed, wantRun: messenger.StateRun},
		{name: "broken after a delivery", idempotent: true, events: []Event{Open, FirstByte, Answer, Deliver, Break}, wantState: MayHaveRun, wantRun: messenger.StateUnknown},
		{name: "resumed", events: []Event{Open, FirstByte, Answer, Deliver, Break, Answer, Complete}, wantState: Completed, wantRun: messenger.StateRun},
		{name: "refused", events: []Event{Refuse}, wantState: Refused, wantRun: messenger.StateNotRun},
		{name: "refused after a retry", idempotent: true, events: []Event{Open, FirstByte, Fail, Refuse}, wantState: Refused, wantRun: messenger.StateUnknown},
		{name: "losing hedge attempt ends late", idempotent: true, events: []Event{Open, FirstByte, Open, FirstByte, Answer, Complete, Fail}, wantState: Completed, wantRun: messenger.StateRun},
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
