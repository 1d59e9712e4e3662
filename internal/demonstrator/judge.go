package demonstrator

import (
	"fmt"
	"math"
	"slices"
	"time"

	"lentilwood.example/lentilwood/internal/auditor"
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

// promises checks everything that must hold.
func (e *evidence) promises(accounts []AccountReport) []auditor.Promise {
	sum := e.load.Total()
	answered := sum.Sent - sum.Lost
	promises := []auditor.Promise{
		{Name: "every request gets an answer", Checked: sum.Sent, Violations: sum.Lost},
		{Name: "every answer is whole", Checked: answered, Violations: sum.Cut},
		{Name: "every answer belongs to its request", Checked: answered, Violations: sum.Wrong},
		{Name: "every answer states whether the request was run", Checked: answered, Violations: sum.Statements["none"]},
		{Name: "every refusal says when to come back", Checked: sum.Refused, Violations: sum.NoRetryAfter},
	}
	promises = append(promises, e.audit().Promises()...)
	return append(promises, e.leavingGetsNothing(), e.configurationIsInForce(), e.shutdownCutsNothing(), nobodyStarves(accounts))
}

// configurationIsInForce looks for routers that did not follow the drain.
func (e *evidence) configurationIsInForce() auditor.Promise {
	p := auditor.Promise{
		Name:    fmt.Sprintf("a configuration is in force everywhere within %v", configurationLimit),
		Checked: routerCount, Violations: e.lateRouters,
	}
	if e.drainErr != nil {
		p.Violations = routerCount
	}
	return p
}

// leavingGetsNothing looks for work that reached the drained worker late.
func (e *evidence) leavingGetsNothing() auditor.Promise {
	p := auditor.Promise{Name: fmt.Sprintf("a leaving upstream gets no new work after %v", drainGrace)}
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
func (e *evidence) shutdownCutsNothing() auditor.Promise {
	p := auditor.Promise{Name: "a graceful shutdown cuts off nothing", Checked: len(e.late), Violations: e.cutRouters}
	for _, o := range e.late {
		if o.Broken {
			p.Violations++
		}
	}
	return p
}

// nobodyStarves looks for client accounts that got far less than they asked
// for and than they had a right to.
func nobodyStarves(accounts []AccountReport) auditor.Promise {
	p := auditor.Promise{Name: "no client account starves"}
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
