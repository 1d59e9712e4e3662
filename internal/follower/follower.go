// Package follower keeps what a router believes of a fleet whose platform
// keeps the configuration and the list of upstreams: the newest configuration
// and the registrations of the upstreams, each with the version at which the
// platform's store took it.
//
// Rows come from the store and from other routers, in any order and more than
// once; for each row the highest version wins, so that no router goes back.
// The version of a table is the one up to which all its rows are known: rows that
// come after a gap count, but don't raise it, so that what is missing is told again.
//
// While a router cannot reach the store it goes on with what it knows and what
// its peers tell it. Registrations that the store dropped while it was away
// are believed for a short while after its return, in which upstreams that
// live are registered again.
//
// A Follower does no I/O. A Feed reads the store for it.
//
// # Usage
//
//	f := follower.New(decoder)
//	if f.Merge(now, follower.Batch{Table: follower.Registrations, Rows: rows, Whole: true}) {
//		snapshot := f.Snapshot()
//	}
package follower

import (
	"time"

	"lentilwood.example/lentilwood/internal/matcher"
	"lentilwood.example/lentilwood/internal/messenger"
)

// Table names what the platform's store keeps for the fleet.
type Table string

// The tables that are followed.
const (
	// ConfigurationTable holds the newest configuration.
	ConfigurationTable Table = "configuration"
	// RegistrationTable holds a row for each upstream.
	RegistrationTable Table = "registration"
)

// Tables are all tables that are followed.
var Tables = []Table{ConfigurationTable, RegistrationTable}

// returnTime is how long after the store's return a registration that it
// dropped meanwhile is still believed: upstreams that live are registered
// again about two seconds after it.
const returnTime = 2200 * time.Millisecond

// Row is one row of a table as the store had it.
type Row struct {
	_     struct{} `codec:",toarray"`
	Table Table
	Key   string
	Value []byte
	// Version is the store's; it grows with each write to any table.
	Version uint64
	Deleted bool
}

// Batch is rows that were read together, or that one router tells another.
type Batch struct {
	_     struct{} `codec:",toarray"`
	Table Table
	Rows  []Row
	// Full is true if Rows, and those named in Kept, are all of the table as of
	// Version, so that what is missing is gone.
	Full bool
	// Since is the version up to which a difference takes all rows for known: Rows are
	// all that changed after it, up to Version.
	Since, Version uint64
	// AfterOutage is true for the first read after a time without the store: what
	// it dropped meanwhile may live.
	AfterOutage bool
	// UnchangedKeys names rows that the receiver has as they are.
	UnchangedKeys []string
}

// Configuration is one version of the fleet's configuration.
type Configuration struct {
	Table *matcher.Table
	// Pools holds the pools that upstreams may register for.
	Pools map[messenger.PoolID]messenger.PoolPolicy
	// Throughput is what all engines together do in a second; see Policy.
	Throughput float64
}

// Decoder reads the values of rows.
type Decoder interface {
	Configuration(value []byte) (*Configuration, error)
	// Registration reads the row of an upstream.
	Registration(key string, value []byte) (messenger.UpstreamPolicy, error)
}

// Snapshot is what requests are served by.
type Snapshot struct {
	Table  *matcher.Table
	Policy *messenger.Policy
}

// Follower keeps the newest rows. It is not safe for concurrent use.
type Follower struct {
	decoder Decoder
	rows    map[Table]map[string]*entry
	// complete is the version up to which all rows of a table are known.
	complete map[Table]uint64
	// configuration is the newest that could be read.
	configuration *Configuration
	// expires is true while a dropped registration may still be believed.
	expires bool
	// rejected are the rows that could not be read, since the last look.
	rejected []RejectedRow
	// wholeAt is the version at which each table was last read whole: a row that was
	// not there and is no newer is gone, also one that never was known here.
	wholeAt map[Table]uint64
	// departing holds the upstreams that said themselves that they leave, whatever
	// their rows say, with the start of the process that said so.
	departing map[string]time.Time
}

// entry is the newest row of a key.
type entry struct {
	row      Row
	upstream messenger.UpstreamPolicy
	readable bool
	// goneAt is when a dropped row stops being believed; zero means at once.
	goneAt time.Time
	last   messenger.UpstreamPolicy
	// before is the row that was dropped, while it is still believed.
	before Row
}

// RejectedRow is a row that could not be read.
type RejectedRow struct {
	Table   Table
	Key     string
	Version uint64
	Err     error
}

// New returns a Follower that knows nothing.
func New(decoder Decoder) *Follower {
	f := &Follower{
		decoder: decoder, rows: make(map[Table]map[string]*entry), complete: make(map[Table]uint64),
		wholeAt: make(map[Table]uint64), departing: make(map[string]time.Time),
	}
	f.rows[ConfigurationTable] = make(map[string]*entry)
	f.rows[RegistrationTable] = make(map[string]*entry)
	return f
}

// Version returns the version up to which all rows of a table are known and in force:
// others may be told that much of it.
func (f *Follower) Version(t Table) uint64 {
	version := f.complete[t]
	if !f.expires || t != RegistrationTable {
		return version
	}
	for _, e := range f.rows[t] {
		if e.doubted() {
			version = min(version, e.row.Version-1)
		}
	}
	return version
}

// RowVersion returns the version of the newest row known of a key, or zero.
func (f *Follower) RowVersion(t Table, key string) uint64 {
	if e, ok := f.rows[t][key]; ok {
		return e.row.Version
	}
	return 0
}

// Merge takes in rows and reports whether that changed what requests are
// served by.
func (f *Follower) Merge(now time.Time, b Batch) bool {
	known := f.rows[b.Table]
	if known == nil {
		return false
	}
	changed := false
	seen := make(map[string]bool, len(b.Rows))
	for _, row := range b.Rows {
		row.Table = b.Table
		seen[row.Key] = true
		changed = f.mergeRow(now, known, row, b.AfterOutage) || changed
	}
	for _, key := range b.UnchangedKeys {
		seen[key] = true
	}
	if b.Full {
		changed = f.dropMissing(now, b, seen) || changed
		f.wholeAt[b.Table] = max(f.wholeAt[b.Table], b.Version)
	}
	if b.Full || b.Since <= f.complete[b.Table] {
		f.complete[b.Table] = max(f.complete[b.Table], b.Version)
	}
	return changed
}

// dropMissing takes what a whole table does not have for gone.
func (f *Follower) dropMissing(now time.Time, b Batch, seen map[string]bool) bool {
	changed := false
	for key, e := range f.rows[b.Table] {
		if seen[key] || e.row.Version > b.Version || e.row.Deleted && (b.AfterOutage || !e.doubted()) {
			continue
		}
		row := Row{Table: b.Table, Key: key, Version: b.Version, Deleted: true}
		changed = f.mergeRow(now, f.rows[b.Table], row, b.AfterOutage) || changed
	}
	return changed
}

func (f *Follower) mergeRow(now time.Time, known map[string]*entry, row Row, catchUp bool) bool {
	e, ok := known[row.Key]
	if ok && e.row.Version >= row.Version {
		return !catchUp && e.confirmDrop(row)
	}
	if !ok && row.Version <= f.wholeAt[row.Table] {
		return false
	}
	fresh := &entry{row: row}
	if ok {
		fresh.last = e.last
	}
	known[row.Key] = fresh
	if row.Table == ConfigurationTable {
		return f.configure(row)
	}
	if row.Deleted {
		if catchUp && e.believed() {
			fresh.goneAt = now.Add(returnTime)
			fresh.before = previous(e)
			f.expires = true
		}
		return true
	}
	f.register(fresh)
	return true
}

// believed reports whether an entry, which may be nil, names an upstream.
func (e *entry) believed() bool { return e != nil && (e.readable || e.doubted()) }

// doubted reports whether a row was dropped and is still believed.
func (e *entry) doubted() bool { return !e.goneAt.IsZero() }

// confirmDrop ends the doubt about the drop of a row that was told once more, by a router
// that does not doubt it. It reports whether there was one.
func (e *entry) confirmDrop(row Row) bool {
	if !e.doubted() || !row.Deleted || row.Version != e.row.Version {
		return false
	}
	e.goneAt = time.Time{}
	return true
}

// previous returns the row that an entry stands for, or an empty one.
func previous(e *entry) Row {
	switch {
	case e == nil:
		return Row{}
	case e.row.Deleted:
		return e.before
	}
	return e.row
}

// configure puts a configuration in force, unless it is older than the one
// that is.
func (f *Follower) configure(row Row) bool {
	if row.Deleted {
		return false
	}
	c, err := f.decoder.Configuration(row.Value)
	if err != nil {
		f.reject(row, err)
		return false
	}
	if f.configuration != nil && c.Table.Version() < f.configuration.Table.Version() {
		return false
	}
	f.configuration = c
	return true
}

func (f *Follower) register(e *entry) {
	u, err := f.decoder.Registration(e.row.Key, e.row.Value)
	if err != nil {
		f.reject(e.row, err)
		return
	}
	e.upstream, e.readable, e.last = u, true, u
}

func (f *Follower) reject(row Row, err error) {
	f.rejected = append(f.rejected, RejectedRow{Table: row.Table, Key: row.Key, Version: row.Version, Err: err})
}

// TakeRejected returns the rows that could not be read since the last call.
func (f *Follower) TakeRejected() []RejectedRow {
	out := f.rejected
	f.rejected = nil
	return out
}

// ExpireRegistrations reports whether a registration stopped being believed since the last
// look.
func (f *Follower) ExpireRegistrations(now time.Time) bool {
	if !f.expires {
		return false
	}
	changed := false
	f.expires = false
	for _, e := range f.rows[RegistrationTable] {
		switch {
		case !e.doubted():
		case now.Before(e.goneAt):
			f.expires = true
		default:
			e.goneAt = time.Time{}
			changed = true
		}
	}
	return changed
}

// Snapshot returns what requests are served by, or nil without a
// configuration.
func (f *Follower) Snapshot() *Snapshot {
	if f.configuration == nil {
		return nil
	}
	policy := &messenger.Policy{
		Version:    f.configuration.Table.Version(),
		Pools:      f.configuration.Pools,
		Upstreams:  make(map[messenger.UpstreamID]messenger.UpstreamPolicy),
		Throughput: f.configuration.Throughput,
	}
	for key, e := range f.rows[RegistrationTable] {
		u := e.upstream
		if e.doubted() {
			u = e.last
		} else if !e.readable {
			continue
		}
		pool, ok := policy.Pools[u.Pool]
		if !ok {
			continue
		}
		u.Engine = pool.Engine != nil
		u.Leaving = u.Leaving || f.departs(key, u)
		policy.Upstreams[messenger.UpstreamID(key)] = u
	}
	return &Snapshot{Table: f.configuration.Table, Policy: policy}
}
