package loader

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"lentilwood.example/lentilwood/internal/parser"
)

const goodRouter = `{
  "kind": "router", "name": "riga-1", "failureDomain": "a",
  "listeners": {
    "callers": {"address": "127.0.0.1:0", "tls": {"certFile": "c.pem", "keyFile": "k.pem"}},
    "operators": {"address": "127.0.0.1:0"}, "peers": {"address": "[::1]:0"},
  },
  "platform": {"address": "127.0.0.1:9"},
  "peerKey": "a-key-of-some-length",
}`

func decodeRouter(text string) (Router, parser.Findings) {
	return decode("r.jsonc", []byte(text), DefaultRouter(), KindRouter, checkRouter)
}

func TestRouterSettings(t *testing.T) {
	got, findings := decodeRouter(goodRouter)
	if err := findings.Err(); err != nil {
		t.Fatalf("Err() = %v, want nil", err)
	}
	if got.Listeners.Callers.TLS == nil || got.Limits != DefaultRouter().Limits {
		t.Errorf("settings = %+v, want the file over the defaults", got)
	}
}

func TestRouterFindings(t *testing.T) {
	tests := []struct {
		name, old, replacement string
		want                   []string
	}{
		{"host name", `"127.0.0.1:9"`, `"platform:9"`, []string{`7:27: platform.address: has the value "platform:9"`}},
		{"wrong kind", `"router"`, `"worker"`, []string{"kind: is worker; allowed: router"}},
		{"unknown kind", `"router"`, `"x"`, []string{`kind: has the unknown value "x"`}},
		{"no kind", `"kind": "router",`, ``, []string{"kind: is missing"}},
		{"short key", "a-key-of-some-length", "abc", []string{"peerKey: is too short"}},
		{"no key file", `"certFile": "c.pem",`, ``, []string{"listeners.callers.tls.certFile: is missing"}},
		{"wrong type", `"riga-1"`, `7`, []string{"name: is a number"}},
		{
			"token in place of its digest", `"peerKey"`, `"operators": [{"name": "eva", "tokenDigest": "my-token"}, {"name": "eva", "tokenDigest": "` + strings.Repeat("0", 64) + `"}], "peerKey"`,
			[]string{"operators[0].tokenDigest: is not a digest", `operators[1].name: repeats "eva"`},
		},
		{
			"limits", `"peerKey"`, `"limits": {"maxBodyBytes": 1, "readTimeout": "1ms"}, "control": {"bytesPerSecond": -1}, "peerKey"`,
			[]string{"limits.maxBodyBytes: is 1; allowed: 1024 or more", "limits.readTimeout: is 1ms; allowed: 100ms or more", "control.bytesPerSecond: is -1"},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, findings := decodeRouter(strings.Replace(goodRouter, tt.old, tt.replacement, 1))
			if findings.Len() != len(tt.want) {
				t.Errorf("got %d findings, want %d:\n%s", findings.Len(), len(tt.want), findings.String())
			}
			for _, want := range tt.want {
				if !strings.Contains(findings.String(), want) {
					t.Errorf("findings = %s, want %q", findings.String(), want)
				}
			}
		})
	}
}

func TestFindingsHideCredentials(t *testing.T) {
	text := strings.Replace(goodRouter, `"peerKey": "a-key-of-some-length"`,
		`"peerKey": "shortsecret", "operators": [{"name": "eva", "tokenDigest": "clear-token"}]`, 1)
	settings, findings := decodeRouter(text)
	encoded, err := json.Marshal(settings.PeerKey)
	if err != nil {
		t.Fatal(err)
	}
	shown := findings.String() + string(encoded) + fmt.Sprintf("%v %+v %#v %s", settings, settings, settings, settings.PeerKey)
	shown = strings.ReplaceAll(shown, `TokenDigest:"clear-token"`, "")
	shown = strings.ReplaceAll(shown, `TokenDigest:clear-token`, "")
	if strings.Contains(shown, "shortsecret") {
		t.Errorf("the peer key is shown: %s", shown)
	}
	if strings.Contains(findings.String(), "clear-token") {
		t.Errorf("a token is shown: %s", findings.String())
	}
	if got, want := settings.PeerKey.Reveal(), "shortsecret"; got != want {
		t.Errorf("Reveal() = %q, want %q", got, want)
	}
}

func TestReadUnknownFile(t *testing.T) {
	_, findings := LoadRouter("does-not-exist.jsonc")
	if got := findings.String(); !strings.HasPrefix(got, "does-not-exist.jsonc: cannot be read") {
		t.Errorf("findings = %s, want that the file cannot be read", got)
	}
}
