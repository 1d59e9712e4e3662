package follower

import (
	"errors"
	"strings"
	"testing"
	"time"

	"lentilwood.example/lentilwood/internal/matcher"
	"lentilwood.example/lentilwood/internal/messenger"
)

var epoch = time.Unix(1_700_000_000, 0)

// plainDecoder parses a value of N bytes as version N of a configuration with the pool "p",
// and "ready" or "leaving" as a registration for that pool. Values that begin with "bad" are
// invalid.
type plainDecoder struct{}

func (plainDecoder) Configuration(value []byte) (*Configuration, error) {
	version := uint64(len(value))
	if strings.HasPrefix(string(value), "bad") {
		return nil, errors.New("unreadable")
	}
	return &Configuration{
		Table: matcher.New(version, nil, nil),
		Pools: map[messenger.PoolID]messenger.PoolPolicy{"p": {}},
	}, nil
}

// Evacuation reads keys that begin with "empty/"; "empty/" alone is invalid.
func (plainDecoder) Evacuation(key string) (string, bool, error) {
	domain, ok := strings.CutPrefix(key, "empty/")
	if ok && domain == "" {
		return "", false, errors.New("unreadable")
	}
	return domain, ok, nil
}

func (plainDecoder) Registration(_ string, value []byte) (messenger.UpstreamPolicy, error) {
	switch string(value) {
	case "ready", "leaving":
		return messenger.UpstreamPolicy{Pool: "p", Leaving: string(value) == "leaving"}, nil
	}
	return messenger.UpstreamPolicy{}, errors.New("unreadable")
}

// newFollower returns a Follower with a configuration of version 3 and the upstreams u1 and u2.
func newFollower(t *testing.T) *Follower {
	t.Helper()
	f := New(plainDecoder{})
	f.Merge(epoch, Batch{Table: ConfigurationTable, Full: true, Version: 5, Rows: []Row{{Key: "c", Value: []byte("xxx"), Version: 5}}})
	f.Merge(epoch, Batch{Table: RegistrationTable, Full: true, Version: 9, Rows: []Row{
		{Key: "u1", Value: []byte("ready"), Version: 6}, {Key: "u2", Value: []byte("ready"), Version: 9},
	}})
	if got := len(f.Snapshot().Policy.Upstreams); got != 2 {
		t.Fatalf("got %d upstreams, want 2", got)
	}
	return f
}

func TestOlderConfigurationNeverReturns(t *testing.T) {
	f := newFollower(t)
	for _, row := range []Row{
		{Key: "c", Value: []byte("x"), Version: 4},
		{Key: "c", Value: []byte("xx"), Version: 7},
		{Key: "c", Value: []byte("bad"), Version: 8},
		{Key: "c", Deleted: true, Version: 9},
	} {
		f.Merge(epoch, Batch{Table: ConfigurationTable, Rows: []Row{row}})
		if got := f.Snapshot().Table.Version(); got != 3 {
			t.Errorf("after %+v: got version %d, want 3", row, got)
		}
	}
	if got := len(f.TakeRejected()); got != 1 {
		t.Errorf("got %d rejected rows, want 1", got)
	}
}

func TestUnreadableRegistrationIsIgnored(t *testing.T) {
	f := newFollower(t)
	f.Merge(epoch, Batch{Table: RegistrationTable, Rows: []Row{{Key: "u1", Value: []byte("?"), Version: 12}}})
	if _, ok := f.Snapshot().Policy.Upstreams["u1"]; ok {
		t.Error("an unreadable registration is used as an upstream")
	}
	if _, ok := f.Snapshot().Policy.Upstreams["u2"]; !ok {
		t.Error("the other registration is missing")
	}
}

func TestDeletedRegistrationTakesEffectAtOnce(t *testing.T) {
	f := newFollower(t)
	f.Merge(epoch, Batch{Table: RegistrationTable, Rows: []Row{{Key: "u1", Deleted: true, Version: 12}}})
	if _, ok := f.Snapshot().Policy.Upstreams["u1"]; ok {
		t.Error("a deleted registration is still in use")
	}
}

// TestRegistrationsSurviveStoreOutage guards against losing live upstreams: the store deletes
// all rows during an outage, and one upstream registers again afterwards.
func TestRegistrationsSurviveStoreOutage(t *testing.T) {
	f := newFollower(t)
	now := epoch.Add(4 * time.Second)
	f.Merge(now, Batch{Table: RegistrationTable, Full: true, Version: 20, AfterOutage: true})
	if got := len(f.Snapshot().Policy.Upstreams); got != 2 {
		t.Fatalf("right after the outage: got %d upstreams, want 2", got)
	}
	f.Merge(now.Add(time.Second), Batch{Table: RegistrationTable, Rows: []Row{{Key: "u2", Value: []byte("ready"), Version: 22}}})
	now = now.Add(reregistrationTime)
	if !f.ExpireRegistrations(now) {
		t.Error("nothing expired, want u1 expired")
	}
	got := f.Snapshot().Policy.Upstreams
	if _, ok := got["u2"]; !ok || len(got) != 1 {
		t.Errorf("got %v, want u2 only", got)
	}
}

// TestDeletionAfterOutageTakesEffectAtOnce guards against sending requests to an upstream that
// leaves shortly after a store outage, while deletions from the outage are still unconfirmed.
func TestDeletionAfterOutageTakesEffectAtOnce(t *testing.T) {
	f := newFollower(t)
	now := epoch.Add(4 * time.Second)
	f.Merge(now, Batch{Table: RegistrationTable, Version: 10, AfterOutage: true})
	f.Merge(now.Add(time.Second), Batch{Table: RegistrationTable, Rows: []Row{{Key: "u1", Deleted: true, Version: 12}}})
	if _, ok := f.Snapshot().Policy.Upstreams["u1"]; ok {
		t.Error("an upstream that left after the outage is still in use")
	}
}

// TestUnconfirmedDeletionsAreNotSentToPeers guards against peers dropping live upstreams: a
// router that caught up after an outage must not pass on deletions before they are confirmed.
func TestUnconfirmedDeletionsAreNotSentToPeers(t *testing.T) {
	f := newFollower(t)
	f.Merge(epoch, Batch{Table: RegistrationTable, Rows: []Row{{Key: "u1", Deleted: true, Version: 12}}, AfterOutage: true})
	if got := len(f.ChangesSince(RegistrationTable, 9).Rows); got != 0 {
		t.Errorf("got %d rows for a lagging peer, want none yet", got)
	}
	f.ExpireRegistrations(epoch.Add(reregistrationTime))
	if got := len(f.ChangesSince(RegistrationTable, 9).Rows); got != 1 {
		t.Errorf("got %d rows after the retention, want 1", got)
	}
}

func TestPeersSupplyMissingRows(t *testing.T) {
	behind, ahead := newFollower(t), newFollower(t)
	ahead.Merge(epoch, Batch{Table: RegistrationTable, Rows: []Row{{Key: "u1", Value: []byte("leaving"), Version: 30}}})
	batch := ahead.ChangesSince(RegistrationTable, behind.Version(RegistrationTable))
	if len(batch.Rows) != 1 {
		t.Fatalf("got %d rows, want 1", len(batch.Rows))
	}
	behind.Merge(epoch, batch)
	if !behind.Snapshot().Policy.Upstreams["u1"].Leaving {
		t.Error("u1 is not leaving at the lagging router")
	}
	if behind.Merge(epoch, batch) {
		t.Error("merging the same rows again reported a change")
	}
}

// TestPeerConfirmsDeletion guards against using a deleted upstream for the whole retention: the
// router could not reach the store for a while, but a peer that could confirms the deletion.
func TestPeerConfirmsDeletion(t *testing.T) {
	f, peer := newFollower(t), newFollower(t)
	deletion := Row{Key: "u1", Deleted: true, Version: 12}
	f.Merge(epoch, Batch{Table: RegistrationTable, Rows: []Row{deletion}, Since: 9, Version: 12, AfterOutage: true})
	peer.Merge(epoch, Batch{Table: RegistrationTable, Rows: []Row{deletion}, Since: 9, Version: 12})
	if !f.Merge(epoch, peer.ChangesSince(RegistrationTable, f.Version(RegistrationTable))) {
		t.Error("confirming the deletion reported no change")
	}
	if _, ok := f.Snapshot().Policy.Upstreams["u1"]; ok {
		t.Error("an upstream is in use whose deletion a peer confirmed")
	}
	if got, want := f.Version(RegistrationTable), uint64(12); got != want {
		t.Errorf("got version %d, want %d: no deletion is unconfirmed", got, want)
	}
}

// TestPeerFullTableConfirmsDeletion is like TestPeerConfirmsDeletion, but the peer sends a
// full table that lacks the upstream.
func TestPeerFullTableConfirmsDeletion(t *testing.T) {
	f := newFollower(t)
	f.Merge(epoch, Batch{Table: RegistrationTable, Rows: []Row{{Key: "u1", Deleted: true, Version: 12}}, Since: 9, Version: 12, AfterOutage: true})
	f.Merge(epoch, Batch{Table: RegistrationTable, UnchangedKeys: []string{"u2"}, Full: true, Version: 13})
	if _, ok := f.Snapshot().Policy.Upstreams["u1"]; ok {
		t.Error("an upstream is in use that is missing in the full table of a peer")
	}
}

// TestDeletionOfUnreadableRowRestoresNothing guards against restoring an upstream from an
// older valid row: an invalid row replaces the valid one and is deleted during a store outage.
func TestDeletionOfUnreadableRowRestoresNothing(t *testing.T) {
	f := newFollower(t)
	f.Merge(epoch, Batch{Table: RegistrationTable, Rows: []Row{{Key: "u1", Value: []byte("?"), Version: 12}}, Since: 9, Version: 12})
	f.Merge(epoch, Batch{Table: RegistrationTable, Rows: []Row{{Key: "u1", Deleted: true, Version: 13}}, Since: 12, Version: 13, AfterOutage: true})
	if _, ok := f.Snapshot().Policy.Upstreams["u1"]; ok {
		t.Error("an upstream is in use again after the deletion of an unreadable row")
	}
}
