package demonstrator

import (
	"fmt"
	"io"
	"text/tabwriter"

	hdrhistogram "github.com/HdrHistogram/hdrhistogram-go"

	"lentilwood.example/lentilwood/internal/auditor"
	"lentilwood.example/lentilwood/internal/generator"
)

// Report is what the demonstration showed.
type Report struct {
	Seconds  float64           `json:"seconds"`
	Routers  int               `json:"routers"`
	Workers  int               `json:"workers"`
	Accounts []AccountReport   `json:"accounts"`
	Promises []auditor.Promise `json:"promises"`
	// Events are what was done to the fleet.
	Events []Event `json:"events"`
	// Problems counts the problem types that callers saw.
	Problems map[string]int     `json:"problems"`
	Faults   []generator.Sample `json:"faults"`
}

// Event is one thing that was done to the fleet.
type Event struct {
	// Seconds counts from the begin of the load.
	Seconds float64 `json:"seconds"`
	What    string  `json:"what"`
}

// AccountReport is what one client account got.
type AccountReport struct {
	Account string  `json:"account"`
	Weight  float64 `json:"weight"`
	Tokens  int     `json:"tokens"`
	// Share is the part of all tokens that the account got, and FairShare the
	// part that it had a right to by its weight and what it asked for.
	Share     float64       `json:"share"`
	FairShare float64       `json:"fairShare"`
	Classes   []ClassReport `json:"classes"`
}

// ClassReport is what one class of a client account got.
type ClassReport struct {
	Class    string `json:"class"`
	Requests int    `json:"requests"`
	Complete int    `json:"complete"`
	Refused  int    `json:"refused"`
	Tokens   int    `json:"tokens"`
	// Wait is the time until the request reached an upstream.
	Wait       generator.Latency `json:"wait"`
	FirstToken generator.Latency `json:"firstToken"`
}

// Violations adds up the violations of all promises.
func (r *Report) Violations() int {
	n := 0
	for _, p := range r.Promises {
		n += p.Violations
	}
	return n
}

func (e *evidence) report() *Report {
	r := &Report{
		Seconds: e.load.Seconds, Routers: routerCount, Workers: workerCount,
		Events: e.events, Problems: e.load.Problems, Faults: e.load.Faults,
	}
	r.Accounts = e.accounts()
	r.Promises = e.promises(r.Accounts)
	return r
}

// accounts returns what each client account got.
func (e *evidence) accounts() []AccountReport {
	waits := e.waits()
	reports := make([]AccountReport, 0, len(accounts))
	weights := make([]float64, 0, len(accounts))
	demands := make([]float64, 0, len(accounts))
	total := 0
	for _, a := range accounts {
		report := AccountReport{Account: string(a.id), Weight: a.weight}
		demand := 0
		for _, g := range e.load.Groups {
			if g.Account != report.Account {
				continue
			}
			report.Tokens += g.Tokens
			demand += g.AskedTokens
			report.Classes = append(report.Classes, ClassReport{
				Class: g.Class, Requests: g.Sent + g.Skipped, Complete: g.Complete, Refused: g.Refused, Tokens: g.Tokens,
				Wait: generator.LatencyOf(waits[waitKey{g.Account, g.Class}]), FirstToken: g.FirstToken,
			})
		}
		total += report.Tokens
		reports = append(reports, report)
		weights = append(weights, a.weight)
		demands = append(demands, float64(demand))
	}
	for i, share := range fairShares(float64(total), weights, demands) {
		reports[i].Share = float64(reports[i].Tokens) / float64(max(total, 1))
		reports[i].FairShare = share / float64(max(total, 1))
	}
	return reports
}

type waitKey struct{ account, class string }

// waits returns the time from when a request was due until it reached an
// upstream.
func (e *evidence) waits() map[waitKey]*hdrhistogram.Histogram {
	ran := e.audit().Ran()
	waits := map[waitKey]*hdrhistogram.Histogram{}
	for _, o := range e.observations {
		key := waitKey{o.Account, o.Class}
		if waits[key] == nil {
			waits[key] = generator.NewHistogram()
		}
		if entry, ok := ran[o.WireID]; ok {
			generator.Record(waits[key], entry.Arrived.Sub(o.Due))
		}
	}
	return waits
}

// Write prints the report.
func (r *Report) Write(out io.Writer) error {
	fmt.Fprintf(out, "%d routers, %d workers and an order desk, %.1f s; times in milliseconds, p50/p95/p99\n\n", r.Routers, r.Workers, r.Seconds)
	for _, event := range r.Events {
		fmt.Fprintf(out, "%4.1f s: %s\n", event.Seconds, event.What)
	}
	fmt.Fprintln(out)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "ACCOUNT\tWEIGHT\tSHARE\tFAIR SHARE\tCLASS\tREQUESTS\tREFUSED\tTOKENS\tWAIT\tFIRST TOKEN")
	for _, a := range r.Accounts {
		for i, c := range a.Classes {
			head := fmt.Sprintf("%s\t%g\t%.1f%%\t%.1f%%", a.Account, a.Weight, percent*a.Share, percent*a.FairShare)
			if i > 0 {
				head = "\t\t\t"
			}
			fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%s\t%s\n", head, c.Class, c.Requests, c.Refused, c.Tokens, c.Wait, c.FirstToken)
		}
	}
	fmt.Fprintln(w)
	fmt.Fprintln(w, "PROMISE\tCHECKED\tVIOLATIONS")
	for _, p := range r.Promises {
		fmt.Fprintf(w, "%s\t%d\t%d\n", p.Name, p.Checked, p.Violations)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	for _, s := range r.Faults {
		fmt.Fprintf(out, "faulty: %s of %s, status %d: %s\n", s.RequestID, s.Account, s.Status, s.Fault)
	}
	return nil
}

const percent = 100
