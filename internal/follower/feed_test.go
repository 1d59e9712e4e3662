package follower

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"lentilwood.example/lentilwood/internal/timekeeper"
)

// scriptedSource answers each call for changes with the next version, or fails.
type scriptedSource struct {
	calls       atomic.Int64
	unreachable atomic.Bool
}

var errUnreachable = errors.New("store unreachable")

func (s *scriptedSource) Read(context.Context, Table) (Batch, error) {
	return Batch{Version: 1, Full: true}, nil
}

func (s *scriptedSource) Changes(ctx context.Context, t Table, since uint64, _ time.Duration) (Batch, error) {
	if s.unreachable.Load() {
		return Batch{}, errUnreachable
	}
	if ctx.Err() != nil {
		return Batch{}, ctx.Err()
	}
	s.calls.Add(1)
	return Batch{Table: t, Version: since + 1, Rows: []Row{{Table: t, Key: "k", Version: since + 1}}}, nil
}

// TestWakeEndsCoalescing guards against a feed that waits out a long coalescing delay after it
// was woken because it lags behind.
func TestWakeEndsCoalescing(t *testing.T) {
	source := &scriptedSource{}
	wake := make(chan struct{})
	log := logrus.New()
	log.SetOutput(io.Discard)
	var lost, regained atomic.Int64
	f := &Feed{
		Source: source, Table: ConfigurationTable, Clock: timekeeper.System{}, Log: log, Wake: wake,
		CoalesceDelay: func() time.Duration { return time.Hour }, OnBatch: func(Batch) {},
		OnStoreChange: func(isLost bool) {
			if isLost {
				lost.Add(1)
				return
			}
			regained.Add(1)
		},
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { f.Run(ctx); close(done) }()
	wake <- struct{}{} // received while the first changes are coalesced
	wake <- struct{}{} // received while the second ones are coalesced
	for source.calls.Load() < 3 {
		time.Sleep(time.Millisecond)
	}
	source.unreachable.Store(true)
	wake <- struct{}{}
	for lost.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	if got := source.calls.Load(); got != 3 {
		t.Errorf("got %d calls for changes, want 3: the first one, and one for each wake-up before the store was lost", got)
	}
	source.unreachable.Store(false)
	for regained.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	if lost.Load() != 1 || regained.Load() != 1 {
		t.Errorf("got %d losses and %d returns reported, want one each", lost.Load(), regained.Load())
	}
	cancel()
	<-done
}

// sparseSource answers calls for changes with versions of other tables, and with a row every
// third time.
type sparseSource struct{ calls uint64 }

func (s *sparseSource) Read(context.Context, Table) (Batch, error) {
	return Batch{Version: 1, Full: true}, nil
}

func (s *sparseSource) Changes(_ context.Context, t Table, since uint64, _ time.Duration) (Batch, error) {
	s.calls++
	b := Batch{Table: t, Version: since + 5}
	if s.calls%3 == 0 {
		b.Rows = []Row{{Table: t, Key: "k", Version: b.Version}}
	}
	return b, nil
}

// TestFeedDeliversChangesWithoutGaps guards against gaps between delivered batches when most
// changes at the store are to other tables: each batch must begin where the one before ended.
func TestFeedDeliversChangesWithoutGaps(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	ctx, cancel := context.WithCancel(context.Background())
	var got []Batch
	f := &Feed{Source: &sparseSource{}, Table: RegistrationTable, Clock: timekeeper.System{}, Log: log}
	f.OnBatch = func(b Batch) {
		if got = append(got, b); len(got) == 4 {
			cancel()
		}
	}
	f.Run(ctx)
	for i, b := range got[1:] {
		if b.Since != got[i].Version {
			t.Errorf("batch %d begins at %d, want %d where the one before ended", i, b.Since, got[i].Version)
		}
	}
}

// outageSource fails some calls, each of which takes callTime, and then returns a deleted
// upstream. If historyLost is true, it has lost its history meanwhile.
type outageSource struct {
	clock       *timekeeper.Manual
	failures    int
	callTime    time.Duration
	historyLost bool
}

func (s *outageSource) Read(context.Context, Table) (Batch, error) {
	if s.failures == 0 {
		return Batch{Version: 20, Full: true}, nil
	}
	return Batch{Version: 1, Full: true, Rows: []Row{{Key: "u", Version: 1}}}, nil
}

func (s *outageSource) Changes(_ context.Context, _ Table, _ uint64, _ time.Duration) (Batch, error) {
	switch {
	case s.failures > 0:
		s.failures--
		s.clock.Advance(s.callTime)
		return Batch{}, errUnreachable
	case s.historyLost:
		return Batch{}, ErrHistoryGone
	}
	return Batch{Version: 20, Rows: []Row{{Key: "u", Deleted: true, Version: 20}}}, nil
}

// TestOnlyLongOutageDelaysDeletions guards against keeping a leaving upstream in use after a
// short failure: only after a long outage may the store have deleted a live upstream's row.
func TestOnlyLongOutageDelaysDeletions(t *testing.T) {
	tests := []struct {
		name        string
		failures    int
		callTime    time.Duration
		historyLost bool
		want        bool
	}{
		{"a connection is closed", 1, 0, false, false},
		{"a connection is closed and the history is lost", 1, 0, true, false},
		{"a connection went silent", 1, 2800 * time.Millisecond, false, false},
		{"the store rejects some calls", 4, 100 * time.Millisecond, false, false},
		{"the store is unreachable", 8, 400 * time.Millisecond, false, true},
		{"the store is unreachable and its history is lost", 8, 400 * time.Millisecond, true, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			clock := timekeeper.NewManual(epoch)
			log := logrus.New()
			log.SetOutput(io.Discard)
			ctx, cancel := context.WithCancel(context.Background())
			var got []Batch
			f := &Feed{
				Source: &outageSource{clock: clock, failures: test.failures, callTime: test.callTime, historyLost: test.historyLost},
				Table:  RegistrationTable, Clock: clock, Log: log, MaxRetryDelay: func() time.Duration { return 0 },
			}
			f.OnBatch = func(b Batch) {
				if got = append(got, b); len(got) == 2 {
					cancel()
				}
			}
			go func() {
				for ctx.Err() == nil {
					if clock.Waiters() > 0 {
						clock.Advance(initialRetryDelay)
					}
				}
			}()
			f.Run(ctx)
			if got[1].AfterOutage != test.want {
				t.Errorf("got AfterOutage %v, want %v", got[1].AfterOutage, test.want)
			}
		})
	}
}

// slowSource answers each call extraDelay after the requested wait.
type slowSource struct{ calls atomic.Int64 }

const extraDelay = 500 * time.Millisecond

func (s *slowSource) Read(context.Context, Table) (Batch, error) {
	return Batch{Version: 1, Full: true}, nil
}

func (s *slowSource) Changes(ctx context.Context, t Table, since uint64, wait time.Duration) (Batch, error) {
	select {
	case <-ctx.Done():
		return Batch{}, ctx.Err()
	case <-time.After(wait + extraDelay):
	}
	s.calls.Add(1)
	return Batch{Table: t, Version: since + 1, Rows: []Row{{Key: "k", Version: since + 1}}}, nil
}

// TestSlowStoreIsNotLost guards against taking a store for lost that answers a hundred times
// slower than usual.
func TestSlowStoreIsNotLost(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	ctx, cancel := context.WithTimeout(t.Context(), 4*extraDelay)
	defer cancel()
	source := &slowSource{}
	f := &Feed{
		Source: source, Table: RegistrationTable, Clock: timekeeper.System{}, Log: log, OnBatch: func(Batch) {},
		PollWait: func() time.Duration { return time.Millisecond },
		OnStoreChange: func(lost bool) {
			if lost {
				t.Error("a slow store counts as lost")
			}
		},
	}
	f.Run(ctx)
	if got := source.calls.Load(); got == 0 {
		t.Error("no call to the slow store was answered")
	}
}
