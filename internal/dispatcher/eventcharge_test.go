package dispatcher

import (
	"bytes"
	"testing"

	"lentilwood.example/lentilwood/internal/relayer"
	"lentilwood.example/lentilwood/internal/tracker"
)

// TestUnfinishedEventStaysCharged guards against memory outside of the account: an attempt that was
// to replace another one ends, while the other still holds an unfinished event.
func TestUnfinishedEventStaysCharged(t *testing.T) {
	const size = 100 << 10
	budget := relayer.NewBudget(1 << 20)
	d := newTestDispatcher(t, Config{Dialect: resendDialect{}, BufferBudget: budget, Upstreams: fixedUpstreams{}})
	f := newInflightRequest(d, resumableStream(), newFakeQueue(), newFakeCaller())
	open := func() *attempt {
		at := &attempt{exchange: &exchange{updated: f.exchangeUpdated}, stream: &streamState{framed: true}}
		f.track(tracker.Open)
		f.attempts = append(f.attempts, at)
		f.recordSend(at)
		return at
	}
	first, second := open(), open()
	if !f.handleEvents(first, bytes.Repeat([]byte("x"), size)) {
		t.Fatal("the unfinished event was refused")
	}
	f.closeAttempt(second, false)
	if got := budget.UsedBytes(); got < size {
		t.Errorf("%d bytes charged, want at least %d", got, size)
	}
	f.closeAttempt(first, false)
	if got := budget.UsedBytes(); got != 0 {
		t.Errorf("%d bytes charged after the last attempt, want none", got)
	}
}
