package follower

import "time"

// PeerSync decides what one other router is sent of the tables. What was sent counts as
// known there until the router should have said so and did not: messages may get lost, and
// newer ones go on meanwhile. The zero value has sent nothing.
type PeerSync struct {
	claims map[Table]*claim
}

// claim is what a router was sent of one table.
type claim struct {
	// sent is the version up to which it was sent rows.
	sent uint64
	// awaited is a version that it has to say that it has, and asked when it was sent
	// that.
	awaited uint64
	asked   time.Time
}

// MissingBatches returns what a router is to be sent now that said which versions it has.
// Patience is how long it has to say that it has what it was sent.
func (t *PeerSync) MissingBatches(f *Follower, now time.Time, has map[Table]uint64, patience time.Duration) []Batch {
	var batches []Batch
	for _, table := range Tables {
		c := t.of(table)
		known := c.known(now, has[table], patience)
		if known >= f.Version(table) {
			continue
		}
		b := f.ChangesSince(table, known)
		c.note(now, has[table], b.Version)
		batches = append(batches, b)
	}
	return batches
}

// Reset forgets what was sent: the router has everything, or nothing any more.
func (t *PeerSync) Reset() { t.claims = nil }

func (t *PeerSync) of(table Table) *claim {
	if t.claims == nil {
		t.claims = make(map[Table]*claim, len(Tables))
	}
	c, ok := t.claims[table]
	if !ok {
		c = &claim{}
		t.claims[table] = c
	}
	return c
}

// known returns the version up to which the router has all rows, or will have once what
// is on its way has arrived.
func (c *claim) known(now time.Time, has uint64, patience time.Duration) uint64 {
	switch {
	case has >= c.awaited:
		c.awaited, c.asked = c.sent, now
	case now.Sub(c.asked) >= patience:
		c.sent, c.awaited = has, has
	}
	return max(has, c.sent)
}

// note notes that the router is sent what it lacks up to a version.
func (c *claim) note(now time.Time, has, version uint64) {
	c.sent = version
	if c.awaited <= has {
		c.awaited, c.asked = version, now
	}
}
