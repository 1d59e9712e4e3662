package emulator

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
	"lentilwood.example/lentilwood/internal/timekeeper"
)

// OrderKind is the name of an order to a worker.
type OrderKind string

// The orders that a worker takes.
const (
	LoadModel   OrderKind = "loadModel"
	LoadAdapter OrderKind = "loadAdapter"
	SetRole     OrderKind = "role"
	Unload      OrderKind = "unload"
)

// Order is the body of POST /v1/orders.
type Order struct {
	Kind    OrderKind `json:"kind"`
	Model   string    `json:"model,omitempty"`
	Version string    `json:"version,omitempty"`
	Adapter string    `json:"adapter,omitempty"`
	Role    string    `json:"role,omitempty"`
	// Fence is the fencing number where the header does not give one.
	Fence uint64 `json:"fence,omitempty"`
}

// ModelState is one model of a worker.
type ModelState struct {
	Model   string `json:"model"`
	Version string `json:"version,omitempty"`
	// Loading is true until the weights have arrived.
	Loading bool `json:"loading,omitempty"`

	readyAt time.Time
}

// State is the answer to GET /v1/state.
type State struct {
	Models   []ModelState `json:"models"`
	Adapters []string     `json:"adapters"`
	Role     string       `json:"role,omitempty"`
	// Fence is the highest fencing number seen.
	Fence uint64 `json:"fence"`
	// Orders counts the orders carried out.
	Orders int `json:"orders"`
}

// orderBook is what the orders so far have made of a worker.
type orderBook struct {
	mu    sync.Mutex
	cfg   WorkerConfig
	state State
	any   bool
}

func (b *orderBook) init(cfg WorkerConfig) {
	b.cfg = cfg
	b.any = len(cfg.Models) == 0
	b.state.Adapters = []string{}
	b.state.Models = []ModelState{}
	for _, m := range cfg.Models {
		b.state.Models = append(b.state.Models, ModelState{Model: m})
	}
}

// serves says whether a model, and an adapter if one is named, are loaded.
func (b *orderBook) serves(model, adapter string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.any {
		return true
	}
	if adapter != "" && !slices.Contains(b.state.Adapters, adapter) {
		return false
	}
	return slices.ContainsFunc(b.state.Models, func(m ModelState) bool {
		return m.Model == model && !now.Before(m.readyAt)
	})
}

// obey carries an order out. It returns false if the fencing number is old.
func (b *orderBook) obey(o Order, clock timekeeper.Clock) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.cfg.ChecksFence && o.Fence < b.state.Fence {
		return false
	}
	b.state.Fence = max(b.state.Fence, o.Fence)
	b.state.Orders++
	switch o.Kind {
	case LoadModel:
		b.loadModel(o, clock)
	case LoadAdapter:
		if !slices.Contains(b.state.Adapters, o.Adapter) {
			b.state.Adapters = append(b.state.Adapters, o.Adapter)
		}
	case SetRole:
		b.state.Role = o.Role
	case Unload:
		b.unload(o)
	}
	return true
}

func (b *orderBook) loadModel(o Order, clock timekeeper.Clock) {
	b.any = false
	i := slices.IndexFunc(b.state.Models, func(m ModelState) bool { return m.Model == o.Model })
	if i >= 0 && b.state.Models[i].Version == o.Version {
		return
	}
	ready := clock.Now().Add(b.cfg.ModelLoadTime)
	if b.cfg.Weights != nil {
		ready = b.cfg.Weights.Reserve(b.cfg.ModelBytes)
	}
	m := ModelState{Model: o.Model, Version: o.Version, readyAt: ready}
	if i >= 0 {
		b.state.Models[i] = m
		return
	}
	b.state.Models = append(b.state.Models, m)
}

func (b *orderBook) unload(o Order) {
	if o.Adapter != "" {
		b.state.Adapters = slices.DeleteFunc(b.state.Adapters, func(a string) bool { return a == o.Adapter })
		return
	}
	b.any = false
	b.state.Models = slices.DeleteFunc(b.state.Models, func(m ModelState) bool { return m.Model == o.Model })
}

func (b *orderBook) snapshot(now time.Time) State {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := b.state
	out.Adapters = slices.Clone(b.state.Adapters)
	out.Models = slices.Clone(b.state.Models)
	for i := range out.Models {
		out.Models[i].Loading = now.Before(out.Models[i].readyAt)
	}
	return out
}

func (w *Worker) serveOrder(rw http.ResponseWriter, r *http.Request) {
	f := w.take()
	var o Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		replyError(rw, http.StatusBadRequest, "the body is not JSON: "+err.Error())
		return
	}
	if text := r.Header.Get(messenger.FenceHeader); text != "" {
		n, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			replyError(rw, http.StatusBadRequest, "the fencing number is not a number")
			return
		}
		o.Fence = n
	}
	if !slices.Contains([]OrderKind{LoadModel, LoadAdapter, SetRole, Unload}, o.Kind) {
		replyError(rw, http.StatusBadRequest, "unknown kind of order")
		return
	}
	if !refuseOrDrop(rw, f) || !w.waitWhileSilent(done(rw)) {
		return
	}
	if !w.orders.obey(o, w.clock) {
		replyError(rw, http.StatusConflict, "the fencing number is old")
		return
	}
	if f.DropBeforeAnswer {
		panic(http.ErrAbortHandler)
	}
	reply(rw, http.StatusOK, w.orders.snapshot(w.clock.Now()))
}

func (w *Worker) serveState(rw http.ResponseWriter, _ *http.Request) {
	if !w.waitWhileSilent(done(rw)) {
		return
	}
	reply(rw, http.StatusOK, w.State())
}

// State returns what the orders so far have made of the worker.
func (w *Worker) State() State { return w.orders.snapshot(w.clock.Now()) }
