package router

import (
	"io"

	"github.com/ansel1/merry/v2"

	"lentilwood.example/lentilwood/internal/configurer"
	"lentilwood.example/lentilwood/internal/coordinator"
	"lentilwood.example/lentilwood/internal/operator"
	"lentilwood.example/lentilwood/internal/storer"
)

// purposeOperators labels the store calls made on behalf of operators.
const purposeOperators storer.Purpose = "operators"

// backend implements the operator API of a router.
type backend struct {
	*operator.ConfigEditor
	r *Router
}

func newBackend(r *Router) *backend {
	return &backend{
		r: r,
		ConfigEditor: &operator.ConfigEditor{
			Store:    r.store.For(purposeOperators),
			Clock:    r.clock,
			Accepted: func(u configurer.Update) { r.control.submit(coordinator.Accepted{Update: u}) },
			InForce:  r.activeDocument,
		},
	}
}

// activeDocument returns the active configuration document, or nil if there is none.
func (r *Router) activeDocument() *configurer.Document {
	cfg := r.active.Load()
	if cfg == nil {
		return nil
	}
	return cfg.document
}

// Ready returns nil if the router is ready to serve callers, or an error with the reason.
func (b *backend) Ready() error {
	ready, reason := b.r.Ready()
	if ready {
		return nil
	}
	return merry.New(reason)
}

// WriteMetrics writes all metrics to w.
func (b *backend) WriteMetrics(w io.Writer) { b.r.writeMetrics(w) }
