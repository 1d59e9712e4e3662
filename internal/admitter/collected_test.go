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
	simReportEvery  = 80 * time.Millisecond
	simCollectEvery = 120 * time.Millisecond
	simDelay        = 4 * time.Millisecond
)

// simCollector is the router of a group that collects, and what it sums up.
type simCollector struct {
	collector.Collector
	router int
	// members are the routers that report to it.
	members []int
	due     time.Time
	dead    bool
}

// simMessage is a load on its way.
type simMessage struct {
	at   time.Time
	hand func()
}

// collectIn divides the routers into groups about as large as there are of them.
func (s *sim) collectIn() {
	s.collected = true
	each := int(math.Round(math.Sqrt(float64(len(s.routers)))))
	for i := range s.routers {
		if i%each == 0 {
			s.collects = append(s.collects, simCollector{router: i, due: s.now.Add(time.Duration(i) * simStep)})
			continue
		}
		last := &s.collects[len(s.collects)-1]
		last.members = append(last.members, i)
	}
}

// collect hands over the messages that have arrived and sends those that are due.
func (s *sim) collect() {
	waiting := s.messages[:0]
	for _, m := range s.messages {
		if s.now.Before(m.at) {
			waiting = append(waiting, m)
			continue
		}
		m.hand()
	}
	s.messages = waiting
	for i := range s.collects {
		c := &s.collects[i]
		for _, member := range c.members {
			if s.now.Sub(epoch)%simReportEvery == time.Duration(member)*simStep%simReportEvery {
				s.report(c, member)
			}
		}
		if !s.now.Before(c.due) && !c.dead {
			c.due = s.now.Add(simCollectEvery)
			s.round(c)
		}
	}
}

func (s *sim) later(hand func()) {
	s.messages = append(s.messages, simMessage{at: s.now.Add(simDelay), hand: hand})
}

// report sends what a router does to the one that collects.
func (s *sim) report(c *simCollector, member int) {
	load := s.routers[member].NextPeerLoad(s.now)
	s.later(func() {
		c.Receive(s.now, load.From, load, true)
		s.tell(c.router, load)
	})
}

// round sends what is collected on.
func (s *sim) round(c *simCollector) {
	r := c.Aggregate(s.routers[c.router].NextPeerLoad(s.now))
	partial := r.Partial()
	for i := range s.collects {
		if to := &s.collects[i]; to != c {
			s.later(func() {
				to.Receive(s.now, partial.From, partial, false)
				s.tell(to.router, partial)
			})
		}
	}
	for _, member := range c.members {
		digest := r.Without(s.routers[member].cfg.Self)
		digest.From = messenger.FleetSum
		s.later(func() { s.tell(member, digest) })
	}
}

// TestCrestBeforeAFleetThatCollects has the crest of TestCrestBeforeALargeFleet before
// twice as many routers, of which each has a third of a slot of each engine.
func TestCrestBeforeAFleetThatCollects(t *testing.T) {
	s := newSim(t, 120, 40, 16, 0)
	s.collectIn()
	// A request holds a slot for about 1.1 s, so 40 engines do about 560 a second.
	const rate, fits = 1000.0, 560.0
	s.run(6*time.Second, func() {
		s.poisson(rate, func() { s.offer("a", simObjective, s.session(s.rng.IntN(300), 3000, 800), 200) })
	})
	s.checkCrest(fits / rate)
}

// TestSharedPartsAreReadOnceInAFleetThatCollects has as many routers meet sessions whose
// parts some engine has read.
func TestSharedPartsAreReadOnceInAFleetThatCollects(t *testing.T) {
	s := newSim(t, 120, 40, 16, 0)
	s.collectIn()
	s.shrink(200_000, 3*time.Second)
	s.run(6*time.Second, func() {
		s.poisson(330, func() { s.offer("a", simObjective, s.session(s.rng.IntN(400), 4800, 1500), 200) })
	})
	s.checkReadOnce(0.85)
}

// TestFloodInAFleetThatCollects has one account flood one router with several times what
// the whole fleet does, while others ask for less than their share everywhere.
func TestFloodInAFleetThatCollects(t *testing.T) {
	s := newSim(t, 60, 20, 16, 280*4300)
	s.collectIn()
	others := []messenger.AccountID{"b", "c", "d", "e"}
	offer := func(router int, account messenger.AccountID) {
		s.offerAt(router, account, simObjective, s.session(s.rng.IntN(150), 3000, 400), 200)
	}
	s.run(6*time.Second, func() {
		s.poisson(500, func() { offer(7, "a") })
		for _, account := range others {
			s.poisson(30, func() { offer(s.rng.IntN(len(s.routers)), account) })
		}
	})
	late := s.all[len(s.all)/3:]
	s.checkInTime(late, others)
	if sent := count(late, func(r *simRequest) bool { return !r.refused }); sent["a"] < sent["b"] {
		t.Errorf("got %v sent, want the account that floods to get no less than those that ask for little", sent)
	}
}

// TestFloodAtOneRouterOfAFleetThatCollects has the load of
// TestFloodAtOneRouterOfALargeFleet: one account floods a router that reports.
func TestFloodAtOneRouterOfAFleetThatCollects(t *testing.T) {
	s := newSim(t, 60, 24, 24, 320*9000)
	s.collectIn()
	begun := s.floodFrom(1, 6*time.Second)
	for _, account := range floodedAccounts {
		if begun["lone"] < begun[account]*3/4 {
			t.Errorf("got %v begun, want the lone account to get at least three quarters of what each other one gets", begun)
		}
	}
}

// TestLostCollectorLeavesAPart has the router that collects for a group die: those that
// reported to it must not take the whole fleet's slots for theirs.
func TestLostCollectorLeavesAPart(t *testing.T) {
	s := newSim(t, 36, 6, 16, 0)
	s.collectIn()
	s.run(time.Second, func() {})
	s.collects[0].dead = true
	s.run(4*time.Second, func() {})
	member := s.routers[s.collects[0].members[0]]
	if got, want := member.pools[simPool].part, 1.0/36; got > 2*want {
		t.Errorf("got a part of %.3f once nothing is heard of 35 others, want about %.3f", got, want)
	}
	if got := member.upstreams["A"].others; got != otherLoad(0, 0) {
		t.Errorf("got %+v of the others seconds after they were heard, want nothing", got)
	}
}
