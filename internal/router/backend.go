package router

import (
	"io"

	"github.com/ansel1/merry/v2"

	"lentilwood.example/lentilwood/internal/configurer"
	"lentilwood.example/lentilwood/internal/coordinator"
	"lentilwood.example/lentilwood/internal/operator"
	"lentilwood.example/lentilwood/internal/storer"
)

// purposeOperators is what operators' reads and changes count as.
const purposeOperators storer.Purpose = "operators"

// backend carries out what operators ask of a router.
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

// document returns the configuration in force, nil if there is none.
func (r *Router) activeDocument() *configurer.Document {
	cfg := r.active.Load()
	if cfg == nil {
		return nil
	}
	return cfg.document
}

// Ready returns nil once callers may be sent here.
func (b *backend) Ready() error {
	ready, reason := b.r.Ready()
	if ready {
		return nil
	}
	return merry.New(reason)
}

// WriteMetrics writes all metrics.
func (b *backend) WriteMetrics(w io.Writer) { b.r.writeMetrics(w) }
