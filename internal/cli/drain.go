package cli

import (
	"context"
	"fmt"
	"io"
	"time"

	"lentilwood.example/lentilwood/internal/operator"
)

type drainCommand struct {
	connection
	Upstream  string `arg:"" help:"Upstream that gets no new work."`
	Reason    string `required:"" help:"Why; it stands in the history."`
	IfVersion uint64 `help:"Version that is in force as far as you know; without it whichever is the newest."`
}

// Run stops new work for one upstream; requests in progress end normally.
func (c drainCommand) Run(s *streams) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	change, err := client.Drain(context.Background(), operator.Drain{
		Precondition: operator.Precondition{IfVersion: c.IfVersion, Reason: c.Reason},
		Upstream:     c.Upstream,
	})
	return c.printChange(s, change, err)
}

type evacuateCommands struct {
	Create evacuateCreateCommand `cmd:"" help:"Plan to empty upstreams by a deadline."`
	Status evacuateStatusCommand `cmd:"" help:"Show the plan, its progress and forecast."`
	Pause  evacuatePauseCommand  `cmd:"" help:"Pause or resume the plan."`
}

type evacuateCreateCommand struct {
	connection
	Upstreams []string  `arg:"" help:"Upstreams to empty."`
	By        time.Time `required:"" help:"Deadline, such as 2027-03-31T18:00:00Z."`
	Reason    string    `required:"" help:"Why; it stands in the history."`
	IfVersion uint64    `help:"Version of the plan as far as you know; 0 if there is none."`
}

// Run makes a plan.
func (c evacuateCreateCommand) Run(s *streams) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	plan, err := client.Evacuate(context.Background(), operator.Evacuate{
		Precondition: operator.Precondition{IfVersion: c.IfVersion, Reason: c.Reason},
		Upstreams:    c.Upstreams,
		Deadline:     c.By,
	})
	return c.printPlan(s, plan, err)
}

type evacuateStatusCommand struct {
	connection
}

// Run shows the plan.
func (c evacuateStatusCommand) Run(s *streams) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	plan, err := client.Evacuation(context.Background())
	return c.printPlan(s, plan, err)
}

type evacuatePauseCommand struct {
	connection
	Resume    bool   `help:"Resume a paused plan."`
	Reason    string `required:"" help:"Why; it stands in the history."`
	IfVersion uint64 `help:"Version of the plan as far as you know; without it whichever is the newest."`
}

// Run pauses or resumes the plan.
func (c evacuatePauseCommand) Run(s *streams) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	plan, err := client.PauseEvacuation(context.Background(), operator.PauseEvacuation{
		Precondition: operator.Precondition{IfVersion: c.IfVersion, Reason: c.Reason},
		Paused:       !c.Resume,
	})
	return c.printPlan(s, plan, err)
}

func (c connection) printPlan(s *streams, plan operator.Evacuation, err error) error {
	if err != nil {
		return err
	}
	return c.print(s, plan, func(w io.Writer) {
		fmt.Fprintf(w, "version %d, %s, deadline %s, forecast %s, at risk: %s\n\n",
			plan.Version, plan.State, clockTime(plan.Deadline), clockTime(plan.Forecast), yesNo(plan.AtRisk))
		row(w, "UPSTREAM", "REPLACEMENT", "STATE", "STREAMS", "LOADED", "TOTAL", "LATEST START")
		for _, p := range plan.Steps {
			row(w, p.Upstream, p.Replacement, p.State, p.Streams, p.LoadedBytes, p.TotalBytes, clockTime(p.LatestStart))
		}
	})
}
