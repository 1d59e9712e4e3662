package configurer

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"

	"lentilwood.example/lentilwood/internal/keeper"
	"lentilwood.example/lentilwood/internal/messenger"
	"lentilwood.example/lentilwood/internal/storer"
	"lentilwood.example/lentilwood/internal/timekeeper"
)

var testNote = Note{Author: "ilze", Reason: "test"}

// newEditor returns an editor for an empty platform, with deterministic tokens.
func newEditor() (*Editor, *keeper.Keeper) {
	clock := timekeeper.NewManual(startTime)
	k := keeper.New(clock)
	n := 0
	token := func() string { n++; return fmt.Sprintf("token-%d", n) }
	return &Editor{Store: k, Clock: clock, Token: token}, k
}

func setDocument(t testing.TB, e *Editor, d *Document) *Document {
	t.Helper()
	if _, err := e.Set(t.Context(), d, testNote); err != nil {
		t.Fatal(err)
	}
	return showDocument(t, e)
}

func showDocument(t testing.TB, e *Editor) *Document {
	t.Helper()
	d, err := e.Show(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	return d
}

func weightException(w float64) Exception {
	return Exception{
		Scope: Scope{Account: "riga-2"}, Reason: fmt.Sprintf("weight %v", w), Author: "janis",
		Account: &AccountSettings{Weight: &w},
	}
}

func TestEditFromOldVersionConflicts(t *testing.T) {
	e, _ := newEditor()
	base := setDocument(t, e, mustParse(t, sampleDocument))
	if _, err := e.PutException(t.Context(), base.Version, "x1", weightException(4)); err != nil {
		t.Fatal(err)
	}
	_, err := e.PutException(t.Context(), base.Version, "x1", weightException(5))
	var c *Conflict
	if !errors.As(err, &c) {
		t.Fatalf("second operator: got %v, want a conflict", err)
	}
	if len(c.NewerRevisions) != 1 || c.NewerRevisions[0].Author != "janis" || c.NewerRevisions[0].Reason != "weight 4" {
		t.Errorf("newer: got %+v, want the change by janis", c.NewerRevisions)
	}
	if !strings.Contains(err.Error(), "exceptions/x1") {
		t.Errorf("got %v, want the changed entry named", err)
	}
	if got := showDocument(t, e).Resolve(startTime, "r1", "d1").AccountOf("riga-2").Weight; got != 4 {
		t.Errorf("weight: got %v, want the winner's 4", got)
	}
}

// racingStore calls beforeCommit just before the next commit, to let another operator
// commit first.
type racingStore struct {
	storer.Store
	beforeCommit func()
}

func (s *racingStore) Commit(ctx context.Context, ops []storer.Op) error {
	beforeCommit := s.beforeCommit
	s.beforeCommit = nil
	if beforeCommit != nil {
		beforeCommit()
	}
	return s.Store.Commit(ctx, ops)
}

func TestConcurrentCommitConflicts(t *testing.T) {
	e, k := newEditor()
	base := setDocument(t, e, mustParse(t, sampleDocument))
	loser := *e
	loser.Store = &racingStore{Store: k, beforeCommit: func() {
		if _, err := e.PutException(t.Context(), base.Version, "x1", weightException(4)); err != nil {
			t.Error(err)
		}
	}}
	_, err := loser.PutException(t.Context(), base.Version, "x1", weightException(5))
	var c *Conflict
	if !errors.As(err, &c) || len(c.NewerRevisions) != 1 {
		t.Fatalf("got %v, want a conflict with one change", err)
	}
	loser.Store = &racingStore{Store: k, beforeCommit: func() {
		if _, err := e.RemoveException(t.Context(), 0, "x1", testNote); err != nil {
			t.Error(err)
		}
	}}
	if _, err := loser.PutException(t.Context(), 0, "x1", weightException(5)); err != nil {
		t.Errorf("without a base: got %v, want the change retried", err)
	}
}

func TestLostCommitResponseIsResolved(t *testing.T) {
	e, k := newEditor()
	base := setDocument(t, e, mustParse(t, sampleDocument))
	k.SetFaults(keeper.Faults{Seed: 1, LoseAnswers: 1})
	u, err := e.PutException(t.Context(), base.Version, "x1", weightException(4))
	if err != nil || u.Version != 2 {
		t.Fatalf("got version %d, %v, want version 2, confirmed by reading the history", u.Version, err)
	}
	if got := showDocument(t, e).Resolve(startTime, "r1", "d1").AccountOf("riga-2").Weight; got != 4 {
		t.Errorf("weight: got %v, want 4", got)
	}
}

func TestEditorRejectsInvalidChanges(t *testing.T) {
	e, _ := newEditor()
	d := setDocument(t, e, mustParse(t, sampleDocument))
	bad := *d
	bad.Pools = nil
	if _, err := e.Set(t.Context(), &bad, testNote); len(FindingsOf(err)) < 3 {
		t.Errorf("document without pools: got %v, want findings", err)
	}
	if _, err := e.Set(t.Context(), d, Note{Author: "ilze"}); !errors.Is(err, ErrNoReason) {
		t.Errorf("no reason: got %v", err)
	}
	if _, err := e.RemoveException(t.Context(), 0, "none", testNote); !errors.Is(err, ErrNoException) {
		t.Errorf("unknown exception: got %v", err)
	}
	if _, err := e.Revert(t.Context(), 0, 9, testNote); !errors.Is(err, ErrNoRevision) {
		t.Errorf("unknown version: got %v", err)
	}
	if got := showDocument(t, e).Version; got != 1 {
		t.Errorf("version: got %d, want 1: nothing was written", got)
	}
}

// TestLongHistory commits changes across two snapshots, reverts to versions in the object
// store and in the table, and updates routers from versions of different ages.
func TestLongHistory(t *testing.T) {
	t.Parallel()
	e, k := newEditor()
	setDocument(t, e, mustParse(t, sampleDocument))
	const last = 2*versionsPerSegment + 10
	states := map[uint64]*State{}
	var s *State
	for v := uint64(2); v <= last; v++ {
		if _, err := e.PutException(t.Context(), 0, "x1", weightException(float64(v))); err != nil {
			t.Fatal(err)
		}
		if v%50 == 0 {
			states[v] = fetchAndApply(t, k, s)
		}
	}
	rows, _ := k.Scan(t.Context(), Table, 0, 0)
	liveRows := 0
	for _, r := range rows {
		if !r.Deleted {
			liveRows++
		}
	}
	if liveRows != 12 {
		t.Errorf("live rows: got %d, want 10 revisions, the head and the snapshot", liveRows)
	}
	for v, old := range states {
		if got := fetchAndApply(t, k, old); got.Version() != last {
			t.Errorf("from version %d: got %d, want %d", v, got.Version(), last)
		}
	}
	for _, v := range []uint64{1, 100, versionsPerSegment, versionsPerSegment + 1, last - 1} {
		checkRevert(t, e, v)
	}
	history, err := e.History(t.Context(), 0)
	if err != nil || len(history) != last+5 {
		t.Errorf("history: got %d revisions, %v, want %d", len(history), err, last+5)
	}
	for i, r := range history {
		if r.Version != uint64(i+1) {
			t.Fatalf("history[%d]: got version %d", i, r.Version)
		}
	}
	part, err := e.History(t.Context(), 200)
	if err != nil || part[0].Version != 201 {
		t.Errorf("history after 200: got %+v, %v", part[0], err)
	}
}

func fetchAndApply(t *testing.T, store storer.Store, s *State) *State {
	t.Helper()
	u, err := Fetch(t.Context(), store, s)
	if err != nil {
		t.Fatal(err)
	}
	next, err := s.Apply(u)
	if err != nil {
		t.Fatal(err)
	}
	return next
}

func checkRevert(t *testing.T, e *Editor, version uint64) {
	t.Helper()
	before := showDocument(t, e).Version
	if _, err := e.Revert(t.Context(), before, version, testNote); err != nil {
		t.Errorf("revert to %d: %v", version, err)
		return
	}
	d := showDocument(t, e)
	want := float64(version)
	if version == 1 {
		want = 3
	}
	if got := d.Resolve(startTime, "r1", "d1").AccountOf("riga-2").Weight; got != want || d.Version != before+1 {
		t.Errorf("revert to %d: got weight %v in version %d, want %v in %d", version, got, d.Version, want, before+1)
	}
}

func TestLongChangeGoesToObject(t *testing.T) {
	e, k := newEditor()
	d := mustParse(t, sampleDocument)
	for i := range 2000 {
		d.Accounts[messenger.AccountID(fmt.Sprintf("account-%d", i))] = AccountSettings{Weight: d.Account.Weight}
	}
	setDocument(t, e, d)
	row, err := k.Read(t.Context(), Table, revisionKey(1))
	if err != nil || len(row.Value) > 1000 {
		t.Errorf("row: got %d bytes, %v, want the changes in an object", len(row.Value), err)
	}
	if got := len(showDocument(t, e).Accounts); got != 2002 {
		t.Errorf("accounts: got %d, want 2002", got)
	}
}

func TestExceptionBeforeAnyDocument(t *testing.T) {
	e, k := newEditor()
	x := weightException(2)
	x.Scope = Scope{}
	if _, err := e.PutException(t.Context(), 0, "x", x); err != nil {
		t.Fatal(err)
	}
	if got := fetchAndApply(t, k, nil).Document().Exceptions; len(got) != 1 {
		t.Errorf("got %v, want the exception", got)
	}
}

func TestSmallestDocument(t *testing.T) {
	e, k := newEditor()
	setDocument(t, e, mustParse(t, `{}`))
	if got := fetchAndApply(t, k, nil).Version(); got != 1 {
		t.Errorf("got version %d, want 1", got)
	}
}

func TestApplyNeverGoesBack(t *testing.T) {
	e, k := newEditor()
	setDocument(t, e, mustParse(t, sampleDocument))
	old := fetchAndApply(t, k, nil)
	if _, err := e.PutException(t.Context(), 0, "x1", weightException(4)); err != nil {
		t.Fatal(err)
	}
	s := fetchAndApply(t, k, old)
	for name, u := range map[string]Update{
		"whole":     {Version: old.version, AllEntries: old.entries, Checksum: old.checksum},
		"revisions": {Version: 1, Revisions: old.recentRevisions},
		"nothing":   {},
	} {
		if got, err := s.Apply(u); err != nil || got.Version() != 2 {
			t.Errorf("%s: got version %d, %v, want 2", name, got.Version(), err)
		}
	}
	r := s.recentRevisions[1]
	r.Checksum++
	if _, err := old.Apply(Update{Version: 2, Revisions: []Revision{r}}); !errors.Is(err, ErrGap) {
		t.Errorf("wrong checksum: got %v, want ErrGap", err)
	}
	r = s.recentRevisions[1]
	r.Version = 3
	if _, err := old.Apply(Update{Version: 3, Revisions: []Revision{r}}); !errors.Is(err, ErrGap) {
		t.Errorf("gap: got %v, want ErrGap", err)
	}
}
