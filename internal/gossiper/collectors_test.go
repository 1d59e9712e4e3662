package gossiper

import (
	"slices"
	"testing"
	"time"
)

var epoch = time.Unix(1_700_000_000, 0)

// TestCollectorsGrowWithSquareRootOfFleet checks fleets of several sizes: in a small one all
// routers are collectors; in a large one there are so few that neither they nor the reporters
// receive many messages.
func TestCollectorsGrowWithSquareRootOfFleet(t *testing.T) {
	domains := []string{"a", "b", "c", "d", "e"}
	for _, c := range []struct{ perDomain, minWant, maxWant int }{{2, 10, 10}, {12, 10, 10}, {59, 15, 20}, {80, 15, 25}} {
		all := newMembers(c.perDomain, domains...)
		chosen := Collectors(all)
		if got := len(chosen); got < c.minWant || got > c.maxWant {
			t.Errorf("got %d collectors of %d routers, want %d to %d", got, len(all), c.minWant, c.maxWant)
		}
		for _, domain := range domains {
			if got := len(SameDomain(Member{Domain: domain}, chosen)); got < minCollectorsPerDomain {
				t.Errorf("got %d collectors in a domain of %d routers, want at least %d", got, c.perDomain, minCollectorsPerDomain)
			}
		}
	}
}

// TestCollectorsAreRoutersOnLargestVMs has a tenth of the routers on larger VMs.
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
			t.Errorf("got collector %s with weight %d, want only the large VMs", m.Name, m.Weight)
		}
	}
}

// reportingFleet is a fleet in virtual time whose routers report to collectors.
type reportingFleet struct {
	members, collectors []Member
	reporters           map[string]*Reporter
	stopped             map[string]bool
	now                 time.Time
}

func newReportingFleet(n int, domains ...string) *reportingFleet {
	f := &reportingFleet{members: newMembers(n, domains...), reporters: make(map[string]*Reporter), stopped: make(map[string]bool), now: epoch}
	f.collectors = Collectors(f.members)
	for _, m := range f.members {
		if !slices.Contains(f.collectors, m) {
			f.reporters[m.Name] = &Reporter{}
		}
	}
	return f
}

// run runs rounds for d, in each of which every live router reports and receives a digest from
// a live collector.
func (f *reportingFleet) run(d time.Duration) {
	const round = 80 * time.Millisecond
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(round) {
		for _, m := range f.members {
			r := f.reporters[m.Name]
			if r == nil || f.stopped[m.Name] {
				continue
			}
			if to := r.Pick(f.now, m, f.collectors, f.members); to.Name != "" && !f.stopped[to.Name] {
				r.ReceiveDigest(f.now.Add(round/2), to.Name)
			}
		}
	}
}

// countWithDigest returns how many live reporters have a recent digest, and how many there
// are.
func (f *reportingFleet) countWithDigest() (withDigest, live int) {
	for _, m := range f.members {
		if r := f.reporters[m.Name]; r != nil && !f.stopped[m.Name] {
			live++
			if r.HasRecentDigest(f.now) {
				withDigest++
			}
		}
	}
	return withDigest, live
}

// TestReportersSwitchFromLostCollectors stops a single collector, all of a domain or of the
// fleet, and whole failure domains. The other routers must find a collector that answers.
func TestReportersSwitchFromLostCollectors(t *testing.T) {
	for name, lost := range map[string]func(f *reportingFleet, m Member) bool{
		"one collector":       func(f *reportingFleet, m Member) bool { return m == f.collectors[0] },
		"all of one domain":   func(f *reportingFleet, m Member) bool { return m.Domain == "a" && slices.Contains(f.collectors, m) },
		"one domain":          func(_ *reportingFleet, m Member) bool { return m.Domain == "a" },
		"half of all routers": func(_ *reportingFleet, m Member) bool { return nameHash(m)%2 == 0 },
		"all collectors":      func(f *reportingFleet, m Member) bool { return slices.Contains(f.collectors, m) },
		"all but one domain":  func(_ *reportingFleet, m Member) bool { return m.Domain != "b" },
	} {
		t.Run(name, func(t *testing.T) {
			f := newReportingFleet(59, "a", "b", "c", "d", "e")
			f.run(2 * time.Second)
			if withDigest, live := f.countWithDigest(); withDigest != live {
				t.Fatalf("got %d of %d reporters with a recent digest before the loss, want all", withDigest, live)
			}
			for _, m := range f.members {
				if lost(f, m) {
					f.stopped[m.Name] = true
				}
			}
			f.run(3 * time.Second)
			if withDigest, live := f.countWithDigest(); withDigest < live*9/10 {
				t.Errorf("got %d of %d reporters with a recent digest 3 s after the loss, want at least 90%%", withDigest, live)
			}
		})
	}
}

// TestReportersSpreadOverCollectorsOfTheirDomain checks that the routers of each failure
// domain report to all collectors there, evenly, and to no others.
func TestReportersSpreadOverCollectorsOfTheirDomain(t *testing.T) {
	f := newReportingFleet(59, "a", "b", "c", "d", "e")
	f.run(time.Second)
	load := make(map[string]int)
	for _, m := range f.members {
		if r := f.reporters[m.Name]; r != nil {
			load[r.Current().Name]++
			if got := r.Current().Domain; got != m.Domain {
				t.Errorf("%s reports to a collector in domain %s, want its own domain", m.Name, got)
			}
		}
	}
	for _, m := range f.collectors {
		if got, fair := load[m.Name], len(f.reporters)/len(f.collectors); got > 2*fair || got < fair/3 {
			t.Errorf("got %d reporters of %s, want about %d", got, m.Name, fair)
		}
	}
}

// TestReporterRarelySwitchesCollectors has a preferred collector appear and disappear every
// 0.8 s.
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
		t.Errorf("got %d switches in 16 s, want at most 8", changes)
	}
	r.MarkFailed(epoch.Add(16*time.Second), last)
	if to := r.Pick(epoch.Add(16*time.Second), self, []Member{near, far}, nil); to.Name == last {
		t.Errorf("got %s again right after it was marked as failed", last)
	}
}

// TestFailedCollectorIsUsedAgainOnceAnnounced stops the collector of a router and starts it
// again. It must not be retried while it is stopped, and be used again once others announce it.
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
			r.MarkAnnounced(now, first.Name) // others detect the failure 2 s late
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
		t.Errorf("got %d reports to a stopped collector, want at most 6: those until the digest timeout", lostReports)
	}
	if got := r.Current(); got != first {
		t.Errorf("got %s as the collector in the end, want the one in the domain of self", got.Name)
	}
}

// TestOverloadedReporterKeepsItsCollector has digests arrive every 0.64 s only, as at an
// overloaded router. Such a router must not switch from collector to collector; another one
// must.
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
			t.Errorf("overloaded %v: got %d collectors in turn, want one only if overloaded", overloaded, changes)
		}
	}
}
