package assigner

import (
	"encoding/json"
	"fmt"
	"maps"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lentilwood.example/lentilwood/internal/messenger"
)

const testPool = messenger.PoolID("p")

// TestPlanFollowsCapacity checks the parts of the versions through a release, and that a plan moves no
// more slots than it must.
func TestPlanFollowsCapacity(t *testing.T) {
	var h History
	now := int64(1000)
	for _, step := range []struct {
		name      string
		after     time.Duration
		capacity  map[string]int
		want      map[string]int
		wantMoved int
	}{
		{"one version", 0, map[string]int{"v1": 9}, map[string]int{"v1": 64}, 64},
		{"a new one, too soon", time.Second, map[string]int{"v1": 9, "v2": 1}, nil, 0},
		{"a new one", 10 * time.Second, map[string]int{"v1": 9, "v2": 1}, map[string]int{"v1": 58, "v2": 6}, 6},
		{"a small change", 10 * time.Second, map[string]int{"v1": 8, "v2": 1}, nil, 0},
		{"half and half", 10 * time.Second, map[string]int{"v1": 5, "v2": 5}, map[string]int{"v1": 32, "v2": 32}, 26},
		{"the old one is gone", 200 * time.Millisecond, map[string]int{"v2": 5}, map[string]int{"v2": 64}, 32},
		{"nothing is left", 10 * time.Second, nil, nil, 0},
	} {
		now += step.after.Milliseconds()
		next, changed := h.Next(now, Demand{Capacity: step.capacity, MinInterval: 5 * time.Second})
		if changed != (step.want != nil) {
			t.Fatalf("%s: got a new plan %t, want %t", step.name, changed, step.want != nil)
		}
		if !changed {
			continue
		}
		if got := next.newest().slotsOf(); !maps.Equal(got, step.want) {
			t.Errorf("%s: got %v, want %v", step.name, got, step.want)
		}
		moved := 0
		for id := range StreamID(slotCount) {
			if len(h.Plans) == 0 || h.newest().Version(id) != next.newest().Version(id) {
				moved++
			}
		}
		if moved != step.wantMoved {
			t.Errorf("%s: got %d slots moved, want %d", step.name, moved, step.wantMoved)
		}
		h = next
	}
}

// simRouter is a router of a simulated fleet; row is what it stored last.
type simRouter struct {
	name  string
	a     *Assigner
	fresh Freshness
	row   RouterRow
}

// simStream is a stream with the version at which it began.
type simStream struct {
	id      StreamID
	version string
	begunMs int64
}

// simFleet is a fleet that shares a store.
type simFleet struct {
	nowMs   int64
	history History
	rows    map[string]RouterRow
	routers []*simRouter
	streams []simStream
	started uint64
}

func newSimFleet(routers int) *simFleet {
	f := &simFleet{nowMs: 1_000_000, rows: make(map[string]RouterRow)}
	f.history, _ = f.history.Next(f.nowMs, Demand{Capacity: map[string]int{"v1": 1}})
	for i := range routers {
		f.routers = append(f.routers, &simRouter{name: fmt.Sprint("r", i)})
		f.restart(f.routers[i], true)
	}
	return f
}

func (f *simFleet) now() time.Time { return time.UnixMilli(f.nowMs) }

// restart replaces a router's process by one that knows what the store has.
func (f *simFleet) restart(r *simRouter, first bool) {
	f.started++
	r.a, r.fresh = &Assigner{}, Freshness{}
	f.learn(r)
	r.row = RouterRow{Router: r.name, Incarnation: f.started, StartedMs: f.nowMs, First: first}
}

// learn has a router read the plans.
func (f *simFleet) learn(r *simRouter) {
	r.a.Merge(testPool, f.history, f.nowMs)
	r.fresh.Confirm(f.nowMs, f.nowMs)
}

// save stores a router's row.
func (f *simFleet) save(r *simRouter) {
	r.row.Pools = r.a.PoolStreams()
	text, _ := json.Marshal(r.row)
	row, err := ParseRouterRow(text)
	if err != nil {
		panic(err)
	}
	f.rows[fmt.Sprint(r.name, r.row.Incarnation)] = row
}

// begin begins a stream at a router and breaks it off.
func (f *simFleet) begin(r *simRouter, breaks bool) {
	if !r.fresh.IsLeased(f.nowMs) {
		f.learn(r)
	}
	id := HashStream(fmt.Sprint("a", len(f.streams)))
	version, _ := r.a.Begin(testPool, id)
	f.streams = append(f.streams, simStream{id, version, f.nowMs})
	if breaks {
		r.a.End(testPool, id, true, f.now().Add(Lifetime))
	}
}

// find looks a stream up at a router that has just read the store and knows how old the stream can be.
func (f *simFleet) find(r *simRouter, id StreamID, earliestMs int64) (string, bool) {
	if version, ok := r.a.Version(testPool, id); ok {
		return version, true
	}
	f.learn(r)
	v := View{EarliestMs: earliestMs, HasRows: true, Own: r.row}
	for _, row := range f.rows {
		v.Rows = append(v.Rows, row)
	}
	for _, other := range f.routers {
		v.Routers = append(v.Routers, other.name)
	}
	return r.a.History(testPool).Find(testPool, id, v)
}

// TestStreamIsNeverFoundAtAnotherVersion plays random orders of plans that are written and learnt late, rows that
// are stored late or never, routers that stand still or restart and streams that break, and looks up all streams.
func TestStreamIsNeverFoundAtAnotherVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newSimFleet(3)
		router := rapid.SampledFrom(f.routers)
		t.Repeat(map[string]func(*rapid.T){
			"plan": func(t *rapid.T) {
				capacity := map[string]int{"v1": rapid.IntRange(0, 3).Draw(t, "v1"), "v2": rapid.IntRange(0, 3).Draw(t, "v2"), "v3": rapid.IntRange(0, 1).Draw(t, "v3")}
				madeMs := f.nowMs - rapid.Int64Range(0, maxWriteDelay.Milliseconds()).Draw(t, "late")
				f.history, _ = f.history.Next(madeMs, Demand{Capacity: capacity})
			},
			"learn":   func(t *rapid.T) { f.learn(router.Draw(t, "router")) },
			"save":    func(t *rapid.T) { f.save(router.Draw(t, "router")) },
			"begin":   func(t *rapid.T) { f.begin(router.Draw(t, "router"), rapid.Bool().Draw(t, "breaks")) },
			"restart": func(t *rapid.T) { f.restart(router.Draw(t, "router"), false) },
			"wait": func(t *rapid.T) {
				f.nowMs += rapid.Int64Range(1, Lifetime.Milliseconds()/3).Draw(t, "ms")
				for _, r := range f.routers {
					r.a.Expire(f.now())
				}
			},
			"": func(t *rapid.T) {
				for _, s := range f.streams {
					if f.nowMs-s.begunMs > Lifetime.Milliseconds() {
						continue
					}
					for _, r := range f.routers {
						if got, ok := f.find(r, s.id, s.begunMs); ok && got != s.version {
							t.Fatalf("got version %s for a stream that began at %s", got, s.version)
						}
					}
				}
			},
		})
	})
}

// TestStreamsAreFoundAfterAllRoutersRestart guards against the report of issue 57: two software versions
// are in service, or the old one has just left, all routers are killed at once, and streams that are
// resumed at the new ones must go on at their own version.
func TestStreamsAreFoundAfterAllRoutersRestart(t *testing.T) {
	for name, capacity := range map[string]map[string]int{
		"side by side": {"v1": 4, "v2": 5}, "the old one has left": {"v2": 9},
	} {
		t.Run(name, func(t *testing.T) {
			f := newSimFleet(8)
			begin := func() {
				for i := range 400 {
					f.begin(f.routers[i%len(f.routers)], i%3 == 0)
				}
			}
			begin()
			f.nowMs += 5000
			f.history, _ = f.history.Next(f.nowMs, Demand{Capacity: capacity})
			for _, r := range f.routers {
				r.a.Merge(testPool, f.history, f.nowMs)
				f.save(r)
			}
			begin()
			f.nowMs += 2000
			for _, r := range f.routers {
				f.restart(r, false)
			}
			for _, s := range f.streams {
				if got, ok := f.find(f.routers[0], s.id, f.nowMs-Lifetime.Milliseconds()); !ok || got != s.version {
					t.Fatalf("got %q, %t for a stream that began at %s", got, ok, s.version)
				}
			}
		})
	}
}

// TestUnconfirmedPlanLeavesVersionOpen guards against a guess: a router ended without a word on whether it
// had learnt the newest plan.
func TestUnconfirmedPlanLeavesVersionOpen(t *testing.T) {
	f := newSimFleet(2)
	for _, r := range f.routers {
		f.save(r)
	}
	f.nowMs += 5000
	f.history, _ = f.history.Next(f.nowMs, Demand{Capacity: map[string]int{"v2": 1}})
	f.routers[1].a.Merge(testPool, f.history, f.nowMs)
	f.save(f.routers[1])
	f.begin(f.routers[0], false)
	f.restart(f.routers[0], false)
	if got, ok := f.find(f.routers[1], f.streams[0].id, f.streams[0].begunMs); ok {
		t.Errorf("got %s, want the version not known", got)
	}
	f.nowMs += (maxWriteDelay + Lease + Lifetime).Milliseconds() + 1
	f.save(f.routers[0])
	f.begin(f.routers[0], false)
	if got, ok := f.find(f.routers[1], f.streams[1].id, f.nowMs-Lifetime.Milliseconds()); !ok || got != "v2" {
		t.Errorf("after the lifetime of streams: got %q, %t, want v2", got, ok)
	}
}
