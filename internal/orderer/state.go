package orderer

import (
	"maps"
	"slices"
)

// State is what a model engine has loaded and does.
type State struct {
	// Models are the versions of the models, by name.
	Models map[string]string `json:"models,omitempty"`
	// Adapters are the names of the adapters.
	Adapters []string `json:"adapters,omitempty"`
	// Role is the engine's role; empty means that any will do.
	Role string `json:"role,omitempty"`
}

// Kind is what an order does.
type Kind string

// The kinds of orders. Each states what is to be and may be repeated.
const (
	LoadModel   Kind = "loadModel"
	LoadAdapter Kind = "loadAdapter"
	SetRole     Kind = "role"
	Unload      Kind = "unload"
)

// Order is one order to an engine.
type Order struct {
	Kind    Kind   `json:"kind"`
	Model   string `json:"model,omitempty"`
	Version string `json:"version,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Role    string `json:"role,omitempty"`
}

// loads reports whether an order reads from the weight store.
func (o Order) loads() bool { return o.Kind == LoadModel || o.Kind == LoadAdapter }

// next returns the first order that leads from a state towards the wanted one.
// What is not wanted is unloaded last, so that an engine does not serve less
// than before while it changes.
func next(have, want State) (Order, bool) {
	for _, model := range slices.Sorted(maps.Keys(want.Models)) {
		if version := want.Models[model]; have.Models[model] != version {
			return Order{Kind: LoadModel, Model: model, Version: version}, true
		}
	}
	for _, adapter := range want.Adapters {
		if !slices.Contains(have.Adapters, adapter) {
			return Order{Kind: LoadAdapter, Adapter: adapter}, true
		}
	}
	if want.Role != "" && have.Role != want.Role {
		return Order{Kind: SetRole, Role: want.Role}, true
	}
	for _, model := range slices.Sorted(maps.Keys(have.Models)) {
		if _, ok := want.Models[model]; !ok {
			return Order{Kind: Unload, Model: model}, true
		}
	}
	for _, adapter := range have.Adapters {
		if !slices.Contains(want.Adapters, adapter) {
			return Order{Kind: Unload, Adapter: adapter}, true
		}
	}
	return Order{}, false
}
