package operator

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"testing"
	"time"

	"lentilwood.example/lentilwood/internal/configurer"
	"lentilwood.example/lentilwood/internal/keeper"
	"lentilwood.example/lentilwood/internal/timekeeper"
)

const fleet = `{
  "account": {"weight": 1}, "accounts": {"riga-1": {}},
  "classes": {"short": {}}, "pools": {"assistant": {}},
  "upstreams": {"w1": {"pool": "assistant", "address": "127.0.0.1:9", "window": 4}},
  "routes": [{"path": "/", "pool": "assistant", "class": "short"}]
}`

func newEditor(t *testing.T) (*ConfigEditor, *keeper.Keeper) {
	t.Helper()
	clock := timekeeper.NewManual(time.Unix(0, 0))
	k := keeper.New(clock)
	e := &ConfigEditor{Store: k, Clock: clock}
	_, err := e.SetConfig(context.Background(), "eva", SetConfig{
		Precondition: Precondition{ChangeID: "first", Reason: "start"}, Document: json.RawMessage(fleet),
	})
	if err != nil {
		t.Fatal(err)
	}
	return e, k
}

func problemTypeOf(err error) ProblemType {
	var p *Problem
	if errors.As(err, &p) {
		return p.Type
	}
	return ""
}

func TestEditorKeepsAuthorAndReason(t *testing.T) {
	ctx := context.Background()
	e, _ := newEditor(t)
	var accepted []configurer.Update
	e.Accepted = func(u configurer.Update) { accepted = append(accepted, u) }
	_, err := e.AddException(ctx, "ivo", AddException{
		Precondition: Precondition{ChangeID: "b", Reason: "campaign", IfVersion: 1}, ID: "x",
		Exception: json.RawMessage(`{"scope": {"account": "riga-1"}, "account": {"weight": 3}, "author": "eva"}`),
	})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := e.Drain(ctx, "ivo", Drain{Precondition: Precondition{ChangeID: "c", Reason: "old VM"}, Upstream: "w1"}); err != nil {
		t.Fatal(err)
	}
	cfg, err := e.Config(ctx)
	if err != nil {
		t.Fatal(err)
	}
	if cfg.Version != 3 || cfg.Author != "ivo" || cfg.Reason != "old VM" || cfg.Summary != "exceptions/drain-w1" {
		t.Errorf("Config() = %+v, want version 3 by ivo", cfg.Change)
	}
	if got := string(cfg.Document); !strings.Contains(got, `"reason":"campaign","author":"ivo"`) {
		t.Errorf("document = %s, want the exception with its reason and its true author", got)
	}
	history, err := e.History(ctx, 2)
	if err != nil || len(history.Changes) != 2 || history.Changes[0].Version != 3 || history.Changes[1].ChangeID != "b" {
		t.Errorf("History() = %+v, %v, want versions 3 and 2", history, err)
	}
	if len(accepted) != 2 {
		t.Errorf("Accepted was called %d times, want 2", len(accepted))
	}
	if _, err := e.Revert(ctx, "eva", Revert{Precondition: Precondition{ChangeID: "d", Reason: "undo", IfVersion: 3}, ToVersion: 1}); err != nil {
		t.Fatal(err)
	}
	if cfg, err = e.Config(ctx); err != nil || cfg.Version != 4 || strings.Contains(string(cfg.Document), "campaign") {
		t.Errorf("Config() = %+v, %v, want version 4 without the exception", cfg, err)
	}
}

func TestEditorAppliesAChangeOnce(t *testing.T) {
	ctx := context.Background()
	e, k := newEditor(t)
	k.SetFaults(keeper.Faults{LoseAnswers: 1})
	r := AddException{
		Precondition: Precondition{ChangeID: "b", Reason: "campaign"}, ID: "x",
		Exception: json.RawMessage(`{"account": {"weight": 3}}`),
	}
	first, err := e.AddException(ctx, "ivo", r)
	if err != nil {
		t.Fatal(err)
	}
	k.SetFaults(keeper.Faults{})
	second, err := e.AddException(ctx, "ivo", r)
	if err != nil || second.Version != first.Version || first.Version != 2 {
		t.Errorf("got versions %d and %d, %v, want 2 both times", first.Version, second.Version, err)
	}
	other, err := e.AddException(ctx, "eva", r)
	if err != nil || other.Version != 3 {
		t.Errorf("the same id from another operator gives version %d, %v, want a change of its own", other.Version, err)
	}
}

func TestEditorProblems(t *testing.T) {
	ctx := context.Background()
	e, k := newEditor(t)
	p := Precondition{ChangeID: "b", Reason: "r", IfVersion: 1}
	stale := Precondition{ChangeID: "b", Reason: "r", IfVersion: 7}
	tests := []struct {
		name string
		call func() (Change, error)
		want ProblemType
	}{
		{"stale version", func() (Change, error) {
			return e.SetConfig(ctx, "eva", SetConfig{Precondition: Precondition{ChangeID: "b", Reason: "r"}, Document: json.RawMessage(fleet)})
		}, ProblemConflict},
		{"version that does not exist", func() (Change, error) {
			return e.Revert(ctx, "eva", Revert{Precondition: stale, ToVersion: 1})
		}, ProblemConflict},
		{"bad document", func() (Change, error) {
			return e.SetConfig(ctx, "eva", SetConfig{Precondition: p, Document: json.RawMessage(`{"colour": 1}`)})
		}, ProblemInvalid},
		{"bad exception", func() (Change, error) {
			return e.AddException(ctx, "eva", AddException{Precondition: p, ID: "x", Exception: json.RawMessage(`{"account": {"weight": "much"}}`)})
		}, ProblemInvalid},
		{"unknown upstream", func() (Change, error) {
			return e.Drain(ctx, "eva", Drain{Precondition: p, Upstream: "w9"})
		}, ProblemInvalid},
		{"unknown exception", func() (Change, error) {
			return e.RemoveException(ctx, "eva", RemoveException{Precondition: p, ID: "x"})
		}, ProblemNotFound},
		{"unknown version", func() (Change, error) {
			return e.Revert(ctx, "eva", Revert{Precondition: p, ToVersion: 9})
		}, ProblemNotFound},
		{"platform down", func() (Change, error) {
			k.SetFaults(keeper.Faults{Down: true})
			return e.RemoveException(ctx, "eva", RemoveException{Precondition: p, ID: "x"})
		}, ProblemUnavailable},
	}
	for _, tt := range tests {
		_, err := tt.call()
		if got := problemTypeOf(err); got != tt.want {
			t.Errorf("%s: %v, want %s", tt.name, err, tt.want)
		}
	}
	if _, err := e.Config(ctx); problemTypeOf(err) != ProblemUnavailable {
		t.Errorf("Config() = %v while the platform is down, want unavailable", err)
	}
	e.InForce = func() *configurer.Document { return &configurer.Document{Version: 1} }
	if cfg, err := e.Config(ctx); err != nil || cfg.Version != 1 {
		t.Errorf("Config() = %+v, %v while the platform is down, want the document in force", cfg, err)
	}
}
