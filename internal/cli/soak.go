package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"time"

	"github.com/ansel1/merry/v2"

	"lentilwood.example/lentilwood/internal/soaker"
)

type soakCommand struct {
	Seed  uint64        `default:"1" help:"Seed of the first run; it decides faults and load."`
	Count int           `default:"1" help:"How many seeds are played, one after the other."`
	For   time.Duration `default:"24s" help:"How long requests are sent in a run."`
	Dir   string        `help:"Folder for the settings and logs of the processes; without it one that is removed after a good run." type:"path"`
}

// Run plays the seeds and fails if a promise was broken.
func (c soakCommand) Run(s *streams) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	failed := 0
	for i := range c.Count {
		report, dir, err := c.play(ctx, c.Seed+uint64(i))
		if err != nil {
			return err
		}
		line, err := json.Marshal(report)
		if err != nil {
			return merry.Prepend(err, "encode the report")
		}
		fmt.Fprintln(s.out, string(line))
		if report.Violations() > 0 {
			failed++
			fmt.Fprintf(s.err, "seed %d: promises broken; logs in %s\n", report.Seed, dir)
			continue
		}
		if c.Dir == "" {
			if err := os.RemoveAll(dir); err != nil {
				return merry.Prepend(err, "remove the logs of a good run")
			}
		}
	}
	if failed > 0 {
		return merry.Errorf("%d of %d seeds broke a promise", failed, c.Count)
	}
	return nil
}

// play runs one seed in a folder of its own and returns the folder.
func (c soakCommand) play(ctx context.Context, seed uint64) (*soaker.Report, string, error) {
	dir := filepath.Join(c.Dir, fmt.Sprintf("seed-%d", seed))
	if c.Dir == "" {
		made, err := os.MkdirTemp("", "lentilwood-soak-")
		if err != nil {
			return nil, "", merry.Prepend(err, "make a folder for the logs")
		}
		dir = made
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, "", merry.Prepend(err, "make a folder for the logs")
	}
	report, err := soaker.Run(ctx, soaker.Config{Seed: seed, For: c.For, Dir: dir})
	return report, dir, err
}
