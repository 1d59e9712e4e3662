package storer_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"lentilwood.example/lentilwood/internal/keeper"
	"lentilwood.example/lentilwood/internal/storer"
	"lentilwood.example/lentilwood/internal/timekeeper"
)

var start = time.Date(2026, 5, 4, 8, 0, 0, 0, time.UTC)

// scripted fails its first commits as told, after applying them or not.
type scripted struct {
	storer.Store
	lose, fail int
}

func (s *scripted) Commit(ctx context.Context, ops []storer.Op) error {
	if s.fail > 0 {
		s.fail--
		return storer.ErrUnavailable
	}
	err := s.Store.Commit(ctx, ops)
	if s.lose > 0 && err == nil {
		s.lose--
		return storer.ErrUnknown
	}
	return err
}

// eager is a clock whose waits are over at once, except those for deadlines.
type eager struct{ *timekeeper.Manual }

func (e eager) After(d time.Duration) <-chan time.Time {
	if d >= storer.CallTimeout {
		return make(chan time.Time)
	}
	e.Advance(d)
	return e.Manual.After(0)
}

func newGuard(s storer.Store) (*storer.Guard, *timekeeper.Manual) {
	clock := timekeeper.NewManual(start)
	return storer.NewGuard(s, eager{clock}, 1), clock
}

func TestGuardSettlesLostAnswers(t *testing.T) {
	tests := []struct {
		name       string
		lose, fail int
		want       error
	}{
		{name: "answer lost", lose: 1},
		{name: "answer lost, then store down for a moment", lose: 1, fail: 2},
		{name: "store down for a moment", fail: 2},
		{name: "store down for long", fail: 100, want: storer.ErrUnavailable},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := &scripted{Store: keeper.New(timekeeper.NewManual(start)), lose: tt.lose, fail: tt.fail}
			g, _ := newGuard(s)
			err := g.For("test").Commit(t.Context(), []storer.Op{{Table: "t", Key: "a", Value: []byte("token")}})
			if !errors.Is(err, tt.want) {
				t.Errorf("got %v, want %v", err, tt.want)
			}
		})
	}
}

// TestGuardDoesNotBlameItsOwnWrite brings about the case in which the repeat of
// a transaction conflicts with its first copy and the row has moved on since.
func TestGuardDoesNotBlameItsOwnWrite(t *testing.T) {
	k := keeper.New(timekeeper.NewManual(start))
	s := &overwriting{scripted: scripted{Store: k, lose: 1}}
	g, _ := newGuard(s)
	err := g.For("test").Commit(t.Context(), []storer.Op{{Table: "t", Key: "a", Value: []byte("mine")}})
	if !errors.Is(err, storer.ErrUnknown) {
		t.Errorf("got %v, want unknown: the write took effect and was overwritten", err)
	}
}

// overwriting overwrites the row after each write whose answer is lost.
type overwriting struct{ scripted }

func (s *overwriting) Commit(ctx context.Context, ops []storer.Op) error {
	err := s.scripted.Commit(ctx, ops)
	if errors.Is(err, storer.ErrUnknown) {
		_ = s.Store.Commit(ctx, []storer.Op{{Table: "t", Key: "a", Value: []byte("other"), Always: true}})
	}
	return err
}

func TestGuardDoesNotRepeatUnconditionalWrites(t *testing.T) {
	s := &scripted{Store: keeper.New(timekeeper.NewManual(start)), lose: 1}
	g, _ := newGuard(s)
	ops := []storer.Op{{Table: "t", Key: "a", Value: []byte("1"), Always: true}}
	if err := g.For("test").Commit(t.Context(), ops); err != nil {
		t.Errorf("got %v, want the write settled by reading back", err)
	}
	if got := g.Counts()["test"]; got.Writes != 1 || got.Reads != 1 {
		t.Errorf("got %+v, want one write and one read", got)
	}
}

func TestCircuitStopsCallsToStoreThatIsDown(t *testing.T) {
	k := keeper.New(timekeeper.NewManual(start))
	k.SetFaults(keeper.Faults{Down: true})
	g, clock := newGuard(k)
	store := g.For("test")
	const seconds = 600
	for range seconds * 10 {
		_, _ = store.Read(t.Context(), "t", "a")
		clock.Advance(100 * time.Millisecond)
	}
	if got, most := k.Counts().Reads, 80; got > most {
		t.Errorf("calls sent in %d s of outage: got %d, want at most %d", seconds, got, most)
	}
	k.SetFaults(keeper.Faults{})
	clock.Advance(20 * time.Second)
	if _, err := store.Read(t.Context(), "t", "a"); !errors.Is(err, storer.ErrNotFound) {
		t.Errorf("after the outage: got %v, want the store to be asked again", err)
	}
	if g.Open() {
		t.Error("circuit is open after a success")
	}
}

func TestRetryBudgetBoundsRepeats(t *testing.T) {
	k := keeper.New(timekeeper.NewManual(start))
	k.SetFaults(keeper.Faults{Seed: 1, FailShare: 0.5})
	g, clock := newGuard(k)
	const calls = 1000
	for range calls {
		_, _ = g.For("test").Read(t.Context(), "t", "a")
		clock.Advance(time.Second)
	}
	if got, most := g.Counts()["test"].Retries, uint64(calls/5+10); got > most {
		t.Errorf("retries: got %d, want at most %d", got, most)
	}
}

func TestGuardEndsSlowCalls(t *testing.T) {
	clock := timekeeper.NewManual(start)
	k := keeper.New(clock)
	k.SetFaults(keeper.Faults{Delay: time.Hour})
	g := storer.NewGuard(k, clock, 1)
	done := make(chan error)
	go func() {
		_, err := g.For("test").Read(t.Context(), "t", "a")
		done <- err
	}()
	for {
		select {
		case err := <-done:
			if !errors.Is(err, storer.ErrUnavailable) {
				t.Errorf("got %v, want unavailable", err)
			}
			if clock.Now().Sub(start) >= time.Hour {
				t.Error("the call waited for the store")
			}
			return
		default:
			if clock.Waiters() > 0 {
				clock.Advance(100 * time.Millisecond)
			}
			time.Sleep(time.Microsecond)
		}
	}
}
