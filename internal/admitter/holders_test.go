package admitter

import (
	"testing"
	"time"
)

// TestPartSurvivesRestartOfLastHolder restarts the engine to which a part of a prompt was
// last sent: the earlier holders of the part must still be known.
func TestPartSurvivesRestartOfLastHolder(t *testing.T) {
	p := newPool(simPool)
	p.hasEngines = true
	first, last := newUpstream("a", p), newUpstream("b", p)
	h := &p.holders
	h.record(1, holder{upstream: first, sentAt: epoch})
	h.record(1, holder{upstream: last, sentAt: epoch.Add(time.Second)})
	h.removeUpstream(last)
	p.expireParts(epoch.Add(2 * time.Second))
	if got := h.byPart[1][0].upstream; got != first {
		t.Errorf("got %v as the part's first holder, want the one that was not restarted", got)
	}
	h.removeUpstream(first)
	p.expireParts(epoch.Add(4 * time.Second))
	if _, ok := h.byPart[1]; ok {
		t.Error("got a part without holders in the index, want it removed")
	}
}
