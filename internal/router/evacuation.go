package router

import (
	"context"
	"errors"
	"time"

	"lentilwood.example/lentilwood/internal/configurer"
	"lentilwood.example/lentilwood/internal/evacuator"
	"lentilwood.example/lentilwood/internal/operator"
	"lentilwood.example/lentilwood/internal/parser"
	"lentilwood.example/lentilwood/internal/storer"
)

func (b *backend) planner() *evacuator.Planner {
	return &evacuator.Planner{Store: b.r.store.For(purposeOperators), Clock: b.r.clock}
}

// Evacuations returns all evacuation plans.
func (b *backend) Evacuations(ctx context.Context) (operator.Evacuations, error) {
	plans, err := b.planner().List(ctx)
	if err != nil {
		return operator.Evacuations{}, evacuationError(err)
	}
	all := operator.Evacuations{Plans: make([]operator.Evacuation, 0, len(plans))}
	for _, p := range plans {
		all.Plans = append(all.Plans, toEvacuation(p))
	}
	return all, nil
}

// Evacuate creates an evacuation plan. It is idempotent: a plan with the same name, site and
// reason by the same author counts as a retry of the same request.
func (b *backend) Evacuate(ctx context.Context, author string, r operator.Evacuate) (operator.Evacuation, error) {
	doc := b.r.activeDocument()
	if doc == nil {
		return operator.Evacuation{}, operator.NewUnavailable("no configuration is known yet")
	}
	_, err := b.planner().Create(ctx, doc, evacuator.Request{
		Name: r.Name, Site: r.Site, Reason: r.Reason, Author: author, By: r.By,
		LongestRun: time.Duration(r.LongestRunSeconds * float64(time.Second)),
	})
	if err != nil && !errors.Is(err, evacuator.ErrExists) && !errors.Is(err, storer.ErrUnknown) {
		return operator.Evacuation{}, evacuationError(err)
	}
	plan, readErr := b.evacuation(ctx, r.Name)
	if readErr != nil {
		return operator.Evacuation{}, readErr
	}
	if err != nil && (plan.Author != author || plan.Reason != r.Reason || plan.Site != r.Site) {
		return operator.Evacuation{}, operator.NewConflict(operator.Change{
			Author: plan.Author, Reason: plan.Reason, Changed: plan.Log[0].Time,
		})
	}
	return plan, nil
}

// PauseEvacuation pauses or continues a plan.
func (b *backend) PauseEvacuation(ctx context.Context, author string, r operator.PauseEvacuation) (operator.Evacuation, error) {
	err := b.planner().Pause(ctx, r.Name, r.Paused, configurer.Note{Author: author, Reason: r.Reason})
	if err != nil {
		return operator.Evacuation{}, evacuationError(err)
	}
	return b.evacuation(ctx, r.Name)
}

// evacuation returns the plan with the given name.
func (b *backend) evacuation(ctx context.Context, name string) (operator.Evacuation, error) {
	all, err := b.Evacuations(ctx)
	if err != nil {
		return operator.Evacuation{}, err
	}
	for _, p := range all.Plans {
		if p.Name == name {
			return p, nil
		}
	}
	return operator.Evacuation{}, operator.NewNotFound("evacuation plan " + name)
}

// toEvacuation converts a plan to its form in the operator API.
func toEvacuation(s evacuator.Status) operator.Evacuation {
	p := operator.Evacuation{
		Name: s.Plan.Name, Site: s.Plan.Site, By: s.Plan.By, Author: s.Plan.Author, Reason: s.Plan.Reason,
		Paused: s.Plan.Paused, Remaining: s.Forecast.Remaining, AtRisk: s.Forecast.AtRisk,
	}
	if !s.Forecast.Finish.IsZero() {
		p.Finish, p.Latest = &s.Forecast.Finish, &s.Forecast.Latest
	}
	for _, step := range s.Plan.Steps {
		p.Steps = append(p.Steps, operator.EvacuationStep{
			Upstream: string(step.From), Replacement: string(step.To), Phase: string(step.Phase), Since: step.Since,
		})
	}
	for _, e := range s.Plan.Log {
		p.Log = append(p.Log, operator.EvacuationEvent{Time: e.Time, Text: e.Text})
	}
	return p
}

// evacuationError converts an error of the planner to one of the operator API.
func evacuationError(err error) error {
	switch {
	case errors.Is(err, evacuator.ErrNotPossible):
		var f parser.Findings
		f.Add("", err.Error(), "")
		return operator.NewInvalid(f)
	case errors.Is(err, storer.ErrNotFound):
		return operator.NewNotFound("evacuation plan")
	case errors.Is(err, storer.ErrUnavailable):
		return operator.NewUnavailable("the platform's store does not answer")
	case errors.Is(err, storer.ErrUnknown):
		return operator.NewUnknown("the store's answer was lost; look at the plans")
	}
	return err
}
