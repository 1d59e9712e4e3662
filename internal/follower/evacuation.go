package follower

import "math"

// The functions in this file follow the rows of the configuration table with which the operator
// empties a failure domain: its upstreams get no new requests until the row is deleted. The rows
// never expire, so a deletion takes effect at once, also after an outage of the store.

// isComplete reports whether all rows of the configuration table are known up to some version.
// Before that, a row that empties a failure domain may be missing beside a configuration.
func (f *Follower) isComplete() bool { return f.completeVersion[ConfigurationTable] > 0 }

// mergeOperatorRow applies a row of the configuration table and reports whether that changed
// what requests are served with.
func (f *Follower) mergeOperatorRow(row Row) bool {
	domain, ok, err := f.decoder.Evacuation(row.Key)
	switch {
	case err != nil && row.Deleted:
		return false
	case err != nil:
		f.reject(row, err)
		return false
	case !ok:
		return f.configure(row)
	}
	_, wasEvacuated := f.evacuatedDomains()[domain]
	f.evacuations[domain] = row
	return wasEvacuated == row.Deleted
}

// evacuatedDomains returns the emptied failure domains with the versions of their rows.
func (f *Follower) evacuatedDomains() map[string]uint64 {
	domains := make(map[string]uint64)
	for domain, row := range f.evacuations {
		if !row.Deleted {
			domains[domain] = row.Version
		}
	}
	return domains
}

// EvacuationVersion returns the version of the newest row about emptying a failure domain, or
// zero if there never was one.
func (f *Follower) EvacuationVersion(domain string) uint64 { return f.evacuations[domain].Version }

// WithoutVersion returns a batch whose rows are used like those after a gap: they neither raise
// the version of the table nor delete other rows. It is meant for batches of the configuration
// table from senders that leave out the rows that empty failure domains.
func (b Batch) WithoutVersion() Batch {
	b.Full, b.Since = false, math.MaxUint64
	return b
}
