// Package logger writes structured log lines without blocking the caller and limits
// their volume.
//
// Lines go through a bounded queue to the output and are dropped if the queue is full.
// A token bucket limits the number of lines per second under load. One part of the bucket
// is reserved for lines about failures and for Budget.PriorityEvents, and a smaller part
// for Budget.PriorityEvents alone: these lines are few and show the state that the process
// assumes, such as which upstreams are known, while many requests fail. Dropped lines are
// counted by event and reported at most once a second.
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
	// DefaultLinesPerSecond is the sustained rate of log lines.
	DefaultLinesPerSecond = 150
	// DefaultBurst is the number of lines that may be written at once.
	DefaultBurst = 600
	// DefaultQueueLength is the number of lines that may wait for a slow output.
	DefaultQueueLength = 1024
	// failureReserve is the share of the burst reserved for lines about failures and
	// priority events; priorityReserve, a part of it, is for priority events alone.
	failureReserve  = 0.5
	priorityReserve = 0.25
	// flushTimeout limits how long Flush waits for the output, and flushPoll is the
	// interval at which it checks.
	flushTimeout = 200 * time.Millisecond
	flushPoll    = time.Millisecond
	// summaryInterval is the minimum interval between two summaries of dropped lines.
	summaryInterval = time.Second
)

// Budget limits the volume of the log. Zero values mean the defaults above.
type Budget struct {
	// LinesPerSecond is the sustained rate of lines, Burst the number of lines that may be
	// written at once, and QueueLength the number that may wait for the output.
	LinesPerSecond, Burst, QueueLength int
	// PriorityEvents are the events whose lines are the last to be dropped.
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

// limiter is the formatter and output of a logger. It formats the lines that the budget
// allows and queues them.
type limiter struct {
	logrus.TextFormatter
	clock  timekeeper.Clock
	budget Budget
	queue  chan []byte
	// pending is the number of queued lines that are not yet written.
	pending atomic.Int64

	mu             sync.Mutex
	tokens         float64
	lastRefill     time.Time
	droppedByEvent map[string]int
	droppedTotal   int
	lastSummary    time.Time
}

// New returns a logger that writes lines of the given level and more severe ones to out.
// It starts a goroutine that runs until the process exits.
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

// writeQueued writes queued lines to out. Write errors are ignored: there is no other
// place to report them.
func (l *limiter) writeQueued(out io.Writer) {
	for line := range l.queue {
		_, _ = out.Write(line)
		l.pending.Add(-1)
	}
}

// Flush waits until all queued lines are written, or for flushTimeout if the output is
// blocked. It does nothing for a logger that was not created by New.
func Flush(log *logrus.Logger) {
	l, ok := log.Out.(*limiter)
	if !ok {
		return
	}
	for deadline := time.Now().Add(flushTimeout); l.pending.Load() > 0 && time.Now().Before(deadline); {
		time.Sleep(flushPoll)
	}
}

// Format returns the formatted line, or nil if the budget does not allow it.
func (l *limiter) Format(e *logrus.Entry) ([]byte, error) {
	if !l.allow(e) {
		return nil, nil
	}
	return l.TextFormatter.Format(e)
}

// Write queues a line, and before it a summary of dropped lines if one is due. It never
// blocks on the output.
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

// enqueue adds a line to the queue and reports whether there was room for it.
func (l *limiter) enqueue(line []byte) bool {
	select {
	case l.queue <- line:
		l.pending.Add(1)
		return true
	default:
		return false
	}
}

// allow takes a token from the bucket and reports whether the line may be written. It
// counts the line as dropped if not.
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

// reserved returns the share of the burst that a line of this kind may not use.
func (l *limiter) reserved(e *logrus.Entry, event string) float64 {
	switch {
	case slices.Contains(l.budget.PriorityEvents, event):
		return 0
	case isFailure(e):
		return priorityReserve
	}
	return failureReserve
}

// isFailure reports whether a line has level warning or above or a problem field.
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

// summary returns a log line with the number of dropped lines, or "" if none is due.
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
	return fmt.Sprintf("time=%q level=warning msg=\"log lines dropped\" event=logLeftOut lines=%d byEvent=%q\n",
		now.Format(l.TimestampFormat), l.droppedTotal, strings.Join(events, ","))
}
