package follower

import (
	"testing"
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
)

// bornDecoder reads registrations "ready N" of a process that started at second N.
type bornDecoder struct{ plainDecoder }

func (bornDecoder) Registration(_ string, value []byte) (messenger.UpstreamPolicy, error) {
	return messenger.UpstreamPolicy{Pool: "p", Started: time.Unix(int64(value[0]), 0)}, nil
}

// placedDecoder reads registrations of a process that started at second N at address A.
type placedDecoder struct{ plainDecoder }

func (placedDecoder) Registration(_ string, value []byte) (messenger.UpstreamPolicy, error) {
	return messenger.UpstreamPolicy{Pool: "p", Started: time.Unix(int64(value[0]), 0), Address: string(value[1:])}, nil
}

// registered returns a Follower that knows one upstream, whose process started at born.
func registered(t *testing.T, born byte) *Follower {
	t.Helper()
	f := New(bornDecoder{})
	f.Merge(epoch, Batch{Table: ConfigurationTable, Full: true, Version: 5, Rows: []Row{{Key: "c", Value: []byte("xxx"), Version: 5}}})
	f.Merge(epoch, Batch{Table: RegistrationTable, Full: true, Version: 9, Rows: []Row{{Key: "u", Value: []byte{born}, Version: 9}}})
	return f
}

func isLeaving(f *Follower) bool { return f.Snapshot().Policy.Upstreams["u"].Leaving }

// TestDepartureOutlivesRowsThatSayReady has an upstream say in an answer that it
// leaves, while its row goes on to say that it is ready.
func TestDepartureOutlivesRowsThatSayReady(t *testing.T) {
	f := registered(t, 1)
	if !f.RecordDeparture("u", "") || f.RecordDeparture("u", "") {
		t.Error("got the first note taken for known or the second for news")
	}
	f.Merge(epoch, Batch{Table: RegistrationTable, Rows: []Row{{Key: "u", Value: []byte{1}, Version: 12}}})
	if !isLeaving(f) {
		t.Error("a newer row of the same process brought the upstream back")
	}
	if got := f.Departures(); len(got) != 1 || got[0].Upstream != "u" {
		t.Errorf("got departures %+v, want that of u", got)
	}
	f.Merge(epoch, Batch{Table: RegistrationTable, Rows: []Row{{Key: "u", Value: []byte{2}, Version: 13}}})
	if isLeaving(f) {
		t.Error("another process under the same id counts as leaving")
	}
}

// TestDepartureIsHeardOfTheSameProcessOnly has another router tell of a departure
// after the upstream was started again.
func TestDepartureIsHeardOfTheSameProcessOnly(t *testing.T) {
	f := registered(t, 2)
	old := Departure{Upstream: "u", StartedUnixMs: time.Unix(1, 0).UnixMilli()}
	if f.RecordPeerDeparture(old) || isLeaving(f) {
		t.Error("got the departure of the process before counted")
	}
	if !f.RecordPeerDeparture(Departure{Upstream: "u", StartedUnixMs: time.Unix(2, 0).UnixMilli()}) || !isLeaving(f) {
		t.Error("got the departure of this process not counted")
	}
}

// TestLateRowsOfAPeerBringNothingBack has a router start, read the store, and then get
// the rows of a router that could not follow the store for a while.
func TestLateRowsOfAPeerBringNothingBack(t *testing.T) {
	f := New(plainDecoder{})
	f.Merge(epoch, Batch{Table: ConfigurationTable, Full: true, Version: 20, Rows: []Row{{Key: "c", Value: []byte("xxx"), Version: 5}}})
	f.Merge(epoch, Batch{Table: RegistrationTable, Full: true, Version: 20, Rows: []Row{{Key: "u2", Value: []byte("ready"), Version: 9}}})
	f.Merge(epoch, Batch{Table: RegistrationTable, Rows: []Row{{Key: "u1", Value: []byte("ready"), Version: 6}}})
	if _, ok := f.Snapshot().Policy.Upstreams["u1"]; ok {
		t.Error("an upstream that had left before the store was read is in use again")
	}
	f.Merge(epoch, Batch{Table: RegistrationTable, Rows: []Row{{Key: "u3", Value: []byte("ready"), Version: 21}}})
	if _, ok := f.Snapshot().Policy.Upstreams["u3"]; !ok {
		t.Error("an upstream that registered after the store was read is missing")
	}
}

// TestAnswerOfTheProcessBeforeMarksNoNewOne has an answer that says that an upstream leaves
// be taken in after the upstream was started again elsewhere.
func TestAnswerOfTheProcessBeforeMarksNoNewOne(t *testing.T) {
	f := New(placedDecoder{})
	f.Merge(epoch, Batch{Table: ConfigurationTable, Full: true, Version: 5, Rows: []Row{{Key: "c", Value: []byte("xxx"), Version: 5}}})
	f.Merge(epoch, Batch{Table: RegistrationTable, Full: true, Version: 9, Rows: []Row{{Key: "u", Value: []byte("1old"), Version: 9}}})
	f.Merge(epoch, Batch{Table: RegistrationTable, Rows: []Row{{Key: "u", Value: []byte("2new"), Version: 10}}})
	if f.RecordDeparture("u", "old") || isLeaving(f) || len(f.Departures()) > 0 {
		t.Error("what the process before said marks the new one, and the other routers are told")
	}
	if !f.RecordDeparture("u", "new") || !isLeaving(f) {
		t.Error("what the new process said does not count")
	}
}
