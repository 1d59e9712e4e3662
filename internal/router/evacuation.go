package router

import (
	"context"

	"lentilwood.example/lentilwood/internal/operator"
)

// Evacuation returns the plan in progress.
func (b *backend) Evacuation(context.Context) (operator.Evacuation, error) {
	return operator.Evacuation{}, operator.NewNotFound("evacuation plan")
}

// Evacuate starts a plan.
func (b *backend) Evacuate(context.Context, string, operator.Evacuate) (operator.Evacuation, error) {
	return operator.Evacuation{}, operator.NewUnavailable("evacuation is not part of this release")
}

// PauseEvacuation stops or resumes the plan.
func (b *backend) PauseEvacuation(context.Context, string, operator.PauseEvacuation) (operator.Evacuation, error) {
	return operator.Evacuation{}, operator.NewNotFound("evacuation plan")
}
