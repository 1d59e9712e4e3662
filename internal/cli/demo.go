package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"time"

	"github.com/ansel1/merry/v2"

	"lentilwood.example/lentilwood/internal/demonstrator"
	"lentilwood.example/lentilwood/internal/generator"
)

type demoCommand struct {
	For     time.Duration `default:"5s" help:"How long requests are sent, 1s to 10s."`
	Seed    uint64        `default:"1" help:"Seed of the arrivals."`
	JSON    bool          `name:"json" help:"Print one JSON object instead of tables."`
	Verbose bool          `help:"Show the log lines of routers and stand-ins."`
}

// Run shows a whole fleet under load and fails if a promise was broken.
func (c demoCommand) Run(s *streams) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	report, err := demonstrator.Run(ctx, demonstrator.Config{
		For: c.For, Seed: c.Seed, Log: c.log(s),
		Progress: func(p generator.Progress) { fmt.Fprintln(s.err, progressLine(p)) },
	})
	if err != nil {
		return err
	}
	if c.JSON {
		err = printJSON(s.out, report)
	} else {
		err = report.Write(s.out)
	}
	if err != nil {
		return err
	}
	if n := report.Violations(); n > 0 {
		return merry.Errorf("%d violations", n)
	}
	return nil
}

func (c demoCommand) log(s *streams) io.Writer {
	if c.Verbose {
		return s.err
	}
	return nil
}
