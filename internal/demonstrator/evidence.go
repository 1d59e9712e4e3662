package demonstrator

import (
	"sync"
	"time"

	"lentilwood.example/lentilwood/internal/auditor"
	"lentilwood.example/lentilwood/internal/emulator"
	"lentilwood.example/lentilwood/internal/generator"
	"lentilwood.example/lentilwood/internal/messenger"
)

// evidence is what callers saw and what the stand-ins' journals say.
type evidence struct {
	load *generator.Report
	// drained is when the worker's drain was accepted.
	drained  time.Time
	drainErr error
	// lateRouters counts the routers where that took too long to be in force.
	lateRouters int
	// cutRouters counts the routers whose shutdown cut off requests.
	cutRouters int

	mu           sync.Mutex
	observations []generator.Observation
	events       []Event
	// shuttingDown is true once the routers have been told to shut down, and
	// late holds the requests that ended after that.
	shuttingDown bool
	late         []generator.Observation

	// workers and desk are the journals.
	workers map[messenger.UpstreamID][]emulator.Entry
	desk    []emulator.Entry
}

// observe notes one ended request.
func (e *evidence) observe(o generator.Observation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.observations = append(e.observations, o)
	if e.shuttingDown {
		e.late = append(e.late, o)
	}
}

// ended returns how many requests have ended.
func (e *evidence) ended() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.observations)
}

// note records what was done to the fleet, and when.
func (e *evidence) note(at time.Duration, what string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.events = append(e.events, Event{Seconds: at.Seconds(), What: what})
}

// collect reads the journals.
func (e *evidence) collect(f *fleet) {
	e.workers = map[messenger.UpstreamID][]emulator.Entry{}
	for id, w := range f.workers {
		e.workers[id] = w.Journal()
	}
	e.desk = f.desk.Journal()
}

// audit returns what callers saw beside the journals.
func (e *evidence) audit() auditor.Audit {
	a := auditor.Audit{Observations: e.observations, Calls: e.desk}
	for _, entries := range e.workers {
		a.Streams = append(a.Streams, entries...)
	}
	return a
}
