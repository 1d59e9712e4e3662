package generator

import (
	"sync"
	"time"

	hdrhistogram "github.com/HdrHistogram/hdrhistogram-go"

	"lentilwood.example/lentilwood/internal/messenger"
)

// Precision of the histograms, which count microseconds.
const (
	lowestMicros      = 1
	highestMicros     = int64(time.Hour / time.Microsecond)
	significantDigits = 2
)

// maxSamples bounds the faults that are kept with their request.
const maxSamples = 20

// groupKey is what results are grouped by.
type groupKey struct {
	account, class string
	kind           Kind
}

// group holds the results of one client account, class and kind.
type group struct {
	Group
	firstByte, firstToken, betweenTokens, total *hdrhistogram.Histogram
}

// collector gathers results. It is safe for concurrent use.
type collector struct {
	mu       sync.Mutex
	run      string
	groups   map[groupKey]*group
	order    []groupKey
	samples  []Sample
	sent     int
	done     int
	elapsed  time.Duration
	problems map[string]int
	// claimed holds the wire ids of the answers so far.
	claimed map[string]bool
}

func newCollector(run string) *collector {
	return &collector{run: run, groups: map[groupKey]*group{}, problems: map[string]int{}, claimed: map[string]bool{}}
}

// NewHistogram returns a histogram of latencies.
func NewHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestMicros, highestMicros, significantDigits)
}

// of returns the group of a request.
func (c *collector) of(a arrival) *group {
	key := groupKey{a.stream.Account, a.stream.Class, a.stream.Kind}
	g, ok := c.groups[key]
	if !ok {
		g = &group{
			Group:         Group{Account: key.account, Class: key.class, Kind: key.kind, Statements: map[messenger.RunState]int{}},
			firstByte:     NewHistogram(),
			firstToken:    NewHistogram(),
			betweenTokens: NewHistogram(),
			total:         NewHistogram(),
		}
		c.groups[key] = g
		c.order = append(c.order, key)
	}
	return g
}

// claim notes the id of an answer. It returns false if another answer had it.
func (c *collector) claim(wireID string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.claimed[wireID] {
		return false
	}
	c.claimed[wireID] = true
	return true
}

// skip counts a request that was due while too many were open.
func (c *collector) skip(a arrival) {
	c.mu.Lock()
	defer c.mu.Unlock()
	g := c.of(a)
	g.Skipped++
	g.AskedTokens += a.asked()
}

// send counts a request that is being sent.
func (c *collector) send(a arrival) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent++
	g := c.of(a)
	g.Sent++
	g.AskedTokens += a.asked()
}

// add counts what came of a request.
func (c *collector) add(a arrival, o outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.done++
	g := c.of(a)
	g.Tokens += o.tokens
	g.count(o)
	if o.status != 0 {
		g.Statements[stated(o.statement)]++
	}
	if o.noRetryAfter {
		g.NoRetryAfter++
	}
	if o.problem != "" {
		c.problems[o.problem]++
	}
	if o.broken() {
		c.sample(a, o)
	}
	if o.kind == complete {
		g.record(o)
	}
}

// noStatement stands for an answer without a valid statement.
const noStatement messenger.RunState = "none"

func stated(s messenger.RunState) messenger.RunState {
	switch s {
	case messenger.StateNotRun, messenger.StateRun, messenger.StateUnknown:
		return s
	default:
		return noStatement
	}
}

func (g *group) count(o outcome) {
	switch o.kind {
	case complete:
		g.Complete++
	case refused:
		g.Refused++
	case failed:
		g.Failed++
	case wrong:
		g.Wrong++
	case cut:
		g.Cut++
	case lost:
		g.Lost++
	}
}

func (g *group) record(o outcome) {
	Record(g.firstByte, o.firstByte)
	Record(g.firstToken, o.firstToken)
	Record(g.total, o.total)
	for _, gap := range o.gaps {
		Record(g.betweenTokens, gap)
	}
}

// Record counts one latency.
func Record(h *hdrhistogram.Histogram, d time.Duration) {
	micros := min(max(d.Microseconds(), lowestMicros), highestMicros)
	// The value was brought into the range just now.
	_ = h.RecordValue(micros)
}

func (c *collector) sample(a arrival, o outcome) {
	if len(c.samples) < maxSamples {
		c.samples = append(c.samples, Sample{RequestID: a.id, Account: a.stream.Account, Status: o.status, Fault: o.problem})
	}
}

func (c *collector) finish(elapsed time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.elapsed = elapsed
}

func (c *collector) progress(elapsed time.Duration) Progress {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := Progress{Elapsed: elapsed, Sent: c.sent, Done: c.done, Open: c.sent - c.done}
	for _, g := range c.groups {
		p.Refused += g.Refused
		p.Wrong += g.Wrong + g.Cut
		p.Lost += g.Lost
	}
	return p
}
