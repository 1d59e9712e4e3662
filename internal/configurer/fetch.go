package configurer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"github.com/ansel1/merry/v2"

	"lentilwood.example/lentilwood/internal/storer"
)

// Table is the table that holds the configuration. Its rows are the head, which names
// the newest version; one row for each revision since the newest snapshot; and a row
// that names that snapshot.
const Table = "config"

const (
	headKey        = "head"
	snapshotKey    = "snapshot"
	revisionPrefix = "revision/"
	scanLimit      = 200
)

// head is the value of the head row.
type head struct {
	Version uint64 `json:"version"`
	Token   string `json:"token"`
}

// snapshot is the value of the snapshot row and of the object that the row names.
type snapshot struct {
	Version  uint64  `json:"version"`
	Checksum uint64  `json:"sum,string"`
	Object   string  `json:"object"`
	Entries  Entries `json:"entries,omitempty"`
}

func revisionKey(version uint64) string { return fmt.Sprintf("%s%012d", revisionPrefix, version) }

// Fetch reads the rows of the table that are newer than the given state. An empty
// table returns an update to version 0.
func Fetch(ctx context.Context, store storer.Store, s *State) (Update, error) {
	u := Update{Version: s.Version()}
	if s != nil {
		u.Cursor = s.cursor
	}
	var snap *snapshot
	byVersion := make(map[uint64]Revision)
	for {
		rows, err := store.Scan(ctx, Table, u.Cursor, scanLimit)
		if err != nil {
			return Update{}, err
		}
		for _, row := range rows {
			u.Cursor = row.Version
			if err := decodeRow(row, &snap, byVersion); err != nil {
				return Update{}, err
			}
		}
		if len(rows) < scanLimit {
			break
		}
	}
	return buildUpdate(ctx, store, u, snap, byVersion)
}

// decodeRow decodes one row of the table into snap or byVersion.
func decodeRow(row storer.Row, snap **snapshot, byVersion map[uint64]Revision) error {
	switch {
	case row.Deleted:
	case row.Key == snapshotKey:
		*snap = new(snapshot)
		return merry.Prepend(json.Unmarshal(row.Value, *snap), "decode the snapshot row")
	case strings.HasPrefix(row.Key, revisionPrefix):
		var r Revision
		if err := json.Unmarshal(row.Value, &r); err != nil {
			return merry.Prependf(err, "decode row %s", row.Key)
		}
		byVersion[r.Version] = r
	}
	return nil
}

// buildUpdate builds an update from the rows: either the revisions after the current
// version, or the snapshot and the revisions after it.
func buildUpdate(ctx context.Context, store storer.Store, u Update, snap *snapshot, byVersion map[uint64]Revision) (Update, error) {
	if snap != nil && snap.Version > u.Version {
		entries, err := readSnapshot(ctx, store, snap)
		if err != nil {
			return Update{}, err
		}
		u.Version, u.AllEntries, u.Checksum = snap.Version, entries, snap.Checksum
	}
	for {
		r, ok := byVersion[u.Version+1]
		if !ok {
			return u, nil
		}
		if err := readChanges(ctx, store, &r); err != nil {
			return Update{}, err
		}
		u.Revisions = append(u.Revisions, r)
		u.Version = r.Version
	}
}

func readSnapshot(ctx context.Context, store storer.Store, s *snapshot) (Entries, error) {
	data, err := store.GetObject(ctx, s.Object)
	if err != nil {
		return nil, unavailableIfMissing(err)
	}
	var contents snapshot
	if err := json.Unmarshal(data, &contents); err != nil {
		return nil, merry.Prependf(err, "decode object %s", s.Object)
	}
	return contents.Entries, nil
}

// readChanges reads the changes of a revision that are stored as an object.
func readChanges(ctx context.Context, store storer.Store, r *Revision) error {
	if r.Object == "" {
		return nil
	}
	data, err := store.GetObject(ctx, r.Object)
	if err != nil {
		return unavailableIfMissing(err)
	}
	return merry.Prependf(json.Unmarshal(data, &r.Changes), "decode object %s", r.Object)
}

// unavailableIfMissing reports an object that a row names but that does not exist as
// storer.ErrUnavailable: a newer row must have replaced the row after it was read.
func unavailableIfMissing(err error) error {
	if errors.Is(err, storer.ErrNotFound) {
		return merry.Prepend(storer.ErrUnavailable, "configuration object not found")
	}
	return err
}
