// Package follower keeps a router's copy of the fleet's state in the platform's store: the
// newest configuration, the emptied failure domains and the registrations of the upstreams,
// each with the version that the store gave it.
//
// Rows come from the store and from other routers, in any order and more than once. For
// each row the highest version wins, so that a router never returns to older state. A store that
// came back from an older copy starts a new era, whose versions are above those of all earlier ones. The
// version of a table is the one up to which all its rows are known: rows received after a
// gap are used but do not raise it, so that the missing rows are sent again.
//
// A router that cannot reach the store goes on with the rows it has and those that its
// peers send. Registrations that the store deleted during such an outage stay in use for a
// short time after the store's return, in which live upstreams register again.
//
// A Follower does no I/O. A Feed reads the store for it.
//
// # Usage
//
//	f := follower.New(decoder)
//	if f.Merge(now, follower.Batch{Table: follower.RegistrationTable, Rows: rows, Full: true}) {
//		snapshot := f.Snapshot()
//	}
package follower

import (
	"time"

	"lentilwood.example/lentilwood/internal/matcher"
	"lentilwood.example/lentilwood/internal/messenger"
)

// Table is the name of a table in the platform's store.
type Table string

// The tables that a router follows.
const (
	// ConfigurationTable holds the newest configuration, and a row for each failure domain that
	// the operator empties.
	ConfigurationTable Table = "configuration"
	// RegistrationTable holds one row for each upstream.
	RegistrationTable Table = "registration"
)

// Tables lists all followed tables.
var Tables = []Table{ConfigurationTable, RegistrationTable}

// reregistrationTime is how long a registration that the store deleted during an outage stays
// in use after the store is reachable again. Live upstreams register again about two seconds
// after that.
const reregistrationTime = 2200 * time.Millisecond

// Row is one row of a table as read from the store.
type Row struct {
	_     struct{} `codec:",toarray"`
	Table Table
	Key   string
	Value []byte
	// Version is assigned by the store and grows with each write to any table, over all eras of the
	// store.
	Version uint64
	Deleted bool
}

// Batch is a set of rows that were read together or received from another router.
type Batch struct {
	_     struct{} `codec:",toarray"`
	Table Table
	Rows  []Row
	// Full is true if Rows and UnchangedKeys together cover the whole table as of Version. Any
	// other key has been deleted.
	Full bool
	// Since is the version up to which the sender takes all rows as known to the receiver. Rows holds
	// what changed after it, up to Version. The sender may be wrong: its messages may be lost, or
	// reach a process that started after the one that knew the rows.
	Since, Version uint64
	// AfterOutage is true for the first read after a store outage. Upstreams whose rows the
	// store deleted meanwhile may still be alive.
	AfterOutage bool
	// UnchangedKeys lists rows of which the receiver already has the current version.
	UnchangedKeys []string
	// HasEvacuations is true if the sender follows the rows that empty failure domains. Releases
	// before those rows leave it out; see WithoutVersion.
	HasEvacuations bool
	// Restored is true for the first read after the store came back from an older copy: until they
	// are written again, rows may be older than those before.
	Restored bool
}

// Configuration is one version of the fleet's configuration.
type Configuration struct {
	Table *matcher.Table
	// Pools holds the pools that upstreams may register for.
	Pools map[messenger.PoolID]messenger.PoolPolicy
	// Throughput is the work that all engines together do per second; see Policy.
	Throughput float64
}

// Decoder parses the values of rows.
type Decoder interface {
	Configuration(value []byte) (*Configuration, error)
	// Registration parses the row of an upstream.
	Registration(key string, value []byte) (messenger.UpstreamPolicy, error)
	// Evacuation returns the failure domain that a row of the configuration table empties, and
	// whether the key is that of such a row and not that of the configuration.
	Evacuation(key string) (domain string, ok bool, err error)
}

// Snapshot is the routing table and policy that requests are served with.
type Snapshot struct {
	Table  *matcher.Table
	Policy *messenger.Policy
	// Evacuated holds the emptied failure domains with the versions of their rows.
	Evacuated map[string]uint64
}

// Follower keeps the newest version of each row. It is not safe for concurrent use.
type Follower struct {
	decoder Decoder
	rows    map[Table]map[string]*entry
	// completeVersion is, for each table, the version up to which all rows are known.
	completeVersion map[Table]uint64
	// configuration is the newest configuration that could be parsed, configurationBytes the length of its row.
	configuration      *Configuration
	configurationBytes int
	// hasUnconfirmedDeletions is true while some deleted registration may still be in use.
	hasUnconfirmedDeletions bool
	// rejected holds the rows that could not be parsed since the last call of TakeRejected.
	rejected []RejectedRow
	// fullVersion is, for each table, the version of the last full read. A row that was
	// missing there and is not newer has been deleted, even if this router never knew it.
	fullVersion map[Table]uint64
	// departing holds the upstreams that announced in an answer that they are leaving,
	// whatever their rows say, with the start time of the process that announced it.
	departing map[string]time.Time
	// evacuations holds the newest row of each failure domain that was ever emptied.
	evacuations map[string]Row
	// maxRowBytes is the longest value of a row that is taken; zero means no limit.
	maxRowBytes int
}

// entry is the newest row of a key with its parsed registration.
type entry struct {
	row      Row
	upstream messenger.UpstreamPolicy
	readable bool
	// expiresAt is when a deleted registration goes out of use; zero means that it already
	// has.
	expiresAt time.Time
	// lastPolicy is the last registration of this key that could be parsed.
	lastPolicy messenger.UpstreamPolicy
	cold       coldState
	// deletedRow is the last row before the deletion, kept while the registration is still in
	// use.
	deletedRow Row
	// withheld is true if the row was too large to keep its value; earlier is then the last one that
	// was not.
	withheld bool
	earlier  Row
}

// RejectedRow is a row that could not be parsed.
type RejectedRow struct {
	Table   Table
	Key     string
	Version uint64
	Err     error
}

// New returns a Follower without any rows.
func New(decoder Decoder) *Follower {
	f := &Follower{
		decoder: decoder, rows: make(map[Table]map[string]*entry), completeVersion: make(map[Table]uint64),
		fullVersion: make(map[Table]uint64), departing: make(map[string]time.Time),
		evacuations: make(map[string]Row),
	}
	f.rows[ConfigurationTable] = make(map[string]*entry)
	f.rows[RegistrationTable] = make(map[string]*entry)
	return f
}

// Version returns the version up to which all rows of a table are known and in use. Other
// routers may be sent the table up to that version.
func (f *Follower) Version(t Table) uint64 {
	if t == ConfigurationTable && f.lacksConfiguration() {
		return 0
	}
	version := f.completeVersion[t]
	if !f.hasUnconfirmedDeletions || t != RegistrationTable {
		return version
	}
	for _, e := range f.rows[t] {
		if e.deletionUnconfirmed() {
			version = min(version, e.row.Version-1)
		}
	}
	return version
}

// RowVersion returns the version of the newest known row of a key, or zero.
func (f *Follower) RowVersion(t Table, key string) uint64 {
	if e, ok := f.rows[t][key]; ok {
		return e.row.Version
	}
	return 0
}

// ConfigurationBytes returns the length of the row with the configuration in use.
func (f *Follower) ConfigurationBytes() int { return f.configurationBytes }

// Merge applies a batch and reports whether it changed what requests are served with.
func (f *Follower) Merge(now time.Time, b Batch) bool {
	if f.rows[b.Table] == nil {
		return false
	}
	changed, wasComplete, hasBase := false, f.isComplete(), f.hasBase(b)
	seen := make(map[string]bool, len(b.Rows))
	if b.Restored && b.Table == RegistrationTable {
		f.recordLeavingAsDepartures()
	}
	for _, row := range b.Rows {
		row.Table = b.Table
		seen[row.Key] = true
		changed = f.mergeRow(now, row, b) || changed
	}
	for _, key := range b.UnchangedKeys {
		seen[key] = true
	}
	if b.Full && hasBase {
		changed = f.deleteMissing(now, b, seen) || changed
		f.fullVersion[b.Table] = max(f.fullVersion[b.Table], b.Version)
	}
	if hasBase {
		f.completeVersion[b.Table] = max(f.completeVersion[b.Table], b.Version)
	}
	return changed || f.isComplete() != wasComplete
}

// hasBase reports whether this router has the rows that a batch leaves out as known. Without them, the rows
// of the batch are used like those after a gap.
func (f *Follower) hasBase(b Batch) bool {
	if b.Full && len(b.UnchangedKeys) == 0 {
		return true
	}
	for _, key := range b.UnchangedKeys {
		if _, ok := f.rows[b.Table][key]; !ok {
			return false // earlier releases don't set Since in a full table
		}
	}
	return b.Since <= f.completeVersion[b.Table]
}

// deleteMissing deletes the rows that a full batch does not contain.
func (f *Follower) deleteMissing(now time.Time, b Batch, seen map[string]bool) bool {
	changed := false
	for key, e := range f.rows[b.Table] {
		if seen[key] || e.row.Version > b.Version || e.row.Deleted && (b.AfterOutage || !e.deletionUnconfirmed()) {
			continue
		}
		row := Row{Table: b.Table, Key: key, Version: b.Version, Deleted: true}
		changed = f.mergeRow(now, row, b) || changed
	}
	return changed
}

// proves reports whether a batch that holds a row shows that it is not deleted: it is the whole table, as of
// the deletion or later.
func (b *Batch) proves(row Row, deletedAt uint64) bool {
	return b.Full && len(b.UnchangedKeys) == 0 && !row.Deleted && b.Version >= deletedAt
}

// mergeRow merges a row of a batch and reports whether it changed what requests are served with.
func (f *Follower) mergeRow(now time.Time, row Row, b Batch) bool {
	e := f.rows[b.Table][row.Key]
	switch {
	case e == nil:
		if row.Version <= f.fullVersion[b.Table] && !b.proves(row, f.fullVersion[b.Table]) {
			return false
		}
	case e.row.Deleted && b.proves(row, e.row.Version):
	case e.withheld && e.row.Version > row.Version:
		return f.mergeEarlier(e, row)
	case e.row.Version >= row.Version:
		return !b.AfterOutage && e.confirmDeletion(row)
	}
	if f.isTooLarge(row) {
		return f.withhold(row)
	}
	return f.replaceRow(now, e, row, b.AfterOutage)
}

// replaceRow replaces an entry, which may be nil, by a newer row.
func (f *Follower) replaceRow(now time.Time, before *entry, row Row, afterOutage bool) bool {
	e := &entry{row: row}
	if before != nil {
		e.lastPolicy, e.cold = before.lastPolicy, before.cold
	}
	f.rows[row.Table][row.Key] = e
	if row.Table == ConfigurationTable {
		return f.mergeOperatorRow(row)
	}
	if row.Deleted {
		if afterOutage && before.isRegistered() {
			e.expiresAt = now.Add(reregistrationTime)
			e.deletedRow = retainedRow(before)
			f.hasUnconfirmedDeletions = true
		}
		return true
	}
	f.register(e)
	if e.readable {
		e.cold.applyRow(now, e.upstream)
	}
	return true
}

// isRegistered reports whether an entry, which may be nil, is a registration in use.
func (e *entry) isRegistered() bool { return e != nil && (e.readable || e.deletionUnconfirmed()) }

// deletionUnconfirmed reports whether the row was deleted but its registration is still in use.
func (e *entry) deletionUnconfirmed() bool { return !e.expiresAt.IsZero() }

// confirmDeletion takes a deleted registration out of use if row, received again, confirms the
// deletion. It reports whether it did.
func (e *entry) confirmDeletion(row Row) bool {
	if !e.deletionUnconfirmed() || !row.Deleted || row.Version != e.row.Version {
		return false
	}
	e.expiresAt = time.Time{}
	return true
}

// retainedRow returns the last row of an entry that was not deleted, or an empty one.
func retainedRow(e *entry) Row {
	switch {
	case e == nil:
		return Row{}
	case e.row.Deleted:
		return e.deletedRow
	}
	return e.shared()
}

// configure applies a configuration unless a newer one is in use.
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
	f.configuration, f.configurationBytes = c, len(row.Value)
	return true
}

func (f *Follower) register(e *entry) {
	u, err := f.decoder.Registration(e.row.Key, e.row.Value)
	if err != nil {
		f.reject(e.row, err)
		return
	}
	e.upstream, e.readable, e.lastPolicy = u, true, u
}

func (f *Follower) reject(row Row, err error) {
	f.rejected = append(f.rejected, RejectedRow{Table: row.Table, Key: row.Key, Version: row.Version, Err: err})
}

// TakeRejected returns the rows that could not be parsed since the last call.
func (f *Follower) TakeRejected() []RejectedRow {
	out := f.rejected
	f.rejected = nil
	return out
}

// ExpireRegistrations takes deleted registrations whose retention has ended out of use and
// reports whether there were any.
func (f *Follower) ExpireRegistrations(now time.Time) bool {
	if !f.hasUnconfirmedDeletions {
		return false
	}
	changed := false
	f.hasUnconfirmedDeletions = false
	for _, e := range f.rows[RegistrationTable] {
		switch {
		case !e.deletionUnconfirmed():
		case now.Before(e.expiresAt):
			f.hasUnconfirmedDeletions = true
		default:
			e.expiresAt = time.Time{}
			changed = true
		}
	}
	return changed
}

// Snapshot returns what requests are served with, or nil while the configuration or the emptied
// failure domains are unknown.
func (f *Follower) Snapshot() *Snapshot {
	if f.configuration == nil || !f.isComplete() {
		return nil
	}
	policy := &messenger.Policy{
		Version:    f.configuration.Table.Version(),
		Pools:      f.configuration.Pools,
		Upstreams:  make(map[messenger.UpstreamID]messenger.UpstreamPolicy),
		Throughput: f.configuration.Throughput,
	}
	evacuated := f.evacuatedDomains()
	for key, e := range f.rows[RegistrationTable] {
		u := e.upstream
		if e.deletionUnconfirmed() {
			u = e.lastPolicy
		} else if !e.readable {
			continue
		}
		pool, ok := policy.Pools[u.Pool]
		if !ok {
			continue
		}
		u.Engine, u.HealthPath = pool.Engine != nil, pool.HealthPath
		e.cold.setPolicy(&u, pool.Cold)
		u.Leaving = u.Leaving || f.isDeparting(key, u)
		_, u.Evacuated = evacuated[u.Domain]
		policy.Upstreams[messenger.UpstreamID(key)] = u
	}
	return &Snapshot{Table: f.configuration.Table, Policy: policy, Evacuated: evacuated}
}
