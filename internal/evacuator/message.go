package evacuator

import (
	"lentilwood.example/lentilwood/internal/configurer"
	"lentilwood.example/lentilwood/internal/storer"
)

// Event is one thing told to an Evacuator.
type Event interface{ isEvent() }

// Tick says that time has passed.
type Tick struct{}

// Lead says that this router has just got the lease for the plan.
type Lead struct{ Fence uint64 }

// Follow says that this router does not hold the lease any more.
type Follow struct{}

// Seen is what the upstreams say and which exceptions are in force.
type Seen struct {
	View       View
	Exceptions map[string]configurer.Exception
}

// PlanRead answers a ReadPlan.
type PlanRead struct {
	Row storer.Row
	Err error
}

// PlanSaved answers a SavePlan.
type PlanSaved struct{ Err error }

// ExceptionPut answers a PutException.
type ExceptionPut struct {
	ID  string
	Err error
}

func (Tick) isEvent()         {}
func (Lead) isEvent()         {}
func (Follow) isEvent()       {}
func (Seen) isEvent()         {}
func (PlanRead) isEvent()     {}
func (PlanSaved) isEvent()    {}
func (ExceptionPut) isEvent() {}

// Action is one thing an Evacuator wants done.
type Action interface{ isAction() }

// ReadPlan asks for a row of Table.
type ReadPlan struct{ Key string }

// SavePlan asks for the plan to be written.
type SavePlan struct {
	Plan Plan
	Op   storer.Op
}

// PutException asks for an exception of the configuration.
type PutException struct {
	ID        string
	Exception configurer.Exception
}

// Warn says that the date is at risk.
type Warn struct{ Forecast Forecast }

func (ReadPlan) isAction()     {}
func (SavePlan) isAction()     {}
func (PutException) isAction() {}
func (Warn) isAction()         {}
