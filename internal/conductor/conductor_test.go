package conductor

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"lentilwood.example/lentilwood/internal/configurer"
	"lentilwood.example/lentilwood/internal/emulator"
	"lentilwood.example/lentilwood/internal/evacuator"
	"lentilwood.example/lentilwood/internal/keeper"
	"lentilwood.example/lentilwood/internal/messenger"
	"lentilwood.example/lentilwood/internal/orderer"
	"lentilwood.example/lentilwood/internal/timekeeper"
)

var start = time.Date(2026, 5, 4, 8, 0, 0, 0, time.UTC)

// fleet is two routers' conductors before stand-in workers, in virtual time.
type fleet struct {
	t       *testing.T
	clock   *timekeeper.Manual
	keeper  *keeper.Keeper
	editor  *configurer.Editor
	workers map[messenger.UpstreamID]*emulator.Worker
	routers map[messenger.RouterID]*Conductor
	stops   map[messenger.RouterID]context.CancelFunc
	ends    sync.WaitGroup
}

var state = orderer.State{Models: map[string]string{"fitting": "7"}, Adapters: []string{"wigs"}, Role: "decode"}

// newFleet starts workers in the sites "old" and "new"; the new ones are held
// back.
func newFleet(t *testing.T, checksFence bool) *fleet {
	clock := timekeeper.NewManual(start)
	k := keeper.New(clock)
	f := &fleet{
		t: t, clock: clock, keeper: k, editor: &configurer.Editor{Store: k, Clock: clock},
		workers: make(map[messenger.UpstreamID]*emulator.Worker),
		routers: make(map[messenger.RouterID]*Conductor), stops: make(map[messenger.RouterID]context.CancelFunc),
	}
	window, engine := 8, true
	d := &configurer.Document{
		Pools:     map[messenger.PoolID]configurer.PoolSettings{"p": {State: &state}},
		Upstreams: make(map[messenger.UpstreamID]configurer.UpstreamSettings),
	}
	for _, site := range []string{"old", "new"} {
		for i := range 2 {
			id := messenger.UpstreamID(fmt.Sprint(site, i))
			leaving := site == "new"
			d.Upstreams[id] = configurer.UpstreamSettings{
				Pool: "p", Domain: site, Address: f.worker(id, checksFence), Window: &window,
				Engine: &engine, Leaving: &leaving, ChecksFence: &checksFence,
			}
		}
	}
	if _, err := f.editor.Set(t.Context(), d, configurer.Note{Author: "ilze", Reason: "start"}); err != nil {
		t.Fatal(err)
	}
	for _, id := range []messenger.RouterID{"r1", "r2"} {
		f.router(id)
	}
	t.Cleanup(f.close)
	return f
}

func (f *fleet) worker(id messenger.UpstreamID, checksFence bool) string {
	w := emulator.NewWorker(emulator.WorkerConfig{
		Name: string(id), Models: []string{"other"}, ModelLoadTime: time.Minute, ChecksFence: checksFence,
	}, f.clock)
	if err := w.Start("127.0.0.1:0"); err != nil {
		f.t.Fatal(err)
	}
	f.workers[id] = w
	return w.Addr()
}

func (f *fleet) router(id messenger.RouterID) {
	c := New(Config{Self: id, Seed: uint64(len(f.routers)), Clock: f.clock, Store: f.keeper})
	ctx, cancel := context.WithCancel(context.Background())
	f.routers[id], f.stops[id] = c, cancel
	f.ends.Go(func() { c.Run(ctx) })
	c.Peers([]messenger.RouterID{"r1", "r2"})
}

func (f *fleet) close() {
	for _, stop := range f.stops {
		stop()
	}
	f.ends.Wait()
	for _, w := range f.workers {
		w.Stop()
	}
}

// runUntil lets virtual time pass until done holds, d at most.
func (f *fleet) runUntil(d time.Duration, done func() bool) bool {
	for end := f.clock.Now().Add(d); f.clock.Now().Before(end); f.clock.Advance(tickInterval) {
		if doc, err := f.editor.Show(f.t.Context()); err == nil {
			policy := doc.Resolve(f.clock.Now(), "", "")
			for _, c := range f.routers {
				c.Update(doc, policy)
			}
		}
		f.settle()
		if done() {
			return true
		}
	}
	return false
}

// settle waits until the routers have done what this moment asks for: their
// calls over real sockets have ended, and they wait for the clock again.
func (f *fleet) settle() {
	for range 100000 {
		idle := f.clock.Waiters() >= len(f.routers)
		for _, c := range f.routers {
			idle = idle && c.open.Load() == 0
		}
		if idle {
			return
		}
		time.Sleep(50 * time.Microsecond)
	}
	f.t.Fatal("the routers do not come to rest")
}

// inState reports whether workers have the wanted state.
func (f *fleet) inState(ids ...messenger.UpstreamID) func() bool {
	return func() bool {
		for _, id := range ids {
			s := f.workers[id].State()
			if len(s.Models) != 1 || s.Models[0].Version != "7" || s.Models[0].Loading || len(s.Adapters) != 1 || s.Role != "decode" {
				return false
			}
		}
		return true
	}
}

func TestEnginesGetTheirWantedState(t *testing.T) {
	t.Parallel()
	for _, checksFence := range []bool{true, false} {
		f := newFleet(t, checksFence)
		if !f.runUntil(time.Hour, f.inState("old0", "old1", "new0", "new1")) {
			t.Errorf("checksFence %v: the engines do not reach their wanted state within an hour", checksFence)
		}
		for id, w := range f.workers {
			if got := w.State().Orders; got > 6 {
				t.Errorf("checksFence %v: %s got %d orders, want the four that are needed", checksFence, id, got)
			}
		}
	}
}

// TestSiteIsEmptiedThoughTheLeaderStops stops the router that runs the plan.
func TestSiteIsEmptiedThoughTheLeaderStops(t *testing.T) {
	t.Parallel()
	f := newFleet(t, true)
	doc, err := f.editor.Show(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	planner := &evacuator.Planner{Store: f.keeper, Clock: f.clock}
	_, err = planner.Create(t.Context(), doc, evacuator.Request{
		Name: "move", Site: "old", Reason: "the lease ends", Author: "ilze", By: start.Add(8 * time.Hour), LongestRun: time.Hour,
	})
	if err != nil {
		t.Fatal(err)
	}
	phase := func(want evacuator.Phase) func() bool {
		return func() bool {
			all, err := planner.List(t.Context())
			return err == nil && len(all) == 1 && all[0].Plan.Steps[0].Phase == want
		}
	}
	if !f.runUntil(time.Hour, phase(evacuator.Warming)) {
		t.Fatal("no replacement is warmed up within an hour")
	}
	if !f.inState("new0")() {
		t.Error("the replacement gets work before it is loaded")
	}
	leader := f.leader()
	f.stops[leader]()
	delete(f.routers, leader)
	finished := func() bool {
		all, err := planner.List(t.Context())
		return err == nil && all[0].Plan.Finished()
	}
	if !f.runUntil(2*time.Hour, finished) {
		all, _ := planner.List(t.Context())
		t.Fatalf("not finished two hours after the leader stopped: %+v", all)
	}
	doc, _ = f.editor.Show(t.Context())
	policy := doc.Resolve(f.clock.Now(), "", "")
	for id, u := range policy.Upstreams {
		if u.Leaving != (u.Domain == "old") || u.Window != 8 {
			t.Errorf("%s: leaving %v, window %d", id, u.Leaving, u.Window)
		}
	}
}

// leader returns the holder of the lease, by the row.
func (f *fleet) leader() messenger.RouterID {
	f.t.Helper()
	row, err := f.keeper.Read(f.t.Context(), "leases", LeaseName)
	if err != nil {
		f.t.Fatal(err)
	}
	for id := range f.routers {
		if string(row.Value[:14]) == fmt.Sprintf(`{"holder":"%s"`, id) {
			return id
		}
	}
	f.t.Fatalf("no leader in %s", row.Value)
	return ""
}

// TestResponseWithLongHeadIsNotKept guards against engines whose heads take the router's memory.
func TestResponseWithLongHeadIsNotKept(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Long", strings.Repeat("a", 1<<20))
		_, _ = w.Write([]byte("{}"))
	}))
	defer server.Close()
	if _, err := New(Config{Self: "r1"}).engines.state(t.Context(), strings.TrimPrefix(server.URL, "http://")); err == nil {
		t.Error("got a response whose head has 1 MiB, want an error")
	}
}

func TestCandidatesAreFewAndStable(t *testing.T) {
	var live []messenger.RouterID
	for i := range 400 {
		live = append(live, messenger.RouterID(fmt.Sprintf("r%d", i)))
	}
	var chosen []messenger.RouterID
	for _, id := range live {
		if candidate(live, id) {
			chosen = append(chosen, id)
		}
	}
	if len(chosen) != candidates {
		t.Fatalf("got %d candidates, want %d", len(chosen), candidates)
	}
	var rest []messenger.RouterID
	for _, id := range live {
		if id != chosen[0] {
			rest = append(rest, id)
		}
	}
	if !candidate(rest, chosen[1]) {
		t.Error("the other candidate changes when one is gone")
	}
}
