package demonstrator

import (
	"context"
	"fmt"
	"time"

	"lentilwood.example/lentilwood/internal/emulator"
	"lentilwood.example/lentilwood/internal/messenger"
)

const (
	// frozen is the worker whose open connections go silent early on.
	frozen messenger.UpstreamID = "worker-2"
	// drained is the worker that leaves half way.
	drained messenger.UpstreamID = "worker-4"
)

// script is what is done to the fleet while the load runs.
type script struct {
	fleet    *fleet
	evidence *evidence
	start    time.Time
	// length is how long requests are sent.
	length time.Duration
	// allSent brings the number of requests once all are sent.
	allSent <-chan int
}

// run goes through the steps, each at its time.
func (s *script) run(ctx context.Context) {
	for _, step := range []struct {
		at time.Duration
		do func(context.Context)
	}{
		{s.length / 4, s.freeze},
		{s.length / 2, s.drain},
		{s.length, s.shutDown},
	} {
		select {
		case <-s.fleet.clock.After(step.at - s.elapsed()):
		case <-ctx.Done():
		}
		step.do(ctx)
	}
}

func (s *script) elapsed() time.Duration { return s.fleet.clock.Now().Sub(s.start) }

// freeze makes the open connections of one worker silent for good; new ones
// work.
func (s *script) freeze(context.Context) {
	s.fleet.workers[frozen].SetFaults(emulator.Faults{Freeze: true})
	s.evidence.note(s.elapsed(), fmt.Sprintf("the open connections of %s go silent for good", frozen))
}

// drain gives one worker no new work, and sees how fast routers follow.
func (s *script) drain(ctx context.Context) {
	e := s.evidence
	change, err := s.fleet.drain(ctx, drained)
	e.drained, e.drainErr = s.fleet.clock.Now(), err
	e.note(s.elapsed(), fmt.Sprintf("%s is drained", drained))
	if err == nil {
		e.lateRouters = s.fleet.awaitVersion(ctx, change.Version, configurationLimit)
	}
}

// shutDown shuts all routers down once every request has reached one: what is
// still on its way then would meet a closed port, which is the balancer's to
// prevent and not the routers'.
func (s *script) shutDown(ctx context.Context) {
	e := s.evidence
	sent := <-s.allSent
	for s.fleet.inProgress()+e.ended() < sent {
		select {
		case <-s.fleet.clock.After(pollInterval):
		case <-ctx.Done():
			return
		}
	}
	e.mu.Lock()
	e.shuttingDown = true
	e.mu.Unlock()
	e.note(s.elapsed(), "all routers shut down")
	e.cutRouters = s.fleet.shutdown(ctx)
}
