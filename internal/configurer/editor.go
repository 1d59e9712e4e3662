package configurer

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/ansel1/merry/v2"

	"lentilwood.example/lentilwood/internal/storer"
	"lentilwood.example/lentilwood/internal/timekeeper"
)

// maxRowBytes is the largest encoded list of changes, in bytes, that is stored in a
// row. Larger ones are stored as an object.
const maxRowBytes = 32 << 10

// Editor changes the configuration on behalf of operators. It keeps no state: each
// call reads the table.
type Editor struct {
	// Store is the platform's store.
	Store storer.Store
	// Clock sets the time of revisions; nil means the system clock.
	Clock timekeeper.Clock
	// Token returns a unique random text; nil means one from the system's random
	// source.
	Token func() string
}

// Note records who changes the configuration and why.
type Note struct {
	Author string
	Reason string
}

// Errors of an Editor, besides Findings and Conflict.
var (
	// ErrNoReason means that a change has no author or no reason.
	ErrNoReason = merry.Sentinel("a change needs an author and a reason")
	// ErrNoException means that there is no exception with the given id.
	ErrNoException = merry.Sentinel("no such exception")
	// ErrNoRevision means that the history does not contain the version.
	ErrNoRevision = merry.Sentinel("no such version in the history")
)

// Conflict is the error of a change that is based on a version which is no longer
// the newest. Nothing was written.
type Conflict struct {
	// Base is the version on which the change is based.
	Base uint64
	// NewerRevisions are the revisions after Base.
	NewerRevisions []Revision
}

// Error lists the revisions after Base.
func (c *Conflict) Error() string {
	text := fmt.Sprintf("the change was made from version %d, which is no longer the newest:", c.Base)
	for _, r := range c.NewerRevisions {
		text += fmt.Sprintf("\nversion %d by %s at %s (%s) changed %s",
			r.Version, r.Author, r.Time.UTC().Format(time.RFC3339), r.Reason, r.changedEntryNames())
	}
	return text
}

// Unwrap makes errors.Is(err, storer.ErrConflict) return true.
func (c *Conflict) Unwrap() error { return storer.ErrConflict }

// Show returns the newest document, or an empty document of version 0 if there is
// none.
func (e *Editor) Show(ctx context.Context) (*Document, error) {
	s, err := e.load(ctx)
	if err != nil {
		return nil, err
	}
	if s.Document() == nil {
		return &Document{}, nil
	}
	return s.Document(), nil
}

// Set replaces the document. The document's Version is the version on which it is
// based; if another change has been committed since, the error is a Conflict. The
// returned update may be passed to a Configurer as Accepted.
func (e *Editor) Set(ctx context.Context, d *Document, n Note) (Update, error) {
	s, err := e.load(ctx)
	if err != nil {
		return Update{}, err
	}
	if d.Version != s.Version() {
		return Update{}, e.conflictSince(ctx, d.Version)
	}
	return e.commit(ctx, s, d, diff(s.entriesOrNone(), entriesOf(d)), n)
}

// PutException adds or replaces one exception. Base is the version on which the
// change is based; 0 means the newest.
func (e *Editor) PutException(ctx context.Context, base uint64, id string, x Exception) (Update, error) {
	n := Note{Author: x.Author, Reason: x.Reason}
	changes := make(Entries)
	put(changes, "exceptions/"+id, x)
	return e.edit(ctx, base, n, changes)
}

// RemoveException removes an exception. Base is as for PutException.
func (e *Editor) RemoveException(ctx context.Context, base uint64, id string, n Note) (Update, error) {
	u, err := e.edit(ctx, base, n, Entries{"exceptions/" + id: nil})
	if errors.Is(err, errNothingToRemove) {
		return Update{}, merry.Prepend(ErrNoException, id)
	}
	return u, err
}

// maxEditAttempts limits how often a change without a base version is attempted when
// other changes are committed concurrently.
const maxEditAttempts = 5

// errNothingToRemove means that a change removes an entry that does not exist.
var errNothingToRemove = merry.Sentinel("nothing to remove")

// edit changes entries of the newest document.
func (e *Editor) edit(ctx context.Context, base uint64, n Note, changes Entries) (Update, error) {
	for attempt := 1; ; attempt++ {
		s, err := e.load(ctx)
		if err != nil {
			return Update{}, err
		}
		if base != 0 && base != s.Version() {
			return Update{}, e.conflictSince(ctx, base)
		}
		for key, value := range changes {
			if _, ok := s.entriesOrNone()[key]; !ok && isRemoval(value) {
				return Update{}, errNothingToRemove
			}
		}
		d, err := s.documentWith(changes)
		if err != nil {
			return Update{}, err
		}
		u, err := e.commit(ctx, s, d, changes, n)
		if err == nil || base != 0 || attempt == maxEditAttempts || !errors.Is(err, storer.ErrConflict) {
			return u, err
		}
	}
}

// Revert commits the document of an older version as a new version. Base is the
// version on which the change is based; 0 means the newest.
func (e *Editor) Revert(ctx context.Context, base, version uint64, n Note) (Update, error) {
	s, err := e.load(ctx)
	if err != nil {
		return Update{}, err
	}
	if base != 0 && base != s.Version() {
		return Update{}, e.conflictSince(ctx, base)
	}
	old, err := e.entriesAt(ctx, version)
	if err != nil {
		return Update{}, err
	}
	d, err := documentOf(old, s.Version())
	if err != nil {
		return Update{}, err
	}
	return e.commit(ctx, s, d, diff(s.entriesOrNone(), old), n)
}

// load reads the newest state.
func (e *Editor) load(ctx context.Context) (*State, error) {
	u, err := Fetch(ctx, e.Store, nil)
	if err != nil {
		return nil, err
	}
	return (*State)(nil).Apply(u)
}

// commit checks a document and writes the changes that lead to it as the version
// after s.
func (e *Editor) commit(ctx context.Context, s *State, d *Document, changes Entries, n Note) (Update, error) {
	if n.Author == "" || n.Reason == "" {
		return Update{}, ErrNoReason
	}
	if err := Check(d); err != nil {
		return Update{}, err
	}
	r := Revision{
		Version: s.Version() + 1, Token: e.token(), Author: n.Author, Reason: n.Reason,
		Time: e.now(), Changes: changes,
	}
	var next State
	if s != nil {
		next = *s
	}
	next.applyRevision(r)
	r.Checksum = next.checksum
	stored, err := e.storeChanges(ctx, r)
	if err != nil {
		return Update{}, err
	}
	if err := e.resolveCommitResult(ctx, r, e.appendRevision(ctx, s, stored)); err != nil {
		return Update{}, err
	}
	e.compact(ctx, r, next.entries)
	return Update{Version: r.Version, Revisions: []Revision{r}}, nil
}

// storeChanges stores large changes as an object and returns the revision as it is
// written to its row.
func (e *Editor) storeChanges(ctx context.Context, r Revision) (Revision, error) {
	data, err := json.Marshal(r.Changes)
	if err != nil || len(data) <= maxRowBytes {
		return r, err
	}
	r.Object = "config/changes/" + r.Token
	r.Changes = nil
	return r, e.Store.PutObject(ctx, r.Object, data)
}

// appendRevision writes a revision if its predecessor is still the newest. The
// token in the row identifies this attempt if the response is lost.
func (e *Editor) appendRevision(ctx context.Context, s *State, r Revision) error {
	value, err := json.Marshal(r)
	if err != nil {
		return err
	}
	var headRow storer.Row
	if s.Version() > 0 {
		if headRow, err = e.Store.Read(ctx, Table, headKey); err != nil {
			return unavailableIfMissing(err)
		}
		var h head
		if err := json.Unmarshal(headRow.Value, &h); err != nil {
			return merry.Prepend(err, "decode the head row")
		}
		if h.Version != s.Version() {
			return storer.ErrConflict
		}
	}
	newHead, err := json.Marshal(head{Version: r.Version, Token: r.Token})
	if err != nil {
		return err
	}
	return e.Store.Commit(ctx, []storer.Op{
		{Table: Table, Key: revisionKey(r.Version), Value: value},
		{Table: Table, Key: headKey, Value: newHead, IfVersion: headRow.Version},
	})
}

// resolveCommitResult replaces a conflict or an unknown outcome of a commit by a
// definite result where it can: the history shows whether the version was written by
// this attempt or by another.
func (e *Editor) resolveCommitResult(ctx context.Context, r Revision, err error) error {
	if err == nil || !errors.Is(err, storer.ErrConflict) && !errors.Is(err, storer.ErrUnknown) {
		return err
	}
	newer, readErr := e.History(ctx, r.Version-1)
	if readErr != nil || len(newer) == 0 {
		return err
	}
	if newer[0].Token == r.Token {
		return nil
	}
	return &Conflict{Base: r.Version - 1, NewerRevisions: newer}
}

// conflictSince returns a Conflict with the revisions committed after base.
func (e *Editor) conflictSince(ctx context.Context, base uint64) error {
	c := &Conflict{Base: base}
	revisions, err := e.History(ctx, base)
	if err != nil {
		return merry.Prepend(err, "conflict with a newer version that could not be read")
	}
	c.NewerRevisions = revisions
	return c
}

func (e *Editor) token() string {
	if e.Token != nil {
		return e.Token()
	}
	return rand.Text()
}

func (e *Editor) now() time.Time {
	if e.Clock != nil {
		return e.Clock.Now()
	}
	return timekeeper.System{}.Now()
}

// documentWith returns the document with some entries changed.
func (s *State) documentWith(changes Entries) (*Document, error) {
	if s.Document() == nil {
		return documentOf(changes, 0)
	}
	return s.doc.withChanges(changes, s.version)
}

func (s *State) entriesOrNone() Entries {
	if s == nil {
		return nil
	}
	return s.entries
}
