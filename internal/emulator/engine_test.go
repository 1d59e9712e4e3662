package emulator

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"lentilwood.example/lentilwood/internal/timekeeper"
)

func newTestWorker(cfg WorkerConfig) (*Worker, *timekeeper.Manual) {
	clock := timekeeper.NewManual(time.Unix(1000, 0))
	return NewWorker(cfg, clock), clock
}

func (w *Worker) add(id string, promptTokens, maxTokens int, prefix string) *stream {
	h := http.Header{}
	h.Set("Lentilwood-Prefix", prefix)
	s := w.newStream(id, completion{
		Prompt: strings.Repeat("x", (promptTokens-1)*bytesPerToken), MaxTokens: maxTokens, Stream: true,
	}, h)
	w.engine.submit(s, newReader())
	return s
}

func TestStepTimeGrowsWithPromptAndBatch(t *testing.T) {
	w, clock := newTestWorker(WorkerConfig{
		Slots: 2, PrefillPerToken: time.Millisecond, StepTime: 10 * time.Millisecond, StepTimePerStream: time.Millisecond,
	})
	for i := range 3 {
		w.add(fmt.Sprint("r", i), 5, 2, "")
	}
	want := []time.Duration{22, 12, 16, 11}
	for i, ms := range want {
		d, busy := w.engine.plan()
		if !busy || d != ms*time.Millisecond {
			t.Errorf("got step %d of %v (busy %v), want %v", i, d, busy, ms*time.Millisecond)
		}
		clock.Advance(d)
		w.engine.step()
	}
	if _, busy := w.engine.plan(); busy {
		t.Error("got work after the last stream, want none")
	}
	w.SetFaults(Faults{SlowFactor: 3})
	w.add("slow", 1, 1, "")
	if d, _ := w.engine.plan(); d != 36*time.Millisecond {
		t.Errorf("got a slowed step of %v, want 36ms", d)
	}
}

func TestFirstComeFirstServed(t *testing.T) {
	w, _ := newTestWorker(WorkerConfig{Slots: 1, Instant: true})
	for i := range 5 {
		w.add(fmt.Sprint("r", i), 1, 3, "")
	}
	for _, busy := w.engine.plan(); busy; _, busy = w.engine.plan() {
		w.engine.step()
	}
	for i, e := range w.Journal() {
		if want := fmt.Sprint("r", i); e.RequestID != want || e.Outcome != Finished {
			t.Errorf("got entry %d %+v, want %s finished", i, e, want)
		}
	}
}

func TestCancelFreesTheSlot(t *testing.T) {
	w, _ := newTestWorker(WorkerConfig{Slots: 1, Instant: true})
	w.add("long", 1, 1000, "")
	w.add("next", 1, 1, "")
	w.engine.plan()
	w.engine.step()
	if !w.engine.cancel("long") || w.engine.cancel("unknown") {
		t.Error("got the wrong answer to a cancel")
	}
	w.engine.step()
	w.engine.plan()
	w.engine.step()
	j := w.Journal()
	if len(j) != 2 || j[0].Outcome != Cancelled || j[1].Outcome != Finished {
		t.Errorf("got journal %+v, want long cancelled and next finished", j)
	}
}

func TestAbandonedStreamRunsForTheGraceTime(t *testing.T) {
	w, clock := newTestWorker(WorkerConfig{Slots: 1, Instant: true, GraceTime: time.Second})
	s := w.add("r", 1, 1000, "")
	w.engine.plan()
	w.engine.detach(s, s.reader)
	clock.Advance(time.Second)
	w.engine.step()
	if s.cancelled {
		t.Error("got the stream cancelled within the grace time")
	}
	clock.Advance(time.Millisecond)
	w.engine.step()
	if !s.cancelled {
		t.Error("got the stream running after the grace time")
	}
}

func TestCacheEvictsAndReportsLateWithGaps(t *testing.T) {
	start := time.Unix(1000, 0)
	c := newPrefixCache(100, time.Second, 0, 1)
	steps := []struct {
		prefix string
		prompt int
		want   int
	}{{"a", 60, 0}, {"a", 60, 60}, {"b", 60, 0}, {"a", 60, 0}, {"", 60, 0}}
	for i, s := range steps {
		if got := c.use(start, s.prefix, s.prompt); got != s.want {
			t.Errorf("got %d cached tokens at step %d, want %d", got, i, s.want)
		}
	}
	if got := c.since(start, 0); len(got.Events) != 0 {
		t.Errorf("got events %v at once, want none yet", got)
	}
	got := c.since(start.Add(time.Second), 0)
	want := "[{1 a true} {2 b true} {3 a false} {4 a true} {5 b false}]"
	if fmt.Sprint(got.Events) != want || got.Next != 6 {
		t.Errorf("got %v next %d, want %s next 6", got.Events, got.Next, want)
	}
	gappy := newPrefixCache(1000, 0, 0.5, 1)
	for i := range 100 {
		gappy.use(start, fmt.Sprint(i), 10)
	}
	if n := len(gappy.since(start, 0).Events); n < 25 || n > 75 {
		t.Errorf("got %d events of 100, want about half", n)
	}
}

func TestLoadReportsLag(t *testing.T) {
	w, clock := newTestWorker(WorkerConfig{Slots: 1, Instant: true, LoadLag: time.Second})
	w.add("a", 1, 10, "")
	w.add("b", 1, 10, "")
	w.engine.plan()
	if got := w.load.report(clock.Now(), 1, false); got.Running != 0 {
		t.Errorf("got %+v at once, want the load before", got)
	}
	clock.Advance(time.Second)
	got := w.load.report(clock.Now(), 1, false)
	if got.Running != 1 || got.Waiting != 1 || got.MeasuredUnixMS != 1_000_000 {
		t.Errorf("got %+v, want one running and one waiting at 1000 s", got)
	}
}
