package placer

import (
	"fmt"
	"testing"
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
)

var start = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)

func upstreamName(i int) messenger.UpstreamID { return messenger.UpstreamID(fmt.Sprintf("w%d", i)) }

// newPlacer returns a Placer of n upstreams with slots each.
func newPlacer(n, slots int) *Placer {
	p := New(1)
	for i := range n {
		p.SetUpstream(upstreamName(i), messenger.UpstreamPolicy{Window: slots})
		p.SetLease(upstreamName(i), slots, slots)
	}
	return p
}

// observeTokens reports tokens of all upstreams for a while; those in slow take five times
// as long.
func observeTokens(p *Placer, now time.Time, d time.Duration, n int, slow map[int]bool) time.Time {
	for end := now.Add(d); now.Before(end); now = now.Add(50 * time.Millisecond) {
		for i := range n {
			took := 20 * time.Millisecond
			if slow[i] {
				took *= 5
			}
			p.ObserveTokens(now, upstreamName(i), 1, took)
		}
		p.CheckHealth(now)
	}
	return now
}

// countPlaced returns how many of n requests each upstream gets.
func countPlaced(p *Placer, now time.Time, n int) map[messenger.UpstreamID]int {
	counts := make(map[messenger.UpstreamID]int)
	for range n {
		if u, ok := p.Pick(now, Query{}); ok {
			p.Start(now, u, false)
			counts[u]++
		}
	}
	return counts
}

func TestSlowUpstreamLosesWindowWithinASecondAndRecovers(t *testing.T) {
	p := newPlacer(5, 10)
	now := observeTokens(p, start, 5*time.Second, 5, nil)
	now = observeTokens(p, now, time.Second, 5, map[int]bool{2: true})
	if got := p.upstreams[upstreamName(2)].effectiveWindow(); got > 1 {
		t.Errorf("got a window of %d after a second of slowness, want at most 1", got)
	}
	now = observeTokens(p, now, 2*time.Second, 5, nil)
	if got := countPlaced(p, now, 50)[upstreamName(2)]; got != 10 {
		t.Errorf("got %d requests after recovery, want the whole window of 10", got)
	}
}

func TestSilentUpstreamLosesWindow(t *testing.T) {
	p := newPlacer(2, 10)
	p.Start(start, upstreamName(0), false)
	p.Start(start, upstreamName(1), false)
	now := observeTokens(p, start, 2*time.Second, 2, nil)
	for end := now.Add(2 * time.Second); now.Before(end); now = now.Add(50 * time.Millisecond) {
		p.ObserveTokens(now, upstreamName(1), 1, 20*time.Millisecond)
		p.CheckHealth(now)
	}
	if got := p.upstreams[upstreamName(0)].effectiveWindow(); got > 1 {
		t.Errorf("got a window of %d for a silent upstream, want at most 1", got)
	}
}

// TestPoolWithoutEventsKeepsItsWindows has a router without CPU time for seconds: it
// receives no events from any upstream, and then those of all in a burst.
func TestPoolWithoutEventsKeepsItsWindows(t *testing.T) {
	p := newPlacer(4, 10)
	for i := range 4 {
		p.Start(start, upstreamName(i), false)
	}
	now := observeTokens(p, start, 2*time.Second, 4, nil)
	for range 20 {
		for range 40 {
			now = now.Add(50 * time.Millisecond)
			p.CheckHealth(now)
		}
		now = observeTokens(p, now, 100*time.Millisecond, 4, nil)
	}
	for i := range 4 {
		if got := p.upstreams[upstreamName(i)].effectiveWindow(); got != 10 {
			t.Errorf("got a window of %d for %s, want all of 10", got, upstreamName(i))
		}
	}
}

func TestIdleSlowUpstreamIsProbed(t *testing.T) {
	p := newPlacer(2, 10)
	now := observeTokens(p, start, time.Second, 2, nil)
	now = observeTokens(p, now, time.Second, 2, map[int]bool{0: true})
	now = now.Add(probeInterval)
	p.CheckHealth(now)
	if got := countPlaced(p, now, 20)[upstreamName(0)]; got != 1 {
		t.Errorf("got %d requests for an idle slow upstream, want one probe", got)
	}
}

func TestLateReportIsCorrected(t *testing.T) {
	p := newPlacer(2, 10)
	for range 4 {
		p.Start(start, upstreamName(0), false)
	}
	measured := start.Add(100 * time.Millisecond)
	now := start.Add(200 * time.Millisecond)
	for range 3 {
		p.Start(now, upstreamName(0), false)
	}
	p.ReportLoad(messenger.LoadReport{Upstream: upstreamName(0), Running: 6, Measured: measured})
	if got := p.upstreams[upstreamName(0)].requestCount(now); got != 9 {
		t.Errorf("got %d requests, want 7 of this router and 2 of others", got)
	}
	p.ReportLoad(messenger.LoadReport{Upstream: upstreamName(0), Running: 60, Measured: measured.Add(-time.Second)})
	if got := p.upstreams[upstreamName(0)].requestCount(now); got != 9 {
		t.Errorf("got %d requests after an older report, want 9 still", got)
	}
}

func TestPrefixAffinityIsBoundedByLoad(t *testing.T) {
	p := newPlacer(4, 10)
	p.ReportCache(upstreamName(3), 42, true)
	u, _ := p.Pick(start, Query{Prefix: 42})
	if u != upstreamName(3) {
		t.Errorf("got %s, want the upstream that holds the prefix", u)
	}
	counts := make(map[messenger.UpstreamID]int)
	for range 20 {
		u, _ := p.Pick(start, Query{Prefix: 42})
		p.Start(start, u, false)
		counts[u]++
	}
	if got := counts[upstreamName(3)]; got < 5 || got > 8 {
		t.Errorf("got %d of 20 requests on the prefix holder, want slightly more than the mean of 5", got)
	}
	p.ReportCache(upstreamName(3), 42, false)
	if _, ok := p.prefixes.get(42); ok {
		t.Error("got a prefix holder after the upstream evicted the prefix, want none")
	}
}

func TestAffinityMemoryIsBounded(t *testing.T) {
	var a prefixCache
	for i := range uint64(10 * affinityEntries) {
		a.put(i, "w")
	}
	if got := len(a.current) + len(a.previous); got > 2*affinityEntries {
		t.Errorf("got %d prefixes in the cache, want at most %d", got, 2*affinityEntries)
	}
}

func TestLongWorkAndAvoidance(t *testing.T) {
	p := New(1)
	p.SetUpstream("w", messenger.UpstreamPolicy{Window: 4})
	p.SetLease("w", 4, 1)
	p.Start(start, "w", true)
	if _, ok := p.Pick(start, Query{Long: true}); ok {
		t.Error("got a slot for a long request beyond its limit, want none")
	}
	if _, ok := p.Pick(start, Query{}); !ok {
		t.Error("got no slot for a short request, want one")
	}
	if _, ok := p.Pick(start, Query{Avoid: "w"}); !ok {
		t.Error("got no upstream, want the one to avoid if no other accepts requests")
	}
	p.SetUpstream("full", messenger.UpstreamPolicy{Window: 4})
	if _, ok := p.Pick(start, Query{Avoid: "w"}); ok {
		t.Error("got the upstream to avoid, want none while another accepts requests")
	}
}
