package cli

import (
	"context"

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
