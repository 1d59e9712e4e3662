// Package linter finds entries of a valid fleet configuration that can never
// apply and limits that contradict each other, and lists what differs between
// two configurations. It does no I/O.
//
// A rule reports only what follows with certainty from the document and the
// time. Names of routers and their failure domains do not stand in a document
// and are not checked.
//
// # Usage
//
//	for _, f := range linter.Lint(document, clock.Now()) { ... }
//	for _, d := range linter.Diff(inForce, document) { ... }
package linter

import (
	"maps"
	"slices"
	"time"

	"lentilwood.example/lentilwood/internal/configurer"
	"lentilwood.example/lentilwood/internal/messenger"
	"lentilwood.example/lentilwood/internal/parser"
)

// The rules.
const (
	RouteCovered         = "route-covered"
	PoolWithoutUpstreams = "pool-without-upstreams"
	UpstreamUnused       = "upstream-unused"
	ClassUnused          = "class-unused"
	AccountWithoutTokens = "account-without-tokens"
	ExceptionEnded       = "exception-ended"
	ExceptionEmpty       = "exception-empty"
	ExceptionOverridden  = "exception-overridden"
	FloorsAboveOne       = "floors-above-one"
	BurstWithoutRate     = "burst-without-rate"
	BurstAboveLimits     = "burst-above-limits"
	HedgeWithoutBudget   = "hedge-without-budget"
)

// Finding is an entry that breaks a rule.
type Finding struct {
	// Path is the field, in the form of the package parser.
	Path string
	Rule string
	Text string
}

// linter collects the findings of one document.
type linter struct {
	doc *configurer.Document
	now time.Time
	// fields are the fields that each exception changes.
	fields   map[string]map[string]bool
	findings []Finding
}

// Lint returns the findings of a document that configurer.Check accepts.
func Lint(d *configurer.Document, now time.Time) []Finding {
	l := linter{doc: d, now: now, fields: make(map[string]map[string]bool)}
	for id, e := range d.Exceptions {
		l.fields[id] = e.Fields()
	}
	l.routes()
	l.unused()
	l.exceptions()
	l.accountLimits()
	l.classLimits()
	return l.findings
}

func (l *linter) add(path, rule, text string) {
	l.findings = append(l.findings, Finding{Path: path, Rule: rule, Text: text})
}

// classesOf returns the classes that the routes to a pool serve.
func (l *linter) classesOf(pool messenger.PoolID) []messenger.ClassID {
	classes := make(map[messenger.ClassID]bool)
	for _, r := range l.doc.Routes {
		if r.Pool != pool {
			continue
		}
		classes[r.Class] = true
		for _, c := range r.Classes {
			classes[c] = true
		}
	}
	return sortedKeys(classes)
}

// changedByException reports whether an exception that has not ended changes a
// field, such as "class.hedge".
func (l *linter) changedByException(field string) bool {
	for id, fields := range l.fields {
		if fields[field] && !l.ended(l.doc.Exceptions[id]) {
			return true
		}
	}
	return false
}

func entryPath[K ~string](section string, id K) string { return parser.Join(section, string(id)) }

func sortedKeys[K ~string, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
