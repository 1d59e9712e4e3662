package follower

import "time"

// PeerSync decides which rows one other router is sent. Rows that were sent count as known
// there until an acknowledgement is overdue: messages may be lost, and newer rows are sent
// meanwhile without waiting. The zero value has sent nothing.
type PeerSync struct {
	tables map[Table]*tableSync
}

// tableSync is the state of sending one table.
type tableSync struct {
	// sentVersion is the version up to which rows were sent.
	sentVersion uint64
	// awaitedVersion is the version whose acknowledgement is awaited, and awaitedSince is
	// when it was sent.
	awaitedVersion uint64
	awaitedSince   time.Time
}

// MissingBatches returns what to send now to a router that acknowledged the given version
// of each table. Rows that it does not acknowledge within ackTimeout are sent again.
func (s *PeerSync) MissingBatches(f *Follower, now time.Time, acked map[Table]uint64, ackTimeout time.Duration) []Batch {
	var batches []Batch
	for _, table := range Tables {
		ts := s.syncOf(table)
		assumed := ts.assumedVersion(now, acked[table], ackTimeout)
		if assumed >= f.Version(table) {
			continue
		}
		b := f.ChangesSince(table, assumed)
		ts.recordSent(now, acked[table], b.Version)
		batches = append(batches, b)
	}
	return batches
}

// Reset discards what was sent: the router has all rows, or none any more.
func (s *PeerSync) Reset() { s.tables = nil }

func (s *PeerSync) syncOf(table Table) *tableSync {
	if s.tables == nil {
		s.tables = make(map[Table]*tableSync, len(Tables))
	}
	ts, ok := s.tables[table]
	if !ok {
		ts = &tableSync{}
		s.tables[table] = ts
	}
	return ts
}

// assumedVersion returns the version up to which the router has all rows, or will have
// them once the messages under way have arrived.
func (ts *tableSync) assumedVersion(now time.Time, acked uint64, ackTimeout time.Duration) uint64 {
	switch {
	case acked >= ts.awaitedVersion:
		ts.awaitedVersion, ts.awaitedSince = ts.sentVersion, now
	case now.Sub(ts.awaitedSince) >= ackTimeout:
		ts.sentVersion, ts.awaitedVersion = acked, acked
	}
	return max(acked, ts.sentVersion)
}

// recordSent records that rows up to a version were sent.
func (ts *tableSync) recordSent(now time.Time, acked, version uint64) {
	ts.sentVersion = version
	if ts.awaitedVersion <= acked {
		ts.awaitedVersion, ts.awaitedSince = version, now
	}
}
