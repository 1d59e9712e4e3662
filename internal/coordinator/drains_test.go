package coordinator

import (
	"fmt"
	"testing"
	"time"

	"lentilwood.example/lentilwood/internal/configurer"
	"lentilwood.example/lentilwood/internal/storer"
)

// allSeeLeaving returns a condition that holds when want is the leaving state of
// upstream w1 on all running routers.
func (f *fleet) allSeeLeaving(want bool) func() bool {
	return func() bool {
		for _, n := range f.nodes {
			if n.up && n.policy.Upstreams["w1"].Leaving != want {
				return false
			}
		}
		return true
	}
}

func TestLeavingUpstreamIsKnownWithinSeconds(t *testing.T) {
	t.Parallel()
	const limit = 3 * time.Second
	tests := []struct {
		name    string
		trigger func(f *fleet)
	}{
		{"upstream's load report, store up", func(f *fleet) { f.handleEvent(f.nodes["r004"], LoadReport{"w1", true}) }},
		{"upstream's load report, store down", func(f *fleet) {
			f.setStoreDown(true)
			f.handleEvent(f.nodes["r004"], LoadReport{"w1", true})
		}},
		{"VM list", func(f *fleet) { f.keeper.SetVMs([]storer.VM{{Name: "w1", Leaving: true}}) }},
		{"VM list, matched by IP address, read by one router only", func(f *fleet) {
			f.storeUnreachable = func(a string) bool { return a != "r000" }
			f.handleEvent(f.nodes["r000"], VMsRead{VMs: []storer.VM{{Name: "vm-17", Address: "10.1.0.2", Leaving: true}}})
		}},
		{"operator's drain, store down right after", func(f *fleet) {
			leaving := true
			u, err := f.editor.PutException(f.t.Context(), 0, "drain-w1", configurer.Exception{
				Scope: configurer.Scope{Upstream: "w1"}, Reason: "rack 4 moves", Author: "ilze",
				Upstream: &configurer.UpstreamSettings{Leaving: &leaving},
			})
			if err != nil {
				f.t.Fatal(err)
			}
			f.setStoreDown(true)
			f.handleEvent(f.nodes["r004"], Accepted{Update: u})
		}},
	}
	for _, tt := range tests {
		for _, routers := range []int{8, 60} {
			t.Run(fmt.Sprint(tt.name, "/", routers), func(t *testing.T) {
				t.Parallel()
				f := newFleet(t, routers, 1)
				f.waitReady()
				f.waitAllLive()
				tt.trigger(f)
				if got := f.runUntil(time.Minute, f.allSeeLeaving(true)); got > limit {
					t.Errorf("known to all routers after %v, want at most %v", got, limit)
				}
			})
		}
	}
}

// TestDrainSurvivesRestartsAndPartitions guards against routers that keep using a
// leaving upstream because they missed the update. One router is partitioned while
// the update is sent, then each router restarts while the store is down; all must
// receive the update when they rejoin.
func TestDrainSurvivesRestartsAndPartitions(t *testing.T) {
	f := newFleet(t, 8, 1)
	f.waitReady()
	f.waitAllLive()
	f.setStoreDown(true)
	f.linkDown = func(a, b string) bool { return a == "r007" || b == "r007" }
	f.handleEvent(f.nodes["r004"], LoadReport{"w1", true})
	f.run(2 * time.Minute)
	f.linkDown = func(string, string) bool { return false }
	f.runUntil(time.Minute, f.allSeeLeaving(true))
	for _, name := range f.names {
		f.start(name)
		f.runUntil(time.Minute, f.allReady)
		if got := f.runUntil(time.Minute, f.allSeeLeaving(true)); got > 3*time.Second {
			t.Errorf("after restart of %s: known to all routers %v after all are ready, want at most 3s", name, got)
		}
	}
}

// TestReturningUpstreamIsConfirmedAfterDelay guards against routers that use a leaving
// upstream again because a load report from before it began to leave arrived late.
func TestReturningUpstreamIsConfirmedAfterDelay(t *testing.T) {
	f := newFleet(t, 8, 1)
	f.waitReady()
	f.waitAllLive()
	f.handleEvent(f.nodes["r004"], LoadReport{"w1", true})
	f.runUntil(time.Minute, f.allSeeLeaving(true))
	f.handleEvent(f.nodes["r005"], LoadReport{"w1", false})
	f.run(5 * time.Second)
	if !f.allSeeLeaving(true)() {
		t.Error("a single report that the upstream stays cancelled its leaving state")
	}
	f.run(6 * time.Second)
	f.handleEvent(f.nodes["r005"], LoadReport{"w1", false})
	f.run(3 * time.Second)
	if !f.allSeeLeaving(false)() {
		t.Error("upstream still counts as leaving after reporting for 11s that it stays")
	}
}
