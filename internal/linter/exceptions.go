package linter

import (
	"slices"
	"strings"
	"time"

	"lentilwood.example/lentilwood/internal/configurer"
	"lentilwood.example/lentilwood/internal/messenger"
)

// exceptions reports exceptions that take no effect now or later.
func (l *linter) exceptions() {
	for _, id := range sortedKeys(l.doc.Exceptions) {
		path, e := entryPath("exceptions", id), l.doc.Exceptions[id]
		switch {
		case l.ended(e):
			l.add(path, ExceptionEnded, "it ended at "+e.Until.UTC().Format(time.RFC3339))
		case len(l.fields[id]) == 0:
			l.add(path, ExceptionEmpty, "it sets no field")
		case e.Upstream != nil && len(l.reached(e, "upstream")) == 0:
			l.add(path+".scope", ExceptionEmpty, "its change of upstreams reaches none: no upstream is in the whole scope")
		case l.overridden(e, l.fields[id]):
			l.add(path, ExceptionOverridden, "narrower exceptions change all of its fields wherever it applies")
		}
	}
}

func (l *linter) ended(e configurer.Exception) bool {
	return e.Until != nil && !l.now.Before(*e.Until)
}

// reached returns the entries of a kind that the exception changes.
func (l *linter) reached(e configurer.Exception, kind string) []string {
	var ids []string
	switch kind {
	case "upstream":
		for id, u := range l.doc.Upstreams {
			if e.Scope.IncludesUpstream(id, u) {
				ids = append(ids, string(id))
			}
		}
	case "class":
		ids = selected(l.doc.Classes, e.Scope.Class)
	case "pool":
		ids = selected(l.doc.Pools, e.Scope.Pool)
	}
	return ids
}

func selected[K ~string, V any](entries map[K]V, only K) []string {
	var ids []string
	for id := range entries {
		if only == "" || id == only {
			ids = append(ids, string(id))
		}
	}
	return ids
}

// overridden reports whether each field of e is changed by a narrower exception
// at every entry that e reaches.
func (l *linter) overridden(e configurer.Exception, fields map[string]bool) bool {
	for field := range fields {
		kind, _, _ := strings.Cut(field, ".")
		// An account's exception may concern accounts that the document does not
		// list; a schedule of a narrower exception replaces another only while one
		// of its periods applies.
		if kind == "account" && e.Scope.Account == "" || field == "class.schedule" {
			return false
		}
		ids := l.reached(e, kind)
		if kind == "account" {
			ids = []string{string(e.Scope.Account)}
		}
		if len(ids) == 0 || slices.ContainsFunc(ids, func(id string) bool { return !l.overriddenAt(e, field, kind, id) }) {
			return false
		}
	}
	return true
}

// overriddenAt reports whether one narrower exception changes the field of the
// entry id at least as long and at the same routers as e.
func (l *linter) overriddenAt(e configurer.Exception, field, kind, id string) bool {
	for other, o := range l.doc.Exceptions {
		if !l.fields[other][field] || o.Scope.NarrowedFieldCount() <= e.Scope.NarrowedFieldCount() {
			continue
		}
		if outlasts(o, e) && sameRouters(o, e, kind) && l.includes(o, kind, id) {
			return true
		}
	}
	return false
}

func outlasts(o, e configurer.Exception) bool {
	return o.Until == nil || e.Until != nil && !o.Until.Before(*e.Until)
}

// sameRouters reports whether o applies at every router where e does. The
// domain selects routers only in an exception that changes no upstream.
func sameRouters(o, e configurer.Exception, kind string) bool {
	if o.Scope.Router != "" && o.Scope.Router != e.Scope.Router {
		return false
	}
	if kind == "upstream" || o.Upstream != nil || o.Scope.Domain == "" {
		return true
	}
	return e.Upstream == nil && o.Scope.Domain == e.Scope.Domain
}

// includes reports whether o changes the entry id of a kind.
func (l *linter) includes(o configurer.Exception, kind, id string) bool {
	only := ""
	switch kind {
	case "account":
		only = string(o.Scope.Account)
	case "class":
		only = string(o.Scope.Class)
	case "pool":
		only = string(o.Scope.Pool)
	case "upstream":
		upstream := messenger.UpstreamID(id)
		return o.Scope.IncludesUpstream(upstream, l.doc.Upstreams[upstream])
	}
	return only == "" || only == id
}
