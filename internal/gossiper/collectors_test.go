package gossiper

import (
	"slices"
	"testing"
	"time"
)

var epoch = time.Unix(1_700_000_000, 0)

// TestCollectorsGrowWithTheRoot has fleets of several sizes: all collect in a small one,
// and in a large one so few that neither they nor those that report have much to hear.
func TestCollectorsGrowWithTheRoot(t *testing.T) {
	domains := []string{"a", "b", "c", "d", "e"}
	for _, c := range []struct{ each, least, most int }{{2, 10, 10}, {12, 10, 10}, {59, 15, 20}, {80, 15, 25}} {
		all := fleet(c.each, domains...)
		chosen := Collectors(all)
		if got := len(chosen); got < c.least || got > c.most {
			t.Errorf("got %d routers of %d that collect, want %d to %d", got, len(all), c.least, c.most)
		}
		for _, domain := range domains {
			if got := len(SameDomain(Member{Domain: domain}, chosen)); got < leastCollectors {
				t.Errorf("got %d that collect in a domain of %d, want at least %d", got, c.each, leastCollectors)
			}
		}
	}
}

// TestCollectorsHaveProcessorTime has a few routers on larger VMs.
func TestCollectorsHaveProcessorTime(t *testing.T) {
	all := fleet(40, "a", "b")
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
type reporters struct {
	all, chosen []Member
	picked      map[string]*Reporter
	dead        map[string]bool
	now         time.Time
}

func newReporters(n int, domains ...string) *reporters {
	f := &reporters{all: fleet(n, domains...), picked: make(map[string]*Reporter), dead: make(map[string]bool), now: epoch}
	f.chosen = Collectors(f.all)
	for _, m := range f.all {
		if !slices.Contains(f.chosen, m) {
			f.picked[m.Name] = &Reporter{}
		}
	}
	return f
}

// run plays some rounds in which each router that lives reports and gets a digest.
func (f *reporters) run(d time.Duration) {
	const round = 80 * time.Millisecond
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(round) {
		for _, m := range f.all {
			r := f.picked[m.Name]
			if r == nil || f.dead[m.Name] {
				continue
			}
			if to := r.Pick(f.now, m, f.chosen, f.all); to.Name != "" && !f.dead[to.Name] {
				r.ReceiveDigest(f.now.Add(round/2), to.Name)
			}
		}
	}
}

// inTouch returns how many of the routers that live hear of the others, and how many
// live.
func (f *reporters) inTouch() (heard, live int) {
	for _, m := range f.all {
		if r := f.picked[m.Name]; r != nil && !f.dead[m.Name] {
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
func TestReportersFindAnother(t *testing.T) {
	for name, lost := range map[string]func(f *reporters, m Member) bool{
		"one that collects":  func(f *reporters, m Member) bool { return m == f.chosen[0] },
		"all of a domain":    func(f *reporters, m Member) bool { return m.Domain == "a" && slices.Contains(f.chosen, m) },
		"a domain":           func(_ *reporters, m Member) bool { return m.Domain == "a" },
		"half of all":        func(_ *reporters, m Member) bool { return hash(m)%2 == 0 },
		"all that collect":   func(f *reporters, m Member) bool { return slices.Contains(f.chosen, m) },
		"all but one domain": func(_ *reporters, m Member) bool { return m.Domain != "b" },
	} {
		t.Run(name, func(t *testing.T) {
			f := newReporters(59, "a", "b", "c", "d", "e")
			f.run(2 * time.Second)
			if heard, live := f.inTouch(); heard != live {
				t.Fatalf("got %d of %d routers in touch before anything happened", heard, live)
			}
			for _, m := range f.all {
				if lost(f, m) {
					f.dead[m.Name] = true
				}
			}
			f.run(3 * time.Second)
			if heard, live := f.inTouch(); heard < live*9/10 {
				t.Errorf("got %d of %d routers in touch three seconds later, want nine tenths", heard, live)
			}
		})
	}
}

// TestReportersSpread has each failure domain's routers report to all of those that
// collect there, and to no others.
func TestReportersSpread(t *testing.T) {
	f := newReporters(59, "a", "b", "c", "d", "e")
	f.run(time.Second)
	load := make(map[string]int)
	for _, m := range f.all {
		if r := f.picked[m.Name]; r != nil {
			load[r.Current().Name]++
			if got := r.Current().Domain; got != m.Domain {
				t.Errorf("%s reports into domain %s", m.Name, got)
			}
		}
	}
	for _, m := range f.chosen {
		if got, fair := load[m.Name], len(f.picked)/len(f.chosen); got > 2*fair || got < fair/3 {
			t.Errorf("got %d routers that report to %s, want about %d", got, m.Name, fair)
		}
	}
}

// TestReporterStaysWhereItIsServed has a better router appear, go and come back.
func TestReporterStaysWhereItIsServed(t *testing.T) {
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
func TestFailedCollectorIsTriedOnceItIsBack(t *testing.T) {
	var r Reporter
	self := Member{Name: "self", Domain: "a"}
	first, second := Member{Name: "first", Domain: "a"}, Member{Name: "second", Domain: "b"}
	chosen := []Member{first, second}
	died, back := 2*time.Second, 10*time.Second
	misses := 0
	for at := time.Duration(0); at < 20*time.Second; at += 80 * time.Millisecond {
		now := epoch.Add(at)
		lives := at < died || at >= back
		if at < died+2*time.Second || at >= back {
			r.MarkAnnounced(now, first.Name) // others notice its silence late
		}
		to := r.Pick(now, self, chosen, nil)
		switch {
		case to == second || lives:
			r.ReceiveDigest(now, to.Name)
		default:
			misses++
		}
	}
	if misses > 6 {
		t.Errorf("got %d reports to a dead router, want those until its silence counts", misses)
	}
	if got := r.Current(); got != first {
		t.Errorf("got %s reported to in the end, want the one of the own domain", got.Name)
	}
}

// TestStarvedReporterBlamesNobody has digests reach a router that is short of processor
// time two thirds of a second late: it must not go from one to the next that collects.
func TestStarvedReporterBlamesNobody(t *testing.T) {
	self := Member{Name: "self", Domain: "a"}
	chosen := []Member{{Name: "x", Domain: "a"}, {Name: "y", Domain: "a"}, {Name: "z", Domain: "b"}}
	for _, starved := range []bool{true, false} {
		var r Reporter
		r.SetOverloaded(starved)
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
		if starved != (changes == 1) {
			t.Errorf("starved %v: got %d routers reported to in turn", starved, changes)
		}
	}
}
