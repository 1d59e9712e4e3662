package operator

import (
	"lentilwood.example/lentilwood/internal/messenger"
	"lentilwood.example/lentilwood/internal/scheduler"

	"context"
	"encoding/json"
	"io"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
)

// fakeBackend keeps a configuration in memory.
type fakeBackend struct {
	mu       sync.Mutex
	history  []Config
	notReady bool
	failure  error
}

func (b *fakeBackend) newest() Config {
	if len(b.history) == 0 {
		return Config{Document: json.RawMessage("null")}
	}
	return b.history[len(b.history)-1]
}

func (b *fakeBackend) change(author string, p Precondition, document json.RawMessage) (Change, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failure != nil {
		return Change{}, b.failure
	}
	current := b.newest()
	if current.Version != p.IfVersion {
		return Change{}, NewConflict(current.Change)
	}
	next := Config{
		Change: Change{
			Version: current.Version + 1, Author: author, Reason: p.Reason,
			ChangeID: p.ChangeID, Changed: time.Unix(0, 0).UTC(),
		},
		Document: document,
	}
	b.history = append(b.history, next)
	return next.Change, nil
}

func (b *fakeBackend) Config(context.Context) (Config, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.newest(), b.failure
}

func (b *fakeBackend) SetConfig(_ context.Context, author string, r SetConfig) (Change, error) {
	return b.change(author, r.Precondition, r.Document)
}

func (b *fakeBackend) AddException(_ context.Context, author string, r AddException) (Change, error) {
	return b.change(author, r.Precondition, r.Exception)
}

func (b *fakeBackend) RemoveException(_ context.Context, author string, r RemoveException) (Change, error) {
	if r.ID == "unknown" {
		return Change{}, NewNotFound("no exception has the id " + r.ID)
	}
	return b.change(author, r.Precondition, nil)
}

func (b *fakeBackend) Revert(_ context.Context, author string, r Revert) (Change, error) {
	return b.change(author, r.Precondition, nil)
}

func (b *fakeBackend) Drain(_ context.Context, author string, r Drain) (Change, error) {
	return b.change(author, r.Precondition, nil)
}

func (b *fakeBackend) History(_ context.Context, limit int) (History, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var h History
	for i := len(b.history) - 1; i >= 0 && len(h.Changes) < limit; i-- {
		h.Changes = append(h.Changes, b.history[i].Change)
	}
	return h, nil
}

func (b *fakeBackend) Versions(context.Context) (Versions, error) {
	return Versions{Newest: 2, Routers: []RouterVersion{{Router: "r1", Version: 2, Alive: true}}}, nil
}

func (b *fakeBackend) Ready() error {
	if b.notReady {
		return merry.New("no configuration yet")
	}
	return nil
}

func (b *fakeBackend) WriteMetrics(w io.Writer) { _, _ = io.WriteString(w, "lentilwood_up 1\n") }

func (b *fakeBackend) Status(context.Context) (Status, error) { return Status{Router: "r1"}, b.failure }

func (b *fakeBackend) Account(_ context.Context, name string) (AccountStatus, error) {
	if name != "riga/1" {
		return AccountStatus{}, NewNotFound("no client account has the name " + name)
	}
	return AccountStatus{Explanation: scheduler.Explanation{Account: messenger.AccountID(name)}}, nil
}

func (b *fakeBackend) Evacuations(context.Context) (Evacuations, error) { return Evacuations{}, nil }

func (b *fakeBackend) Evacuate(_ context.Context, _ string, r Evacuate) (Evacuation, error) {
	return Evacuation{Name: r.Name, By: r.By}, nil
}

func (b *fakeBackend) PauseEvacuation(context.Context, string, PauseEvacuation) (Evacuation, error) {
	return Evacuation{Paused: true}, nil
}
