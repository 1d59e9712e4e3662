package keeper

import (
	"sort"
	"time"

	"lentilwood.example/lentilwood/internal/storer"
)

// table keeps its rows by key, and their changes in the order of versions.
type table struct {
	name    string
	last    uint64
	rows    map[string]storer.Row
	changes []change
}

// change names the row that a version wrote. It is stale once the row has a
// higher version.
type change struct {
	version uint64
	key     string
}

// version returns the version of a live row, or 0.
func (t *table) version(key string) uint64 {
	row := t.rows[key]
	if row.Deleted {
		return 0
	}
	return row.Version
}

func (t *table) write(op storer.Op) {
	t.last++
	row := storer.Row{Table: t.name, Key: op.Key, Version: t.last, Deleted: op.Delete}
	if !op.Delete {
		row.Value = append([]byte(nil), op.Value...)
	}
	t.rows[op.Key] = row
	t.changes = append(t.changes, change{version: t.last, key: op.Key})
	if len(t.changes) > compactFactor*(len(t.rows)+1) {
		t.compact()
	}
}

// compactFactor is how many stale changes for each row are kept at most.
const compactFactor = 4

func (t *table) compact() {
	kept := t.changes[:0]
	for _, c := range t.changes {
		if t.rows[c.key].Version == c.version {
			kept = append(kept, c)
		}
	}
	t.changes = kept
}

func (t *table) scan(since uint64, limit int) []storer.Row {
	first := sort.Search(len(t.changes), func(i int) bool { return t.changes[i].version > since })
	var rows []storer.Row
	for _, c := range t.changes[first:] {
		row := t.rows[c.key]
		if row.Version != c.version {
			continue
		}
		if limit > 0 && len(rows) == limit {
			break
		}
		rows = append(rows, cloneRow(row))
	}
	return rows
}

func cloneRow(r storer.Row) storer.Row {
	r.Value = append([]byte(nil), r.Value...)
	return r
}

// vmList remembers the list of VMs over time, so that it can be shown late.
type vmList struct{ states []vmState }

type vmState struct {
	since time.Time
	vms   []storer.VM
}

func (l *vmList) set(now time.Time, vms []storer.VM) {
	l.states = append(l.states, vmState{since: now, vms: append([]storer.VM(nil), vms...)})
}

func (l *vmList) at(t time.Time) []storer.VM {
	for i := len(l.states) - 1; i >= 0; i-- {
		if !l.states[i].since.After(t) {
			return append([]storer.VM(nil), l.states[i].vms...)
		}
	}
	return nil
}
