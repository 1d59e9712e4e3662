package admitter

import (
	"testing"
	"time"
)

// TestPartOutlivesItsLastHolder has the engine start anew that was sent a part
// last: the part is still known at the others.
func TestPartOutlivesItsLastHolder(t *testing.T) {
	p := newPool(simPool)
	p.engine = true
	first, last := newUpstream("a", p), newUpstream("b", p)
	h := &p.holders
	h.note(1, holder{at: first, on: epoch})
	h.note(1, holder{at: last, on: epoch.Add(time.Second)})
	h.drop(last)
	p.forget(epoch.Add(2 * time.Second))
	if got := h.last[1][0].at; got != first {
		t.Errorf("got %v as the part's first holder, want the one that did not start anew", got)
	}
	h.drop(first)
	p.forget(epoch.Add(4 * time.Second))
	if _, ok := h.last[1]; ok {
		t.Error("a part that nobody holds is remembered")
	}
}
