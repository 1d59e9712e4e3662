package follower

import (
	"github.com/ansel1/merry/v2"
)

// The functions in this file bound the rows that a router keeps. A row that is too large, from the store or
// from another router, is reported like one that can't be parsed and its value is dropped. The row before it
// stays in use and is what other routers are sent; later rows are followed as usual.

// ErrRowTooLarge means that a row is larger than this router can hold.
var ErrRowTooLarge = merry.Sentinel("row is too large for the memory of this router")

const (
	// maxRowMemoryPercent is the part of a router's memory that the value of a row may have: decoding it takes
	// several times its size, while the one before is still in use.
	maxRowMemoryPercent = 5
	// defaultMaxRowBytes is the bound of a router whose memory is not known.
	defaultMaxRowBytes = 64 << 20
)

// MaxRowBytes returns the longest value of a row that a router takes which may use some memory, in MB; zero
// means that it is not known.
func MaxRowBytes(memoryMB int) int {
	if memoryMB <= 0 {
		return defaultMaxRowBytes
	}
	return memoryMB << 20 * maxRowMemoryPercent / 100
}

// LimitRows sets the longest value of a row that is taken, in bytes; zero means no limit.
func (f *Follower) LimitRows(maxBytes int) { f.maxRowBytes = maxBytes }

func (f *Follower) isTooLarge(row Row) bool {
	return f.maxRowBytes > 0 && len(row.Value) > f.maxRowBytes
}

// withhold records a row that is too large and reports whether that changed what requests are served with.
func (f *Follower) withhold(row Row) bool {
	f.reject(row, merry.Prependf(ErrRowTooLarge, "at least %d bytes, at most %d are taken", len(row.Value), f.maxRowBytes))
	row.Value = nil
	e := &entry{row: row, withheld: true}
	if before, ok := f.rows[row.Table][row.Key]; ok {
		e.lastPolicy, e.cold, e.earlier = before.lastPolicy, before.cold, before.shared()
	}
	f.rows[row.Table][row.Key] = e
	return row.Table == RegistrationTable
}

// mergeEarlier takes over a row that another router has from before the one that is withheld.
func (f *Follower) mergeEarlier(e *entry, row Row) bool {
	if row.Table != ConfigurationTable || row.Deleted || row.Version <= e.earlier.Version || f.isTooLarge(row) {
		return false
	}
	e.earlier = row
	return f.mergeOperatorRow(row)
}

// shared returns the row that other routers are sent of a key, or an empty one.
func (e *entry) shared() Row {
	if e.withheld {
		return e.earlier
	}
	return e.row
}

// lacksConfiguration reports whether this router has no configuration because the row with it is withheld. It
// then asks other routers for an earlier one.
func (f *Follower) lacksConfiguration() bool {
	if f.configuration != nil {
		return false
	}
	for _, e := range f.rows[ConfigurationTable] {
		if e.withheld {
			return true
		}
	}
	return false
}

// capAtWithheld lowers the version of a batch for a router that has all rows up to known, so that it does not
// take a withheld row for one that it was sent.
func (f *Follower) capAtWithheld(b *Batch, known uint64) {
	for _, e := range f.rows[b.Table] {
		if e.withheld && e.row.Version > known {
			b.Version = min(b.Version, e.row.Version-1)
		}
	}
}
