package follower

import (
	"testing"
	"time"
)

// TestRowsAfterAGapDoNotCountAsAll has a difference get lost that another one follows.
func TestRowsAfterAGapDoNotCountAsAll(t *testing.T) {
	f := configured(t)
	f.Merge(epoch, Batch{Table: RegistrationTable, Since: 12, Version: 15, Rows: []Row{{Key: "u1", Value: []byte("leaving"), Version: 15}}})
	if !f.Snapshot().Policy.Upstreams["u1"].Leaving {
		t.Error("a row after a gap does not count")
	}
	if got := f.Version(RegistrationTable); got != 9 {
		t.Errorf("got version %d, want 9: nothing is known of the rows up to 12", got)
	}
	f.Merge(epoch, Batch{Table: RegistrationTable, Since: 9, Version: 14, Rows: []Row{{Key: "u2", Deleted: true, Version: 11}}})
	if got := f.Version(RegistrationTable); got != 14 {
		t.Errorf("got version %d once the gap is filled up to 14, want that", got)
	}
}

// TestWholeTableNamesWhatIsKept has a router that knows two upstreams be told of the whole
// table, in which one of them is still there as it was.
func TestWholeTableNamesWhatIsKept(t *testing.T) {
	teller, told := configured(t), configured(t)
	teller.Merge(epoch, Batch{Table: RegistrationTable, Full: true, Version: 30, Rows: []Row{
		{Key: "u2", Value: []byte("ready"), Version: 9}, {Key: "u3", Value: []byte("ready"), Version: 25},
	}})
	b := teller.ChangesSince(RegistrationTable, 9)
	if !b.Full || len(b.Rows) != 1 || len(b.UnchangedKeys) != 1 {
		t.Fatalf("got %+v, want the whole table with one row and one name", b)
	}
	told.Merge(epoch, b)
	got := told.Snapshot().Policy.Upstreams
	if len(got) != 2 || told.Version(RegistrationTable) != 30 {
		t.Errorf("got %v at version %d, want u2 and u3 at 30", got, told.Version(RegistrationTable))
	}
}

// TestWholeTableKeepsWhatMayComeBack has a router read the whole table after the store's
// absence, and another one be told of it before what was dropped counts as gone.
func TestWholeTableKeepsWhatMayComeBack(t *testing.T) {
	teller, told := configured(t), New(plainDecoder{})
	told.Merge(epoch, Batch{Table: ConfigurationTable, Full: true, Version: 5, Rows: []Row{{Key: "c", Value: []byte("xxx"), Version: 5}}})
	teller.Merge(epoch, Batch{Table: RegistrationTable, Full: true, Version: 20, AfterOutage: true, Rows: []Row{
		{Key: "u2", Value: []byte("ready"), Version: 9},
	}})
	told.Merge(epoch, teller.ChangesSince(RegistrationTable, 0))
	if got := len(told.Snapshot().Policy.Upstreams); got != 2 {
		t.Errorf("got %d upstreams, want both: u1 may come back", got)
	}
	teller.ExpireRegistrations(epoch.Add(returnTime))
	told.Merge(epoch, teller.ChangesSince(RegistrationTable, told.Version(RegistrationTable)))
	if got := len(told.Snapshot().Policy.Upstreams); got != 1 {
		t.Errorf("got %d upstreams after the wait, want u2 alone", got)
	}
}

// TestTellerWaitsForAnAnswerUnderSteadyNews has news come all the time to a router that
// lost the first of them: it is sent again though newer ones were sent meanwhile.
func TestTellerWaitsForAnAnswerUnderSteadyNews(t *testing.T) {
	const patience = time.Second
	f := configured(t)
	var teller PeerSync
	has := map[Table]uint64{ConfigurationTable: 5, RegistrationTable: 9}
	now := epoch
	for version := uint64(10); version < 40; version++ {
		f.Merge(now, Batch{Table: RegistrationTable, Since: version - 1, Version: version, Rows: []Row{{Key: "u1", Value: []byte("ready"), Version: version}}})
		for _, b := range teller.MissingBatches(f, now, has, patience) {
			if b.Since == has[RegistrationTable] && version > 10 {
				if passed := now.Sub(epoch); passed < patience || passed > 2*patience {
					t.Errorf("sent again after %v, want between one and two times %v", passed, patience)
				}
				return
			}
		}
		now = now.Add(100 * time.Millisecond)
	}
	t.Error("what was lost is never sent again")
}
