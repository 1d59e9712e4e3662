package follower

// ChangesSince returns what a router lacks that has all rows of a table up to a version: the rows
// that are newer, or the whole table if some may be gone that never were known here.
// Registrations that may come back are not among what is gone.
func (f *Follower) ChangesSince(t Table, version uint64) Batch {
	if version < f.wholeAt[t] {
		return f.whole(t, version)
	}
	b := Batch{Table: t, Since: version, Version: f.Version(t)}
	for _, e := range f.rows[t] {
		if e.row.Version > version && !e.doubted() {
			b.Rows = append(b.Rows, e.row)
		}
	}
	return b
}

// whole returns all of a table for a router that has its rows up to a version; those are
// only named.
func (f *Follower) whole(t Table, known uint64) Batch {
	b := Batch{Table: t, Full: true, Version: f.Version(t)}
	for _, e := range f.rows[t] {
		row := e.row
		if e.doubted() {
			row = e.before
		}
		switch {
		case row.Deleted || row.Version == 0:
		case row.Version <= known:
			b.UnchangedKeys = append(b.UnchangedKeys, row.Key)
		default:
			b.Rows = append(b.Rows, row)
		}
	}
	return b
}
