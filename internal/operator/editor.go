package operator

import (
	"context"
	"errors"
	"maps"
	"net/http"
	"slices"
	"strings"

	"lentilwood.example/lentilwood/internal/configurer"
	"lentilwood.example/lentilwood/internal/messenger"
	"lentilwood.example/lentilwood/internal/parser"
	"lentilwood.example/lentilwood/internal/storer"
	"lentilwood.example/lentilwood/internal/timekeeper"
)

const (
	// repeatWindow is how many of the newest changes are searched for a change
	// that was sent again.
	repeatWindow = 64
	// maxSummary is how many changed entries a summary names.
	maxSummary = 4
)

// ConfigEditor carries out what the API asks of the configuration, through the
// platform's table. A Backend embeds it. It is safe for concurrent use.
type ConfigEditor struct {
	Store storer.Store
	// Clock is the system's clock if it is nil.
	Clock timekeeper.Clock
	// Accepted is told of each change that was made here; nil means nobody.
	Accepted func(configurer.Update)
	// InForce returns the document in force, shown while the platform does not
	// answer; nil means none.
	InForce func() *configurer.Document
}

// editor returns an editor whose change carries token.
func (e *ConfigEditor) editor(token string) *configurer.Editor {
	return &configurer.Editor{Store: e.Store, Clock: e.Clock, Token: func() string { return token }}
}

// Config returns the newest configuration, or the one in force while the
// platform does not answer.
func (e *ConfigEditor) Config(ctx context.Context) (Config, error) {
	ed := e.editor("")
	document, err := ed.Show(ctx)
	if err == nil && document.Version > 0 {
		revisions, historyErr := ed.History(ctx, document.Version-1)
		if historyErr == nil && len(revisions) > 0 && revisions[0].Version == document.Version {
			return Config{Change: changeOf(revisions[0]), Document: document.JSON()}, nil
		}
		err = historyErr
	}
	if err != nil && e.InForce != nil && e.InForce() != nil {
		document, err = e.InForce(), nil
	}
	if err != nil {
		return Config{}, problemOfEditor(err)
	}
	return Config{Change: Change{Version: document.Version}, Document: document.JSON()}, nil
}

// SetConfig replaces the configuration.
func (e *ConfigEditor) SetConfig(ctx context.Context, author string, r SetConfig) (Change, error) {
	document, err := configurer.Parse(r.Document)
	if err != nil {
		return Change{}, problemOfEditor(err)
	}
	document.Version = r.IfVersion
	return e.change(ctx, author, r.Precondition, func(ed *configurer.Editor, n configurer.Note) (configurer.Update, error) {
		return ed.Set(ctx, document, n)
	})
}

// AddException adds or replaces an exception.
func (e *ConfigEditor) AddException(ctx context.Context, author string, r AddException) (Change, error) {
	exception, findings := parser.Decode[configurer.Exception]("exception", r.Exception)
	if r.ID == "" {
		findings.Add("id", "is missing", "the name of the exception")
	}
	if findings.Len() > 0 {
		return Change{}, NewInvalid(findings)
	}
	exception.Author, exception.Reason = author, r.Reason
	return e.change(ctx, author, r.Precondition, func(ed *configurer.Editor, _ configurer.Note) (configurer.Update, error) {
		return ed.PutException(ctx, r.IfVersion, r.ID, exception)
	})
}

// RemoveException removes an exception.
func (e *ConfigEditor) RemoveException(ctx context.Context, author string, r RemoveException) (Change, error) {
	return e.change(ctx, author, r.Precondition, func(ed *configurer.Editor, n configurer.Note) (configurer.Update, error) {
		return ed.RemoveException(ctx, r.IfVersion, r.ID, n)
	})
}

// Revert writes the document of an earlier version as a new version.
func (e *ConfigEditor) Revert(ctx context.Context, author string, r Revert) (Change, error) {
	return e.change(ctx, author, r.Precondition, func(ed *configurer.Editor, n configurer.Note) (configurer.Update, error) {
		return ed.Revert(ctx, r.IfVersion, r.ToVersion, n)
	})
}

// drainPrefix begins the ids of exceptions that stop new work for an upstream.
const drainPrefix = "drain-"

// Drain adds an exception by which an upstream gets no new work.
func (e *ConfigEditor) Drain(ctx context.Context, author string, r Drain) (Change, error) {
	leaving := true
	exception := configurer.Exception{
		Author: author, Reason: r.Reason,
		Upstream: &configurer.UpstreamSettings{Leaving: &leaving},
	}
	if r.Upstream == "" {
		var findings parser.Findings
		findings.Add("upstream", "is missing", "the name of an upstream")
		return Change{}, NewInvalid(findings)
	}
	exception.Scope.Upstream = messenger.UpstreamID(r.Upstream)
	return e.change(ctx, author, r.Precondition, func(ed *configurer.Editor, _ configurer.Note) (configurer.Update, error) {
		return ed.PutException(ctx, r.IfVersion, drainPrefix+r.Upstream, exception)
	})
}

// History returns the newest changes, newest first.
func (e *ConfigEditor) History(ctx context.Context, limit int) (History, error) {
	revisions, err := e.newest(ctx, uint64(limit))
	if err != nil {
		return History{}, problemOfEditor(err)
	}
	h := History{Changes: make([]Change, 0, len(revisions))}
	for _, r := range slices.Backward(revisions) {
		h.Changes = append(h.Changes, changeOf(r))
	}
	return h, nil
}

// newest returns up to n of the newest revisions, oldest first.
func (e *ConfigEditor) newest(ctx context.Context, n uint64) ([]configurer.Revision, error) {
	ed := e.editor("")
	document, err := ed.Show(ctx)
	if err != nil {
		return nil, err
	}
	return ed.History(ctx, document.Version-min(n, document.Version))
}

// change makes one change, unless an earlier try of the same change was
// accepted already.
func (e *ConfigEditor) change(ctx context.Context, author string, p Precondition, do func(*configurer.Editor, configurer.Note) (configurer.Update, error)) (Change, error) {
	token := tokenOf(author, p)
	revisions, err := e.newest(ctx, repeatWindow)
	if err != nil {
		return Change{}, problemOfEditor(err)
	}
	if r, ok := withToken(revisions, token); ok {
		return changeOf(r), nil
	}
	update, err := do(e.editor(token), configurer.Note{Author: author, Reason: p.Reason})
	if err != nil {
		return Change{}, problemOfEditor(err)
	}
	if e.Accepted != nil {
		e.Accepted(update)
	}
	return changeOf(update.Revisions[len(update.Revisions)-1]), nil
}

// tokenSeparator stands between the change id and the author in a token, so
// that two operators cannot take each other's change for their own.
const tokenSeparator = "."

func tokenOf(author string, p Precondition) string { return p.ChangeID + tokenSeparator + author }

func withToken(revisions []configurer.Revision, token string) (configurer.Revision, bool) {
	i := slices.IndexFunc(revisions, func(r configurer.Revision) bool { return r.Token == token })
	if i < 0 {
		return configurer.Revision{}, false
	}
	return revisions[i], true
}

func changeOf(r configurer.Revision) Change {
	id, _, _ := strings.Cut(r.Token, tokenSeparator)
	return Change{
		Version: r.Version, Author: r.Author, Reason: r.Reason,
		Changed: r.Time, ChangeID: id, Summary: summaryOf(r),
	}
}

// summaryOf names the entries that a revision changed.
func summaryOf(r configurer.Revision) string {
	names := slices.Sorted(maps.Keys(r.Changes))
	if len(names) == 0 || len(names) > maxSummary {
		return "many entries"
	}
	return strings.Join(names, ", ")
}

// problemOfEditor says what an error of the editor means to an operator.
func problemOfEditor(err error) error {
	var conflict *configurer.Conflict
	if errors.As(err, &conflict) && len(conflict.NewerRevisions) > 0 {
		return NewConflict(changeOf(conflict.NewerRevisions[len(conflict.NewerRevisions)-1]))
	}
	if found := configurer.FindingsOf(err); len(found) > 0 {
		var findings parser.Findings
		for _, f := range found {
			findings.Add(f.Path, f.Text, "")
		}
		return NewInvalid(findings)
	}
	switch {
	case errors.Is(err, configurer.ErrNoException), errors.Is(err, configurer.ErrNoRevision), errors.Is(err, storer.ErrNotFound):
		return NewNotFound(err.Error())
	case errors.Is(err, storer.ErrConflict):
		return &Problem{Type: ProblemConflict, Title: "The configuration was changed meanwhile", Status: http.StatusConflict, Detail: err.Error()}
	case errors.Is(err, storer.ErrUnknown):
		return NewUnknown(err.Error())
	case errors.Is(err, storer.ErrUnavailable):
		return NewUnavailable(err.Error())
	}
	return err
}
