package router

import (
	"context"
	"errors"
	"io"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"lentilwood.example/lentilwood/internal/assigner"
	"lentilwood.example/lentilwood/internal/follower"
	"lentilwood.example/lentilwood/internal/loader"
	"lentilwood.example/lentilwood/internal/matcher"
	"lentilwood.example/lentilwood/internal/messenger"
	"lentilwood.example/lentilwood/internal/meter"
	"lentilwood.example/lentilwood/internal/timekeeper"
)

// memoryStreams is a StreamStore in memory.
type memoryStreams struct {
	clock   *timekeeper.Manual
	rows    map[string]StreamRow
	version uint64
	down    bool
	reads   int
}

// storeStartMs is the time of the store's clock as a test begins.
const storeStartMs = 5_000_000

var errStoreDown = errors.New("store is down")

func (s *memoryStreams) ReadRows(_ context.Context, prefix string) (StreamRows, error) {
	s.reads++
	if s.down {
		return StreamRows{}, errStoreDown
	}
	rows := StreamRows{NowMs: storeStartMs + s.clock.Uptime().Milliseconds()}
	for key, row := range s.rows {
		if strings.HasPrefix(key, prefix) {
			rows.Rows = append(rows.Rows, row)
		}
	}
	return rows, nil
}

func (s *memoryStreams) ReplaceRow(ctx context.Context, key string, version uint64, value []byte) error {
	if s.rows[key].Version != version {
		return ErrRowChanged
	}
	return s.WriteRow(ctx, key, value, nil)
}

func (s *memoryStreams) WriteRow(_ context.Context, key string, value []byte, remove []string) error {
	if s.down {
		return errStoreDown
	}
	s.version++
	s.rows[key] = StreamRow{Key: key, Value: value, Version: s.version}
	for _, old := range remove {
		delete(s.rows, old)
	}
	return nil
}

const streamPool messenger.PoolID = "p"

// keeperFleet has the keepers of two routers with one store.
type keeperFleet struct {
	*testing.T
	clock   *timekeeper.Manual
	store   *memoryStreams
	keepers []*streamKeeper
	started uint64
}

func newKeeperFleet(t *testing.T) *keeperFleet {
	clock := timekeeper.NewManual(time.Unix(1_800_000_000, 0))
	f := &keeperFleet{T: t, clock: clock, store: &memoryStreams{clock: clock, rows: make(map[string]StreamRow)}}
	for _, name := range []string{"r1", "r2"} {
		f.keepers = append(f.keepers, f.start(name, true))
	}
	return f
}

// start returns the keeper of a new process of a router.
func (f *keeperFleet) start(name string, first bool) *streamKeeper {
	f.started++
	log := logrus.New()
	log.SetOutput(io.Discard)
	k := newStreamKeeper(HostedConfig{
		Settings: loader.Router{Name: name, FirstStart: first}, Streams: f.store, Clock: f.clock, Log: log,
	}, meter.New(f.clock, 1), f.started)
	f.setFleet(k, 0)
	return k
}

// setFleet has a keeper hear of the other router, whose plans have the given sum of epochs.
func (f *keeperFleet) setFleet(k *streamKeeper, epochs uint64) {
	k.setFleet(fleetView{names: []string{"r1", "r2"}, joined: true, epochs: epochs})
}

// serve has a keeper know upstreams of the given versions, and do what is due.
func (f *keeperFleet) serve(k *streamKeeper, versions ...string) {
	f.Helper()
	upstreams := make(map[messenger.UpstreamID]messenger.UpstreamPolicy)
	for _, version := range versions {
		upstreams[messenger.UpstreamID("u-"+version)] = messenger.UpstreamPolicy{Pool: streamPool, Window: 8, SoftwareVersion: version}
	}
	route := matcher.Route{Host: "h", Prefix: "/", Resumable: true, Shares: []matcher.Share{{Pool: streamPool, Weight: 1}}}
	k.setUpstreams(&follower.Snapshot{
		Table: matcher.New(1, []matcher.Route{route}, nil), Policy: &messenger.Policy{Upstreams: upstreams},
	})
	if _, err := k.step(context.Background()); err != nil && !f.store.down {
		f.Fatal(err)
	}
}

// find looks up the version of a stream whose caller waits for 10 s more.
func (f *keeperFleet) find(k *streamKeeper, origin string) (string, bool) {
	return k.find(context.Background(), streamQuery{pool: streamPool, origin: origin, left: 10 * time.Second})
}

// TestRoutersAgreeOnPlans has two routers see a new version at the same time: one makes the plan, and
// the other takes it over.
func TestRoutersAgreeOnPlans(t *testing.T) {
	f := newKeeperFleet(t)
	for _, versions := range [][]string{{"v1"}, {"v1", "v2"}, {"v2"}} {
		f.clock.Advance(5 * time.Second)
		for range 2 {
			for _, k := range f.keepers {
				f.serve(k, versions...)
			}
		}
		want := f.keepers[0].History(streamPool)
		if got := f.keepers[1].History(streamPool); got.Epoch() != want.Epoch() || len(want.Plans[len(want.Plans)-1].Versions) != len(versions) {
			t.Errorf("%v: got epochs %d and %d with versions %v", versions, got.Epoch(), want.Epoch(), want.Plans[len(want.Plans)-1].Versions)
		}
	}
	if got, want := f.keepers[0].History(streamPool).Epoch(), uint64(3); got != want {
		t.Errorf("got epoch %d after three sets of versions, want %d", got, want)
	}
}

// TestResumeWaitsForNewestPlans guards against an old list of versions: another router has a newer plan
// that this one can't read, or the store has one that nobody told of.
func TestResumeWaitsForNewestPlans(t *testing.T) {
	f := newKeeperFleet(t)
	near, far := f.keepers[0], f.keepers[1]
	for _, k := range f.keepers {
		f.serve(k, "v1")
	}
	if version, ok := f.find(far, "elsewhere"); !ok || version != "v1" {
		t.Errorf("one version: got %q, %t, want v1", version, ok)
	}
	f.clock.Advance(5 * time.Second)
	f.serve(near, "v2")
	origin := "begunAtV2"
	if version, ok := near.Begin(streamPool, assigner.HashStream(origin)); !ok || version != "v2" {
		t.Fatalf("got %q, %t, want a stream at v2", version, ok)
	}
	f.store.down = true
	if version, ok := f.find(far, origin); ok {
		t.Errorf("without news: got %q, want the version not known", version)
	}
	f.setFleet(far, near.Epochs())
	if version, ok := f.find(far, origin); ok {
		t.Errorf("without the newest plan: got %q, want the version not known", version)
	}
	f.store.down = false
	f.clock.Advance(time.Second)
	f.serve(far, "v2") // confirms the plan
	f.clock.Advance(time.Second)
	if version, ok := f.find(far, origin); !ok || version != "v2" {
		t.Errorf("with the store: got %q, %t, want v2", version, ok)
	}
}

// TestRouterOfEarlierReleaseLeavesVersionOpen has a router in the fleet that doesn't follow plans: with
// two versions, only the router that began a stream knows its version.
func TestRouterOfEarlierReleaseLeavesVersionOpen(t *testing.T) {
	f := newKeeperFleet(t)
	k := f.keepers[0]
	view := fleetView{names: []string{"r1", "r2"}, joined: true, unassigned: true}
	k.setFleet(view)
	f.serve(k, "v1")
	if version, ok := f.find(k, "elsewhere"); !ok || version != "v1" {
		t.Errorf("one version: got %q, %t, want v1", version, ok)
	}
	f.clock.Advance(5 * time.Second)
	f.serve(k, "v1", "v2")
	f.clock.Advance(2 * assigner.Lifetime)
	k.setFleet(view)
	if version, ok := f.find(k, "elsewhere"); ok {
		t.Errorf("two versions: got %q, want the version not known", version)
	}
	want, _ := k.Begin(streamPool, assigner.HashStream("here"))
	if got, ok := f.find(k, "here"); !ok || got != want {
		t.Errorf("begun here: got %q, %t, want %q", got, ok, want)
	}
}

// TestPlansOutliveStoreRestore has the store come back without the newest plan and rows.
func TestPlansOutliveStoreRestore(t *testing.T) {
	f := newKeeperFleet(t)
	k := f.keepers[0]
	f.serve(k, "v1")
	old := maps.Clone(f.store.rows)
	f.clock.Advance(5 * time.Second)
	f.serve(k, "v2")
	f.store.rows = old
	k.forgetStored()
	f.serve(k, "v2")
	next := f.start("r1", false)
	f.serve(next, "v2")
	if got, want := next.History(streamPool).Epoch(), k.History(streamPool).Epoch(); got != want || want != 2 {
		t.Errorf("got epoch %d at a router that started after the restore, want %d", got, want)
	}
}

// TestClockStepKeepsTheRowOfTheRunningProcess guards against a router whose time of day was set back before it started
// again: its incarnation is below that of its predecessor.
func TestClockStepKeepsTheRowOfTheRunningProcess(t *testing.T) {
	minute := assigner.Lifetime.Milliseconds()
	s := storedStreams{
		nowMs: 3 * minute, routerKeys: []string{"earlier", "running"},
		routers: []assigner.RouterRow{{Router: "r1", Incarnation: 100}, {Router: "r1", Incarnation: 50, StartedMs: minute}},
	}
	if got, want := s.outdated("r1"), []string{"earlier"}; !slices.Equal(got, want) {
		t.Errorf("got %v outdated, want %v", got, want)
	}
}

// hangingStreams is a StreamStore that does not answer.
type hangingStreams struct{ memoryStreams }

func (*hangingStreams) ReadRows(ctx context.Context, _ string) (StreamRows, error) {
	<-ctx.Done()
	return StreamRows{}, ctx.Err()
}

// TestHangingStoreKeepsNobodyWaiting guards against callers who wait one after another for a store that
// does not answer.
func TestHangingStoreKeepsNobodyWaiting(t *testing.T) {
	f := newKeeperFleet(t)
	k := f.keepers[0]
	f.serve(k, "v1")
	k.store = &hangingStreams{}
	f.clock.Advance(time.Minute)
	const callers = 20
	answered := make(chan bool, callers)
	began := time.Now()
	for range callers {
		go func() {
			_, known := f.find(k, "elsewhere")
			answered <- known
		}()
	}
	for range callers {
		if <-answered {
			t.Error("got a version without news of the plans, want none")
		}
	}
	if got, want := time.Since(began), 2*findTimeout; got > want {
		t.Errorf("got the last answer after %v, want %v", got, want)
	}
}
