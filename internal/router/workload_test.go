package router

import (
	"testing"
	"time"

	"lentilwood.example/lentilwood/internal/dispatcher"
	"lentilwood.example/lentilwood/internal/messenger"
)

func TestWorkloadCountsHowRequestsEnd(t *testing.T) {
	var w workload
	w.note(dispatcher.Result{Dispatched: time.Unix(1, 0), Problem: "upstream-silent"})
	w.note(dispatcher.Result{Problem: string(messenger.RefuseTokens)})
	w.note(dispatcher.Result{Problem: string(messenger.RefuseDeadline)})
	w.note(dispatcher.Result{CallerGone: true})
	got := []int64{w.sent.Load(), w.beyondShare.Load(), w.late.Load(), w.otherwise.Load()}
	for i, n := range got {
		if n != 1 {
			t.Errorf("got %d in count %d of %v, want 1 in each", n, i, got)
		}
	}
}
