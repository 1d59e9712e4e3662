package configurer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/ansel1/merry/v2"

	"lentilwood.example/lentilwood/internal/storer"
)

// versionsPerSegment is how many revisions pass between two snapshots. The revisions
// before a snapshot are moved from the table to the object store.
const versionsPerSegment = 128

// historySegment is an object with the revisions of versionsPerSegment versions.
type historySegment struct {
	Revisions []Revision `json:"revisions"`
	// Base is the document before the first of the revisions.
	Base Entries `json:"base"`
}

// changedEntryNames lists the entries that a revision changed.
func (r Revision) changedEntryNames() string {
	if len(r.Changes) == 0 {
		return "many entries"
	}
	return strings.Join(slices.Sorted(maps.Keys(r.Changes)), ", ")
}

// History returns the revisions after a version, oldest first.
func (e *Editor) History(ctx context.Context, after uint64) ([]Revision, error) {
	byVersion, snapshotVersion, err := e.readRevisions(ctx)
	if err != nil {
		return nil, err
	}
	var revisions []Revision
	for v := after - after%versionsPerSegment; v < snapshotVersion; v += versionsPerSegment {
		seg, err := e.readSegment(ctx, v)
		if err != nil {
			return nil, err
		}
		revisions = append(revisions, seg.Revisions...)
	}
	for v := snapshotVersion + 1; ; v++ {
		r, ok := byVersion[v]
		if !ok {
			break
		}
		revisions = append(revisions, r)
	}
	first := slices.IndexFunc(revisions, func(r Revision) bool { return r.Version > after })
	if first < 0 {
		return nil, nil
	}
	return revisions[first:], nil
}

// readRevisions reads the revisions in the table and the version of the snapshot.
func (e *Editor) readRevisions(ctx context.Context) (map[uint64]Revision, uint64, error) {
	u, err := Fetch(ctx, e.Store, nil)
	if err != nil {
		return nil, 0, err
	}
	byVersion := make(map[uint64]Revision)
	for _, r := range u.Revisions {
		byVersion[r.Version] = r
	}
	return byVersion, u.Version - uint64(len(u.Revisions)), nil
}

// entriesAt returns the document of a version as entries.
func (e *Editor) entriesAt(ctx context.Context, version uint64) (Entries, error) {
	u, err := Fetch(ctx, e.Store, nil)
	if err != nil {
		return nil, err
	}
	snapshotVersion := u.Version - uint64(len(u.Revisions))
	base, revisions, from := u.AllEntries, u.Revisions, snapshotVersion
	if version < snapshotVersion {
		from = version - version%versionsPerSegment
		seg, err := e.readSegment(ctx, from)
		if err != nil {
			return nil, err
		}
		base, revisions = seg.Base, seg.Revisions
	}
	if version == 0 || version > u.Version {
		return nil, merry.Prependf(ErrNoRevision, "version %d", version)
	}
	s := State{version: from, entries: base}
	for _, r := range revisions {
		if r.Version <= version {
			s.applyRevision(r)
		}
	}
	return s.entries, nil
}

// readSegment reads the revisions that follow version from, a multiple of
// versionsPerSegment.
func (e *Editor) readSegment(ctx context.Context, from uint64) (historySegment, error) {
	var seg historySegment
	data, err := e.Store.GetObject(ctx, segmentName(from))
	if errors.Is(err, storer.ErrNotFound) {
		return seg, merry.Prependf(ErrNoRevision, "version %d", from+1)
	}
	if err != nil {
		return seg, err
	}
	return seg, json.Unmarshal(data, &seg)
}

func segmentName(from uint64) string { return fmt.Sprintf("config/history/%012d", from) }

// compact writes a snapshot every versionsPerSegment versions and removes the rows
// that it covers. Errors are ignored: nothing depends on the snapshot, and the commit
// of a later multiple covers all remaining rows.
func (e *Editor) compact(ctx context.Context, r Revision, entries Entries) {
	if r.Version%versionsPerSegment != 0 {
		return
	}
	_ = e.writeSnapshot(ctx, r, entries)
}

func (e *Editor) writeSnapshot(ctx context.Context, r Revision, entries Entries) error {
	u, err := Fetch(ctx, e.Store, nil)
	if err != nil {
		return err
	}
	lastSnapshotVersion := u.Version - uint64(len(u.Revisions))
	if err := e.writeSegments(ctx, lastSnapshotVersion, u, r.Version); err != nil {
		return err
	}
	snap := snapshot{Version: r.Version, Checksum: r.Checksum, Object: "config/snapshot/" + r.Token, Entries: entries}
	data, err := json.Marshal(snap)
	if err != nil {
		return err
	}
	if err := e.Store.PutObject(ctx, snap.Object, data); err != nil {
		return err
	}
	return e.replaceRows(ctx, snap, lastSnapshotVersion)
}

// writeSegments writes the revisions between two versions as objects.
func (e *Editor) writeSegments(ctx context.Context, fromVersion uint64, u Update, toVersion uint64) error {
	s := State{version: fromVersion, entries: u.AllEntries}
	for from := fromVersion; from < toVersion; from += versionsPerSegment {
		seg := historySegment{Base: s.entries}
		for _, r := range u.Revisions {
			if r.Version > from && r.Version <= from+versionsPerSegment {
				seg.Revisions = append(seg.Revisions, r)
				s.applyRevision(r)
			}
		}
		data, err := json.Marshal(seg)
		if err != nil {
			return err
		}
		if err := e.Store.PutObject(ctx, segmentName(from), data); err != nil {
			return err
		}
	}
	return nil
}

// replaceRows writes the snapshot row and removes the revisions that the snapshot
// covers, in one transaction. It does nothing if a newer snapshot exists.
func (e *Editor) replaceRows(ctx context.Context, snap snapshot, lastSnapshotVersion uint64) error {
	oldRow, err := e.Store.Read(ctx, Table, snapshotKey)
	if err != nil && !errors.Is(err, storer.ErrNotFound) {
		return err
	}
	var stored snapshot
	if err == nil && json.Unmarshal(oldRow.Value, &stored) == nil && stored.Version >= snap.Version {
		return nil
	}
	snap.Entries = nil
	value, err := json.Marshal(snap)
	if err != nil {
		return err
	}
	ops := []storer.Op{{Table: Table, Key: snapshotKey, Value: value, IfVersion: oldRow.Version}}
	for v := lastSnapshotVersion + 1; v <= snap.Version; v++ {
		ops = append(ops, storer.Op{Table: Table, Key: revisionKey(v), Delete: true, Always: true})
	}
	return e.Store.Commit(ctx, ops)
}
