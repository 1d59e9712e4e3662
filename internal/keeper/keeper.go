// Package keeper is a small stand-in for the platform: a table service with
// conditional transactions and a change feed, an object store and a lagging
// list of VMs, all in memory, with switches for the faults that the real
// platform shows.
//
// It takes the platform's place in tests, in the demonstration and on a
// developer's machine. It is not a store to run in production: it keeps
// nothing on disk.
//
// # Usage
//
//	k := keeper.New(clock)
//	err := k.Commit(ctx, []storer.Op{{Table: "config", Key: "head", Value: v}})
//	k.SetFaults(keeper.Faults{Down: true})        // every call now fails
//	http.Handle("/", k)                           // as a process of its own
package keeper

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"lentilwood.example/lentilwood/internal/storer"
	"lentilwood.example/lentilwood/internal/timekeeper"
)

// Keeper holds the state of the stand-in platform. Create it with New; it is
// safe for concurrent use and implements storer.Store.
type Keeper struct {
	clock timekeeper.Clock
	mux   *http.ServeMux

	mu      sync.Mutex
	tables  map[string]*table
	objects map[string][]byte
	list    vmList
	faults  Faults
	rng     *rand.Rand
	reads   bucket
	writes  bucket
	counts  Counts
	pending []*pending
}

// Counts is how many calls reached the platform since it started.
type Counts struct {
	Reads  int `json:"reads"`
	Writes int `json:"writes"`
	Failed int `json:"failed"`
}

// New returns an empty platform without faults.
func New(clock timekeeper.Clock) *Keeper {
	k := &Keeper{
		clock:   clock,
		tables:  make(map[string]*table),
		objects: make(map[string][]byte),
		rng:     rand.New(rand.NewPCG(0, 0)),
	}
	k.mux = k.routes()
	return k
}

// Counts returns the calls counted so far.
func (k *Keeper) Counts() Counts {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.counts
}

// Read returns a row, or storer.ErrNotFound.
func (k *Keeper) Read(ctx context.Context, name, key string) (storer.Row, error) {
	if err := k.admit(ctx); err != nil {
		return storer.Row{}, err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.applyDue()
	row, ok := k.table(name).rows[key]
	if !ok || row.Deleted {
		return storer.Row{}, storer.ErrNotFound
	}
	return cloneRow(row), nil
}

// Scan returns the rows of a table that changed after since, oldest first.
func (k *Keeper) Scan(ctx context.Context, name string, since uint64, limit int) ([]storer.Row, error) {
	if err := k.admit(ctx); err != nil {
		return nil, err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.applyDue()
	return k.table(name).scan(since, limit), nil
}

// Commit writes all of ops or none of them. A caller that gives up on a slow
// call does not stop it: the write takes effect later.
func (k *Keeper) Commit(ctx context.Context, ops []storer.Op) error {
	return k.write(ctx, func() error {
		for _, op := range ops {
			if !op.Always && k.table(op.Table).version(op.Key) != op.IfVersion {
				return storer.ErrConflict
			}
		}
		for _, op := range ops {
			k.table(op.Table).write(op)
		}
		return k.loseAnswer()
	})
}

// PutObject writes an object whole.
func (k *Keeper) PutObject(ctx context.Context, name string, data []byte) error {
	data = append([]byte(nil), data...)
	return k.write(ctx, func() error {
		k.objects[name] = data
		return k.loseAnswer()
	})
}

// GetObject returns an object, or storer.ErrNotFound.
func (k *Keeper) GetObject(ctx context.Context, name string) ([]byte, error) {
	if err := k.admit(ctx); err != nil {
		return nil, err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.applyDue()
	data, ok := k.objects[name]
	if !ok {
		return nil, storer.ErrNotFound
	}
	return append([]byte(nil), data...), nil
}

// VMs returns the list of VMs as it was Faults.ListLag ago.
func (k *Keeper) VMs(ctx context.Context) ([]storer.VM, error) {
	if err := k.admit(ctx); err != nil {
		return nil, err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.list.at(k.clock.Now().Add(-k.faults.ListLag)), nil
}

// SetVMs replaces the list of VMs; readers see it once the lag has passed.
func (k *Keeper) SetVMs(vms []storer.VM) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.list.set(k.clock.Now(), vms)
}

// admit counts a read and applies the faults that come before its effect.
func (k *Keeper) admit(ctx context.Context) error {
	delay, err := k.decide(false)
	if delay > 0 {
		select {
		case <-ctx.Done():
			return storer.ErrUnavailable
		case <-k.clock.After(delay):
		}
	}
	return err
}

// write counts a write and applies it, once the delay has passed, holding the
// lock.
func (k *Keeper) write(ctx context.Context, effect func() error) error {
	delay, err := k.decide(true)
	if err != nil {
		return err
	}
	if delay == 0 {
		k.mu.Lock()
		defer k.mu.Unlock()
		k.applyDue()
		return effect()
	}
	p := k.postpone(delay, effect)
	select {
	case <-ctx.Done():
		return storer.ErrUnknown
	case <-k.clock.After(delay):
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.applyDue()
	return <-p.done
}

// pending is a write that takes effect when it is due, whether or not its
// caller still waits.
type pending struct {
	due    time.Time
	effect func() error
	done   chan error
}

func (k *Keeper) postpone(delay time.Duration, effect func() error) *pending {
	k.mu.Lock()
	defer k.mu.Unlock()
	p := &pending{due: k.clock.Now().Add(delay), effect: effect, done: make(chan error, 1)}
	k.pending = append(k.pending, p)
	slices.SortStableFunc(k.pending, func(a, b *pending) int { return a.due.Compare(b.due) })
	return p
}

// applyDue applies the writes that are due. Every call starts with it, so that
// the outcome does not depend on how goroutines are scheduled.
func (k *Keeper) applyDue() {
	now := k.clock.Now()
	for len(k.pending) > 0 && !k.pending[0].due.After(now) {
		p := k.pending[0]
		k.pending = k.pending[1:]
		p.done <- p.effect()
	}
}

func (k *Keeper) decide(write bool) (time.Duration, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	b, rate := &k.reads, k.faults.ReadsPerSecond
	if write {
		b, rate = &k.writes, k.faults.WritesPerSecond
		k.counts.Writes++
	} else {
		k.counts.Reads++
	}
	failed := k.faults.Down || k.rng.Float64() < k.faults.FailShare || !b.take(k.clock.Now(), rate)
	if failed {
		k.counts.Failed++
		return k.faults.Delay, storer.ErrUnavailable
	}
	return k.faults.Delay, nil
}

// loseAnswer reports a write that took effect as one of unknown outcome, as
// often as the faults say.
func (k *Keeper) loseAnswer() error {
	if k.rng.Float64() < k.faults.LoseAnswers {
		return storer.ErrUnknown
	}
	return nil
}

func (k *Keeper) table(name string) *table {
	t, ok := k.tables[name]
	if !ok {
		t = &table{name: name, rows: make(map[string]storer.Row)}
		k.tables[name] = t
	}
	return t
}

// Clone returns a platform with the same tables and objects, without faults,
// that changes independently of k. Explorations of states use it.
func (k *Keeper) Clone() *Keeper {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.applyDue()
	c := New(k.clock)
	c.objects = maps.Clone(k.objects)
	c.list.states = slices.Clone(k.list.states)
	for name, t := range k.tables {
		c.tables[name] = &table{name: name, last: t.last, rows: maps.Clone(t.rows), changes: slices.Clone(t.changes)}
	}
	return c
}
