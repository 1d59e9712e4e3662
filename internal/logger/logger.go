// Package logger writes structured log lines without ever blocking the caller
// and within a bound on their volume.
//
// Lines go through a bounded queue to the output; what finds it full is left
// out. A budget of lines a second bounds the volume under load. Lines about
// failures draw on a part of the budget that others may not use, and lines about
// the events that a Budget keeps on one that nothing else may use: these are few, and
// say what a process believes while all else fails. What was left out is counted by
// event and said once a second.
//
// # Usage
//
//	log := logger.New(os.Stdout, logrus.InfoLevel, clock, logger.Budget{})
//	log.WithField("event", "started").Info("router started")
package logger

import (
	"fmt"
	"io"
	"slices"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"lentilwood.example/lentilwood/internal/timekeeper"
)

// Defaults of Budget.
const (
	// DefaultLinesPerSecond is how many lines a second are written on average.
	DefaultLinesPerSecond = 150
	// DefaultBurst is how many may come at once.
	DefaultBurst = 600
	// DefaultQueueLength is how many lines wait for an output that is slow.
	DefaultQueueLength = 1024
	// failureReserve is the part of the burst that is kept for lines about
	// failures and those that follow, and keptShare the part for kept events alone.
	failureReserve  = 0.5
	priorityReserve = 0.25
	// flushTimeout bounds the wait for the output at the end of the process, and
	// flushPoll is how often it is looked at.
	flushTimeout = 200 * time.Millisecond
	flushPoll    = time.Millisecond
	// summaryInterval is the time between two lines about what was left out.
	summaryInterval = time.Second
)

// Budget bounds the volume of the log. Zero values mean the defaults above.
type Budget struct {
	// LinesPerSecond is how many lines a second are written on average, Burst how many
	// may come at once, and QueueLength how many wait for the output.
	LinesPerSecond, Burst, QueueLength int
	// PriorityEvents are the events whose lines are left out last.
	PriorityEvents []string
}

func (b *Budget) setDefaults() {
	if b.LinesPerSecond <= 0 {
		b.LinesPerSecond = DefaultLinesPerSecond
	}
	if b.Burst <= 0 {
		b.Burst = DefaultBurst
	}
	if b.QueueLength <= 0 {
		b.QueueLength = DefaultQueueLength
	}
}

// limiter formats the lines that the budget allows and queues them.
type limiter struct {
	logrus.TextFormatter
	clock  timekeeper.Clock
	budget Budget
	queue  chan []byte
	// pending counts the lines that are not written yet.
	pending atomic.Int64

	mu             sync.Mutex
	tokens         float64
	lastRefill     time.Time
	droppedByEvent map[string]int
	droppedTotal   int
	lastSummary    time.Time
}

// New returns a logger of lines of at least a level. Its output is written by a
// goroutine that lives as long as the process.
func New(out io.Writer, level logrus.Level, clock timekeeper.Clock, budget Budget) *logrus.Logger {
	budget.setDefaults()
	l := &limiter{
		TextFormatter: logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: "2006-01-02T15:04:05.000Z07:00"},
		clock:         clock, budget: budget, queue: make(chan []byte, budget.QueueLength),
		tokens: float64(budget.Burst), lastRefill: clock.Now(), lastSummary: clock.Now(), droppedByEvent: make(map[string]int),
	}
	go l.writeQueued(out)
	log := logrus.New()
	log.SetLevel(level)
	log.SetFormatter(l)
	log.SetOutput(l)
	return log
}

// writeQueued carries lines to the output. An output that fails has nobody to be told.
func (l *limiter) writeQueued(out io.Writer) {
	for line := range l.queue {
		_, _ = out.Write(line)
		l.pending.Add(-1)
	}
}

// Flush waits until all lines of a logger of this package are written, but not
// for long: its output may be blocked.
func Flush(log *logrus.Logger) {
	l, ok := log.Out.(*limiter)
	if !ok {
		return
	}
	for deadline := time.Now().Add(flushTimeout); l.pending.Load() > 0 && time.Now().Before(deadline); {
		time.Sleep(flushPoll)
	}
}

// Format returns a line, or nothing if the budget does not allow it.
func (l *limiter) Format(e *logrus.Entry) ([]byte, error) {
	if !l.allow(e) {
		return nil, nil
	}
	return l.TextFormatter.Format(e)
}

// Write queues a line. It never blocks.
func (l *limiter) Write(line []byte) (int, error) {
	if len(line) == 0 {
		return 0, nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if summary := l.summary(); summary != "" && l.enqueue([]byte(summary)) {
		l.droppedByEvent, l.droppedTotal, l.lastSummary = make(map[string]int), 0, l.clock.Now()
	}
	if !l.enqueue(append([]byte(nil), line...)) {
		l.countDropped("outputSlow")
	}
	return len(line), nil
}

// enqueue reports whether there was room for a line.
func (l *limiter) enqueue(line []byte) bool {
	select {
	case l.queue <- line:
		l.pending.Add(1)
		return true
	default:
		return false
	}
}

// allow takes a line from the budget.
func (l *limiter) allow(e *logrus.Entry) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	l.tokens = min(float64(l.budget.Burst), l.tokens+now.Sub(l.lastRefill).Seconds()*float64(l.budget.LinesPerSecond))
	l.lastRefill = now
	event, _ := e.Data["event"].(string)
	if l.tokens < 1+l.reserved(e, event)*float64(l.budget.Burst) {
		l.countDropped(event)
		return false
	}
	l.tokens--
	return true
}

// reserved returns the part of the burst that a line may not use.
func (l *limiter) reserved(e *logrus.Entry, event string) float64 {
	switch {
	case slices.Contains(l.budget.PriorityEvents, event):
		return 0
	case isFailure(e):
		return priorityReserve
	}
	return failureReserve
}

// isFailure reports whether a line is about something that failed.
func isFailure(e *logrus.Entry) bool {
	if e.Level <= logrus.WarnLevel {
		return true
	}
	problem, _ := e.Data["problem"].(string)
	return problem != ""
}

func (l *limiter) countDropped(event string) {
	l.droppedByEvent[event]++
	l.droppedTotal++
}

// summary returns the line about what was left out, or "" if none is due.
func (l *limiter) summary() string {
	now := l.clock.Now()
	if l.droppedTotal == 0 || now.Sub(l.lastSummary) < summaryInterval {
		return ""
	}
	events := make([]string, 0, len(l.droppedByEvent))
	for event, n := range l.droppedByEvent {
		events = append(events, fmt.Sprintf("%s=%d", event, n))
	}
	sort.Strings(events)
	return fmt.Sprintf("time=%q level=warning msg=\"lines left out\" event=logLeftOut lines=%d byEvent=%q\n",
		now.Format(l.TimestampFormat), l.droppedTotal, strings.Join(events, ","))
}
