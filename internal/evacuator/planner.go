package evacuator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/ansel1/merry/v2"

	"lentilwood.example/lentilwood/internal/configurer"
	"lentilwood.example/lentilwood/internal/storer"
	"lentilwood.example/lentilwood/internal/timekeeper"
)

// scanLimit bounds the rows of one read.
const scanLimit = 100

// Planner makes, shows and pauses plans for operators. It keeps no state.
type Planner struct {
	Store storer.Store
	// Clock is the system's clock if it is nil.
	Clock timekeeper.Clock
}

// Status is a plan and when it is expected to end.
type Status struct {
	Plan     Plan
	Forecast Forecast
}

// ErrExists means that there is a plan of the same name.
var ErrExists = merry.Sentinel("a plan of this name exists")

// Create makes a plan from the newest document and saves it.
func (p *Planner) Create(ctx context.Context, d *configurer.Document, r Request) (Plan, error) {
	plan, err := Create(p.now(), d, r)
	if err != nil {
		return Plan{}, err
	}
	err = p.Store.Commit(ctx, []storer.Op{plan.Save(0)})
	if errors.Is(err, storer.ErrConflict) {
		return Plan{}, merry.Prepend(ErrExists, r.Name)
	}
	return plan, err
}

// List returns all plans.
func (p *Planner) List(ctx context.Context) ([]Status, error) {
	var all []Status
	since := uint64(0)
	for {
		rows, err := p.Store.Scan(ctx, Table, since, scanLimit)
		if err != nil {
			return nil, err
		}
		for _, row := range rows {
			since = row.Version
			var plan Plan
			if row.Deleted || json.Unmarshal(row.Value, &plan) != nil {
				continue
			}
			all = append(all, Status{Plan: plan, Forecast: forecast(&plan, p.now())})
		}
		if len(rows) < scanLimit {
			return all, nil
		}
	}
}

// pauseAttempts is how often a pause is tried while the plan moves on.
const pauseAttempts = 5

// Pause pauses a plan or lets it go on.
func (p *Planner) Pause(ctx context.Context, name string, paused bool, n configurer.Note) error {
	if n.Author == "" || n.Reason == "" {
		return configurer.ErrNoReason
	}
	for attempt := 1; ; attempt++ {
		err := p.pause(ctx, name, paused, n)
		if attempt == pauseAttempts || !errors.Is(err, storer.ErrConflict) {
			return err
		}
	}
}

func (p *Planner) pause(ctx context.Context, name string, paused bool, n configurer.Note) error {
	row, err := p.Store.Read(ctx, Table, name)
	if err != nil {
		return err
	}
	var plan Plan
	if err := json.Unmarshal(row.Value, &plan); err != nil {
		return merry.Prependf(err, "decode plan %s", name)
	}
	if plan.Paused == paused {
		return nil
	}
	verb := "let go on"
	if paused {
		verb = "paused"
	}
	plan.Paused = paused
	plan.log(p.now(), fmt.Sprintf("%s by %s: %s", verb, n.Author, n.Reason))
	return p.Store.Commit(ctx, []storer.Op{plan.Save(row.Version)})
}

func (p *Planner) now() time.Time {
	if p.Clock != nil {
		return p.Clock.Now()
	}
	return timekeeper.System{}.Now()
}
