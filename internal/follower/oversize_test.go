package follower

import (
	"errors"
	"strings"
	"testing"
)

func configurationRow(length int, version uint64) Row {
	return Row{Key: "c", Value: []byte(strings.Repeat("x", length)), Version: version}
}

// versionInUse returns the version of the configuration that requests are served with, or zero.
func versionInUse(f *Follower) uint64 {
	s := f.Snapshot()
	if s == nil {
		return 0
	}
	return s.Table.Version()
}

// TestTooLargeConfigurationLeavesTheOneBeforeInUse guards against a router that ends for want of memory, or
// follows nothing any more, once a configuration is too large for it.
func TestTooLargeConfigurationLeavesTheOneBeforeInUse(t *testing.T) {
	f := newFollower(t)
	f.LimitRows(10)
	large := Batch{Table: ConfigurationTable, Since: 5, Version: 12, Rows: []Row{configurationRow(11, 11), {Key: "empty/a", Version: 12}}}
	f.Merge(epoch, large)
	if got := versionInUse(f); got != 3 {
		t.Errorf("got version %d in use, want the one before, 3", got)
	}
	if rejected := f.TakeRejected(); len(rejected) != 1 || rejected[0].Version != 11 || !errors.Is(rejected[0].Err, ErrRowTooLarge) {
		t.Errorf("got %+v rejected, want the row of version 11 as too large", rejected)
	}
	f.Merge(epoch, large)
	if rejected := f.TakeRejected(); len(rejected) > 0 {
		t.Errorf("received again: got %+v rejected, want nothing new", rejected)
	}
	if got := f.Snapshot().Evacuated["a"]; got != 12 {
		t.Errorf("got row version %d of the other row, want 12", got)
	}
	f.Merge(epoch, Batch{Table: ConfigurationTable, Since: 12, Version: 14, Rows: []Row{configurationRow(6, 14)}})
	if got := versionInUse(f); got != 6 {
		t.Errorf("after a smaller one: got version %d in use, want 6", got)
	}
}

// TestTooLargeConfigurationIsNotPassedOn has a router hand its rows to others: to one that can hold the large
// row, which must not count it as received, and to one that has just started and knows nothing else.
func TestTooLargeConfigurationIsNotPassedOn(t *testing.T) {
	sender := newFollower(t)
	sender.LimitRows(10)
	sender.Merge(epoch, Batch{Table: ConfigurationTable, Since: 5, Version: 12, Rows: []Row{configurationRow(11, 11), {Key: "empty/a", Version: 12}}})

	roomy := New(plainDecoder{})
	roomy.Merge(epoch, sender.ChangesSince(ConfigurationTable, 0))
	if got := versionInUse(roomy); got != 3 || roomy.Version(ConfigurationTable) >= 11 {
		t.Errorf("got version %d and rows up to %d, want the earlier one and rows below 11", got, roomy.Version(ConfigurationTable))
	}
	roomy.Merge(epoch, Batch{Table: ConfigurationTable, Since: 5, Version: 12, Rows: []Row{configurationRow(11, 11)}})
	if got := versionInUse(roomy); got != 11 {
		t.Errorf("got version %d from the store, want 11", got)
	}

	started := New(plainDecoder{})
	started.LimitRows(10)
	started.Merge(epoch, Batch{Table: ConfigurationTable, Full: true, Version: 12, Rows: []Row{configurationRow(11, 11)}})
	if got := started.Version(ConfigurationTable); got != 0 || started.Snapshot() != nil {
		t.Errorf("got rows up to %d without a configuration, want the earlier one to be asked for", got)
	}
	started.Merge(epoch, sender.ChangesSince(ConfigurationTable, started.Version(ConfigurationTable)))
	if got := versionInUse(started); got != 3 || started.Version(ConfigurationTable) != 12 {
		t.Errorf("got version %d and rows up to %d, want 3 and 12", got, started.Version(ConfigurationTable))
	}
	started.Merge(epoch, Batch{Table: ConfigurationTable, Since: 12, Version: 13, Rows: []Row{configurationRow(11, 13)}})
	if got := versionInUse(started); got != 3 {
		t.Errorf("handed over by another router: got version %d, want 3", got)
	}
}
