package follower

import (
	"testing"
	"time"
)

// TestVersionDoesNotAdvancePastGap guards against skipping rows for good: one incremental
// batch is lost and the next one arrives.
func TestVersionDoesNotAdvancePastGap(t *testing.T) {
	f := newFollower(t)
	f.Merge(epoch, Batch{Table: RegistrationTable, Since: 12, Version: 15, Rows: []Row{{Key: "u1", Value: []byte("leaving"), Version: 15}}})
	if !f.Snapshot().Policy.Upstreams["u1"].Leaving {
		t.Error("a row after a gap is not used")
	}
	if got := f.Version(RegistrationTable); got != 9 {
		t.Errorf("got version %d, want 9: rows up to 12 are missing", got)
	}
	f.Merge(epoch, Batch{Table: RegistrationTable, Since: 9, Version: 14, Rows: []Row{{Key: "u2", Deleted: true, Version: 11}}})
	if got := f.Version(RegistrationTable); got != 14 {
		t.Errorf("got version %d once the gap up to 14 is filled, want 14", got)
	}
}

// TestFullTableListsUnchangedKeys guards against dropping rows that a full table lists by key
// only: the receiver has two upstreams, one of which is unchanged in the sender's table.
func TestFullTableListsUnchangedKeys(t *testing.T) {
	sender, receiver := newFollower(t), newFollower(t)
	sender.Merge(epoch, Batch{Table: RegistrationTable, Full: true, Version: 30, Rows: []Row{
		{Key: "u2", Value: []byte("ready"), Version: 9}, {Key: "u3", Value: []byte("ready"), Version: 25},
	}})
	b := sender.ChangesSince(RegistrationTable, 9)
	if !b.Full || len(b.Rows) != 1 || len(b.UnchangedKeys) != 1 {
		t.Fatalf("got %+v, want the full table with one row and one unchanged key", b)
	}
	receiver.Merge(epoch, b)
	got := receiver.Snapshot().Policy.Upstreams
	if len(got) != 2 || receiver.Version(RegistrationTable) != 30 {
		t.Errorf("got %v at version %d, want u2 and u3 at 30", got, receiver.Version(RegistrationTable))
	}
}

// TestFullTableKeepsUnconfirmedDeletions guards against passing on deletions that are not
// confirmed yet: a router reads the full table after a store outage and sends it to a peer
// before the retention ends.
func TestFullTableKeepsUnconfirmedDeletions(t *testing.T) {
	sender, receiver := newFollower(t), New(plainDecoder{})
	receiver.Merge(epoch, Batch{Table: ConfigurationTable, Full: true, Version: 5, Rows: []Row{{Key: "c", Value: []byte("xxx"), Version: 5}}})
	sender.Merge(epoch, Batch{Table: RegistrationTable, Full: true, Version: 20, AfterOutage: true, Rows: []Row{
		{Key: "u2", Value: []byte("ready"), Version: 9},
	}})
	receiver.Merge(epoch, sender.ChangesSince(RegistrationTable, 0))
	if got := len(receiver.Snapshot().Policy.Upstreams); got != 2 {
		t.Errorf("got %d upstreams, want 2: u1 may register again", got)
	}
	sender.ExpireRegistrations(epoch.Add(reregistrationTime))
	receiver.Merge(epoch, sender.ChangesSince(RegistrationTable, receiver.Version(RegistrationTable)))
	if got := len(receiver.Snapshot().Policy.Upstreams); got != 1 {
		t.Errorf("got %d upstreams after the retention, want u2 only", got)
	}
}

// TestPeerSyncResendsLostBatchUnderSteadyUpdates guards against never resending a lost batch:
// updates are sent all the time, and the receiver lost the first of them.
func TestPeerSyncResendsLostBatchUnderSteadyUpdates(t *testing.T) {
	const ackTimeout = time.Second
	f := newFollower(t)
	var peerSync PeerSync
	acked := map[Table]uint64{ConfigurationTable: 5, RegistrationTable: 9}
	now := epoch
	for version := uint64(10); version < 40; version++ {
		f.Merge(now, Batch{Table: RegistrationTable, Since: version - 1, Version: version, Rows: []Row{{Key: "u1", Value: []byte("ready"), Version: version}}})
		for _, b := range peerSync.MissingBatches(f, now, acked, ackTimeout) {
			if b.Since == acked[RegistrationTable] && version > 10 {
				if passed := now.Sub(epoch); passed < ackTimeout || passed > 2*ackTimeout {
					t.Errorf("sent again after %v, want between one and two times %v", passed, ackTimeout)
				}
				return
			}
		}
		now = now.Add(100 * time.Millisecond)
	}
	t.Error("the lost batch is never sent again")
}
