package coordinator

import (
	"fmt"
	"testing"
	"time"

	"lentilwood.example/lentilwood/internal/configurer"
	"lentilwood.example/lentilwood/internal/storer"
)

// leaving reports whether all routers that are up know that w1 leaves, or
// that it does not.
func (f *fleet) leaving(want bool) func() bool {
	return func() bool {
		for _, n := range f.nodes {
			if n.up && n.policy.Upstreams["w1"].Leaving != want {
				return false
			}
		}
		return true
	}
}

func TestLeavingUpstreamIsKnownWithinThreeSeconds(t *testing.T) {
	t.Parallel()
	const limit = 3 * time.Second
	tests := []struct {
		name string
		say  func(f *fleet)
	}{
		{"the engine's word, store up", func(f *fleet) { f.feed(f.nodes["r004"], LoadReport{"w1", true}) }},
		{"the engine's word, store down", func(f *fleet) {
			f.storeDown(true)
			f.feed(f.nodes["r004"], LoadReport{"w1", true})
		}},
		{"the list", func(f *fleet) { f.keeper.SetVMs([]storer.VM{{Name: "w1", Leaving: true}}) }},
		{"the list, by its IP number, read by one router only", func(f *fleet) {
			f.storeCut = func(a string) bool { return a != "r000" }
			f.feed(f.nodes["r000"], VMsRead{VMs: []storer.VM{{Name: "vm-17", Address: "10.1.0.2", Leaving: true}}})
		}},
		{"an operator's drain, store down right after", func(f *fleet) {
			leaving := true
			u, err := f.editor.Except(f.t.Context(), 0, "drain-w1", configurer.Exception{
				Scope: configurer.Scope{Upstream: "w1"}, Reason: "rack 4 moves", Author: "ilze",
				Upstream: &configurer.UpstreamSettings{Leaving: &leaving},
			})
			if err != nil {
				f.t.Fatal(err)
			}
			f.storeDown(true)
			f.feed(f.nodes["r004"], Accepted{Update: u})
		}},
	}
	for _, tt := range tests {
		for _, routers := range []int{8, 60} {
			t.Run(fmt.Sprint(tt.name, "/", routers), func(t *testing.T) {
				t.Parallel()
				f := newFleet(t, routers, 1)
				f.waitReady()
				f.waitMembers()
				tt.say(f)
				if got := f.runUntil(time.Minute, f.leaving(true)); got > limit {
					t.Errorf("known after %v, want at most %v", got, limit)
				}
			})
		}
	}
}

// TestDrainOutlivesRestartsAndCuts loses the news on a cut and restarts
// routers in an outage; who rejoins learns of it again.
func TestDrainOutlivesRestartsAndCuts(t *testing.T) {
	f := newFleet(t, 8, 1)
	f.waitReady()
	f.waitMembers()
	f.storeDown(true)
	f.cut = func(a, b string) bool { return a == "r007" || b == "r007" }
	f.feed(f.nodes["r004"], LoadReport{"w1", true})
	f.run(2 * time.Minute)
	f.cut = func(string, string) bool { return false }
	f.runUntil(time.Minute, f.leaving(true))
	for _, name := range f.names {
		f.start(name)
		f.runUntil(time.Minute, f.allReady)
		if got := f.runUntil(time.Minute, f.leaving(true)); got > 3*time.Second {
			t.Errorf("%s knows %v after it is ready, want at most 3s", name, got)
		}
	}
}

func TestReturnOfUpstreamIsBelievedLate(t *testing.T) {
	f := newFleet(t, 8, 1)
	f.waitReady()
	f.waitMembers()
	f.feed(f.nodes["r004"], LoadReport{"w1", true})
	f.runUntil(time.Minute, f.leaving(true))
	f.feed(f.nodes["r005"], LoadReport{"w1", false})
	f.run(5 * time.Second)
	if !f.leaving(true)() {
		t.Error("one late report took back that the upstream leaves")
	}
	f.run(6 * time.Second)
	f.feed(f.nodes["r005"], LoadReport{"w1", false})
	f.run(3 * time.Second)
	if !f.leaving(false)() {
		t.Error("the upstream is not used again after it said for 11s that it stays")
	}
}
