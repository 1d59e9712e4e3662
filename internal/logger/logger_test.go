package logger

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"lentilwood.example/lentilwood/internal/timekeeper"
)

// output stores what is written. If blocked is not nil, Write waits until it is closed.
type output struct {
	mu      sync.Mutex
	text    bytes.Buffer
	blocked chan struct{}
}

func (o *output) Write(p []byte) (int, error) {
	if o.blocked != nil {
		<-o.blocked
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(p)
}

func (o *output) count(substring string) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return strings.Count(o.text.String(), substring)
}

func awaitLines(t *testing.T, o *output, substring string, want int) {
	t.Helper()
	for range 500 {
		if o.count(substring) >= want {
			return
		}
		time.Sleep(2 * time.Millisecond)
	}
	t.Fatalf("got %d lines with %q, want %d", o.count(substring), substring, want)
}

func TestBlockedOutputDoesNotBlockCallers(t *testing.T) {
	o := &output{blocked: make(chan struct{})}
	clock := timekeeper.NewManual(time.Unix(1000, 0))
	log := New(o, logrus.InfoLevel, clock, Budget{LinesPerSecond: 10_000, Burst: 100_000, QueueLength: 10})
	for range 5000 { // hangs if a log call waits for the output
		log.WithField("event", "request").Info("request ended")
	}
	clock.Advance(2 * summaryInterval)
	close(o.blocked)
	for range 100 {
		log.WithField("event", "last").Info("after the output is unblocked")
		clock.Advance(summaryInterval)
		time.Sleep(time.Millisecond)
	}
	awaitLines(t, o, "event=logLeftOut", 1)
}

func TestVolumeIsBoundedAndFailuresAreDroppedLast(t *testing.T) {
	o := &output{}
	clock := timekeeper.NewManual(time.Unix(1000, 0))
	log := New(o, logrus.InfoLevel, clock, Budget{LinesPerSecond: 50, Burst: 100, QueueLength: 1000})
	for range 10 {
		for range 500 {
			log.WithField("event", "ordinary").Info("ordinary line")
		}
		for range 20 {
			log.WithField("event", "request").WithField("problem", "deadline").Info("request ended")
		}
		clock.Advance(time.Second)
	}
	awaitLines(t, o, "problem=deadline", 200)
	if got, limit := o.count("ordinary line"), 10*50+100; got > limit {
		t.Errorf("got %d ordinary lines, want at most %d", got, limit)
	}
	if got := o.count("ordinary="); got == 0 {
		t.Error("summary does not count dropped lines by event")
	}
}

// TestFailuresDoNotDropPriorityEvents guards against losing lines about upstreams when
// hundreds of requests per second fail for longer than the burst lasts, as on a CPU-starved
// router, and their lines use up the budget.
func TestFailuresDoNotDropPriorityEvents(t *testing.T) {
	o := &output{}
	clock := timekeeper.NewManual(time.Unix(1000, 0))
	log := New(o, logrus.InfoLevel, clock, Budget{LinesPerSecond: 50, Burst: 100, QueueLength: 2000, PriorityEvents: []string{"upstream"}})
	for range 20 {
		for range 300 {
			log.WithField("event", "request").WithField("problem", "deadline").Info("request ended")
		}
		for range 10 {
			log.WithField("event", "upstream").Info("upstream gone")
		}
		clock.Advance(time.Second)
	}
	awaitLines(t, o, "upstream gone", 200)
}
