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
	calls atomic.Int64
	lost  atomic.Bool
}

var errLost = errors.New("lost")

func (s *scriptedSource) Read(context.Context, Table) (Batch, error) {
	return Batch{Version: 1, Full: true}, nil
}

func (s *scriptedSource) Changes(ctx context.Context, t Table, since uint64, _ time.Duration) (Batch, error) {
	if s.lost.Load() {
		return Batch{}, errLost
	}
	if ctx.Err() != nil {
		return Batch{}, ctx.Err()
	}
	s.calls.Add(1)
	return Batch{Table: t, Version: since + 1, Rows: []Row{{Table: t, Key: "k", Version: since + 1}}}, nil
}

// TestWakeEndsGathering has a router gather changes for long and then learn that it
// lags behind.
func TestWakeEndsGathering(t *testing.T) {
	source := &scriptedSource{}
	wake := make(chan struct{})
	log := logrus.New()
	log.SetOutput(io.Discard)
	var lost, regained atomic.Int64
	f := &Feed{
		Source: source, Table: ConfigurationTable, Clock: timekeeper.System{}, Log: log, Wake: wake,
		CoalesceDelay: func() time.Duration { return time.Hour }, OnBatch: func(Batch) {},
		OnStoreChange: func(is bool) {
			if is {
				lost.Add(1)
				return
			}
			regained.Add(1)
		},
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { f.Run(ctx); close(done) }()
	wake <- struct{}{} // taken while the first changes are gathered
	wake <- struct{}{} // while the second ones are
	for source.calls.Load() < 3 {
		time.Sleep(time.Millisecond)
	}
	source.lost.Store(true)
	wake <- struct{}{}
	for lost.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	if got := source.calls.Load(); got != 3 {
		t.Errorf("got %d calls for changes, want 3: one at first, and one for each time it was woken before the store was lost", got)
	}
	source.lost.Store(false)
	for regained.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	if lost.Load() != 1 || regained.Load() != 1 {
		t.Errorf("got %d losses and %d returns noted, want one each", lost.Load(), regained.Load())
	}
	cancel()
	<-done
}

// quietSource answers calls for changes with versions of other tables, and with a row each
// third time.
type quietSource struct{ calls uint64 }

func (s *quietSource) Read(context.Context, Table) (Batch, error) {
	return Batch{Version: 1, Full: true}, nil
}

func (s *quietSource) Changes(_ context.Context, t Table, since uint64, _ time.Duration) (Batch, error) {
	s.calls++
	b := Batch{Table: t, Version: since + 5}
	if s.calls%3 == 0 {
		b.Rows = []Row{{Table: t, Key: "k", Version: b.Version}}
	}
	return b, nil
}

// TestFeedPassesOnDifferencesWithoutGaps has most of what is new at the store be of other
// tables: each difference begins where the one before ended.
func TestFeedPassesOnDifferencesWithoutGaps(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	ctx, cancel := context.WithCancel(context.Background())
	var got []Batch
	f := &Feed{Source: &quietSource{}, Table: RegistrationTable, Clock: timekeeper.System{}, Log: log}
	f.OnBatch = func(b Batch) {
		if got = append(got, b); len(got) == 4 {
			cancel()
		}
	}
	f.Run(ctx)
	for i, b := range got[1:] {
		if b.Since != got[i].Version {
			t.Errorf("difference %d begins at %d, want %d where the one before ended", i, b.Since, got[i].Version)
		}
	}
}

// awaySource fails some calls, each of which takes a time, and then tells of an upstream
// that is gone. With forgets true it has lost its history meanwhile.
type awaySource struct {
	clock    *timekeeper.Manual
	failures int
	took     time.Duration
	forgets  bool
}

func (s *awaySource) Read(context.Context, Table) (Batch, error) {
	if s.failures == 0 {
		return Batch{Version: 20, Full: true}, nil
	}
	return Batch{Version: 1, Full: true, Rows: []Row{{Key: "u", Version: 1}}}, nil
}

func (s *awaySource) Changes(_ context.Context, _ Table, _ uint64, _ time.Duration) (Batch, error) {
	switch {
	case s.failures > 0:
		s.failures--
		s.clock.Advance(s.took)
		return Batch{}, errLost
	case s.forgets:
		return Batch{}, ErrHistoryGone
	}
	return Batch{Version: 20, Rows: []Row{{Key: "u", Deleted: true, Version: 20}}}, nil
}

// TestCutWatchHoldsBackNoLeaving has an upstream leave while a router's calls fail: only if
// the store was away for long may it have dropped one that lives.
func TestCutWatchHoldsBackNoLeaving(t *testing.T) {
	tests := []struct {
		name     string
		failures int
		took     time.Duration
		forgets  bool
		want     bool
	}{
		{"a connection is cut", 1, 0, false, false},
		{"a connection is cut and the history is gone", 1, 0, true, false},
		{"a connection fell silent", 1, 2800 * time.Millisecond, false, false},
		{"the store turns some calls away", 4, 100 * time.Millisecond, false, false},
		{"the store is away", 8, 400 * time.Millisecond, false, true},
		{"the store is away and its history is gone", 8, 400 * time.Millisecond, true, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			clock := timekeeper.NewManual(epoch)
			log := logrus.New()
			log.SetOutput(io.Discard)
			ctx, cancel := context.WithCancel(context.Background())
			var got []Batch
			f := &Feed{
				Source: &awaySource{clock: clock, failures: test.failures, took: test.took, forgets: test.forgets},
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
						clock.Advance(firstPause)
					}
				}
			}()
			f.Run(ctx)
			if got[1].AfterOutage != test.want {
				t.Errorf("got a doubtful drop %v, want %v", got[1].AfterOutage, test.want)
			}
		})
	}
}

// slowSource answers each call half a second after it should.
type slowSource struct{ calls atomic.Int64 }

const slowBy = 500 * time.Millisecond

func (s *slowSource) Read(context.Context, Table) (Batch, error) {
	return Batch{Version: 1, Full: true}, nil
}

func (s *slowSource) Changes(ctx context.Context, t Table, since uint64, wait time.Duration) (Batch, error) {
	select {
	case <-ctx.Done():
		return Batch{}, ctx.Err()
	case <-time.After(wait + slowBy):
	}
	s.calls.Add(1)
	return Batch{Table: t, Version: since + 1, Rows: []Row{{Key: "k", Version: since + 1}}}, nil
}

// TestSlowStoreIsNotLost has a store answer a hundred times slower than usual.
func TestSlowStoreIsNotLost(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	ctx, cancel := context.WithTimeout(t.Context(), 4*slowBy)
	defer cancel()
	source := &slowSource{}
	f := &Feed{
		Source: source, Table: RegistrationTable, Clock: timekeeper.System{}, Log: log, OnBatch: func(Batch) {},
		PollWait: func() time.Duration { return time.Millisecond },
		OnStoreChange: func(lost bool) {
			if lost {
				t.Error("a store that is slow counts as lost")
			}
		},
	}
	f.Run(ctx)
	if got := source.calls.Load(); got == 0 {
		t.Error("no call to the slow store was answered")
	}
}
