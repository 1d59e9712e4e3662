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

// compactEvery is after how many revisions a snapshot is written and the
// revisions before it move from the table to the object store.
const compactEvery = 128

// segment is an object that holds the revisions of compactEvery versions.
type segment struct {
	Revisions []Revision `json:"revisions"`
	// Base is the document before the first of them.
	Base Entries `json:"base"`
}

// changed names the entries that a revision changed.
func (r Revision) changed() string {
	if len(r.Changes) == 0 {
		return "many entries"
	}
	return strings.Join(slices.Sorted(maps.Keys(r.Changes)), ", ")
}

// History returns the revisions after a version, oldest first.
func (e *Editor) History(ctx context.Context, after uint64) ([]Revision, error) {
	byVersion, snap, err := e.rows(ctx)
	if err != nil {
		return nil, err
	}
	var revisions []Revision
	for v := after - after%compactEvery; v < snap; v += compactEvery {
		seg, err := e.segment(ctx, v)
		if err != nil {
			return nil, err
		}
		revisions = append(revisions, seg.Revisions...)
	}
	for v := snap + 1; ; v++ {
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

// rows reads the revisions in the table and the version of the snapshot.
func (e *Editor) rows(ctx context.Context) (map[uint64]Revision, uint64, error) {
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

// at returns the document of a version.
func (e *Editor) at(ctx context.Context, version uint64) (Entries, error) {
	u, err := Fetch(ctx, e.Store, nil)
	if err != nil {
		return nil, err
	}
	snap := u.Version - uint64(len(u.Revisions))
	base, revisions, from := u.AllEntries, u.Revisions, snap
	if version < snap {
		from = version - version%compactEvery
		seg, err := e.segment(ctx, from)
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
			s.advance(r)
		}
	}
	return s.entries, nil
}

// segment reads the revisions that follow a multiple of compactEvery.
func (e *Editor) segment(ctx context.Context, from uint64) (segment, error) {
	var seg segment
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

// compact writes a snapshot every compactEvery versions and removes the rows
// it covers. It may fail: nothing depends on it, and the editor of a later
// multiple does it for all the rows it finds.
func (e *Editor) compact(ctx context.Context, r Revision, whole Entries) {
	if r.Version%compactEvery != 0 {
		return
	}
	_ = e.writeSnapshot(ctx, r, whole)
}

func (e *Editor) writeSnapshot(ctx context.Context, r Revision, whole Entries) error {
	u, err := Fetch(ctx, e.Store, nil)
	if err != nil {
		return err
	}
	base := u.Version - uint64(len(u.Revisions))
	if err := e.writeSegments(ctx, base, u, r.Version); err != nil {
		return err
	}
	snap := snapshot{Version: r.Version, Sum: r.Checksum, Object: "config/snapshot/" + r.Token, Entries: whole}
	data, err := json.Marshal(snap)
	if err != nil {
		return err
	}
	if err := e.Store.PutObject(ctx, snap.Object, data); err != nil {
		return err
	}
	return e.replaceRows(ctx, snap, base)
}

// writeSegments writes the revisions from base to a version as objects.
func (e *Editor) writeSegments(ctx context.Context, base uint64, u Update, to uint64) error {
	s := State{version: base, entries: u.AllEntries}
	for from := base; from < to; from += compactEvery {
		seg := segment{Base: s.entries}
		for _, r := range u.Revisions {
			if r.Version > from && r.Version <= from+compactEvery {
				seg.Revisions = append(seg.Revisions, r)
				s.advance(r)
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

// replaceRows names the snapshot and removes the revisions it covers, in one
// transaction.
func (e *Editor) replaceRows(ctx context.Context, snap snapshot, base uint64) error {
	old, err := e.Store.Read(ctx, Table, snapshotKey)
	if err != nil && !errors.Is(err, storer.ErrNotFound) {
		return err
	}
	var last snapshot
	if err == nil && json.Unmarshal(old.Value, &last) == nil && last.Version >= snap.Version {
		return nil
	}
	snap.Entries = nil
	value, err := json.Marshal(snap)
	if err != nil {
		return err
	}
	ops := []storer.Op{{Table: Table, Key: snapshotKey, Value: value, IfVersion: old.Version}}
	for v := base + 1; v <= snap.Version; v++ {
		ops = append(ops, storer.Op{Table: Table, Key: revisionKey(v), Delete: true, Always: true})
	}
	return e.Store.Commit(ctx, ops)
}
