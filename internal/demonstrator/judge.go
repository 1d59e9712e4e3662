package demonstrator

import (
	"fmt"
	"math"
	"slices"
	"time"

	"lentilwood.example/lentilwood/internal/generator"
	"lentilwood.example/lentilwood/internal/messenger"
)

const (
	// drainGrace is how long a leaving upstream may still get new work.
	drainGrace = 2 * time.Second
	// configurationLimit is how long an accepted configuration may take to be
	// in force at every router.
	configurationLimit = 2 * time.Second
	// starvedBelow is the part of its fair share below which a client account
	// counts as starved.
	starvedBelow = 0.5
)

// Promise is one thing that must hold, and how often it did not.
type Promise struct {
	Name string `json:"name"`
	// Checked is how many cases were looked at.
	Checked    int `json:"checked"`
	Violations int `json:"violations"`
}

// promises checks everything that must hold.
func (e *evidence) promises(accounts []AccountReport) []Promise {
	sum := e.load.Total()
	answered := sum.Sent - sum.Lost
	return []Promise{
		{"every request gets an answer", sum.Sent, sum.Lost},
		{"every answer is whole", answered, sum.Cut},
		{"every answer belongs to its request", answered, sum.Wrong},
		{"every answer states whether the request was run", answered, sum.Statements["none"]},
		{"every refusal says when to come back", sum.Refused, sum.NoRetryAfter},
		e.notRunMeansNotRun(),
		e.runMeansRun(),
		e.atMostOnce(),
		e.leavingGetsNothing(),
		e.configurationIsInForce(),
		e.shutdownCutsNothing(),
		nobodyStarves(accounts),
	}
}

// notRunMeansNotRun looks for requests that were refused as not run but stand
// in a journal.
func (e *evidence) notRunMeansNotRun() Promise {
	p := Promise{Name: `what is stated as "not run" did not run`}
	ran := e.ran()
	for _, o := range e.observations {
		if o.Statement != messenger.NotRun {
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
func (e *evidence) runMeansRun() Promise {
	p := Promise{Name: "what was answered as committed was committed"}
	keys := map[string]bool{}
	for _, entry := range e.desk {
		keys[entry.Key] = true
	}
	for _, o := range e.observations {
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

// atMostOnce looks for keys that the order desk ran twice.
func (e *evidence) atMostOnce() Promise {
	p := Promise{Name: "a print run is committed at most once"}
	runs := map[string]int{}
	for _, entry := range e.desk {
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

// configurationIsInForce looks for routers that did not follow the drain.
func (e *evidence) configurationIsInForce() Promise {
	p := Promise{
		Name:    fmt.Sprintf("a configuration is in force everywhere within %v", configurationLimit),
		Checked: routerCount, Violations: e.lateRouters,
	}
	if e.drainErr != nil {
		p.Violations = routerCount
	}
	return p
}

// leavingGetsNothing looks for work that reached the drained worker late.
func (e *evidence) leavingGetsNothing() Promise {
	p := Promise{Name: fmt.Sprintf("a leaving upstream gets no new work after %v", drainGrace)}
	if e.drainErr != nil {
		p.Checked, p.Violations = 1, 1
		return p
	}
	for _, entry := range e.workers[drained] {
		p.Checked++
		if entry.Arrived.After(e.drained.Add(drainGrace)) {
			p.Violations++
		}
	}
	return p
}

// shutdownCutsNothing looks for requests that were in progress when the routers
// shut down and came to no good end, and for routers that gave up.
func (e *evidence) shutdownCutsNothing() Promise {
	p := Promise{Name: "a graceful shutdown cuts off nothing", Checked: len(e.late), Violations: e.cutRouters}
	for _, o := range e.late {
		if o.Broken {
			p.Violations++
		}
	}
	return p
}

// nobodyStarves looks for client accounts that got far less than they asked
// for and than they had a right to.
func nobodyStarves(accounts []AccountReport) Promise {
	p := Promise{Name: "no client account starves"}
	for _, a := range accounts {
		p.Checked++
		if a.Share < starvedBelow*a.FairShare {
			p.Violations++
		}
	}
	return p
}

// fairShares divides total by weight among accounts that want no more than
// their demand; what one does not want goes to the others.
func fairShares(total float64, weights, demands []float64) []float64 {
	shares := make([]float64, len(weights))
	open := make([]int, len(weights))
	for i := range open {
		open[i] = i
	}
	for len(open) > 0 {
		level := levelOf(total, weights, open)
		full := func(i int) bool { return demands[i] <= level*weights[i] }
		if !slices.ContainsFunc(open, full) {
			for _, i := range open {
				shares[i] = level * weights[i]
			}
			break
		}
		left := open[:0:0]
		for _, i := range open {
			if !full(i) {
				left = append(left, i)
				continue
			}
			shares[i] = demands[i]
			total -= demands[i]
		}
		open = left
	}
	return shares
}

// levelOf returns the service for each unit of weight.
func levelOf(total float64, weights []float64, open []int) float64 {
	sum := 0.0
	for _, i := range open {
		sum += weights[i]
	}
	return math.Max(total, 0) / sum
}
