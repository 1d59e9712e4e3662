package gossiper

import (
	"slices"
	"testing"
	"time"
)

var epoch = time.Unix(1_700_000_000, 0)

// TestCollectorsGrowWithTheRoot has fleets of several sizes: all collect in a small one,
// and in a large one so few that neither they nor those that report have much to hear.
func TestCollectorsGrowWithSquareRootOfFleet(t *testing.T) {
	domains := []string{"a", "b", "c", "d", "e"}
	for _, c := range []struct{ each, least, most int }{{2, 10, 10}, {12, 10, 10}, {59, 15, 20}, {80, 15, 25}} {
		all := newMembers(c.each, domains...)
		chosen := Collectors(all)
		if got := len(chosen); got < c.least || got > c.most {
			t.Errorf("got %d routers of %d that collect, want %d to %d", got, len(all), c.least, c.most)
		}
		for _, domain := range domains {
			if got := len(SameDomain(Member{Domain: domain}, chosen)); got < minCollectorsPerDomain {
				t.Errorf("got %d that collect in a domain of %d, want at least %d", got, c.each, minCollectorsPerDomain)
			}
		}
	}
}

// TestCollectorsHaveProcessorTime has a few routers on larger VMs.
func TestCollectorsAreRoutersOnLargestVMs(t *testing.T) {
	all := newMembers(40, "a", "b")
	for i := range all {
		all[i].Weight = 192
		if i%10 == 0 {
			all[i].Weight = 800
		}
	}
	for _, m := range Collectors(all) {
		if m.Weight < 800 {
			t.Errorf("got %s with weight %d chosen, want the large VMs", m.Name, m.Weight)
		}
	}
}

// reporters is a fleet in virtual time whose routers report to some that collect.
type reportingFleet struct {
	members, collectors []Member
	reporters           map[string]*Reporter
	dead                map[string]bool
	now                 time.Time
}

func newReportingFleet(n int, domains ...string) *reportingFleet {
	f := &reportingFleet{members: newMembers(n, domains...), reporters: make(map[string]*Reporter), dead: make(map[string]bool), now: epoch}
	f.collectors = Collectors(f.members)
	for _, m := range f.members {
		if !slices.Contains(f.collectors, m) {
			f.reporters[m.Name] = &Reporter{}
		}
	}
	return f
}

// run plays some rounds in which each router that lives reports and gets a digest.
func (f *reportingFleet) run(d time.Duration) {
	const round = 80 * time.Millisecond
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(round) {
		for _, m := range f.members {
			r := f.reporters[m.Name]
			if r == nil || f.dead[m.Name] {
				continue
			}
			if to := r.Pick(f.now, m, f.collectors, f.members); to.Name != "" && !f.dead[to.Name] {
				r.ReceiveDigest(f.now.Add(round/2), to.Name)
			}
		}
	}
}

// inTouch returns how many of the routers that live hear of the others, and how many
// live.
func (f *reportingFleet) countWithDigest() (heard, live int) {
	for _, m := range f.members {
		if r := f.reporters[m.Name]; r != nil && !f.dead[m.Name] {
			live++
			if r.HasRecentDigest(f.now) {
				heard++
			}
		}
	}
	return heard, live
}

// TestReportersFindAnother loses some of the routers that collect, one after the other
// and together with whole failure domains.
func TestReportersSwitchFromLostCollectors(t *testing.T) {
	for name, lost := range map[string]func(f *reportingFleet, m Member) bool{
		"one that collects":  func(f *reportingFleet, m Member) bool { return m == f.collectors[0] },
		"all of a domain":    func(f *reportingFleet, m Member) bool { return m.Domain == "a" && slices.Contains(f.collectors, m) },
		"a domain":           func(_ *reportingFleet, m Member) bool { return m.Domain == "a" },
		"half of all":        func(_ *reportingFleet, m Member) bool { return nameHash(m)%2 == 0 },
		"all that collect":   func(f *reportingFleet, m Member) bool { return slices.Contains(f.collectors, m) },
		"all but one domain": func(_ *reportingFleet, m Member) bool { return m.Domain != "b" },
	} {
		t.Run(name, func(t *testing.T) {
			f := newReportingFleet(59, "a", "b", "c", "d", "e")
			f.run(2 * time.Second)
			if heard, live := f.countWithDigest(); heard != live {
				t.Fatalf("got %d of %d routers in touch before anything happened", heard, live)
			}
			for _, m := range f.members {
				if lost(f, m) {
					f.dead[m.Name] = true
				}
			}
			f.run(3 * time.Second)
			if heard, live := f.countWithDigest(); heard < live*9/10 {
				t.Errorf("got %d of %d routers in touch three seconds later, want nine tenths", heard, live)
			}
		})
	}
}

// TestReportersSpread has each failure domain's routers report to all of those that
// collect there, and to no others.
func TestReportersSpreadOverCollectorsOfTheirDomain(t *testing.T) {
	f := newReportingFleet(59, "a", "b", "c", "d", "e")
	f.run(time.Second)
	load := make(map[string]int)
	for _, m := range f.members {
		if r := f.reporters[m.Name]; r != nil {
			load[r.Current().Name]++
			if got := r.Current().Domain; got != m.Domain {
				t.Errorf("%s reports into domain %s", m.Name, got)
			}
		}
	}
	for _, m := range f.collectors {
		if got, fair := load[m.Name], len(f.reporters)/len(f.collectors); got > 2*fair || got < fair/3 {
			t.Errorf("got %d routers that report to %s, want about %d", got, m.Name, fair)
		}
	}
}

// TestReporterStaysWhereItIsServed has a better router appear, go and come back.
func TestReporterRarelySwitchesCollectors(t *testing.T) {
	var r Reporter
	self := Member{Name: "self", Domain: "a"}
	near, far := Member{Name: "near", Domain: "a"}, Member{Name: "far", Domain: "b"}
	changes, last := 0, ""
	for step := range 200 {
		now := epoch.Add(time.Duration(step) * 80 * time.Millisecond)
		collectors := []Member{far}
		if step/10%2 == 1 {
			collectors = append(collectors, near)
		}
		to := r.Pick(now, self, collectors, nil)
		r.ReceiveDigest(now, to.Name)
		if to.Name != last {
			changes, last = changes+1, to.Name
		}
	}
	if changes > 8 {
		t.Errorf("got %d changes in 16 s, want one in a few seconds at most", changes)
	}
	r.MarkFailed(epoch.Add(16*time.Second), last)
	if to := r.Pick(epoch.Add(16*time.Second), self, []Member{near, far}, nil); to.Name == last {
		t.Errorf("got %s again right after it said that it leaves", last)
	}
}

// TestFailedCollectorIsTriedOnceItIsBack has the router that one reports to die and
// start again: it must not be tried while it is dead, and be reported to once others say
// that it collects.
func TestFailedCollectorIsUsedAgainOnceAnnounced(t *testing.T) {
	var r Reporter
	self := Member{Name: "self", Domain: "a"}
	first, second := Member{Name: "first", Domain: "a"}, Member{Name: "second", Domain: "b"}
	chosen := []Member{first, second}
	died, restarted := 2*time.Second, 10*time.Second
	lostReports := 0
	for at := time.Duration(0); at < 20*time.Second; at += 80 * time.Millisecond {
		now := epoch.Add(at)
		live := at < died || at >= restarted
		if at < died+2*time.Second || at >= restarted {
			r.MarkAnnounced(now, first.Name) // others notice its silence late
		}
		to := r.Pick(now, self, chosen, nil)
		switch {
		case to == second || live:
			r.ReceiveDigest(now, to.Name)
		default:
			lostReports++
		}
	}
	if lostReports > 6 {
		t.Errorf("got %d reports to a dead router, want those until its silence counts", lostReports)
	}
	if got := r.Current(); got != first {
		t.Errorf("got %s reported to in the end, want the one of the own domain", got.Name)
	}
}

// TestStarvedReporterBlamesNobody has digests reach a router that is short of processor
// time two thirds of a second late: it must not go from one to the next that collects.
func TestOverloadedReporterKeepsItsCollector(t *testing.T) {
	self := Member{Name: "self", Domain: "a"}
	chosen := []Member{{Name: "x", Domain: "a"}, {Name: "y", Domain: "a"}, {Name: "z", Domain: "b"}}
	for _, overloaded := range []bool{true, false} {
		var r Reporter
		r.SetOverloaded(overloaded)
		changes, last := 0, ""
		for at := time.Duration(0); at < 6*time.Second; at += 80 * time.Millisecond {
			to := r.Pick(epoch.Add(at), self, chosen, nil)
			if to.Name != last {
				changes, last = changes+1, to.Name
			}
			if at%(640*time.Millisecond) == 0 {
				r.ReceiveDigest(epoch.Add(at), to.Name)
			}
		}
		if overloaded != (changes == 1) {
			t.Errorf("starved %v: got %d routers reported to in turn", overloaded, changes)
		}
	}
}
