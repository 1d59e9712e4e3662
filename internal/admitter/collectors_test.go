package admitter

import (
	"math"
	"testing"
	"time"

	"lentilwood.example/lentilwood/internal/collector"
	"lentilwood.example/lentilwood/internal/messenger"
)

// These tests exchange loads as the routers of a large fleet do: each router reports to one
// of a few collectors, which send their aggregates to one another and to each reporter the
// aggregate of all other routers. Every message has a delay.

const (
	simReportInterval  = 80 * time.Millisecond
	simCollectInterval = 120 * time.Millisecond
	simMessageDelay    = 4 * time.Millisecond
)

// simCollector is a router that collects the loads of a group, and its aggregate.
type simCollector struct {
	collector.Collector
	router int
	// members are the routers that report to it.
	members   []int
	nextRound time.Time
	stopped   bool
}

// simMessage is a message in transit.
type simMessage struct {
	arrivesAt time.Time
	deliver   func()
}

// useCollectors divides the routers into about as many groups as each group has members.
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

// stepCollectors delivers the messages that are due and sends the next ones.
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

// report sends the load of a router to its collector.
func (s *sim) report(c *simCollector, member int) {
	load := s.routers[member].NextPeerLoad(s.now)
	s.sendDelayed(func() {
		c.Receive(s.now, load.From, load, true)
		s.deliver(c.router, load)
	})
}

// round sends the aggregates of a collector.
func (s *sim) round(c *simCollector) {
	agg := c.Aggregate(s.routers[c.router].NextPeerLoad(s.now))
	partial := agg.Partial()
	for i := range s.collectors {
		if to := &s.collectors[i]; to != c {
			s.sendDelayed(func() {
				to.Receive(s.now, partial.From, partial, false)
				s.deliver(to.router, partial)
			})
		}
	}
	for _, member := range c.members {
		digest := agg.Without(s.routers[member].cfg.Self)
		digest.From = messenger.FleetSum
		s.sendDelayed(func() { s.deliver(member, digest) })
	}
}

// TestOverloadWithCollectors repeats the overload of TestOverloadOfLargeFleet with twice as
// many routers, each of which has only a fraction of a slot per engine.
func TestOverloadWithCollectors(t *testing.T) {
	s := newSim(t, 120, 40, 16, 0)
	s.useCollectors()
	// A request holds a slot for about 1.1 s, so 40 engines serve about 560 per second.
	const rate, capacity = 1000.0, 560.0
	s.run(6*time.Second, func() {
		s.poisson(rate, func() { s.offer("a", simObjective, s.sessionPrompt(s.rng.IntN(300), 3000, 800), 200) })
	})
	s.checkOverload(capacity / rate)
}

// TestSharedPartsAreReadOnceWithCollectors offers sessions to as many routers as
// TestOverloadWithCollectors: parts that some engine has cached must not be read again.
func TestSharedPartsAreReadOnceWithCollectors(t *testing.T) {
	s := newSim(t, 120, 40, 16, 0)
	s.useCollectors()
	s.shrinkCaches(200_000, 3*time.Second)
	s.run(6*time.Second, func() {
		s.poisson(330, func() { s.offer("a", simObjective, s.sessionPrompt(s.rng.IntN(400), 4800, 1500), 200) })
	})
	s.checkReadOnce(0.85)
}

// TestFloodWithCollectors has one account flood one router with several times the capacity
// of the whole fleet, while others demand less than their share on all routers.
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
		t.Errorf("got %v sent, want at least as many for the flooding account as for those with little demand", sent)
	}
}

// TestFloodAtOneRouterWithCollectors has the load of TestFloodAtOneRouterOfALargeFleet: one
// account floods a router that reports to a collector.
func TestFloodAtOneRouterWithCollectors(t *testing.T) {
	s := newSim(t, 60, 24, 24, 320*9000)
	s.useCollectors()
	started := s.floodFrom(1, 6*time.Second)
	for _, account := range otherAccounts {
		if started["lone"] < started[account]*3/4 {
			t.Errorf("got %v started, want at least three quarters of each other account's count for the lone account", started)
		}
	}
}

// TestLostCollectorKeepsDemandShare stops the collector of a group: the routers that
// reported to it must not take over the slots of the whole fleet.
func TestLostCollectorKeepsDemandShare(t *testing.T) {
	s := newSim(t, 36, 6, 16, 0)
	s.useCollectors()
	s.run(time.Second, func() {})
	s.collectors[0].stopped = true
	s.run(4*time.Second, func() {})
	member := s.routers[s.collectors[0].members[0]]
	if got, want := member.pools[simPool].demandShare, 1.0/36; got > 2*want {
		t.Errorf("got a demand share of %.3f after the collector of 35 other routers stopped, want about %.3f", got, want)
	}
	if got := member.upstreams["A"].peerLoad; got != newLoad(0, 0) {
		t.Errorf("got a load of %+v for the other routers after their last message expired, want none", got)
	}
}
