// Package storer is the narrow way to the platform's table service, its object
// store and its list of VMs. Everything that must outlive a router goes
// through it.
//
// Any call may fail, be slow, or take effect while its answer is lost. A
// write whose answer is lost returns ErrUnknown: the caller settles it by
// reading back a random token that it wrote.
//
// # Usage
//
//	row, err := store.Read(ctx, "config", "current")
//	err = store.Commit(ctx, []storer.Op{{Table: "config", Key: "current", Value: v, IfVersion: row.Version}})
//	if errors.Is(err, storer.ErrConflict) { ... }
package storer

import (
	"context"

	"github.com/ansel1/merry/v2"
)

// Errors that callers tell apart with errors.Is.
var (
	// ErrNotFound means the row or object does not exist.
	ErrNotFound = merry.Sentinel("not found in the platform's store")
	// ErrConflict means a condition of the transaction did not hold; nothing
	// was written.
	ErrConflict = merry.Sentinel("conflict with another write")
	// ErrUnavailable means the store was not reached; nothing was written.
	ErrUnavailable = merry.Sentinel("platform store unavailable")
	// ErrUnknown means the write may or may not have taken effect.
	ErrUnknown = merry.Sentinel("outcome of the write is unknown")
)

// Row is one row of a table. Version grows with every write to the row's
// table, so it orders changes and serves conditional writes.
type Row struct {
	Table   string `json:"table"`
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version uint64 `json:"version"`
	Deleted bool   `json:"deleted,omitempty"`
}

// Op is one conditional write of a transaction.
type Op struct {
	Table string `json:"table"`
	Key   string `json:"key"`
	Value []byte `json:"value,omitempty"`
	// IfVersion is the version the row must have; 0 means it must not exist.
	IfVersion uint64 `json:"ifVersion"`
	// Always drops the condition.
	Always bool `json:"always,omitempty"`
	// Delete removes the row.
	Delete bool `json:"delete,omitempty"`
}

// VM is one entry of the platform's lagging list of VMs.
type VM struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Domain  string `json:"domain"`
	Leaving bool   `json:"leaving"`
}

// Store is the platform's service as the other packages see it.
type Store interface {
	// Read returns a row, or ErrNotFound.
	Read(ctx context.Context, table, key string) (Row, error)
	// Scan returns up to limit rows of a table that changed after the version
	// since, oldest change first, deletions included.
	Scan(ctx context.Context, table string, since uint64, limit int) ([]Row, error)
	// Commit writes all of ops or none.
	Commit(ctx context.Context, ops []Op) error
	// PutObject writes an object whole.
	PutObject(ctx context.Context, name string, data []byte) error
	// GetObject returns an object, or ErrNotFound.
	GetObject(ctx context.Context, name string) ([]byte, error)
	// VMs returns the lagging list of VMs.
	VMs(ctx context.Context) ([]VM, error)
}
