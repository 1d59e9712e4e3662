package follower

import (
	"testing"
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
)

// startTimeDecoder parses the first byte of a registration as the start time of its process in
// seconds.
type startTimeDecoder struct{ plainDecoder }

func (startTimeDecoder) Registration(_ string, value []byte) (messenger.UpstreamPolicy, error) {
	return messenger.UpstreamPolicy{Pool: "p", Started: time.Unix(int64(value[0]), 0)}, nil
}

// addressDecoder parses the first byte of a registration as the start time of its process in
// seconds and the rest as its address.
type addressDecoder struct{ plainDecoder }

func (addressDecoder) Registration(_ string, value []byte) (messenger.UpstreamPolicy, error) {
	return messenger.UpstreamPolicy{Pool: "p", Started: time.Unix(int64(value[0]), 0), Address: string(value[1:])}, nil
}

// newFollowerWithUpstream returns a Follower with one upstream, whose process started at
// startSecond.
func newFollowerWithUpstream(t *testing.T, startSecond byte) *Follower {
	t.Helper()
	f := New(startTimeDecoder{})
	f.Merge(epoch, Batch{Table: ConfigurationTable, Full: true, Version: 5, Rows: []Row{{Key: "c", Value: []byte("xxx"), Version: 5}}})
	f.Merge(epoch, Batch{Table: RegistrationTable, Full: true, Version: 9, Rows: []Row{{Key: "u", Value: []byte{startSecond}, Version: 9}}})
	return f
}

func isLeaving(f *Follower) bool { return f.Snapshot().Policy.Upstreams["u"].Leaving }

// TestDeparturePersistsAcrossReadyRows guards against using an upstream that announced in an
// answer that it is leaving while its rows still say that it is ready.
func TestDeparturePersistsAcrossReadyRows(t *testing.T) {
	f := newFollowerWithUpstream(t, 1)
	if !f.RecordDeparture("u", "") || f.RecordDeparture("u", "") {
		t.Error("got the first departure reported as known or the second as new")
	}
	f.Merge(epoch, Batch{Table: RegistrationTable, Rows: []Row{{Key: "u", Value: []byte{1}, Version: 12}}})
	if !isLeaving(f) {
		t.Error("a newer row of the same process put the upstream back in use")
	}
	if got := f.Departures(); len(got) != 1 || got[0].Upstream != "u" {
		t.Errorf("got departures %+v, want that of u", got)
	}
	f.Merge(epoch, Batch{Table: RegistrationTable, Rows: []Row{{Key: "u", Value: []byte{2}, Version: 13}}})
	if isLeaving(f) {
		t.Error("a new process with the same id counts as leaving")
	}
}

// TestPeerDepartureOfEarlierProcessIsIgnored guards against marking a restarted upstream as
// leaving because another router reports the departure of its earlier process.
func TestPeerDepartureOfEarlierProcessIsIgnored(t *testing.T) {
	f := newFollowerWithUpstream(t, 2)
	old := Departure{Upstream: "u", StartedUnixMs: time.Unix(1, 0).UnixMilli()}
	if f.RecordPeerDeparture(old) || isLeaving(f) {
		t.Error("the departure of the earlier process was applied")
	}
	if !f.RecordPeerDeparture(Departure{Upstream: "u", StartedUnixMs: time.Unix(2, 0).UnixMilli()}) || !isLeaving(f) {
		t.Error("the departure of the current process was not applied")
	}
}

// TestStalePeerRowsDoNotRestoreUpstreams guards against restoring a deleted upstream: a router
// reads the store at startup and then receives older rows from a router that could not follow
// the store for a while.
func TestStalePeerRowsDoNotRestoreUpstreams(t *testing.T) {
	f := New(plainDecoder{})
	f.Merge(epoch, Batch{Table: ConfigurationTable, Full: true, Version: 20, Rows: []Row{{Key: "c", Value: []byte("xxx"), Version: 5}}})
	f.Merge(epoch, Batch{Table: RegistrationTable, Full: true, Version: 20, Rows: []Row{{Key: "u2", Value: []byte("ready"), Version: 9}}})
	f.Merge(epoch, Batch{Table: RegistrationTable, Rows: []Row{{Key: "u1", Value: []byte("ready"), Version: 6}}})
	if _, ok := f.Snapshot().Policy.Upstreams["u1"]; ok {
		t.Error("an upstream that was deleted before the store was read is in use again")
	}
	f.Merge(epoch, Batch{Table: RegistrationTable, Rows: []Row{{Key: "u3", Value: []byte("ready"), Version: 21}}})
	if _, ok := f.Snapshot().Policy.Upstreams["u3"]; !ok {
		t.Error("an upstream that registered after the store was read is missing")
	}
}

// TestDepartureAtOldAddressIsIgnored guards against marking a restarted upstream as leaving:
// the announcement of the earlier process, at its old address, is processed after the restart.
func TestDepartureAtOldAddressIsIgnored(t *testing.T) {
	f := New(addressDecoder{})
	f.Merge(epoch, Batch{Table: ConfigurationTable, Full: true, Version: 5, Rows: []Row{{Key: "c", Value: []byte("xxx"), Version: 5}}})
	f.Merge(epoch, Batch{Table: RegistrationTable, Full: true, Version: 9, Rows: []Row{{Key: "u", Value: []byte("1old"), Version: 9}}})
	f.Merge(epoch, Batch{Table: RegistrationTable, Rows: []Row{{Key: "u", Value: []byte("2new"), Version: 10}}})
	if f.RecordDeparture("u", "old") || isLeaving(f) || len(f.Departures()) > 0 {
		t.Error("the departure of the earlier process marks the new one or is passed on to other routers")
	}
	if !f.RecordDeparture("u", "new") || !isLeaving(f) {
		t.Error("the departure of the new process was not applied")
	}
}
