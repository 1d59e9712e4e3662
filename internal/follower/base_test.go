package follower

import "testing"

// TestTableForAnEarlierProcessIsNotTheWholeTable guards against a fleet that loses all its upstreams: a router starts
// again and receives the table that was meant for its predecessor, without the rows that this one had. It must not
// take it for the whole, hand it on, or refuse the rows that it reads from the store next.
func TestTableForAnEarlierProcessIsNotTheWholeTable(t *testing.T) {
	sender := newFollower(t)
	sender.Merge(epoch, Batch{Table: RegistrationTable, Full: true, Version: 30, Rows: []Row{
		{Key: "u1", Value: []byte("ready"), Version: 6}, {Key: "u2", Value: []byte("ready"), Version: 9},
	}})
	meantForEarlier := sender.ChangesSince(RegistrationTable, 9)
	for name, b := range map[string]Batch{"": meantForEarlier, ", of an earlier release": withoutBase(meantForEarlier)} {
		started := New(plainDecoder{})
		started.Merge(epoch, b)
		if got := started.Version(RegistrationTable); got != 0 {
			t.Errorf("started again%s: got all rows known up to %d, want 0", name, got)
		}
		started.Merge(epoch, Batch{Table: ConfigurationTable, Full: true, Version: 31, Rows: []Row{{Key: "c", Value: []byte("xxx"), Version: 5}}})
		started.Merge(epoch, Batch{Table: RegistrationTable, Full: true, Version: 31, Rows: []Row{
			{Key: "u1", Value: []byte("ready"), Version: 6}, {Key: "u2", Value: []byte("ready"), Version: 9},
		}})
		if got := len(started.Snapshot().Policy.Upstreams); got != 2 {
			t.Errorf("after the store was read%s: got %d upstreams, want 2", name, got)
		}
		sender.Merge(epoch, started.ChangesSince(RegistrationTable, 30))
		if got := len(sender.Snapshot().Policy.Upstreams); got != 2 {
			t.Errorf("at the sender%s: got %d upstreams, want 2", name, got)
		}
	}
}

// withoutBase returns a batch as earlier releases send it, which don't say what they take for known.
func withoutBase(b Batch) Batch {
	b.Since = 0
	return b
}

// TestLostRowsAreNotTakenForReceived guards against a router that keeps an older row for good: the message with the
// newer one is lost, and the next one lists it as unchanged.
func TestLostRowsAreNotTakenForReceived(t *testing.T) {
	sender, receiver := newFollower(t), newFollower(t)
	sender.Merge(epoch, Batch{Table: RegistrationTable, Full: true, Version: 20, Rows: []Row{
		{Key: "u1", Value: []byte("leaving"), Version: 15}, {Key: "u2", Value: []byte("ready"), Version: 9},
	}})
	sender.ChangesSince(RegistrationTable, 9) // lost
	sender.Merge(epoch, Batch{Table: RegistrationTable, Full: true, Version: 30, Rows: []Row{
		{Key: "u1", Value: []byte("leaving"), Version: 15}, {Key: "u2", Value: []byte("ready"), Version: 9},
	}})
	receiver.Merge(epoch, sender.ChangesSince(RegistrationTable, 20))
	if got := receiver.Version(RegistrationTable); got != 9 {
		t.Errorf("got all rows known up to %d, want 9", got)
	}
	receiver.Merge(epoch, sender.ChangesSince(RegistrationTable, receiver.Version(RegistrationTable)))
	if got := receiver.Snapshot().Policy.Upstreams["u1"].Leaving; !got || receiver.Version(RegistrationTable) != 30 {
		t.Errorf("sent again: got leaving %t and rows up to %d, want true and 30", got, receiver.Version(RegistrationTable))
	}
}

// TestStoreCorrectsAWrongDeletion guards against rows that stay deleted although the store still has them.
func TestStoreCorrectsAWrongDeletion(t *testing.T) {
	f := newFollower(t)
	f.Merge(epoch, Batch{Table: RegistrationTable, Full: true, Version: 37}) // by a router that knew nothing
	f.Merge(epoch, Batch{Table: RegistrationTable, Full: true, Version: 40, Rows: []Row{
		{Key: "u1", Value: []byte("ready"), Version: 6}, {Key: "u2", Value: []byte("ready"), Version: 9},
	}})
	if got := len(f.Snapshot().Policy.Upstreams); got != 2 {
		t.Errorf("got %d upstreams, want 2", got)
	}
}
