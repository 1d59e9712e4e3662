package keeper

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"lentilwood.example/lentilwood/internal/storer"
	"lentilwood.example/lentilwood/internal/timekeeper"
)

var start = time.Date(2026, 5, 4, 8, 0, 0, 0, time.UTC)

// stores returns the stand-in called directly and over HTTP.
func stores(t *testing.T) map[string]struct {
	keeper *Keeper
	store  storer.Store
} {
	direct, remote := New(timekeeper.NewManual(start)), New(timekeeper.NewManual(start))
	server := httptest.NewServer(remote)
	t.Cleanup(server.Close)
	return map[string]struct {
		keeper *Keeper
		store  storer.Store
	}{
		"direct": {direct, direct},
		"http":   {remote, storer.NewClient(storer.ClientConfig{URL: server.URL})},
	}
}

func TestCommitAllOrNothing(t *testing.T) {
	for name, s := range stores(t) {
		t.Run(name, func(t *testing.T) {
			ctx := t.Context()
			if err := s.store.Commit(ctx, []storer.Op{{Table: "a", Key: "x/1", Value: []byte("1")}}); err != nil {
				t.Fatal(err)
			}
			err := s.store.Commit(ctx, []storer.Op{
				{Table: "a", Key: "y", Value: []byte("2")},
				{Table: "a", Key: "x/1", Value: []byte("2")},
			})
			if !errors.Is(err, storer.ErrConflict) {
				t.Errorf("second insert: got %v, want a conflict", err)
			}
			if _, err := s.store.Read(ctx, "a", "y"); !errors.Is(err, storer.ErrNotFound) {
				t.Errorf("row of a failed transaction: got %v, want not found", err)
			}
			row, err := s.store.Read(ctx, "a", "x/1")
			if err != nil || string(row.Value) != "1" || row.Version != 1 {
				t.Errorf("row: got %+v, %v, want value 1 at version 1", row, err)
			}
		})
	}
}

func TestScanReturnsLastChangeOfEachRow(t *testing.T) {
	for name, s := range stores(t) {
		t.Run(name, func(t *testing.T) {
			ctx := t.Context()
			for _, op := range []storer.Op{
				{Key: "a", Value: []byte("1")}, {Key: "b", Value: []byte("1")},
				{Key: "a", Value: []byte("2")}, {Key: "b", Delete: true}, {Key: "c", Value: []byte("1")},
			} {
				op.Table, op.Always = "t", true
				if err := s.store.Commit(ctx, []storer.Op{op}); err != nil {
					t.Fatal(err)
				}
			}
			rows, err := s.store.Scan(ctx, "t", 0, 2)
			if err != nil || len(rows) != 2 || rows[0].Key != "a" || !rows[1].Deleted {
				t.Errorf("first page: got %+v, %v, want a and the deletion of b", rows, err)
			}
			rows, err = s.store.Scan(ctx, "t", 4, 2)
			if err != nil || len(rows) != 1 || rows[0].Key != "c" {
				t.Errorf("second page: got %+v, %v, want c", rows, err)
			}
		})
	}
}

func TestScanAfterManyWritesOfOneRow(t *testing.T) {
	k := New(timekeeper.NewManual(start))
	for range 1000 {
		if err := k.Commit(t.Context(), []storer.Op{{Table: "t", Key: "a", Always: true}}); err != nil {
			t.Fatal(err)
		}
	}
	rows, _ := k.Scan(t.Context(), "t", 0, 0)
	if len(rows) != 1 || rows[0].Version != 1000 {
		t.Errorf("got %+v, want one row at version 1000", rows)
	}
	if got := len(k.tables["t"].changes); got > 2*compactFactor {
		t.Errorf("got %d changes kept for one row", got)
	}
}

func TestObjects(t *testing.T) {
	for name, s := range stores(t) {
		t.Run(name, func(t *testing.T) {
			if _, err := s.store.GetObject(t.Context(), "a/b"); !errors.Is(err, storer.ErrNotFound) {
				t.Errorf("missing object: got %v, want not found", err)
			}
			want := []byte{0, 1, 2, 255}
			if err := s.store.PutObject(t.Context(), "a/b", want); err != nil {
				t.Fatal(err)
			}
			if got, err := s.store.GetObject(t.Context(), "a/b"); err != nil || !bytes.Equal(got, want) {
				t.Errorf("got %v, %v, want %v", got, err, want)
			}
		})
	}
}

func TestFaults(t *testing.T) {
	write := []storer.Op{{Table: "t", Key: "a", Value: []byte("1"), Always: true}}
	for name, s := range stores(t) {
		t.Run(name, func(t *testing.T) {
			s.keeper.SetFaults(Faults{Down: true})
			if err := s.store.Commit(t.Context(), write); !errors.Is(err, storer.ErrUnavailable) {
				t.Errorf("down: got %v, want unavailable", err)
			}
			s.keeper.SetFaults(Faults{LoseAnswers: 1})
			if err := s.store.Commit(t.Context(), write); !errors.Is(err, storer.ErrUnknown) {
				t.Errorf("lost answer: got %v, want unknown", err)
			}
			if _, err := s.store.Read(t.Context(), "t", "a"); err != nil {
				t.Errorf("row whose answer was lost: got %v, want it written", err)
			}
			s.keeper.SetFaults(Faults{WritesPerSecond: 1})
			_ = s.store.Commit(t.Context(), write)
			if err := s.store.Commit(t.Context(), write); !errors.Is(err, storer.ErrUnavailable) {
				t.Errorf("over the rate: got %v, want unavailable", err)
			}
		})
	}
}

func TestLateWriteTakesEffectAfterCallerGaveUp(t *testing.T) {
	clock := timekeeper.NewManual(start)
	k := New(clock)
	k.SetFaults(Faults{Delay: time.Minute})
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	err := k.Commit(ctx, []storer.Op{{Table: "t", Key: "a", Value: []byte("1")}})
	if !errors.Is(err, storer.ErrUnknown) {
		t.Errorf("got %v, want unknown", err)
	}
	k.SetFaults(Faults{})
	if _, err := k.Read(t.Context(), "t", "a"); !errors.Is(err, storer.ErrNotFound) {
		t.Errorf("before the delay: got %v, want not found", err)
	}
	clock.Advance(time.Minute)
	if _, err := k.Read(t.Context(), "t", "a"); err != nil {
		t.Errorf("after the delay: got %v, want the row", err)
	}
}

func TestListLags(t *testing.T) {
	clock := timekeeper.NewManual(start)
	k := New(clock)
	k.SetFaults(Faults{ListLag: 10 * time.Second})
	k.SetVMs([]storer.VM{{Name: "a"}})
	if vms, _ := k.VMs(t.Context()); len(vms) != 0 {
		t.Errorf("at once: got %v, want none", vms)
	}
	clock.Advance(10 * time.Second)
	if vms, _ := k.VMs(t.Context()); len(vms) != 1 {
		t.Errorf("after the lag: got %v, want one", vms)
	}
}

func TestSwitchesOverHTTP(t *testing.T) {
	k := New(timekeeper.NewManual(start))
	server := httptest.NewServer(k)
	defer server.Close()
	for path, body := range map[string]string{
		"/standin/faults": `{"down":true,"seed":7}`,
		"/standin/vms":    `[{"name":"w1","leaving":true}]`,
	} {
		res, err := http.Post(server.URL+path, "application/json", bytes.NewBufferString(body))
		if err != nil || res.StatusCode != http.StatusOK {
			t.Fatalf("%s: got %v, %v", path, res, err)
		}
		_ = res.Body.Close()
	}
	if _, err := k.VMs(t.Context()); !errors.Is(err, storer.ErrUnavailable) {
		t.Errorf("after the switch: got %v, want unavailable", err)
	}
	k.SetFaults(Faults{})
	if vms, err := k.VMs(t.Context()); err != nil || len(vms) != 1 || !vms[0].Leaving {
		t.Errorf("list: got %v, %v", vms, err)
	}
}
