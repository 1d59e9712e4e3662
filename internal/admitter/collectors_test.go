package admitter

import (
	"math"
	"testing"
	"time"

	"lentilwood.example/lentilwood/internal/collector"
	"lentilwood.example/lentilwood/internal/messenger"
)

// What follows has routers learn of each other as those of a large fleet do: each
// reports to one of a few, which tell one another the sums and each reporter what all
// others do. Every message takes some time.

const (
	simReportInterval  = 80 * time.Millisecond
	simCollectInterval = 120 * time.Millisecond
	simMessageDelay    = 4 * time.Millisecond
)

// simCollector is the router of a group that collects, and what it sums up.
type simCollector struct {
	collector.Collector
	router int
	// members are the routers that report to it.
	members   []int
	nextRound time.Time
	stopped   bool
}

// simMessage is a load on its way.
type simMessage struct {
	arrivesAt time.Time
	deliver   func()
}

// collectIn divides the routers into groups about as large as there are of them.
func (s *sim) useCollectors() {
	s.aggregated = true
	groupSize := int(math.Round(math.Sqrt(float64(len(s.routers)))))
	for i := range s.routers {
		if i%groupSize == 0 {
			s.collectors = append(s.collectors, simCollector{router: i, nextRound: s.now.Add(time.Duration(i) * simStep)})
			continue
		}
		last := &s.collectors[len(s.collectors)-1]
		last.members = append(last.members, i)
	}
}

// collect hands over the messages that have arrived and sends those that are due.
func (s *sim) stepCollectors() {
	waiting := s.messages[:0]
	for _, m := range s.messages {
		if s.now.Before(m.arrivesAt) {
			waiting = append(waiting, m)
			continue
		}
		m.deliver()
	}
	s.messages = waiting
	for i := range s.collectors {
		c := &s.collectors[i]
		for _, member := range c.members {
			if s.now.Sub(epoch)%simReportInterval == time.Duration(member)*simStep%simReportInterval {
				s.report(c, member)
			}
		}
		if !s.now.Before(c.nextRound) && !c.stopped {
			c.nextRound = s.now.Add(simCollectInterval)
			s.round(c)
		}
	}
}

func (s *sim) sendDelayed(deliver func()) {
	s.messages = append(s.messages, simMessage{arrivesAt: s.now.Add(simMessageDelay), deliver: deliver})
}

// report sends what a router does to the one that collects.
func (s *sim) report(c *simCollector, member int) {
	load := s.routers[member].NextPeerLoad(s.now)
	s.sendDelayed(func() {
		c.Receive(s.now, load.From, load, true)
		s.deliver(c.router, load)
	})
}

// round sends what is collected on.
func (s *sim) round(c *simCollector) {
	r := c.Aggregate(s.routers[c.router].NextPeerLoad(s.now))
	partial := r.Partial()
	for i := range s.collectors {
		if to := &s.collectors[i]; to != c {
			s.sendDelayed(func() {
				to.Receive(s.now, partial.From, partial, false)
				s.deliver(to.router, partial)
			})
		}
	}
	for _, member := range c.members {
		digest := r.Without(s.routers[member].cfg.Self)
		digest.From = messenger.FleetSum
		s.sendDelayed(func() { s.deliver(member, digest) })
	}
}

// TestCrestBeforeAFleetThatCollects has the crest of TestCrestBeforeALargeFleet before
// twice as many routers, of which each has a third of a slot of each engine.
func TestOverloadWithCollectors(t *testing.T) {
	s := newSim(t, 120, 40, 16, 0)
	s.useCollectors()
	// A request holds a slot for about 1.1 s, so 40 engines do about 560 a second.
	const rate, capacity = 1000.0, 560.0
	s.run(6*time.Second, func() {
		s.poisson(rate, func() { s.offer("a", simObjective, s.sessionPrompt(s.rng.IntN(300), 3000, 800), 200) })
	})
	s.checkOverload(capacity / rate)
}

// TestSharedPartsAreReadOnceInAFleetThatCollects has as many routers meet sessions whose
// parts some engine has read.
func TestSharedPartsAreReadOnceWithCollectors(t *testing.T) {
	s := newSim(t, 120, 40, 16, 0)
	s.useCollectors()
	s.shrinkCaches(200_000, 3*time.Second)
	s.run(6*time.Second, func() {
		s.poisson(330, func() { s.offer("a", simObjective, s.sessionPrompt(s.rng.IntN(400), 4800, 1500), 200) })
	})
	s.checkReadOnce(0.85)
}

// TestFloodInAFleetThatCollects has one account flood one router with several times what
// the whole fleet does, while others ask for less than their share everywhere.
func TestFloodWithCollectors(t *testing.T) {
	s := newSim(t, 60, 20, 16, 280*4300)
	s.useCollectors()
	others := []messenger.AccountID{"b", "c", "d", "e"}
	offer := func(router int, account messenger.AccountID) {
		s.offerAt(router, account, simObjective, s.sessionPrompt(s.rng.IntN(150), 3000, 400), 200)
	}
	s.run(6*time.Second, func() {
		s.poisson(500, func() { offer(7, "a") })
		for _, account := range others {
			s.poisson(30, func() { offer(s.rng.IntN(len(s.routers)), account) })
		}
	})
	measured := s.all[len(s.all)/3:]
	s.checkInTime(measured, others)
	if sent := countByAccount(measured, func(r *simRequest) bool { return !r.refused }); sent["a"] < sent["b"] {
		t.Errorf("got %v sent, want the account that floods to get no less than those that ask for little", sent)
	}
}

// TestFloodAtOneRouterOfAFleetThatCollects has the load of
// TestFloodAtOneRouterOfALargeFleet: one account floods a router that reports.
func TestFloodAtOneRouterWithCollectors(t *testing.T) {
	s := newSim(t, 60, 24, 24, 320*9000)
	s.useCollectors()
	begun := s.floodFrom(1, 6*time.Second)
	for _, account := range otherAccounts {
		if begun["lone"] < begun[account]*3/4 {
			t.Errorf("got %v begun, want the lone account to get at least three quarters of what each other one gets", begun)
		}
	}
}

// TestLostCollectorLeavesAPart has the router that collects for a group die: those that
// reported to it must not take the whole fleet's slots for theirs.
func TestLostCollectorKeepsDemandShare(t *testing.T) {
	s := newSim(t, 36, 6, 16, 0)
	s.useCollectors()
	s.run(time.Second, func() {})
	s.collectors[0].stopped = true
	s.run(4*time.Second, func() {})
	member := s.routers[s.collectors[0].members[0]]
	if got, want := member.pools[simPool].demandShare, 1.0/36; got > 2*want {
		t.Errorf("got a part of %.3f once nothing is heard of 35 others, want about %.3f", got, want)
	}
	if got := member.upstreams["A"].peerLoad; got != newLoad(0, 0) {
		t.Errorf("got %+v of the others seconds after they were heard, want nothing", got)
	}
}
