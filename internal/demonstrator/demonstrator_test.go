package demonstrator

import (
	"bytes"
	"context"
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"lentilwood.example/lentilwood/internal/emulator"
	"lentilwood.example/lentilwood/internal/generator"
	"lentilwood.example/lentilwood/internal/messenger"
)

func TestFairShares(t *testing.T) {
	tests := []struct {
		name             string
		total            float64
		weights, demands []float64
		want             []float64
	}{
		{"all backlogged", 100, []float64{1, 3}, []float64{1000, 1000}, []float64{25, 75}},
		{"one wants little", 100, []float64{1, 1, 1}, []float64{10, 1000, 1000}, []float64{10, 45, 45}},
		{"the rest goes down the line", 100, []float64{1, 1, 2}, []float64{10, 30, 1000}, []float64{10, 30, 60}},
		{"enough for all", 100, []float64{1, 1}, []float64{10, 20}, []float64{10, 20}},
		{"nothing", 0, []float64{1, 1}, []float64{10, 20}, []float64{0, 0}},
	}
	for _, tt := range tests {
		got := fairShares(tt.total, tt.weights, tt.demands)
		for i := range got {
			if math.Abs(got[i]-tt.want[i]) > 1e-9 {
				t.Errorf("%s: fairShares() = %v, want %v", tt.name, got, tt.want)
			}
		}
	}
}

func TestPromisesFindViolations(t *testing.T) {
	moment := time.Unix(100, 0)
	good := func() *evidence {
		return &evidence{
			load:    &generator.Report{Groups: []generator.Group{{Sent: 9, Complete: 9}}},
			drained: moment,
			observations: []generator.Observation{
				{WireID: "refused", Statement: messenger.StateNotRun},
				{WireID: "run", Key: "k", Kind: generator.Commit, Complete: true, Statement: messenger.StateRun},
			},
			workers: map[messenger.UpstreamID][]emulator.Entry{drained: {{RequestID: "w", Arrived: moment.Add(time.Second)}}},
			desk:    []emulator.Entry{{RequestID: "run", Key: "k"}},
		}
	}
	fair := []AccountReport{{Share: 0.4, FairShare: 0.5}}
	tests := []struct {
		promise string
		breakIt func(e *evidence)
		starved bool
	}{
		{"", func(*evidence) {}, false},
		{"gets an answer", func(e *evidence) { e.load.Groups[0].Lost = 1 }, false},
		{"is whole", func(e *evidence) { e.load.Groups[0].Cut = 1 }, false},
		{"belongs to its request", func(e *evidence) { e.load.Groups[0].Wrong = 1 }, false},
		{"states whether", func(e *evidence) { e.load.Groups[0].Statements = map[messenger.RunState]int{"none": 1} }, false},
		{"come back", func(e *evidence) { e.load.Groups[0].NoRetryAfter = 1 }, false},
		{"did not run", func(e *evidence) { e.desk = append(e.desk, emulator.Entry{RequestID: "refused"}) }, false},
		{"was committed", func(e *evidence) { e.desk = nil }, false},
		{"at most once", func(e *evidence) { e.desk = append(e.desk, emulator.Entry{RequestID: "again", Key: "k"}) }, false},
		{"no new work", func(e *evidence) {
			e.workers[drained] = append(e.workers[drained], emulator.Entry{RequestID: "late", Arrived: moment.Add(drainGrace + time.Millisecond)})
		}, false},
		{"in force everywhere", func(e *evidence) { e.lateRouters = 1 }, false},
		{"cuts off", func(e *evidence) { e.late = []generator.Observation{{Complete: true}, {Broken: true}} }, false},
		{"cuts off nothing", func(e *evidence) { e.cutRouters = 1 }, false},
		{"starves", func(*evidence) {}, true},
	}
	for _, tt := range tests {
		e := good()
		tt.breakIt(e)
		shares := fair
		if tt.starved {
			shares = []AccountReport{{Share: 0.1, FairShare: 0.5}}
		}
		for _, p := range e.promises(shares) {
			want := 0
			if tt.promise != "" && strings.Contains(p.Name, tt.promise) {
				want = 1
			}
			if p.Violations != want {
				t.Errorf("breaking %q: %q has %d violations, want %d", tt.promise, p.Name, p.Violations, want)
			}
		}
	}
}

func TestRun(t *testing.T) {
	report, err := Run(context.Background(), Config{For: MinFor, Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	if got, want := len(report.Accounts), len(accounts); got != want {
		t.Errorf("got %d accounts, want %d", got, want)
	}
	complete := 0
	for _, a := range report.Accounts {
		for _, c := range a.Classes {
			complete += c.Complete
		}
	}
	if complete == 0 {
		t.Error("no answer is complete")
	}
	// What these say depends on the speed of the machine; the tests of
	// scheduler and coordinator check it in virtual time.
	timed := []string{
		"no client account starves",
		"a leaving upstream gets no new work after 2s",
		"a configuration is in force everywhere within 2s",
	}
	for _, p := range report.Promises {
		if p.Violations > 0 && !slices.Contains(timed, p.Name) {
			t.Errorf("%s: %d violations, want none; faults %v", p.Name, p.Violations, report.Faults)
		}
	}
	var text bytes.Buffer
	if err := report.Write(&text); err != nil {
		t.Fatal(err)
	}
	if all := text.String() + fmt.Sprintf("%+v", report); strings.Contains(all, tokenOf(flooder)) {
		t.Error("the report shows a token")
	}
}

func TestRunRefusesUnboundedTimes(t *testing.T) {
	for _, d := range []time.Duration{-1, MinFor - 1, MaxFor + 1} {
		if _, err := Run(context.Background(), Config{For: d}); err == nil {
			t.Errorf("Run() for %v succeeds, want an error", d)
		}
	}
}
