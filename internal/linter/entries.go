package linter

import (
	"slices"

	"lentilwood.example/lentilwood/internal/configurer"
	"lentilwood.example/lentilwood/internal/messenger"
	"lentilwood.example/lentilwood/internal/parser"
)

// routes reports routes that no request reaches. Only routes with the same path
// can cover each other: a longer path never matches the shorter one itself.
func (l *linter) routes() {
	for i, r := range l.doc.Routes {
		if covered(r, l.doc.Routes[:i]) {
			l.add(parser.Index("routes", i), RouteCovered, "earlier routes with the same path take all of its methods")
		}
	}
}

func covered(r configurer.Route, earlier []configurer.Route) bool {
	taken := make(map[string]bool)
	for _, e := range earlier {
		if e.Path != r.Path {
			continue
		}
		if len(e.Methods) == 0 {
			return true
		}
		for _, m := range e.Methods {
			taken[m] = true
		}
	}
	return len(r.Methods) > 0 && !slices.ContainsFunc(r.Methods, func(m string) bool { return !taken[m] })
}

// unused reports pools, upstreams, classes and client accounts that serve
// nobody.
func (l *linter) unused() {
	filled, routed := make(map[messenger.PoolID]bool), make(map[messenger.PoolID]bool)
	classes := make(map[messenger.ClassID]bool)
	for _, u := range l.doc.Upstreams {
		filled[u.Pool] = true
	}
	for _, r := range l.doc.Routes {
		routed[r.Pool] = true
		for _, c := range l.classesOf(r.Pool) {
			classes[c] = true
		}
	}
	for _, id := range sortedKeys(l.doc.Pools) {
		if !filled[id] {
			l.add(entryPath("pools", id), PoolWithoutUpstreams, "no upstream belongs to the pool")
		}
	}
	for _, id := range sortedKeys(l.doc.Upstreams) {
		if pool := l.doc.Upstreams[id].Pool; !routed[pool] {
			l.add(entryPath("upstreams", id), UpstreamUnused, "no route uses its pool "+string(pool))
		}
	}
	for _, id := range sortedKeys(l.doc.Classes) {
		if !classes[id] {
			l.add(entryPath("classes", id), ClassUnused, "no route serves the class")
		}
	}
	for _, id := range sortedKeys(l.doc.Accounts) {
		if len(l.doc.Accounts[id].Tokens) == 0 {
			l.add(entryPath("accounts", id), AccountWithoutTokens, "no caller can identify as the client account")
		}
	}
}
