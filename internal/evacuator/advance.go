package evacuator

import (
	"fmt"
	"slices"
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
)

// Times of the steps.
const (
	// warmInterval is the time between two doublings of a replacement's window.
	warmInterval = 2 * time.Minute
	// firstShare is the part of its window that a replacement begins with.
	firstShare = 4
	// patience is how long an upstream may finish its work before its streams
	// are moved.
	patience = 10 * time.Minute
	// lastMoment is how long before the date every upstream is drained, loaded
	// replacement or not.
	lastMoment = 15 * time.Minute
	// settleTime is how long after a drain a router may still have sent work:
	// an upstream seen empty earlier does not count as empty.
	settleTime = 10 * time.Second
)

// View is what was seen of the upstreams.
type View struct {
	// Ready holds the replacements that are seen in their wanted state.
	Ready map[messenger.UpstreamID]bool
	// Running counts the requests on each upstream, by its own load report.
	Running map[messenger.UpstreamID]int
	// Measured is when Running was counted.
	Measured map[messenger.UpstreamID]time.Time
	// drained is since when the upstreams are seen to get no new work.
	drained map[messenger.UpstreamID]time.Time
}

// advance returns the plan as it should be now. The plan given is not changed.
func advance(p Plan, now time.Time, v View) (Plan, bool) {
	p.Steps = slices.Clone(p.Steps)
	changed := false
	for i := range p.Steps {
		s := &p.Steps[i]
		if !s.NoLong && s.Phase != Done && !now.Before(p.By.Add(-p.LongestRun)) {
			s.NoLong, changed = true, true
			p.log(now, fmt.Sprintf("%s gets no new long work: it could run past the date", s.From))
		}
		if p.step(s, now, v) {
			changed = true
		}
	}
	return p, changed
}

// step moves one step on and reports whether it did.
func (p *Plan) step(s *Step, now time.Time, v View) bool {
	if s.beforeDrain() && !now.Before(p.By.Add(-lastMoment)) {
		p.enter(s, now, Draining, "the date is near; the replacement is not at its full window")
		return true
	}
	if s.beforeDrain() && p.Paused {
		return false
	}
	switch s.Phase {
	case Loading:
		return p.loading(s, now, v)
	case Warming:
		return p.warming(s, now)
	case Draining, Moving:
		return p.draining(s, now, v)
	}
	return false
}

func (s *Step) beforeDrain() bool { return s.Phase == Loading || s.Phase == Warming }

func (p *Plan) enter(s *Step, now time.Time, phase Phase, text string) {
	s.Phase, s.Since = phase, now
	p.log(now, fmt.Sprintf("%s to %s: %s, %s", s.From, s.To, phase, text))
}

func (p *Plan) loading(s *Step, now time.Time, v View) bool {
	if !v.Ready[s.To] {
		return false
	}
	s.Loaded = now
	s.Window = max(1, s.Full/firstShare)
	p.enter(s, now, Warming, fmt.Sprintf("the replacement is loaded; window %d of %d", s.Window, s.Full))
	return true
}

func (p *Plan) warming(s *Step, now time.Time) bool {
	if now.Sub(s.Since) < warmInterval {
		return false
	}
	if s.Window < s.Full {
		s.Window = min(s.Full, 2*s.Window)
		p.enter(s, now, Warming, fmt.Sprintf("window %d of %d", s.Window, s.Full))
		return true
	}
	p.enter(s, now, Draining, "the replacement works at its full window")
	return true
}

func (p *Plan) draining(s *Step, now time.Time, v View) bool {
	drained, ok := v.drained[s.From]
	if ok && v.Running[s.From] == 0 && v.Measured[s.From].Sub(drained) >= settleTime {
		s.Finished = now
		p.enter(s, now, Done, "empty")
		return true
	}
	if s.Phase == Draining && (now.Sub(s.Since) >= patience || !now.Before(p.By.Add(-lastMoment/2))) {
		p.enter(s, now, Moving, fmt.Sprintf("%d requests are still running", v.Running[s.From]))
		return true
	}
	return false
}
