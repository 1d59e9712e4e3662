package router

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"lentilwood.example/lentilwood/internal/exchanger"
	"lentilwood.example/lentilwood/internal/follower"
	"lentilwood.example/lentilwood/internal/loader"
	"lentilwood.example/lentilwood/internal/matcher"
	"lentilwood.example/lentilwood/internal/messenger"
	"lentilwood.example/lentilwood/internal/timekeeper"
)

// The tests in this file check how the departure of an upstream gets from a router that
// follows the store to a delegating router, while other upstreams keep changing.

const (
	// messageInterval is the time between two messages between the routers, stepsPerChange the
	// number of such intervals between two changes in the store.
	messageInterval = 100 * time.Millisecond
	stepsPerChange  = 3
	// maxDepartureDelay is the time within which every router must know that an upstream is
	// leaving; the platform allows two to four seconds.
	maxDepartureDelay = 2 * time.Second
)

// poolDecoder decodes the values "ready" and "leaving" as registrations in one pool.
type poolDecoder struct{}

func (poolDecoder) Configuration([]byte) (*follower.Configuration, error) {
	return &follower.Configuration{
		Table: matcher.New(1, nil, nil), Pools: map[messenger.PoolID]messenger.PoolPolicy{"p": {}},
	}, nil
}

// Evacuation reads keys that begin with "empty/"; "empty/" alone is invalid.
func (poolDecoder) Evacuation(key string) (string, bool, error) {
	domain, ok := strings.CutPrefix(key, "empty/")
	if ok && domain == "" {
		return "", false, errors.New("unreadable")
	}
	return domain, ok, nil
}

func (poolDecoder) Registration(_ string, value []byte) (messenger.UpstreamPolicy, error) {
	return messenger.UpstreamPolicy{Pool: "p", Leaving: string(value) == "leaving"}, nil
}

// twoRouterFleet consists of a collector that follows the store and a router that reports to
// it.
type twoRouterFleet struct {
	t         *testing.T
	clock     *timekeeper.Manual
	version   uint64
	collector *Hosted
	reporter  *Hosted
	// dropMessages is true while messages between the routers are lost.
	dropMessages bool
}

func newTwoRouterFleet(t *testing.T) *twoRouterFleet {
	t.Helper()
	f := &twoRouterFleet{t: t, clock: timekeeper.NewManual(time.Unix(1_700_000_000, 0))}
	f.collector, f.reporter = f.newRouter("collector"), f.newRouter("reporter")
	f.collector.collecting.Store(true)
	p := f.collector.upsertPeer(Member{Name: "reporter"})
	p.live, p.reports = true, true
	f.reporter.upsertPeer(Member{Name: "collector"}).live = true
	f.version = 10
	f.collector.merge(follower.Batch{Table: follower.ConfigurationTable, Full: true, Version: 1, Rows: []follower.Row{{Key: "c", Version: 1}}}, sourceStore)
	f.collector.merge(follower.Batch{Table: follower.RegistrationTable, Full: true, Version: 10, Rows: []follower.Row{
		{Key: "u1", Value: []byte("ready"), Version: 2}, {Key: "u2", Value: []byte("ready"), Version: 3},
	}}, sourceStore)
	f.advance(time.Second)
	if !f.hasUpstream(f.reporter, "u1") {
		t.Fatal("the reporter did not receive the upstreams at the start")
	}
	return f
}

func (f *twoRouterFleet) newRouter(name string) *Hosted {
	log := logrus.New()
	log.SetOutput(io.Discard)
	h := NewHosted(HostedConfig{Settings: loader.Router{Name: name}, Decoder: poolDecoder{}, Clock: f.clock, Log: log})
	h.exchanger = exchanger.New(exchanger.Config[hostedEnvelope]{Name: name})
	return h
}

// change writes a row to the store, which the collector reads at once.
func (f *twoRouterFleet) change(row follower.Row, catchUp bool) {
	since := f.version
	f.version++
	row.Version = f.version
	f.collector.merge(follower.Batch{
		Table: follower.RegistrationTable, Rows: []follower.Row{row}, Since: since, Version: f.version, AfterOutage: catchUp,
	}, sourceStore)
}

// exchange simulates one round of messages: the reporter sends its table versions, the
// collector the missing rows.
func (f *twoRouterFleet) exchange() {
	p := f.collector.peers["reporter"]
	for _, table := range follower.Tables {
		p.versions[table] = f.reporter.follower.Version(table)
	}
	if rows := f.collector.missingRows(f.clock.Now(), p); len(rows) > 0 {
		if !f.dropMessages {
			f.reporter.mergePeerRows(f.reporter.peers["collector"], rows)
		}
	}
	f.collector.expireDroppedRegistrations()
	f.reporter.expireDroppedRegistrations()
}

// advance lets the time pass while other upstreams are added.
func (f *twoRouterFleet) advance(d time.Duration) {
	for i := range int(d / messageInterval) {
		f.clock.Advance(messageInterval)
		if i%stepsPerChange == 0 {
			f.change(follower.Row{Key: fmt.Sprint("v", f.version), Value: []byte("ready")}, false)
		}
		f.exchange()
	}
}

func (f *twoRouterFleet) hasUpstream(h *Hosted, id messenger.UpstreamID) bool {
	s := h.snapshot.Load()
	if s == nil {
		return false
	}
	u, ok := s.Policy.Upstreams[id]
	return ok && !u.Leaving
}

func (f *twoRouterFleet) checkRemoved(id messenger.UpstreamID) {
	f.t.Helper()
	if f.hasUpstream(f.reporter, id) {
		f.t.Errorf("the reporter still uses %s after its departure", id)
	}
}

// TestLostDepartureIsResent loses only the message that carries the departure.
func TestLostDepartureIsResent(t *testing.T) {
	f := newTwoRouterFleet(t)
	f.change(follower.Row{Key: "u1", Value: []byte("leaving")}, false)
	f.dropMessages = true
	f.exchange()
	f.dropMessages = false
	f.advance(maxDepartureDelay)
	f.checkRemoved("u1")
}

// TestDelayedDepartureReachesOtherRouters has an upstream removed from the store while the
// store was unreachable. Such a removal applies only after a grace period; newer changes are
// sent in the meantime.
func TestDelayedDepartureReachesOtherRouters(t *testing.T) {
	f := newTwoRouterFleet(t)
	f.change(follower.Row{Key: "u1", Deleted: true}, true)
	f.advance(maxDepartureDelay)
	f.advance(maxDepartureDelay)
	f.checkRemoved("u1")
}

// TestFullTableReadRemovesUnknownUpstreams has an upstream come and go that the reporter knows
// but the collector does not, because the collector was restarted in between.
func TestFullTableReadRemovesUnknownUpstreams(t *testing.T) {
	f := newTwoRouterFleet(t)
	f.change(follower.Row{Key: "brief", Value: []byte("ready")}, false)
	f.exchange()
	versions := f.collector.peers["reporter"].versions
	f.collector = f.newRouter("collector")
	f.collector.collecting.Store(true)
	p := f.collector.upsertPeer(Member{Name: "reporter"})
	p.live, p.reports, p.versions = true, true, versions
	f.version += 2
	f.collector.merge(follower.Batch{Table: follower.ConfigurationTable, Full: true, Version: 1, Rows: []follower.Row{{Key: "c", Version: 1}}}, sourceStore)
	f.collector.merge(follower.Batch{Table: follower.RegistrationTable, Full: true, Version: f.version, Rows: []follower.Row{
		{Key: "u2", Value: []byte("ready"), Version: 3},
	}}, sourceStore)
	f.advance(maxDepartureDelay)
	f.checkRemoved("brief")
	f.checkRemoved("u1")
	if !f.hasUpstream(f.reporter, "u2") {
		t.Error("the reporter removed an upstream that is still registered")
	}
}

// TestRestartedRouterReceivesAllRows has a router restart right after it was sent rows.
func TestRestartedRouterReceivesAllRows(t *testing.T) {
	f := newTwoRouterFleet(t)
	f.change(follower.Row{Key: "u1", Value: []byte("leaving")}, false)
	f.exchange()
	f.reporter = f.newRouter("reporter")
	f.reporter.upsertPeer(Member{Name: "collector"}).live = true
	f.collector.receive(hostedEnvelope{From: Member{Name: "reporter", Incarnation: 2}, Kind: kindReport, Load: &messenger.PeerLoad{}})
	f.advance(maxDepartureDelay)
	if !f.hasUpstream(f.reporter, "u2") || f.hasUpstream(f.reporter, "u1") {
		t.Error("a restarted router lacks rows that were sent to its previous process")
	}
}

// TestConfirmedRemovalOverridesGracePeriod has a collector hold back the removal of an
// upstream, and another router that followed the store without a gap confirm the removal.
func TestConfirmedRemovalOverridesGracePeriod(t *testing.T) {
	f := newTwoRouterFleet(t)
	f.change(follower.Row{Key: "u1", Deleted: true}, true)
	removal := follower.Row{Table: follower.RegistrationTable, Key: "u1", Deleted: true, Version: f.version}
	f.collector.mergePeerRows(f.collector.upsertPeer(Member{Name: "follower"}), []follower.Batch{
		{Table: follower.RegistrationTable, Rows: []follower.Row{removal}, Since: f.version - 1, Version: f.version},
	})
	f.exchange()
	f.checkRemoved("u1")
	if f.hasUpstream(f.collector, "u1") {
		t.Error("the collector still holds back a removal that another router confirmed")
	}
}
