package generator

import (
	"fmt"
	"io"
	"sort"
	"text/tabwriter"
	"time"

	hdrhistogram "github.com/HdrHistogram/hdrhistogram-go"

	"lentilwood.example/lentilwood/internal/messenger"
)

// Report is what came of a run.
type Report struct {
	// Run is the text that request ids begin with.
	Run     string  `json:"run"`
	Seconds float64 `json:"seconds"`
	Groups  []Group `json:"groups"`
	// Problems counts the problem types and faults that were seen.
	Problems map[string]int `json:"problems"`
	// Faults are some of the wrong, cut and lost answers.
	Faults []Sample `json:"faults"`
}

// Group is the results of one client account, class and kind of request.
type Group struct {
	Account string `json:"account"`
	Class   string `json:"class"`
	Kind    Kind   `json:"kind"`
	Sent    int    `json:"sent"`
	// Skipped was due while too many requests were open.
	Skipped int `json:"skipped"`
	// Complete is whole answers that belong to their request.
	Complete int `json:"complete"`
	// Refused is requests that were stated not to have run.
	Refused int `json:"refused"`
	// Failed is other errors that were stated.
	Failed int `json:"failed"`
	// Wrong is answers that are not what was asked for.
	Wrong int `json:"wrong"`
	// Cut is answers that broke off, and Lost is requests without an answer.
	Cut  int `json:"cut"`
	Lost int `json:"lost"`
	// NoRetryAfter is refusals that do not say when to come back.
	NoRetryAfter int `json:"noRetryAfter"`
	Tokens       int `json:"tokens"`
	// AskedTokens is what the requests asked for, skipped ones included.
	AskedTokens int `json:"askedTokens"`
	// Statements counts what answers say of the run: "not-run", "run",
	// "unknown", or "none" without a statement.
	Statements map[messenger.RunState]int `json:"statements"`
	// The latencies of complete answers count from when the request was due.
	FirstByte     Latency `json:"firstByte"`
	FirstToken    Latency `json:"firstToken"`
	BetweenTokens Latency `json:"betweenTokens"`
	Total         Latency `json:"total"`

	firstTokens *hdrhistogram.Histogram
}

// Latency is the distribution of a time in milliseconds.
type Latency struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50Ms"`
	P95   float64 `json:"p95Ms"`
	P99   float64 `json:"p99Ms"`
	Max   float64 `json:"maxMs"`
}

// Sample is one faulty answer.
type Sample struct {
	RequestID string `json:"requestId"`
	Account   string `json:"account"`
	Status    int    `json:"status,omitempty"`
	Fault     string `json:"fault"`
}

const microsPerMilli = float64(time.Millisecond / time.Microsecond)

// LatencyOf returns the quantiles of a histogram; nil is an empty one.
func LatencyOf(h *hdrhistogram.Histogram) Latency {
	if h == nil {
		return Latency{}
	}
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / microsPerMilli }
	return Latency{Count: h.TotalCount(), P50: at(50), P95: at(95), P99: at(99), Max: float64(h.Max()) / microsPerMilli}
}

func (c *collector) report() *Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := &Report{Run: c.run, Seconds: c.elapsed.Seconds(), Problems: c.problems, Faults: c.samples}
	for _, key := range c.order {
		g := c.groups[key]
		out := g.Group
		out.FirstByte = LatencyOf(g.firstByte)
		out.FirstToken = LatencyOf(g.firstToken)
		out.BetweenTokens = LatencyOf(g.betweenTokens)
		out.Total = LatencyOf(g.total)
		out.firstTokens = g.firstToken
		r.Groups = append(r.Groups, out)
	}
	sort.SliceStable(r.Groups, func(i, j int) bool {
		a, b := &r.Groups[i], &r.Groups[j]
		if a.Account != b.Account {
			return a.Account < b.Account
		}
		if a.Class != b.Class {
			return a.Class < b.Class
		}
		return a.Kind < b.Kind
	})
	return r
}

// Total adds up the counts of all groups.
func (r *Report) Total() Group {
	sum := Group{Account: "all", Statements: map[messenger.RunState]int{}}
	for _, g := range r.Groups {
		sum.Sent += g.Sent
		sum.Skipped += g.Skipped
		sum.Complete += g.Complete
		sum.Refused += g.Refused
		sum.Failed += g.Failed
		sum.Wrong += g.Wrong
		sum.Cut += g.Cut
		sum.Lost += g.Lost
		sum.NoRetryAfter += g.NoRetryAfter
		sum.Tokens += g.Tokens
		sum.AskedTokens += g.AskedTokens
		for state, n := range g.Statements {
			sum.Statements[state] += n
		}
	}
	return sum
}

// Broken returns how many answers were wrong, cut off or lost.
func (r *Report) Broken() int {
	sum := r.Total()
	return sum.Wrong + sum.Cut + sum.Lost
}

// Write prints the report as tables.
func (r *Report) Write(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "ACCOUNT\tCLASS\tKIND\tSENT\tSKIPPED\tCOMPLETE\tREFUSED\tFAILED\tWRONG\tCUT\tLOST\tTOKENS\tFIRST TOKEN p50/p95/p99 ms\tBETWEEN TOKENS\tTOTAL")
	for _, g := range r.Groups {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%s\n",
			g.Account, g.Class, g.Kind, g.Sent, g.Skipped, g.Complete, g.Refused, g.Failed, g.Wrong, g.Cut, g.Lost,
			g.Tokens, g.FirstToken, g.BetweenTokens, g.Total)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	sum := r.Total()
	fmt.Fprintf(out, "\n%d requests in %.1f s, %d skipped; stated: %d run, %d not run, %d unknown, %d without a statement\n",
		sum.Sent, r.Seconds, sum.Skipped, sum.Statements[messenger.StateRun], sum.Statements[messenger.StateNotRun],
		sum.Statements[messenger.StateUnknown], sum.Statements[noStatement])
	for _, problem := range sortedKeys(r.Problems) {
		fmt.Fprintf(out, "%6d × %s\n", r.Problems[problem], problem)
	}
	for _, s := range r.Faults {
		fmt.Fprintf(out, "faulty: %s of %s: %s\n", s.RequestID, s.Account, s.Fault)
	}
	return nil
}

// String returns three quantiles.
func (l Latency) String() string {
	if l.Count == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f/%.1f/%.1f", l.P50, l.P95, l.P99)
}

func sortedKeys(m map[string]int) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}
