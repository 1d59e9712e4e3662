package cli

import (
	"encoding/json"
	"strings"
	"testing"

	"lentilwood.example/lentilwood/internal/operator"
)

// TestConfigCheck guards against wrong exit codes and places, and against an
// error that only the router reports.
func TestConfigCheck(t *testing.T) {
	f := &fakeRouter{answers: map[string]any{
		"GET /v1/config": operator.Config{Document: json.RawMessage(`{"version": 8, "account": {"weight": 2}}`)},
	}}
	tests := []struct {
		name, text, flag string
		code             int
		want             string
	}{
		{"clean", `{"kind": "configuration"}`, "", exitOK, "no errors and no findings"},
		{"error", "{\"kind\": \"configuration\",\n \"account\": {\"weight\": 0}}", "", exitFailed, "fleet.jsonc:2:24: account.weight: is not allowed"},
		{"error of the router", `{"kind": "configuration", "classes": {"c": {"precedence": -1}}}`, "", exitFailed, "fleet.jsonc:1:"},
		{"another kind", `{"kind": "load"}`, "", exitFailed, "kind"},
		{"finding", "{\"kind\": \"configuration\",\n \"pools\": {\"p\": {}}}", "", exitFindings, "fleet.jsonc:2:17: pools.p: no upstream belongs to the pool [pool-without-upstreams]"},
		{"difference", `{"kind": "configuration", "account": {"weight": 3}}`, "--in-force", exitOK, "account.weight: changed from 2 to 3"},
		{"difference as JSON", `{"kind": "configuration", "account": {"weight": 3}}`, "--in-force --json", exitOK, `"old": 2`},
		{"no such file", `{"kind": "configuration"}`, "--against nothing.jsonc", exitFailed, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			args := append([]string{"config", "check", writeFile(t, "fleet.jsonc", tt.text)}, strings.Fields(tt.flag)...)
			code, stdout, stderr := runWith(t, f, args...)
			if code != tt.code || !strings.Contains(stdout, tt.want) {
				t.Errorf("got %d and\n%s%s\nwant %d and %q", code, stdout, stderr, tt.code, tt.want)
			}
		})
	}
}
