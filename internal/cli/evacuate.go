package cli

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/ansel1/merry/v2"

	"lentilwood.example/lentilwood/internal/operator"
)

type evacuateCommands struct {
	Create evacuateCreateCommand `cmd:"" help:"Plan to empty a site by a date."`
	Status evacuateStatusCommand `cmd:"" help:"Show the plans, their progress and forecast."`
	Pause  evacuatePauseCommand  `cmd:"" help:"Pause a plan or let it go on."`
}

type evacuateCreateCommand struct {
	connection
	Name       string        `arg:"" help:"Name of the plan."`
	Site       string        `required:"" help:"Failure domain to be emptied."`
	By         time.Time     `required:"" help:"Date, such as 2027-03-31T18:00:00Z."`
	LongestRun time.Duration `default:"1h" help:"How long the longest work may run."`
	Reason     string        `required:"" help:"Why; it stands in the plan's log."`
}

// Run makes a plan.
func (c evacuateCreateCommand) Run(s *streams) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	plan, err := client.Evacuate(context.Background(), operator.Evacuate{
		Precondition: operator.Precondition{Reason: c.Reason},
		Name:         c.Name, Site: c.Site, By: c.By, LongestRunSeconds: c.LongestRun.Seconds(),
	})
	return c.printPlans(s, []operator.Evacuation{plan}, err)
}

type evacuateStatusCommand struct {
	connection
	Name string `arg:"" optional:"" help:"Name of the plan; without it all plans."`
}

// Run shows plans.
func (c evacuateStatusCommand) Run(s *streams) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	all, err := client.Evacuations(context.Background())
	if err != nil || c.Name == "" {
		return c.printPlans(s, all.Plans, err)
	}
	for _, plan := range all.Plans {
		if plan.Name == c.Name {
			return c.printPlans(s, []operator.Evacuation{plan}, nil)
		}
	}
	return merry.Errorf("no plan is named %s", c.Name)
}

type evacuatePauseCommand struct {
	connection
	Name   string `arg:"" help:"Name of the plan."`
	Resume bool   `help:"Let a paused plan go on."`
	Reason string `required:"" help:"Why; it stands in the plan's log."`
}

// Run pauses a plan or lets it go on.
func (c evacuatePauseCommand) Run(s *streams) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	plan, err := client.PauseEvacuation(context.Background(), operator.PauseEvacuation{
		Precondition: operator.Precondition{Reason: c.Reason},
		Name:         c.Name, Paused: !c.Resume,
	})
	return c.printPlans(s, []operator.Evacuation{plan}, err)
}

func (c connection) printPlans(s *streams, plans []operator.Evacuation, err error) error {
	if err != nil {
		return err
	}
	return c.print(s, operator.Evacuations{Plans: plans}, func(w io.Writer) {
		for _, plan := range plans {
			printPlan(w, plan)
		}
	})
}

func printPlan(w io.Writer, p operator.Evacuation) {
	fmt.Fprintf(w, "%s empties %s by %s, %d upstreams left, paused: %s, at risk: %s\n",
		p.Name, p.Site, clockTime(p.By), p.Remaining, yesNo(p.Paused), yesNo(p.AtRisk))
	if p.Finish != nil && p.Latest != nil {
		fmt.Fprintf(w, "expected to finish at %s, rarely after %s\n", clockTime(*p.Finish), clockTime(*p.Latest))
	}
	row(w, "UPSTREAM", "REPLACEMENT", "PHASE", "SINCE")
	for _, step := range p.Steps {
		row(w, step.Upstream, step.Replacement, step.Phase, clockTime(step.Since))
	}
	for _, e := range p.Log {
		fmt.Fprintf(w, "%s %s\n", clockTime(e.Time), e.Text)
	}
}
