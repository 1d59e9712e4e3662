package linter

import (
	"slices"
	"strings"
	"testing"
	"time"

	"lentilwood.example/lentilwood/internal/configurer"
)

// base is a document without findings; a test replaces a part of it.
const base = `{
  "account": {"concurrency": 10, "queueLength": 5},
  "accounts": {"a": {"tokens": ["` + digest + `"]}},
  "classes": {"q": {"floor": 0.6}, "r": {"floor": 0.4}},
  "pools": {"p": {}},
  "upstreams": {
    "u": {"pool": "p", "address": "10.0.0.1:80", "window": 1, "domain": "x"},
    "v": {"pool": "p", "address": "10.0.0.2:80", "window": 1, "domain": "y"}},
  "routes": [{"path": "/v1", "methods": ["GET", "PUT"], "pool": "p", "class": "q", "classes": ["r"]}],
  "exceptions": {}
}`

const digest = "e5f5b69977ffe4112251f762b5212497af1af975cf96220fcde7b488ddf41403"

func parse(t *testing.T, text string) *configurer.Document {
	t.Helper()
	d, err := configurer.Parse([]byte(text))
	if err != nil {
		t.Fatalf("Parse: %v\n%s", err, text)
	}
	return d
}

// exceptions returns a replacement in the base that adds exceptions; "@" stands
// for the reason and the author. Members that the text repeats after the
// exceptions replace those of the base.
func exceptions(text string) (old, replacement string) {
	return `"exceptions": {}`, `"exceptions": {` + strings.ReplaceAll(text, "@", `"reason": "r", "author": "a"`) + `}`
}

// TestLint guards against rules that miss what they are for or that report
// entries which do apply.
func TestLint(t *testing.T) {
	const route = `"classes": ["r"]}`
	tests := []struct {
		name, old, replacement string
		want                   []string
	}{
		{"base", "", "", nil},
		{"covered", route, route + `, {"path": "/v1", "pool": "p", "class": "q"}, {"path": "/v1", "methods": ["DELETE"], "pool": "p", "class": "q"}`,
			[]string{"routes[2] route-covered"}},
		{"covered by two", route, route + `, {"path": "/v1", "methods": ["POST"], "pool": "p", "class": "q"}, {"path": "/v1", "methods": ["PUT", "POST"], "pool": "p", "class": "q"}`,
			[]string{"routes[2] route-covered"}},
		{"one method left", route, route + `, {"path": "/v1", "methods": ["PUT", "POST"], "pool": "p", "class": "q"}`, nil},
		{"shorter path", route, route + `, {"path": "/", "pool": "p", "class": "q"}, {"path": "/v1/", "pool": "p", "class": "q"}`, nil},
		{"empty pool", `"p": {}`, `"p": {}, "o": {}`, []string{"pools.o pool-without-upstreams"}},
		{"unused pool", "\"p\": {}},\n  \"upstreams\": {", `"p": {}, "o": {}}, "upstreams": {"w": {"pool": "o", "address": "10.0.0.3:80", "window": 1},`,
			[]string{"upstreams.w upstream-unused"}},
		{"unused class", `"r": {`, `"s": {}, "r": {`, []string{"classes.s class-unused"}},
		{"no tokens", `"a": {`, `"b.c": {}, "a": {`, []string{`accounts["b.c"] account-without-tokens`}},
		{"floors", `"floor": 0.6`, `"floor": 0.7`, []string{"pools.p floors-above-one"}},
		{"floors with rounding", `"floor": 0.6`, `"floor": 0.6000000000000002`, nil},
		{"floor lower at times", `"floor": 0.6`, `"floor": 0.7, "schedule": [{"from": "08:00", "to": "18:00", "floor": 0}]`, nil},
		{"burst, no rate", `"a": {`, `"a": {"burst": 3, `, []string{"accounts.a.burst burst-without-rate"}},
		{"burst at the limits", `"a": {`, `"a": {"requestsPerSecond": 1, "burst": 15, `, nil},
		{"burst above limits", `"a": {`, `"a": {"requestsPerSecond": 1, "burst": 16, `, []string{"accounts.a burst-above-limits"}},
		{"burst without a bound", `"a": {`, `"a": {"requestsPerSecond": 1, "burst": 16, "concurrency": 0, `, nil},
		{"hedge", `"floor": 0.6`, `"floor": 0.6, "hedge": true`, []string{"classes.q.hedge hedge-without-budget"}},
		{"hedge, not idempotent", `"r": {"floor": 0.4}},` + "\n" + `  "pools": {"p": {}}`, `"r": {"hedge": true}}, "pools": {"p": {"hedgeBudget": 0.1}}`,
			[]string{"classes.r.hedge hedge-without-budget"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) { checkLint(t, tt.old, tt.replacement, tt.want) })
	}
}

// TestLintExceptions guards against reports of exceptions that still take effect
// somewhere, at some time or for some field.
func TestLintExceptions(t *testing.T) {
	const wide = `"e": {@, "scope": {"domain": "x"}, "upstream": {"window": 2}}, `
	const narrow = `"n": {@, "scope": {"domain": "x", "upstream": "u"}, "upstream": {"window": 3}}`
	tests := []struct {
		name, exceptions string
		want             []string
	}{
		{"ended", `"e": {@, "until": "2026-01-02T00:00:00Z", "account": {"weight": 2}}`, []string{"exceptions.e exception-ended"}},
		{"not ended", `"e": {@, "until": "2026-01-02T00:00:01Z", "account": {"weight": 2}}`, nil},
		{"no field", `"e": {@, "account": {}}`, []string{"exceptions.e exception-empty"}},
		{"no upstream", `"e": {@, "scope": {"domain": "z"}, "upstream": {"window": 2}}`, []string{"exceptions.e.scope exception-empty"}},
		{"routers of a domain", `"e": {@, "scope": {"domain": "z"}, "account": {"weight": 2}}`, nil},
		{"overridden", wide + narrow, []string{"exceptions.e exception-overridden"}},
		{"another upstream left", strings.Replace(wide, `"domain": "x"`, "", 1) + narrow, nil},
		{"ends earlier", wide + strings.Replace(narrow, "@", `@, "until": "2027-01-01T00:00:00Z"`, 1), nil},
		{"one router only", wide + strings.Replace(narrow, `"domain": "x"`, `"router": "r"`, 1), nil},
		{"another field", strings.Replace(wide, `"window"`, `"leaving": true, "window"`, 1) + narrow, nil},
		{"all classes", `"e": {@, "class": {"floor": 0}}, "n": {@, "scope": {"class": "q"}, "class": {"floor": 0.1}}, "o": {@, "scope": {"class": "r"}, "class": {"floor": 0.1}}`,
			[]string{"exceptions.e exception-overridden"}},
		{"schedules", `"e": {@, "scope": {"class": "q"}, "class": {"schedule": [{"from": "08:00", "to": "09:00", "floor": 0}]}}, "n": {@, "scope": {"class": "q", "account": "a"}, "account": {"weight": 2}, "class": {"schedule": [{"from": "10:00", "to": "11:00"}]}}`, nil},
		{"upstreams of a domain, classes everywhere", `"e": {@, "scope": {"domain": "x"}, "upstream": {"window": 2}, "class": {"floor": 0}}, "m": {@, "scope": {"domain": "x", "upstream": "u"}, "upstream": {"window": 3}}, "n": {@, "scope": {"domain": "x", "class": "q"}, "class": {"floor": 0}}, "o": {@, "scope": {"domain": "x", "class": "r"}, "class": {"floor": 0}}`, nil},
		{"rate by an exception", `"e": {@, "account": {"requestsPerSecond": 3}}}, "account": {"burst": 1}, "accounts": {"a": {"burst": 2, "tokens": ["` + digest + `"]}`, nil},
		{"hedge with a budget", `}, "pools": {"p": {"hedgeBudget": 0.1}}, "routes": [{"path": "/", "pool": "p", "class": "q", "classes": ["r"], "idempotent": true}], "classes": {"q": {"hedge": true}, "r": {}`, nil},
		{"budget by an exception", `"e": {@, "pool": {"hedgeBudget": 0.1}}}, "classes": {"q": {"hedge": true}, "r": {}`, nil},
		{"unlisted accounts", `"e": {@, "account": {"weight": 2}}, "n": {@, "scope": {"account": "a"}, "account": {"weight": 3}}`, nil},
		{"routers of a domain left", `"e": {@, "scope": {"account": "a"}, "account": {"weight": 2}}, "n": {@, "scope": {"account": "a", "domain": "x"}, "account": {"weight": 3}}`, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			old, replacement := exceptions(tt.exceptions)
			checkLint(t, old, replacement, tt.want)
		})
	}
}

// TestLintWithoutEntries guards against "overridden" for a change that reaches no
// entry and that no exception overrides.
func TestLintWithoutEntries(t *testing.T) {
	d := parse(t, `{"exceptions": {"e": {"reason": "r", "author": "a", "class": {"floor": 0}}}}`)
	if got := Lint(d, time.Time{}); len(got) > 0 {
		t.Errorf("got %v, want none", got)
	}
}

func checkLint(t *testing.T, old, replacement string, want []string) {
	t.Helper()
	text := strings.Replace(base, old, replacement, 1)
	var got []string
	for _, f := range Lint(parse(t, text), time.Date(2026, 1, 2, 0, 0, 0, 0, time.UTC)) {
		got = append(got, f.Path+" "+f.Rule)
	}
	if !slices.Equal(got, want) {
		t.Errorf("got %q, want %q", got, want)
	}
}

// TestDiff guards against differences that are left out and against tokens in
// the output.
func TestDiff(t *testing.T) {
	other := strings.NewReplacer(
		digest, strings.Repeat("ab", 32), `"p": {}`, `"p": {"longShare": 0.5}`, `"concurrency": 10, `, "",
		`"queueLength": 5`, `"queueLength": 6`, `"classes": ["r"]}`, `"classes": ["r"]}, {"path": "/w", "pool": "p", "class": "q"}`,
		`"a": {`, `"b": {"tokens": ["`+strings.Repeat("cd", 32)+`"]}, "a": {`).Replace(base)
	var got []string
	for _, d := range Diff(parse(t, base), parse(t, other)) {
		got = append(got, d.String())
	}
	want := []string{
		"account.concurrency: removed 10",
		"account.queueLength: changed from 5 to 6",
		"accounts.a.tokens: changed, values are not shown",
		`accounts.b: added {"tokens":"(not shown)"}`,
		"pools.p.longShare: added 0.5",
		`routes[1]: added {"class":"q","path":"/w","pool":"p"}`,
	}
	if !slices.Equal(got, want) {
		t.Errorf("got %q, want %q", got, want)
	}
}
