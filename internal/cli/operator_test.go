package cli

import (
	"bytes"
	"encoding/json"
	"encoding/pem"
	"fmt"
	"io"
	"log"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"lentilwood.example/lentilwood/internal/operator"
	"lentilwood.example/lentilwood/internal/scheduler"
)

// fakeRouter answers with the given bodies by "METHOD path" and keeps the
// requests.
type fakeRouter struct {
	answers  map[string]any
	requests []string
}

func (f *fakeRouter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	f.requests = append(f.requests, r.Method+" "+r.URL.Path+" "+string(body))
	answer, ok := f.answers[r.Method+" "+r.URL.Path]
	if !ok {
		answer = operator.NewNotFound(r.URL.Path)
	}
	if p, ok := answer.(*operator.Problem); ok {
		w.WriteHeader(p.Status)
	}
	_ = json.NewEncoder(w).Encode(answer)
}

func runWith(t *testing.T, f *fakeRouter, args ...string) (code int, stdout, stderr string) {
	t.Helper()
	s := httptest.NewServer(f)
	defer s.Close()
	t.Setenv(tokenVariable, "secret-token")
	t.Setenv("LENTILWOOD_ROUTER", s.URL)
	var out, errOut bytes.Buffer
	code = Run(args, &out, &errOut)
	return code, out.String(), errOut.String()
}

func TestOperatorCommands(t *testing.T) {
	moment := time.Date(2027, 1, 2, 3, 4, 5, 0, time.UTC)
	change := operator.Change{Version: 8, Author: "eva", Reason: "campaign", Changed: moment}
	routers := []operator.RouterVersion{{Router: "riga-1", Version: 8, Alive: true}, {Router: "riga-2", Version: 7}}
	plan := operator.Evacuation{Name: "move", Steps: []operator.EvacuationStep{{Upstream: "w1"}}}
	f := &fakeRouter{answers: map[string]any{
		"GET /v1/config":                 operator.Config{Change: change, Document: json.RawMessage(`{"version":8}`)},
		"PUT /v1/config":                 change,
		"POST /v1/config/exceptions":     change,
		"DELETE /v1/config/exceptions/x": change,
		"GET /v1/config/history":         operator.History{Changes: []operator.Change{change}},
		"POST /v1/config/revert":         change,
		"GET /v1/config/versions":        operator.Versions{Newest: 8, Routers: routers},
		"GET /v1/status":                 operator.Status{Router: "riga-1", Routers: routers, Upstreams: []operator.UpstreamStatus{{Upstream: "w1", Slots: 3}}},
		"GET /v1/status/accounts/hospital": operator.AccountStatus{Explanation: scheduler.Explanation{
			Account: "hospital",
			Pools:   []scheduler.PoolExplanation{{Pool: "assistant", Waiting: []scheduler.ClassCount{{Class: "short", Waiting: 2}}}},
		}},
		"POST /v1/drains":            change,
		"POST /v1/evacuations":       plan,
		"GET /v1/evacuations":        operator.Evacuations{Plans: []operator.Evacuation{plan}},
		"POST /v1/evacuations/pause": plan,
	}}
	file := writeFile(t, "fleet.jsonc", `{"kind": "configuration", "version": 7, /* note */ "timeZone": "Europe/Riga"}`)
	tests := []struct {
		name, args string
		code       int
		want, sent string
	}{
		{"show", "config show", exitOK, "// version 8 by eva at 2027-01-02T03:04:05Z: campaign\n{", ""},
		{"show as JSON", "config show --json", exitOK, `"author": "eva"`, ""},
		{"set", "config set --reason campaign " + file, exitOK, "version 8 by eva", `{"ifVersion":7,`},
		{"set drops the kind", "config set --if-version 3 --reason campaign " + file, exitOK, "version 8 by eva", `"document":{"timeZone":"Europe/Riga"}}`},
		{"except", "config except x --reason r --scope account=riga-3 --set account.weight=2 --until 2027-01-01T00:00:00Z", exitOK, "version 8", `"exception":{"account":{"weight":2},"reason":"r","scope":{"account":"riga-3"},"until":"2027-01-01T00:00:00Z"}}`},
		{"remove", "config except x --reason r --remove", exitOK, "version 8", "DELETE /v1/config/exceptions/x"},
		{"except without change", "config except x --reason r", exitUsage, "give either --set or --remove", ""},
		{"except with a bad path", "config except x --reason r --set weight=2", exitUsage, "want a path of two parts", ""},
		{"history", "config history", exitOK, "2027-01-02T03:04:05Z  eva     campaign", ""},
		{"revert", "config revert 3 --reason r --if-version 7", exitOK, "version 8", `"toVersion":3`},
		{"wait", "config wait --version 7", exitOK, "riga-2", ""},
		{"wait in vain", "config wait --for 1ms", exitFailed, "version 8 is not in force at 1 of 2 routers", ""},
		{"status", "status", exitOK, "w1", ""},
		{"account", "status --account hospital", exitOK, "account hospital", ""},
		{"unknown account", "status --account nobody", exitFailed, "Not found", ""},
		{"drain", "drain w1 --reason r", exitOK, "version 8", `"upstream":"w1"`},
		{"evacuate", "evacuate create move --site d1 --by 2027-01-01T00:00:00Z --reason r", exitOK, "move empties", `"site":"d1"`},
		{"evacuate status", "evacuate status", exitOK, "w1", ""},
		{"evacuate status of another plan", "evacuate status other", exitFailed, "", ""},
		{"evacuate pause", "evacuate pause move --reason r", exitOK, "move empties", `"paused":true`},
		{"evacuate resume", "evacuate pause move --resume --reason r", exitOK, "move empties", `"paused":false`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f.requests = nil
			code, stdout, stderr := runWith(t, f, strings.Fields(tt.args)...)
			if code != tt.code || !strings.Contains(stdout+stderr, tt.want) {
				t.Errorf("Run() = %d, stdout %s, stderr %s, want %d with %q", code, stdout, stderr, tt.code, tt.want)
			}
			if got := strings.Join(f.requests, "\n"); !strings.Contains(got, tt.sent) {
				t.Errorf("requests = %s, want %q in them", got, tt.sent)
			}
			if strings.Contains(stdout+stderr, "secret-token") {
				t.Errorf("the output shows the token: %s %s", stdout, stderr)
			}
		})
	}
}

func TestOperatorCommandFailsInOneLine(t *testing.T) {
	conflict := operator.NewConflict(operator.Change{Version: 9, Author: "ivo", Reason: "holiday"})
	f := &fakeRouter{answers: map[string]any{"POST /v1/drains": conflict}}
	code, stdout, stderr := runWith(t, f, "drain", "w1", "--reason", "r")
	if code != exitFailed || stdout != "" || strings.Count(stderr, "\n") != 1 || !strings.Contains(stderr, "version 9 by ivo") {
		t.Errorf("Run() = %d, stdout %q, stderr %q, want one line on the conflict", code, stdout, stderr)
	}
}

func TestNoTokenIsSaid(t *testing.T) {
	t.Setenv(tokenVariable, "")
	var out, errOut bytes.Buffer
	code := Run([]string{"status"}, &out, &errOut)
	if want := "no operator's token"; code != exitFailed || !strings.Contains(errOut.String(), want) {
		t.Errorf("Run() = %d, stderr %s, want %q", code, errOut.String(), want)
	}
}

func TestTokenFile(t *testing.T) {
	f := &fakeRouter{answers: map[string]any{"GET /v1/evacuations": operator.Evacuations{}}}
	file := writeFile(t, "token", "secret-of-file\n")
	if code, _, stderr := runWith(t, f, "evacuate", "status", "--token-file", file); code != exitOK {
		t.Errorf("Run() = %d, stderr %s, want success", code, stderr)
	}
	missing := fmt.Sprintf("%s.missing", file)
	if code, _, _ := runWith(t, f, "evacuate", "status", "--token-file", missing); code != exitFailed {
		t.Errorf("Run() = %d with a missing file, want %d", code, exitFailed)
	}
}

func TestTLSRouter(t *testing.T) {
	f := &fakeRouter{answers: map[string]any{"GET /v1/evacuations": operator.Evacuations{}}}
	s := httptest.NewTLSServer(f)
	defer s.Close()
	s.Config.ErrorLog = log.New(io.Discard, "", 0)
	authority := writeFile(t, "ca.pem", string(pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: s.Certificate().Raw})))
	t.Setenv(tokenVariable, "secret-token")
	tests := []struct {
		name string
		args []string
		want int
	}{
		{"known authority", []string{"--ca-file", authority}, exitOK},
		{"unknown authority", nil, exitFailed},
		{"no certificate", []string{"--ca-file", writeFile(t, "empty.pem", "")}, exitFailed},
		{"no file", []string{"--ca-file", "does-not-exist.pem"}, exitFailed},
	}
	for _, tt := range tests {
		var out, errOut bytes.Buffer
		args := append([]string{"evacuate", "status", "--router", s.URL}, tt.args...)
		if code := Run(args, &out, &errOut); code != tt.want {
			t.Errorf("%s: Run() = %d, want %d; stderr %s", tt.name, code, tt.want, errOut.String())
		}
	}
	if got, want := len(f.requests), 1; got != want {
		t.Errorf("the router got %d requests, want %d: no token leaves without a known authority", got, want)
	}
}
