// Package auditor compares what callers saw with what the journals of upstreams
// say, and tells which promises were broken.
//
// # Usage
//
//	a := auditor.Audit{Observations: observations, Streams: streams, Calls: calls}
//	for _, p := range a.Promises() { ... }
package auditor

import (
	"lentilwood.example/lentilwood/internal/emulator"
	"lentilwood.example/lentilwood/internal/generator"
	"lentilwood.example/lentilwood/internal/messenger"
)

// Promise is one thing that must hold, and how often it did not.
type Promise struct {
	Name string `json:"name"`
	// Checked is how many cases were looked at.
	Checked    int `json:"checked"`
	Violations int `json:"violations"`
}

// Audit is the evidence.
type Audit struct {
	Observations []generator.Observation
	// Streams are the journals of model engines, Calls those of plain services.
	Streams, Calls []emulator.Entry
}

// Promises checks what holds under every fault.
func (a Audit) Promises() []Promise {
	return []Promise{a.notRunMeansNotRun(), a.runMeansRun(), a.atMostOnce()}
}

// Ran returns the journal entries by the id of the request, the earliest first.
func (a Audit) Ran() map[string]emulator.Entry {
	ran := map[string]emulator.Entry{}
	for _, entries := range [][]emulator.Entry{a.Streams, a.Calls} {
		for _, entry := range entries {
			if earlier, ok := ran[entry.RequestID]; !ok || entry.Arrived.Before(earlier.Arrived) {
				ran[entry.RequestID] = entry
			}
		}
	}
	return ran
}

// notRunMeansNotRun looks for requests that were refused as not run but stand
// in a journal.
func (a Audit) notRunMeansNotRun() Promise {
	p := Promise{Name: `what is stated as "not run" did not run`}
	ran := a.Ran()
	for _, o := range a.Observations {
		if o.Statement != messenger.StateNotRun {
			continue
		}
		p.Checked++
		if _, ok := ran[o.WireID]; ok {
			p.Violations++
		}
	}
	return p
}

// runMeansRun looks for complete answers to calls that stand in no journal. A
// repeat with the same key may have got the answer to the first copy.
func (a Audit) runMeansRun() Promise {
	p := Promise{Name: "what was answered as committed was committed"}
	keys := map[string]bool{}
	for _, entry := range a.Calls {
		keys[entry.Key] = true
	}
	for _, o := range a.Observations {
		if o.Kind != generator.Commit || !o.Complete {
			continue
		}
		p.Checked++
		if !keys[o.Key] {
			p.Violations++
		}
	}
	return p
}

// atMostOnce looks for keys that a service ran twice.
func (a Audit) atMostOnce() Promise {
	p := Promise{Name: "a print run is committed at most once"}
	runs := map[string]int{}
	for _, entry := range a.Calls {
		if entry.Key != "" {
			runs[entry.Key]++
		}
	}
	for _, n := range runs {
		p.Checked++
		p.Violations += n - 1
	}
	return p
}
