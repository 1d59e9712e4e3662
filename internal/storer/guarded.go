package storer

import (
	"bytes"
	"context"
	"errors"
)

// guarded is the Guard for one purpose.
type guarded struct {
	guard   *Guard
	purpose Purpose
}

// Read returns a row, or ErrNotFound.
func (s guarded) Read(ctx context.Context, table, key string) (Row, error) {
	var row Row
	err := s.guard.call(ctx, s.purpose, false, true, func(ctx context.Context) (err error) {
		row, err = s.guard.store.Read(ctx, table, key)
		return err
	})
	return row, err
}

// Scan returns the rows of a table that changed after since, oldest first.
func (s guarded) Scan(ctx context.Context, table string, since uint64, limit int) ([]Row, error) {
	var rows []Row
	err := s.guard.call(ctx, s.purpose, false, true, func(ctx context.Context) (err error) {
		rows, err = s.guard.store.Scan(ctx, table, since, limit)
		return err
	})
	return rows, err
}

// Commit writes all of ops or none. Where the answer was lost it repeats the
// transaction if every op has a condition, so that only one copy can take
// effect, and then reads back whether it was this one.
func (s guarded) Commit(ctx context.Context, ops []Op) error {
	lost := false
	err := s.guard.call(ctx, s.purpose, true, conditional(ops), func(ctx context.Context) error {
		err := s.guard.store.Commit(ctx, ops)
		lost = lost || errors.Is(err, ErrUnknown)
		return err
	})
	if err == nil || !lost {
		return err
	}
	return s.settle(ctx, ops)
}

// settle finds out whether a transaction of unknown outcome took effect. It
// did if a row now holds the value written. Where none does, it may have taken
// effect and been overwritten since, so that the outcome stays unknown.
func (s guarded) settle(ctx context.Context, ops []Op) error {
	for _, op := range ops {
		if op.Delete || len(op.Value) == 0 {
			continue
		}
		row, err := s.Read(ctx, op.Table, op.Key)
		if err == nil && bytes.Equal(row.Value, op.Value) {
			return nil
		}
	}
	return ErrUnknown
}

func conditional(ops []Op) bool {
	for _, op := range ops {
		if op.Always {
			return false
		}
	}
	return true
}

// PutObject writes an object whole.
func (s guarded) PutObject(ctx context.Context, name string, data []byte) error {
	return s.guard.call(ctx, s.purpose, true, true, func(ctx context.Context) error {
		return s.guard.store.PutObject(ctx, name, data)
	})
}

// GetObject returns an object, or ErrNotFound.
func (s guarded) GetObject(ctx context.Context, name string) ([]byte, error) {
	var data []byte
	err := s.guard.call(ctx, s.purpose, false, true, func(ctx context.Context) (err error) {
		data, err = s.guard.store.GetObject(ctx, name)
		return err
	})
	return data, err
}

// VMs returns the lagging list of VMs.
func (s guarded) VMs(ctx context.Context) ([]VM, error) {
	var vms []VM
	err := s.guard.call(ctx, s.purpose, false, true, func(ctx context.Context) (err error) {
		vms, err = s.guard.store.VMs(ctx)
		return err
	})
	return vms, err
}
