package configurer

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"lentilwood.example/lentilwood/internal/identifier"

	"lentilwood.example/lentilwood/internal/messenger"
)

var startTime = time.Date(2026, 5, 4, 8, 0, 0, 0, time.UTC) // a Monday

const sampleDocument = `{
	// Riga
	"timeZone": "Europe/Riga",
	"account": {"weight": 1, "queueLength": 100},
	"accounts": {
		"riga-1": {"weight": 2, "tokens": ["` + tokenDigest + `"]},
		"riga-2": {},
	},
	"classes": {
		"consultation": {"precedence": 1, "long": true, "progressTimeout": "5s",
			"schedule": [{"days": ["mon"], "from": "08:00", "to": "18:00", "precedence": 9}]},
		"question": {"precedence": 5, "floor": 0.2},
	},
	"pools": {"assistant": {"longShare": 0.5}, "inventory": {}},
	"upstreams": {
		"w1": {"pool": "assistant", "address": "10.0.0.1:8000", "domain": "d1", "window": 8, "engine": true},
		"w2": {"pool": "assistant", "address": "10.0.0.2:8000", "domain": "d2", "window": 8, "engine": true},
	},
	"routes": [
		{"path": "/v1/", "pool": "assistant", "class": "question", "classes": ["consultation"], "engine": true},
		{"path": "/stock", "methods": ["GET"], "pool": "inventory", "class": "question", "idempotent": true},
	],
	"exceptions": {
		"x1": {"scope": {"account": "riga-2"}, "reason": "fair week", "author": "ilze", "account": {"weight": 3}},
		"x2": {"scope": {"domain": "d2"}, "reason": "moving", "author": "ilze", "upstream": {"leaving": true}, "until": "2026-05-04T09:00:00Z"},
		"x0": {"scope": {"account": "riga-2", "router": "r2"}, "reason": "trial", "author": "ilze", "account": {"weight": 7}},
		"x3": {"scope": {"router": "r2"}, "reason": "trial", "author": "ilze", "pool": {"longShare": 0.1}},
	},
}`

// tokenDigest is the SHA-256 digest of "secret".
const tokenDigest = "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b"

func mustParse(t testing.TB, text string) *Document {
	t.Helper()
	d, err := Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return d
}

func TestResolve(t *testing.T) {
	d := mustParse(t, sampleDocument)
	p := d.Resolve(startTime, "r1", "d1")
	if got := p.AccountOf("riga-1"); got.Weight != 2 || got.QueueLength != 100 {
		t.Errorf("riga-1: got %+v, want weight 2 and the default queue", got)
	}
	if got := p.AccountOf("riga-2").Weight; got != 3 {
		t.Errorf("riga-2: got weight %v, want 3 by exception", got)
	}
	if got := p.Classes["consultation"]; got.Precedence != 9 || got.ProgressTimeout != 5*time.Second {
		t.Errorf("consultation at 11:00 in Riga: got %+v, want precedence 9", got)
	}
	if got := p.Pools["assistant"].LongShare; got != 0.5 {
		t.Errorf("long share on r1: got %v, want 0.5", got)
	}
	if p.Upstreams["w1"].Leaving || !p.Upstreams["w2"].Leaving {
		t.Errorf("leaving: got %v and %v, want w2 alone", p.Upstreams["w1"].Leaving, p.Upstreams["w2"].Leaving)
	}
	if got := d.Resolve(startTime, "r2", "d1").Pools["assistant"].LongShare; got != 0.1 {
		t.Errorf("long share on r2: got %v, want 0.1 by exception", got)
	}
	if got := d.Resolve(startTime, "r2", "d1").AccountOf("riga-2").Weight; got != 7 {
		t.Errorf("riga-2 on r2: got weight %v, want 7 by the narrower exception", got)
	}
	afterException := d.Resolve(startTime.Add(time.Hour), "r1", "d1")
	if afterException.Upstreams["w2"].Leaving {
		t.Error("w2 is leaving after the exception has ended")
	}
}

func TestEngines(t *testing.T) {
	text := strings.Replace(sampleDocument, `"longShare": 0.5`, `"longShare": 0.5, "state": {"models": {"fitting": "7"}}`, 1)
	text = strings.Replace(text, `"upstream": {"leaving": true}`, `"upstream": {"leaving": true, "state": {"role": "prefill"}}`, 1)
	got := mustParse(t, text).Engines(startTime)
	if len(got) != 2 || got["w1"].Want.Models["fitting"] != "7" || got["w2"].Want.Role != "prefill" {
		t.Errorf("got %+v, want the pool's state for w1 and the exception's for w2", got)
	}
}

func TestPeriodCovers(t *testing.T) {
	night := Period{Days: []string{"mon"}, From: "22:00", To: "06:00"}
	day := Period{From: "08:00", To: "18:00"}
	tests := []struct {
		name string
		p    Period
		zone string
		now  time.Time
		want bool
	}{
		{"before it starts", day, "Europe/Riga", time.Date(2026, 5, 4, 4, 59, 0, 0, time.UTC), false},
		{"at the start, summer time", day, "Europe/Riga", time.Date(2026, 5, 4, 5, 0, 0, 0, time.UTC), true},
		{"at the start, winter time", day, "Europe/Riga", time.Date(2026, 1, 5, 6, 0, 0, 0, time.UTC), true},
		{"at the end", day, "Europe/Riga", time.Date(2026, 5, 4, 15, 0, 0, 0, time.UTC), false},
		{"monday night", night, "UTC", time.Date(2026, 5, 4, 23, 0, 0, 0, time.UTC), true},
		{"tuesday morning", night, "UTC", time.Date(2026, 5, 5, 5, 0, 0, 0, time.UTC), true},
		{"monday morning", night, "UTC", time.Date(2026, 5, 4, 5, 0, 0, 0, time.UTC), false},
	}
	for _, tt := range tests {
		if got := tt.p.covers(tt.now, tt.zone); got != tt.want {
			t.Errorf("%s: got %v, want %v", tt.name, got, tt.want)
		}
	}
}

func TestLookup(t *testing.T) {
	d := mustParse(t, sampleDocument)
	var accounts identifier.Identifier
	if err := accounts.Replace(d.Tokens()); err != nil {
		t.Fatal(err)
	}
	bearer := func(token string) http.Header { return http.Header{"Authorization": {"Bearer " + token}} }
	if got, ok := accounts.Identify(bearer("secret")); !ok || got != "riga-1" {
		t.Errorf("token: got %q, %v, want riga-1", got, ok)
	}
	if _, ok := accounts.Identify(bearer("other")); ok {
		t.Error("unknown token: got an account, want none")
	}
	tests := []struct{ method, path, want string }{
		{"POST", "/v1/completions", "assistant"},
		{"GET", "/stock/cap", "inventory"},
		{"GET", "/stock", "inventory"},
		{"GET", "/stocks", ""},
		{"POST", "/stock/cap", ""},
	}
	for _, tt := range tests {
		if r, _ := d.RouteOf(tt.method, tt.path); r.Pool != messenger.PoolID(tt.want) {
			t.Errorf("%s %s: got pool %q, want %q", tt.method, tt.path, r.Pool, tt.want)
		}
	}
}

func TestCheckReportsAllFindings(t *testing.T) {
	tests := []struct {
		name, old, new string
		want           []string
	}{
		{"unknown field", `"weight": 2`, `"wieght": 2`, []string{"accounts.riga-1.wieght: unknown field"}},
		{"wrong type", `"window": 8`, `"window": "8"`, []string{"upstreams.w1.window: want a whole number", "upstreams.w2.window: want a whole number"}},
		{"bad duration", `"5s"`, `"5"`, []string{"classes.consultation.progressTimeout: time: missing unit"}},
		{"unknown pool", `"pools": {"assistant"`, `"pools": {"assistent"`, []string{
			"upstreams.w1.pool: unknown pool", "upstreams.w2.pool: unknown pool", "routes[0].pool: unknown pool"}},
		{"no reason", `"reason": "fair week"`, `"reason": " "`, []string{"exceptions.x1.reason: an exception needs a reason"}},
		{"plain token", tokenDigest, `secret`, []string{"accounts.riga-1.tokens[0]: want a SHA-256 digest"}},
		{"name in place of IP number", `10.0.0.1:8000`, `worker:8000`, []string{"upstreams.w1.address: want an IP number"}},
		{"unknown zone", `Europe/Riga`, `Europe/Rigga`, []string{"timeZone: unknown time zone"}},
		{"scope without effect", `"scope": {"account": "riga-2"}`, `"scope": {"account": "riga-9", "class": "question"}`, []string{
			"exceptions.x1.scope.account: unknown client account", "exceptions.x1.scope.class: narrows nothing"}},
		{"move to an unknown upstream", `{"leaving": true}`, `{"leaving": true, "moveTo": "w9"}`, []string{
			"exceptions.x2.upstream.moveTo: unknown upstream"}},
		{"share above 1", `"floor": 0.2`, `"floor": 2`, []string{"classes.question.floor: want a share from 0 to 1"}},
		{"exceptions that clash", `"x3": {"scope": {"router": "r2"}, "reason": "trial", "author": "ilze", "pool": {"longShare": 0.1}}`,
			`"x3": {"scope": {"account": "riga-2"}, "reason": "trial", "author": "ilze", "account": {"weight": 9, "burst": 2}}`, []string{
				`exceptions.x3.account.weight: already changed by the exception "x1"`}},
		{"unknown class", `"class": "question", "classes"`, `"class": "answer", "classes"`, []string{`routes[0].class: unknown class "answer"`}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			text := strings.ReplaceAll(sampleDocument, tt.old, tt.new)
			if text == sampleDocument {
				t.Fatal("the sample was not changed")
			}
			_, err := Parse([]byte(text))
			got := FindingsOf(err)
			if len(got) != len(tt.want) {
				t.Fatalf("got %d findings, want %d:\n%v", len(got), len(tt.want), err)
			}
			for _, want := range tt.want {
				if !strings.Contains(err.Error(), want) {
					t.Errorf("got %v, want %q among them", err, want)
				}
			}
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(sampleDocument))
	f.Add([]byte(`{"classes":{"a":{"schedule":[{"from":"8","to":null}]}}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		d, err := Parse(data)
		if err != nil {
			return
		}
		d.Resolve(startTime, "r1", "d1")
		reparsed, err := Parse(d.JSON())
		if err != nil {
			t.Fatalf("accepted document is rejected after encoding it again: %v", err)
		}
		if got, want := string(reparsed.JSON()), string(d.JSON()); got != want {
			t.Errorf("got %s, want %s", got, want)
		}
	})
}
