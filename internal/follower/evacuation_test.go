package follower

import (
	"testing"

	"lentilwood.example/lentilwood/internal/messenger"
)

// domainDecoder parses the value of a registration as its failure domain.
type domainDecoder struct{ plainDecoder }

func (domainDecoder) Registration(_ string, value []byte) (messenger.UpstreamPolicy, error) {
	return messenger.UpstreamPolicy{Pool: "p", Domain: string(value)}, nil
}

// newFollowerWithDomains returns a Follower with version 5 of the configuration table and one
// upstream in each of the failure domains a and b, named like them.
func newFollowerWithDomains() *Follower {
	f := New(domainDecoder{})
	f.Merge(epoch, Batch{Table: ConfigurationTable, Full: true, Version: 5, Rows: []Row{{Key: "c", Value: []byte("xxx"), Version: 5}}})
	f.Merge(epoch, Batch{Table: RegistrationTable, Full: true, Version: 5, Rows: []Row{
		{Key: "a", Value: []byte("a"), Version: 2}, {Key: "b", Value: []byte("b"), Version: 3},
	}})
	return f
}

// checkEmptied checks which of the upstreams a and b are in emptied failure domains.
func checkEmptied(t *testing.T, f *Follower, when string, a, b bool) {
	t.Helper()
	upstreams := f.Snapshot().Policy.Upstreams
	if upstreams["a"].Evacuated != a || upstreams["b"].Evacuated != b {
		t.Errorf("%s: got emptied a %v, b %v, want %v, %v", when, upstreams["a"].Evacuated, upstreams["b"].Evacuated, a, b)
	}
}

// operatorRows returns an incremental batch of the configuration table.
func operatorRows(since, version uint64, rows ...Row) Batch {
	return Batch{Table: ConfigurationTable, Since: since, Version: version, Rows: rows}
}

// TestDomainIsEmptiedAndReinstated guards against missing a row that empties a failure domain or
// its removal, two domains at once, and against repeated and older rows that change the state.
func TestDomainIsEmptiedAndReinstated(t *testing.T) {
	f := newFollowerWithDomains()
	emptied := operatorRows(5, 7, Row{Key: "empty/a", Version: 7})
	if !f.Merge(epoch, emptied) || f.Merge(epoch, emptied) {
		t.Error("want a change reported for the first of two equal batches only")
	}
	checkEmptied(t, f, "emptied", true, false)
	f.Merge(epoch, operatorRows(7, 9, Row{Key: "empty/b", Version: 8}, Row{Key: "empty/a", Version: 9, Deleted: true}))
	checkEmptied(t, f, "another emptied, the first reinstated", false, true)
	f.Merge(epoch, emptied)
	checkEmptied(t, f, "an older row repeated", false, true)
	f.Merge(epoch, operatorRows(9, 12, Row{Key: "empty/a", Version: 12}))
	checkEmptied(t, f, "emptied again", true, true)
	if got := f.Snapshot().Table.Version(); got != 3 {
		t.Errorf("got version %d of the configuration, want 3 unchanged", got)
	}
}

// TestFullReadReinstatesDomain guards against a domain that stays empty because the history with
// the removal of its row is gone, and against a peer's older full table that reinstates it.
func TestFullReadReinstatesDomain(t *testing.T) {
	f := newFollowerWithDomains()
	f.Merge(epoch, operatorRows(5, 7, Row{Key: "empty/a", Version: 7}))
	full := Batch{Table: ConfigurationTable, Full: true, Version: 6, Rows: []Row{{Key: "c", Value: []byte("xxx"), Version: 5}}}
	f.Merge(epoch, full)
	checkEmptied(t, f, "an older full table", true, false)
	full.Version, full.AfterOutage = 9, true
	if !f.Merge(epoch, full) {
		t.Error("the full read reported no change")
	}
	checkEmptied(t, f, "a full read after an outage without the row", false, false)
}

// TestPeersPassEvacuationsOn guards against a restarted router that gets the configuration from
// another one without the rows that empty failure domains.
func TestPeersPassEvacuationsOn(t *testing.T) {
	sender, restarted := newFollowerWithDomains(), New(domainDecoder{})
	sender.Merge(epoch, operatorRows(5, 7, Row{Key: "empty/a", Version: 7}))
	for _, table := range Tables {
		restarted.Merge(epoch, sender.ChangesSince(table, 0))
	}
	checkEmptied(t, restarted, "after all rows of a peer", true, false)
	sender.Merge(epoch, operatorRows(7, 8, Row{Key: "empty/a", Version: 8, Deleted: true}))
	restarted.Merge(epoch, sender.ChangesSince(ConfigurationTable, restarted.Version(ConfigurationTable)))
	checkEmptied(t, restarted, "after the removal", false, false)
}

// TestNothingIsServedBeforeEvacuationsAreKnown guards against using a configuration that arrived
// after a gap in the versions: a row that empties a failure domain may be missing.
func TestNothingIsServedBeforeEvacuationsAreKnown(t *testing.T) {
	f := New(domainDecoder{})
	f.Merge(epoch, operatorRows(8, 9, Row{Key: "c", Value: []byte("xxx"), Version: 9}))
	if f.Snapshot() != nil {
		t.Error("got a snapshot although rows up to version 8 are missing")
	}
	if !f.Merge(epoch, Batch{Table: ConfigurationTable, Full: true, Version: 9, UnchangedKeys: []string{"c"}}) || f.Snapshot() == nil {
		t.Error("got no change and snapshot once all rows are known")
	}
}

// TestUnreadableEvacuationIsIgnored guards against a row of the operator that names no failure
// domain and changes what is served.
func TestUnreadableEvacuationIsIgnored(t *testing.T) {
	f := newFollowerWithDomains()
	if f.Merge(epoch, operatorRows(5, 7, Row{Key: "empty/", Version: 7})) {
		t.Error("an unreadable row reported a change")
	}
	checkEmptied(t, f, "unreadable row", false, false)
	if got := len(f.TakeRejected()); got != 1 {
		t.Errorf("got %d rejected rows, want 1", got)
	}
}
