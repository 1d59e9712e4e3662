package follower

// ChangesSince returns what a router lacks that has all rows of a table up to a version: the
// newer rows, or the full table if rows may have been deleted that this router never knew. It
// omits deletions that are not confirmed yet, as those upstreams may register again.
func (f *Follower) ChangesSince(t Table, version uint64) Batch {
	if version < f.fullVersion[t] {
		return f.fullTable(t, version)
	}
	b := Batch{Table: t, Since: version, Version: f.Version(t), HasEvacuations: true}
	for _, e := range f.rows[t] {
		if row := e.shared(); row.Version > version && !e.deletionUnconfirmed() {
			b.Rows = append(b.Rows, row)
		}
	}
	f.capAtWithheld(&b, version)
	return b
}

// fullTable returns the full table for a router that has all rows up to knownVersion; those
// rows are only listed by key.
func (f *Follower) fullTable(t Table, knownVersion uint64) Batch {
	b := Batch{Table: t, Full: true, Since: knownVersion, Version: f.Version(t), HasEvacuations: true}
	for _, e := range f.rows[t] {
		row := e.shared()
		if e.deletionUnconfirmed() {
			row = e.deletedRow
		}
		switch {
		case e.withheld && row.Version == 0:
			b.UnchangedKeys = append(b.UnchangedKeys, e.row.Key)
		case row.Deleted || row.Version == 0:
		case row.Version <= knownVersion:
			b.UnchangedKeys = append(b.UnchangedKeys, row.Key)
		default:
			b.Rows = append(b.Rows, row)
		}
	}
	f.capAtWithheld(&b, knownVersion)
	return b
}
