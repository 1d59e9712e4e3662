package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"lentilwood.example/lentilwood/internal/identifier"
)

const (
	token       = "token-of-eva"
	deadAddress = "127.0.0.1:1"
)

func newRouter(t *testing.T, b *fakeBackend) *httptest.Server {
	t.Helper()
	var operators identifier.Identifier
	if err := operators.Replace([]identifier.Entry{{Name: "eva", Digest: identifier.DigestOf(token)}}); err != nil {
		t.Fatal(err)
	}
	s := httptest.NewServer(NewHandler(b, &operators))
	t.Cleanup(s.Close)
	return s
}

func newClient(routers ...string) *Client {
	return NewClient(ClientConfig{Routers: routers, Token: token, Timeout: 10 * time.Second})
}

func setRequest(ifVersion uint64) SetConfig {
	return SetConfig{
		Precondition: Precondition{IfVersion: ifVersion, Reason: "more weight"},
		Document:     json.RawMessage(`{"a":1}`),
	}
}

func TestChangeThroughSecondRouter(t *testing.T) {
	b := &fakeBackend{}
	c := newClient(deadAddress, newRouter(t, b).URL)
	got, err := c.SetConfig(context.Background(), setRequest(0))
	if err != nil {
		t.Fatal(err)
	}
	if got.Version != 1 || got.Author != "eva" || got.Reason != "more weight" {
		t.Errorf("SetConfig() = %+v, want version 1 by eva", got)
	}
	cfg, err := c.Config(context.Background())
	if err != nil || string(cfg.Document) != `{"a":1}` {
		t.Errorf("Config() = %s, %v, want the document", cfg.Document, err)
	}
	history, err := c.History(context.Background(), 5)
	if err != nil || len(history.Changes) != 1 {
		t.Errorf("History() = %+v, %v, want one change", history, err)
	}
}

func TestRacingChangesHaveOneWinner(t *testing.T) {
	c := newClient(newRouter(t, &fakeBackend{}).URL)
	if _, err := c.SetConfig(context.Background(), setRequest(0)); err != nil {
		t.Fatal(err)
	}
	_, err := c.SetConfig(context.Background(), setRequest(0))
	var problem *Problem
	if !errors.As(err, &problem) || problem.Type != ProblemConflict || problem.Conflict.Author != "eva" {
		t.Fatalf("SetConfig() = %v, want a conflict with eva's change", err)
	}
	if got, want := err.Error(), "version 1 by eva at 1970-01-01 00:00:00Z: more weight"; !strings.Contains(got, want) {
		t.Errorf("error = %q, want %q in it", got, want)
	}
}

// loseAnswer passes a request on and drops the answer.
func loseAnswer(t *testing.T, to http.Handler) *httptest.Server {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		to.ServeHTTP(httptest.NewRecorder(), r)
		panic(http.ErrAbortHandler)
	}))
	t.Cleanup(s.Close)
	return s
}

func TestLostAnswerIsNoConflictWithItself(t *testing.T) {
	b := &fakeBackend{}
	good := newRouter(t, b)
	lossy := loseAnswer(t, good.Config.Handler)
	got, err := newClient(lossy.URL, good.URL).SetConfig(context.Background(), setRequest(0))
	if err != nil || got.Version != 1 {
		t.Errorf("SetConfig() = %+v, %v, want version 1", got, err)
	}
	if len(b.history) != 1 {
		t.Errorf("the change was applied %d times, want once", len(b.history))
	}
}

func TestLostAnswerWithoutOtherRouterIsUnknown(t *testing.T) {
	lossy := loseAnswer(t, newRouter(t, &fakeBackend{}).Config.Handler)
	_, err := newClient(lossy.URL, deadAddress).SetConfig(context.Background(), setRequest(0))
	if !errors.Is(err, ErrUnknown) {
		t.Errorf("SetConfig() = %v, want ErrUnknown", err)
	}
}

// TestBrokenAnswerIsNoChange guards against taking a change for made on an answer that is none.
func TestBrokenAnswerIsNoChange(t *testing.T) {
	broken := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			t.Errorf("hijack: %v", err)
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 000 None\r\nContent-Length: 2\r\n\r\n{}")
		_ = conn.Close()
	}))
	defer broken.Close()
	if got, err := newClient(broken.URL).SetConfig(context.Background(), setRequest(0)); !errors.Is(err, ErrUnknown) {
		t.Errorf("SetConfig() = %+v, %v, want ErrUnknown", got, err)
	}
}

func TestNoRouterAnswers(t *testing.T) {
	garbage := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("<html>"))
	}))
	defer garbage.Close()
	_, err := newClient(deadAddress, garbage.URL).Config(context.Background())
	if !errors.Is(err, ErrNoRouter) {
		t.Fatalf("Config() = %v, want ErrNoRouter", err)
	}
	for _, want := range []string{deadAddress, garbage.URL, "not what a router sends"} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("error = %q, want %q in it", err, want)
		}
	}
	_, err = newClient(deadAddress).SetConfig(context.Background(), setRequest(0))
	if !errors.Is(err, ErrNoRouter) {
		t.Errorf("SetConfig() = %v, want ErrNoRouter since nothing was sent", err)
	}
}

func TestUnavailableStoreTriesTheNextRouter(t *testing.T) {
	down := newRouter(t, &fakeBackend{failure: NewUnavailable("the platform does not answer")})
	up := newRouter(t, &fakeBackend{})
	if _, err := newClient(down.URL, up.URL).SetConfig(context.Background(), setRequest(0)); err != nil {
		t.Errorf("SetConfig() = %v, want the second router's answer", err)
	}
	_, err := newClient(down.URL).SetConfig(context.Background(), setRequest(0))
	if !errors.Is(err, ErrNoRouter) || errors.Is(err, ErrUnknown) {
		t.Errorf("SetConfig() = %v, want ErrNoRouter: nothing was changed", err)
	}
}

func TestProblems(t *testing.T) {
	router := newRouter(t, &fakeBackend{})
	tests := []struct {
		name, method, path, token, body string
		status                          int
		want                            string
	}{
		{"no token", "GET", PathConfig, "", "", 401, string(ProblemUnauthorized)},
		{"wrong token", "PUT", PathConfig, "wrong", "{}", 401, string(ProblemUnauthorized)},
		{"unknown path", "GET", "/v1/nothing", token, "", 404, string(ProblemNotFound)},
		{"wrong method", "PUT", PathStatus, token, "", 405, string(ProblemMethod)},
		{"unknown account", "GET", PathAccounts + "/x", token, "", 404, "no client account"},
		{"unknown exception", "DELETE", PathExceptions + "/unknown", token, `{"reason": "x", "changeId": "y"}`, 404, "no exception"},
		{"empty body", "PUT", PathConfig, token, "", 422, string(ProblemInvalid)},
		{"no reason", "PUT", PathConfig, token, `{"changeId": "x"}`, 422, `"path":"reason"`},
		{"unknown field", "POST", PathDrains, token, `{"changeId": "x", "reason": "y", "upstraem": "w1"}`, 422, "is not a known field"},
		{"bad limit", "GET", PathHistory + "?limit=0", token, "", 422, "a whole number from 1"},
		{"too large", "PUT", PathConfig, token, strings.Repeat(" ", maxRequestBytes+1), 413, string(ProblemTooLarge)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r, err := http.NewRequest(tt.method, router.URL+tt.path, strings.NewReader(tt.body))
			if err != nil {
				t.Fatal(err)
			}
			if tt.token != "" {
				r.Header.Set("Authorization", "Bearer "+tt.token)
			}
			resp, err := http.DefaultClient.Do(r)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = resp.Body.Close() }()
			var body bytes.Buffer
			if _, err := body.ReadFrom(resp.Body); err != nil {
				t.Fatal(err)
			}
			if resp.StatusCode != tt.status || !strings.Contains(body.String(), tt.want) {
				t.Errorf("got %d %s, want %d with %q", resp.StatusCode, body.String(), tt.status, tt.want)
			}
			if got := resp.Header.Get("Content-Type"); got != ProblemContentType {
				t.Errorf("Content-Type = %q, want %q", got, ProblemContentType)
			}
			if strings.Contains(body.String(), token) || tt.token == "wrong" && strings.Contains(body.String(), "wrong\"") {
				t.Errorf("the answer %s repeats a token", body.String())
			}
		})
	}
}

func TestProbesNeedNoToken(t *testing.T) {
	b := &fakeBackend{}
	router := newRouter(t, b)
	status := func(path string) int {
		resp, err := http.Get(router.URL + path)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = resp.Body.Close() }()
		return resp.StatusCode
	}
	for _, path := range []string{PathHealth, PathReady, PathMetrics} {
		if got := status(path); got != http.StatusOK {
			t.Errorf("GET %s = %d, want 200", path, got)
		}
	}
	b.notReady = true
	if got, want := status(PathReady), http.StatusServiceUnavailable; got != want {
		t.Errorf("GET %s = %d while not ready, want %d", PathReady, got, want)
	}
}

func TestEveryRequestOfTheClientIsRouted(t *testing.T) {
	ctx := context.Background()
	c := newClient(newRouter(t, &fakeBackend{}).URL)
	p := Precondition{Reason: "x"}
	calls := map[string]func() error{
		"Versions":    func() error { _, err := c.Versions(ctx); return err },
		"Status":      func() error { _, err := c.Status(ctx); return err },
		"Account":     func() error { _, err := c.Account(ctx, "riga/1"); return err },
		"Evacuations": func() error { _, err := c.Evacuations(ctx); return err },
		"Evacuate":    func() error { _, err := c.Evacuate(ctx, Evacuate{Precondition: p}); return err },
		"Pause":       func() error { _, err := c.PauseEvacuation(ctx, PauseEvacuation{Precondition: p}); return err },
		"Exceptions": func() error {
			for i, do := range []func(Precondition) error{
				func(p Precondition) error {
					_, err := c.AddException(ctx, AddException{Precondition: p, Exception: json.RawMessage(`{}`)})
					return err
				},
				func(p Precondition) error {
					_, err := c.RemoveException(ctx, RemoveException{Precondition: p, ID: "a/b"})
					return err
				},
				func(p Precondition) error { _, err := c.Revert(ctx, Revert{Precondition: p, ToVersion: 1}); return err },
				func(p Precondition) error { _, err := c.Drain(ctx, Drain{Precondition: p, Upstream: "w1"}); return err },
			} {
				if err := do(Precondition{Reason: "x", IfVersion: uint64(i)}); err != nil {
					return err
				}
			}
			return nil
		},
	}
	for name, call := range calls {
		if err := call(); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
}
