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
	return Batch{Version: 1, Whole: true}, nil
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
		Pause: func() time.Duration { return time.Hour }, Batches: func(Batch) {},
		Noted: func(is bool) {
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
	return Batch{Version: 1, Whole: true}, nil
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
	f.Batches = func(b Batch) {
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
